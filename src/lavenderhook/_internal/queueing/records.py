"""Rows of the store that hold the state of the queues.

A submission has up to three rows: what was submitted, which of its tasks have ended, and its
final state. The second is written by the owner alone, under the condition that it is still the
owner. The third is written once: by the owner or, for a cancellation, by any instance.
"""

from __future__ import annotations

import enum
import zlib
from typing import TypeVar

import msgspec

from ...errors import InvalidArgumentError, ProtocolError
from ..core.identifiers import WorkerId
from ..decoding import decode_json, reject_malformed
from .model import FencingToken, Submission, SubmissionId, SubmissionState, WorkerIncarnation
from .validation import check_submission

WORK_TABLE = "lavenderhook-work"
CONTROL_TABLE = "lavenderhook-control"
OWNER_KEY = "owner"
HEARTBEAT_KEY = "owner-heartbeat"
CONFIRMATION_KEY = "owner-confirmation"  # written by an owner to confirm that it still is one
ABSENCE_KEY = "absence-confirmation"  # written, beside a row's part, to confirm that there is none
CONFIRMATION_TABLE = "lavenderhook-confirmation"  # which no instance watches
ROSTER_KEY = "roster"
MEMBER_PREFIX = "member/"
SUBMISSION_PREFIX = "submission/"
PROGRESS_PREFIX = "progress/"
OUTCOME_PREFIX = "outcome/"
# The store runs the transactions of one part one after another and rejects more when a second's
# worth is queued. When it is 70 times as slow as usual, a part takes two a second; submissions are
# spread over these parts, so that a burst is still accepted.
SUBMISSION_PARTS = tuple(f"submissions-{number:02}" for number in range(64))
HEARTBEAT_PART = "heartbeat"

Record = TypeVar("Record", bound=msgspec.Struct)


