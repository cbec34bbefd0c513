"""The specifications in the order in which they are checked."""

from pathlib import Path

from .engine import (
    Refutation,
    Specification,
    encode_refutation,
    iterate_refutations,
)
from .specifications.claims import Claims
from .specifications.configuration import Configuration
from .specifications.grants import Grants
from .specifications.leases import Leases
from .specifications.leaving import Leaving
from .specifications.ownership import Ownership
from .specifications.shard import Shard
from .specifications.tasks import Tasks
from .specifications.witnesses import WorkerWitnesses

SPECIFICATIONS: tuple[type[Specification], ...] = (
    Tasks,
    Claims,
    Grants,
    Shard,
    Configuration,
    Leaving,
    Ownership,
    Leases,
    WorkerWitnesses,
)
TRACE_DIRECTORY = Path(__file__).resolve().parent / "traces"


def find_specification(name: str) -> type[Specification]:
    """Return the specification of a name.

    Raises
    ------
    KeyError
        If no specification has this name.
    """
    return {s.name: s for s in SPECIFICATIONS}[name]


def find_refutations() -> list[Refutation]:
    """Search again for the refutation of every mutant at the CI bounds."""
    return [
        refutation
        for specification in SPECIFICATIONS
        for _, refutation in iterate_refutations(specification)
        if refutation is not None
    ]


def locate_trace(refutation: Refutation) -> Path:
    """Return the path of the file that stores a refutation."""
    words = "".join(c if c.isalnum() else " " for c in refutation.mutant.rule).split()
    return TRACE_DIRECTORY / f"{refutation.specification}.{'-'.join(words).lower()}.json"


def write_trace(refutation: Refutation) -> None:
    """Write a refutation to its file under `model/traces`."""
    TRACE_DIRECTORY.mkdir(exist_ok=True)
    locate_trace(refutation).write_text(encode_refutation(refutation), encoding="utf-8")


def find_stale_traces(refutations: tuple[Refutation, ...]) -> list[str]:
    """Return the names of trace files that are missing or differ from the given refutations."""
    stale_names = []
    for refutation in refutations:
        path = locate_trace(refutation)
        if not path.exists() or path.read_text(encoding="utf-8") != encode_refutation(refutation):
            stale_names.append(path.name)
    return stale_names


__all__ = [
    "SPECIFICATIONS",
    "find_refutations",
    "find_specification",
    "find_stale_traces",
    "write_trace",
]
