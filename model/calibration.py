"""Calibration of the checker on protocols whose state counts are known.

The expected counts are those commonly reported for textbook examples: the water jugs of 3 and 5
gallons have 16 reachable states and reach 4 gallons in 6 steps; two-phase commit with three
resource managers has 288 reachable states (Gray and Lamport, Consensus on Transaction Commit).
"""

from itertools import product

from minicheck import Protocol, check_safety

JUG_STATES = 16
JUG_TRACE_STEPS = 6
TWO_PHASE_STATES = 288
RESOURCE_MANAGERS = 3


def _list_jug_steps(state: tuple) -> list[tuple[str, tuple]]:
    small, large = state
    to_large = min(small, 5 - large)
    to_small = min(large, 3 - small)
    return [
        ("fill_small", (3, large)),
        ("fill_large", (small, 5)),
        ("empty_small", (0, large)),
        ("empty_large", (small, 0)),
        ("small_to_large", (small - to_large, large + to_large)),
        ("large_to_small", (small + to_small, large - to_small)),
    ]


def build_jugs() -> Protocol:
    """Build the water jugs puzzle; a state with 4 gallons violates its invariant.

    `candidate` is False because the invariant is expected to be violated. `check_safety` does not
    read this field.
    """
    return Protocol(
        name="jugs",
        candidate=False,
        fields=("small", "large"),
        initial=(0, 0),
        transitions=_list_jug_steps,
        invariants={"not_four": lambda state: state["large"] != 4},
    )


def _list_two_phase_steps(state: tuple) -> list[tuple[str, tuple]]:
    managers, coordinator, prepared, messages = state
    steps = []
    if coordinator == "init" and len(prepared) == RESOURCE_MANAGERS:
        steps.append(("commit", (managers, "committed", prepared, messages | {"commit"})))
    if coordinator == "init":
        steps.append(("abort", (managers, "aborted", prepared, messages | {"abort"})))
    for i, manager in enumerate(managers):
        others = managers[:i], managers[i + 1 :]
        if coordinator == "init" and i in messages:
            steps.append(
                (f"receive_prepared({i})", (managers, coordinator, prepared | {i}, messages))
            )
        if manager == "working":
            prepared_managers = (*others[0], "prepared", *others[1])
            steps.append(
                (f"prepare({i})", (prepared_managers, coordinator, prepared, messages | {i}))
            )
            aborted_managers = (*others[0], "aborted", *others[1])
            steps.append(
                (f"choose_abort({i})", (aborted_managers, coordinator, prepared, messages))
            )
        for message, outcome in (("commit", "committed"), ("abort", "aborted")):
            if message in messages:
                decided_managers = (*others[0], outcome, *others[1])
                steps.append(
                    (f"{message}({i})", (decided_managers, coordinator, prepared, messages))
                )
    return steps


def build_two_phase() -> Protocol:
    """Build two-phase commit with three resource managers and a set of sent messages."""
    return Protocol(
        name="two-phase commit",
        candidate=True,
        fields=("managers", "coordinator", "prepared", "messages"),
        initial=(("working",) * RESOURCE_MANAGERS, "init", frozenset(), frozenset()),
        transitions=_list_two_phase_steps,
        invariants={
            "consistent": lambda state: not {"committed", "aborted"} <= set(state["managers"])
        },
    )


def find_checker_errors() -> list[str]:
    """Return one message per state count or verdict that differs from the known result."""
    errors = []
    jugs = check_safety(build_jugs())
    not_four = jugs["properties"]["not_four"]
    if jugs["reachable_states"] != JUG_STATES or not jugs["exhaustive"]:
        errors.append(f"jugs: {jugs['reachable_states']} states, expected {JUG_STATES}")
    if not_four["holds"] is not False or len(not_four["counterexample"]) - 1 != JUG_TRACE_STEPS:
        errors.append("jugs: the shortest trace to 4 gallons was not found")
    two_phase = check_safety(build_two_phase())
    if two_phase["reachable_states"] != TWO_PHASE_STATES:
        count = two_phase["reachable_states"]
        errors.append(f"two-phase commit: {count} states, expected {TWO_PHASE_STATES}")
    if two_phase["properties"]["consistent"]["holds"] is not True:
        errors.append("two-phase commit: consistency was not verified")
    truncated = check_safety(build_two_phase(), max_states=TWO_PHASE_STATES - 1)
    if truncated["exhaustive"] or truncated["properties"]["consistent"]["holds"] is not None:
        errors.append("two-phase commit: a truncated search was reported as complete")
    return errors + _find_product_errors()


def _find_product_errors() -> list[str]:
    """Return one message per set of independent counters with a wrong state count."""
    errors = []
    for size, modulus in product((1, 2, 3), (2, 5)):
        protocol = Protocol(
            name="counters",
            candidate=True,
            fields=tuple(f"c{i}" for i in range(size)),
            initial=(0,) * size,
            transitions=lambda s, m=modulus: [
                (f"inc({i})", (*s[:i], (s[i] + 1) % m, *s[i + 1 :])) for i in range(len(s))
            ],
            invariants={},
        )
        count = check_safety(protocol)["reachable_states"]
        if count != modulus**size:
            errors.append(f"counters: {count} states, expected {modulus**size}")
    return errors