class StoredCrash(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A crash of a worker on which a run was active.

    Parameters
    ----------
    age_seconds : float
        Upper bound on the age of the run.
    weak : bool
        It has probably another cause.
    alone : bool
        Nothing else ran on the worker.
    """

    age_seconds: float = 0.0
    weak: bool = False
    alone: bool = False


class Progress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Done tasks and failed runs of a submission, and the crashes of workers under its tasks.

    Keys are ``occurrence.step``; runs are given by task index, and for a gang under -1. Run numbers
    are stored, not a count, since a worker may report a finished run to several owners.

    Parameters
    ----------
    crashed : dict
        Runs whose worker crashed, by number.
    unresolved : dict
        Other runs of tasks with crashes, by number: the incarnations of the workers that they may
        have been started on, by worker.
    done_ranges : dict
        Done tasks of steps with many of them, as ranges by their first and last numbers.
    completed : list
        Ranges of occurrences of which all tasks are done, by their first and last numbers. Their
        tasks aren't listed elsewhere.
    """

    done: dict[str, list[int]] = {}
    failed: dict[str, dict[int, list[int]]] = {}
    crashed: dict[str, dict[int, dict[int, StoredCrash]]] = {}
    unresolved: dict[str, dict[int, dict[int, dict[WorkerId, WorkerIncarnation]]]] = {}
    done_ranges: dict[str, list[tuple[int, int]]] = {}
    completed: list[tuple[int, int]] = []

    @property
    def has_begun(self) -> bool:
        """Whether any task has ended, or crashed its worker."""
        is_done = self.done or self.done_ranges or self.completed
        return bool(is_done or self.failed or self.crashed)

    def list_steps(self) -> list[str]:
        """Return the keys of all steps with tasks that are listed, in order."""
        listed = (self.done, self.done_ranges, self.failed, self.crashed, self.unresolved)
        return list(dict.fromkeys(key for steps in listed for key in steps))


class FailureReason(enum.Enum):
    """Why a submission has failed."""

    ATTEMPTS_USED_UP = "attempts-used-up"
    WORKERS_CRASHED = "workers-crashed"


class Outcome(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Final state of a submission; `at` is Unix time in seconds."""

    state: SubmissionState
    at: float
    reason: FailureReason | None = None


class FormerOwner(msgspec.Struct, frozen=True, kw_only=True):
    """What an owner's row says of its predecessor.

    Parameters
    ----------
    revision : int
        That of the predecessor's row.
    """

    fencing: FencingToken
    name: str
    address: str
    process: str
    revision: int

    @classmethod
    def of(cls, owner: OwnerRecord, revision: int) -> FormerOwner:
        """Return what to say of an owner whose row has this revision."""
        return cls(
            fencing=owner.fencing,
            name=owner.name,
            address=owner.address,
            process=owner.process,
            revision=revision,
        )


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The instance that places tasks; replaced only by another owner.

    Parameters
    ----------
    boot : str
        Id of the claim, different for each, as the response to a claim may be lost.
    process : str
        The `boot` of the member row that the process writes.
    authority_seconds : float
        For how long after this claim earlier owners may extend leases.
    peers : tuple of str
        The `boot` of each instance that this one lists.
    predecessor : FormerOwner or None
        None for the first owner, or if the row does not say.
    asks_workers : bool
        While it has no store, this owner acts only if its workers answer it, and so does each
        earlier one that had not ended before the claim; see the module `witnesses`.
    """

    fencing: FencingToken
    name: str
    boot: str
    address: str
    process: str
    authority_seconds: float = 0.0
    peers: tuple[str, ...] = ()
    predecessor: FormerOwner | None = None
    asks_workers: bool = False


class HeartbeatRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Heartbeat of the owner.

    Parameters
    ----------
    peers : tuple of str
        The `boot` of each instance that the owner lists, and asks while it has no store.
    authority_seconds : float or None
        For how long earlier owners may still extend leases; None if the owner doesn't say.
    """

    fencing: FencingToken
    count: int
    has_resigned: bool = False
    peers: tuple[str, ...] = ()
    authority_seconds: float | None = None


class Roster(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Workers that may hold runs; see the module `roster`.

    Parameters
    ----------
    closed : dict of WorkerId to int
        Revision of the store at which each worker was closed; 0 stands for the revision of the
        roster's own row.
    earlier : tuple of frozenset of WorkerId
        The witnesses of earlier owners that may still act, where these are others than the
        roster's own; see the module `witnesses`.
    """

    workers: frozenset[WorkerId] = frozenset()
    closed: dict[WorkerId, int] = {}
    earlier: tuple[frozenset[WorkerId], ...] = ()


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An entry instance and the address at which its peers reach it.

    Parameters
    ----------
    strength : float
        Fitness of the instance as owner; see `compute_owner_fitness`.
    has_left : bool
        The process has stopped. The row is kept: after a deletion, a write of the process whose
        response was lost could be carried out late and list the instance again.
    removed_by : FencingToken
        The owner that has marked the row as left since the instance didn't answer; 0 if the
        instance has written it.
    """

    name: str
    boot: str
    address: str
    zone: str
    strength: float = 1.0
    has_left: bool = False
    removed_by: FencingToken = FencingToken(0)


def encode(record: msgspec.Struct) -> bytes:
    """Return the bytes of a record."""
    return msgspec.json.encode(record)


def decode(value: bytes, record_type: type[Record]) -> Record:
    """Return the record that a row holds.

    Raises
    ------
    ProtocolError
        If the row does not hold a record of this type.
    """
    record = decode_json(value, record_type)
    with reject_malformed(record_type.__name__):
        encode(record)  # raises OverflowError for numbers that could not be stored again
    return record


def decode_submission(value: bytes) -> Submission:
    """Return a stored submission.

    Raises
    ------
    ProtocolError
        If it is malformed, such as one that another version of the program has accepted.
    """
    submission = decode(value, Submission)
    try:
        check_submission(submission)
    except InvalidArgumentError as error:
        raise ProtocolError(f"malformed Submission: {error}") from error
    return submission


def decode_roster(value: bytes, revision: int) -> Roster:
    """Return the roster that was stored at a revision.

    Raises
    ------
    ProtocolError
    """
    return set_closing_revisions(decode(value, Roster), revision)


def set_closing_revisions(roster: Roster, revision: int) -> Roster:
    """Return a roster with the revision of its row in place of 0."""
    closed = {worker: closed_at or revision for worker, closed_at in roster.closed.items()}
    return msgspec.structs.replace(roster, closed=closed)


def choose_part(submission: SubmissionId) -> str:
    """Return the part of the work table that holds a submission."""
    return SUBMISSION_PARTS[zlib.crc32(submission.encode()) % len(SUBMISSION_PARTS)]


def parse_key(key: str) -> tuple[str, SubmissionId]:
    """Split the key of a row in the work table into its prefix and the submission's id."""
    prefix, _, rest = key.partition("/")
    return prefix + "/", SubmissionId(rest)
