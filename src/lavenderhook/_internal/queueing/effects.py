"""What the owner's decisions ask of the world."""

from __future__ import annotations

import msgspec

from ..core.identifiers import WorkerId
from .model import CommandToken, RunNumber, StartCommand, StepId, SubmissionId, TaskKey
from .records import Roster


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all effects."""


class SendStart(Effect, frozen=True, kw_only=True):
    """Send a start order."""

    command: StartCommand


class SendStop(Effect, frozen=True, kw_only=True):
    """Send a stop order."""

    worker: WorkerId
    task: TaskKey
    number: RunNumber
    token: CommandToken


class RequestAdvice(Effect, frozen=True, kw_only=True):
    """Ask the advisory service which of these workers may run a step."""

    step: StepId
    workers: tuple[WorkerId, ...]
    expected_seconds: float


class StoreProgress(Effect, frozen=True, kw_only=True):
    """Store what is known of a submission."""

    submission: SubmissionId


class StoreRoster(Effect, frozen=True, kw_only=True):
    """Store which workers may hold runs."""

    roster: Roster


class WatchWorker(Effect, frozen=True, kw_only=True):
    """Hold and watch a worker from now on."""

    worker: WorkerId


class UnwatchWorker(Effect, frozen=True, kw_only=True):
    """A worker is gone for good."""

    worker: WorkerId


class StepDown(Effect, frozen=True, kw_only=True):
    """A newer owner has been seen at a worker."""

    worker: WorkerId


class LogDecision(Effect, frozen=True, kw_only=True):
    """Write a line about a decision."""

    decision: str
    fields: dict[str, object]
