"""Check of the checker itself on protocols whose state counts are known.

The counts are those commonly reported for the textbook examples: the water jugs of 3 and 5
gallons have 16 reachable states and reach 4 gallons in 6 steps; two-phase commit with three
resource managers has 288 reachable states (Gray and Lamport, Consensus on Transaction Commit).
"""

from itertools import product

from minicheck import Protocol, check_safety

JUG_STATES = 16
JUG_STEPS = 6
TWO_PHASE_STATES = 288
RESOURCE_MANAGERS = 3


def _pour(state: tuple) -> list[tuple[str, tuple]]:
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
    """Build the water jugs puzzle; its invariant fails when 4 gallons are measured."""
    return Protocol(
        name="jugs",
        candidate=False,
        fields=("small", "large"),
        initial=(0, 0),
        transitions=_pour,
        invariants={"not_four": lambda d: d["large"] != 4},
    )


def _step_two_phase(state: tuple) -> list[tuple[str, tuple]]:
    managers, coordinator, prepared, messages = state
    steps = []
    if coordinator == "init" and len(prepared) == RESOURCE_MANAGERS:
        steps.append(("commit", (managers, "committed", prepared, messages | {"commit"})))
    if coordinator == "init":
        steps.append(("abort", (managers, "aborted", prepared, messages | {"abort"})))
    for i, manager in enumerate(managers):
        changed = managers[:i], managers[i + 1 :]
        if coordinator == "init" and i in messages:
            steps.append((f"hear({i})", (managers, coordinator, prepared | {i}, messages)))
        if manager == "working":
            ready = (*changed[0], "prepared", *changed[1])
            steps.append((f"prepare({i})", (ready, coordinator, prepared, messages | {i})))
            given_up = (*changed[0], "aborted", *changed[1])
            steps.append((f"give_up({i})", (given_up, coordinator, prepared, messages)))
        for message, outcome in (("commit", "committed"), ("abort", "aborted")):
            if message in messages:
                decided = (*changed[0], outcome, *changed[1])
                steps.append((f"{message}({i})", (decided, coordinator, prepared, messages)))
    return steps


def build_two_phase() -> Protocol:
    """Build two-phase commit with three resource managers and a message set."""
    return Protocol(
        name="two-phase commit",
        candidate=True,
        fields=("managers", "coordinator", "prepared", "messages"),
        initial=(("working",) * RESOURCE_MANAGERS, "init", frozenset(), frozenset()),
        transitions=_step_two_phase,
        invariants={"consistent": lambda d: not {"committed", "aborted"} <= set(d["managers"])},
    )


def find_miscounts() -> list[str]:
    """Return one message per count or verdict of the checker that is not the known one."""
    problems = []
    jugs = check_safety(build_jugs())
    found = jugs["properties"]["not_four"]
    if jugs["reachable_states"] != JUG_STATES or not jugs["exhaustive"]:
        problems.append(f"jugs: {jugs['reachable_states']} states, expected {JUG_STATES}")
    if found["holds"] is not False or len(found["counterexample"]) - 1 != JUG_STEPS:
        problems.append("jugs: the shortest trace to 4 gallons was not found")
    commit = check_safety(build_two_phase())
    if commit["reachable_states"] != TWO_PHASE_STATES:
        count = commit["reachable_states"]
        problems.append(f"two-phase commit: {count} states, expected {TWO_PHASE_STATES}")
    if commit["properties"]["consistent"]["holds"] is not True:
        problems.append("two-phase commit: consistency was not proved")
    cut = check_safety(build_two_phase(), max_states=TWO_PHASE_STATES - 1)
    if cut["exhaustive"] or cut["properties"]["consistent"]["holds"] is not None:
        problems.append("two-phase commit: a truncated search was reported as a proof")
    return problems + _find_product_miscounts()


def _find_product_miscounts() -> list[str]:
    """Compare independent counters with the size of their product."""
    problems = []
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
            problems.append(f"counters: {count} states, expected {modulus**size}")
    return problems
