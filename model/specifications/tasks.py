"""Task attempts: placement, start, lease, stop, death and takeover (docs/design.md 3.2).

The table's epoch is the index of the owning instance, so instance e owns the shard in epoch e and
any later instance may take over at any time. Former owners keep acting until they are gone, which
covers pauses of any length. Starts, stops and reports are never removed from the network, so they
may be delivered late, repeatedly or never. A renewal is delivered immediately or lost: it carries
an absolute time, so a late delivery would extend the lease no further. Time is a global clock in
ticks; a worker's clock may lag by `MAX_SKEW_TICKS`. An attempt that can never run again is kept in
one canonical form, which reduces the number of states.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item

LEASE_TICKS = 2  # from a renewal to the end of the lease
START_WINDOW_TICKS = 1  # from the decision to the `lease_until` of the start
MAX_SKEW_TICKS = 1  # longest lag of a worker's clock
NEVER = -1


class Attempt(NamedTuple):
    """One attempt of a task: table record, owner's state, messages and worker state."""

    task: int
    worker: int
    placer: int  # epoch that committed the placement
    dead_by: int = NEVER  # epoch that recorded the death
    confirmed_running: bool = False  # the table records that the worker runs it
    start_until: int = 0
    granted: int = 0  # end of the last lease granted by the current owner
    start_sent: bool = False
    stop_sent: bool = False
    ended_seen: bool = False  # the worker's confirmation of the end is in transit
    process: str = "unknown"  # on the worker: unknown to it, running or ended
    lease_until: int = 0  # on the worker
    ever_ran: bool = False  # recorded only with cancellations


class TasksState(NamedTuple):
    """State of one shard, its owners and workers."""

    now: int
    epoch: int
    gone_since: tuple  # per instance: tick from which the list shows it as gone, or NEVER
    attempts: tuple
    workers_gone: tuple
    restarts: int
    cancelled: tuple  # per task: "", or "stopping" or "not run" as returned to the caller


@dataclass(frozen=True)
class TasksBounds:
    """Bounds of the search."""

    tasks: int
    workers: int
    instances: int
    attempts: int
    horizon: int
    crashes: int
    worker_deaths: int
    restarts: int = 0
    cancels: bool = False


class Tasks(Specification):
    """Task attempts of one shard."""

    name = "tasks"
    covers = "placement commit, start, lease, renewal, stop, dead attempts, takeover, cancel"
    mutants = (
        Mutant(
            "version check",
            "one_running_attempt",
            "a stale owner's placement or death record is accepted",
            "takeover",
        ),
        Mutant(
            "commit before start",
            "one_running_attempt",
            "a start is sent before its placement is known to be committed",
            "takeover",
        ),
        Mutant(
            "skew in (c)",
            "one_running_attempt",
            "an attempt counts as dead at lease_until without max_clock_skew",
            "takeover",
        ),
        Mutant(
            "whole life in (c)",
            "one_running_attempt",
            "a new owner applies (c) to an adopted attempt by its own renewals alone",
            "takeover",
        ),
        Mutant(
            "worker lease expiry",
            "one_running_attempt",
            "a worker keeps a task running past its lease",
            "takeover",
        ),
        Mutant(
            "worker refuses expired start",
            "one_running_attempt",
            "a worker starts an attempt whose lease has expired",
            "takeover",
        ),
        Mutant(
            "remembered stop",
            "one_running_attempt",
            "a worker forgets the stop of an attempt that it has not started",
            "takeover",
        ),
        Mutant(
            "stop before requeue",
            "one_running_attempt",
            "a new owner takes 'not running' for dead, without a confirmed stop",
            "takeover",
        ),
        Mutant(
            "gone, not unreachable",
            "one_running_attempt",
            "an unreachable worker is treated as gone",
            "takeover",
        ),
        Mutant(
            "reservation until death",
            "within_capacity",
            "resources are free once the stop is sent",
            "capacity",
        ),
        Mutant(
            "reservation from decision",
            "within_capacity",
            "resources are reserved only once the task runs",
            "capacity",
        ),
        Mutant(
            "not run only if unplaced",
            "not_run_is_true",
            "a cancelled task that is placed but not confirmed running is told 'not run'",
            "capacity",
        ),
        Mutant(
            "skew after gone owner",
            "one_running_attempt",
            "a new owner applies (c) once the former owner is gone for a lease, without skew",
            "takeover",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "all former owners gone",
            "one_running_attempt",
            "a new owner applies (c) once the last former owner is gone, an earlier one paused",
            "two takeovers",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "worker incarnation in start",
            "one_running_attempt",
            "a confirmed end frees the task, and a resent start reaches the worker that has "
            "restarted and forgotten the attempt",
            "worker restart",
            RuleOrigin.UNSTATED,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        if deep:
            return {
                "takeover": TasksBounds(1, 2, 2, 2, 7, 1, 1),
                "two takeovers": TasksBounds(1, 2, 3, 2, 6, 2, 0),
                "worker restart": TasksBounds(1, 2, 2, 2, 5, 1, 0, restarts=2),
                "capacity": TasksBounds(2, 1, 2, 2, 5, 1, 0, cancels=True),
                "three attempts": TasksBounds(2, 1, 2, 3, 2, 0, 0, cancels=True),
            }
        return {
            "takeover": TasksBounds(1, 2, 2, 2, 5, 1, 1),
            "two takeovers": TasksBounds(1, 2, 3, 2, 4, 1, 0),
            "worker restart": TasksBounds(1, 2, 2, 2, 4, 0, 0, restarts=1),
            "capacity": TasksBounds(2, 1, 2, 2, 3, 0, 0, cancels=True),
        }

    def build_initial(self) -> TasksState:
        """Return the state with every task pending and instance 0 as the owner."""
        bounds = self.bounds
        return TasksState(
            now=0,
            epoch=0,
            gone_since=(NEVER,) * bounds.instances,
            attempts=(),
            workers_gone=(False,) * bounds.workers,
            restarts=0,
            cancelled=("",) * bounds.tasks,
        )

    def list_successors(self, state: TasksState) -> list[Step]:
        """Return the steps of the clock, the owners, the network and the workers."""
        steps: list[Step] = []
        if state.now < self.bounds.horizon:
            steps.append(("tick()", self._tick(state)))
        steps.extend(self._list_faults(state))
        for instance in range(state.epoch + 1):
            if state.gone_since[instance] == NEVER:
                steps.extend(self._list_owner_steps(state, instance))
        for index in range(len(state.attempts)):
            for label, attempt in self._list_worker_steps(state, state.attempts[index]):
                steps.append((f"{label}(attempt={index})", _set_attempt(state, index, attempt)))
        return steps

    def _tick(self, state: TasksState) -> TasksState:
        now = state.now + 1
        attempts = tuple(self._expire(attempt, now) for attempt in state.attempts)
        return state._replace(now=now, attempts=attempts)

    def _expire(self, attempt: Attempt, now: int) -> Attempt:
        if attempt.process == "running" and self.enforces("worker lease expiry"):
            return _end_attempt(attempt) if now > attempt.lease_until + MAX_SKEW_TICKS else attempt
        if attempt.process == "unknown" and self.enforces("worker refuses expired start"):
            return _end_attempt(attempt) if now > attempt.start_until + MAX_SKEW_TICKS else attempt
        return attempt

    def _list_faults(self, state: TasksState) -> Iterator[Step]:
        bounds = self.bounds
        if state.epoch + 1 < bounds.instances:
            attempts = tuple(a._replace(granted=0) for a in state.attempts)
            after_takeover = state._replace(epoch=state.epoch + 1, attempts=attempts)
            yield f"take_over(instance={after_takeover.epoch})", after_takeover
        crash_count = sum(since != NEVER for since in state.gone_since)
        for instance in range(state.epoch + 1):
            if crash_count < bounds.crashes and state.gone_since[instance] == NEVER:
                since = replace_item(state.gone_since, instance, state.now)
                yield f"crash(instance={instance})", state._replace(gone_since=since)
        for worker in range(bounds.workers):
            if state.workers_gone[worker]:
                continue
            if sum(state.workers_gone) < bounds.worker_deaths:
                workers_gone = replace_item(state.workers_gone, worker, True)
                attempts = _end_processes(state.attempts, worker)
                after_loss = state._replace(workers_gone=workers_gone, attempts=attempts)
                yield f"lose_worker(worker={worker})", after_loss
            if state.restarts < bounds.restarts:
                attempts = self._restart_worker(state.attempts, worker)
                after_restart = state._replace(restarts=state.restarts + 1, attempts=attempts)
                yield f"restart_worker(worker={worker})", after_restart

    def _restart_worker(self, attempts: tuple, worker: int) -> tuple:
        """End the attempts of a worker, which has no record of them after its restart.

        Without the rule, a resent start may run them again.
        """
        if self.enforces("worker incarnation in start"):
            return _end_processes(attempts, worker)
        return tuple(
            a._replace(process="unknown", lease_until=0, start_sent=True)
            if a.worker == worker and a.process != "unknown"
            else a
            for a in attempts
        )

    def _list_owner_steps(self, state: TasksState, instance: int) -> Iterator[Step]:
        is_current = instance == state.epoch
        if is_current or not self.enforces("version check"):
            yield from self._list_placements(state, instance)
            yield from self._list_cancels(state, instance)
        if not is_current and not self.enforces("commit before start"):
            yield from self._list_early_starts(state, instance)
        for index, attempt in enumerate(state.attempts):
            if not _is_believed_live(attempt, instance):
                continue
            arguments = f"(instance={instance}, attempt={index})"
            has_ended = attempt.process == "ended"
            if attempt.placer == instance and not attempt.start_sent and not has_ended:
                sent = attempt._replace(start_sent=True)
                yield f"send_start{arguments}", _set_attempt(state, index, sent)
            lease_until = state.now + LEASE_TICKS
            granted = lease_until if is_current else attempt.granted
            if is_current and attempt.granted < lease_until and not has_ended:
                # The owner counts the lease, but the worker does not receive the renewal.
                not_renewed = attempt._replace(granted=granted)
                yield f"renew_lost{arguments}", _set_attempt(state, index, not_renewed)
            if attempt.process == "running" and attempt.lease_until < lease_until:
                renewed = attempt._replace(lease_until=lease_until, granted=granted)
                yield f"renew{arguments}", _set_attempt(state, index, renewed)
            if not is_current:
                if not self.enforces("version check") and self._is_dead(state, instance, attempt):
                    dead = _record_death(attempt, instance)
                    yield f"record_death{arguments}", _set_attempt(state, index, dead)
                continue
            if not attempt.stop_sent and not has_ended:
                stopping = attempt._replace(stop_sent=True)
                yield f"send_stop{arguments}", _set_attempt(state, index, stopping)
            # The record is modelled only at bounds with cancellations.
            may_record_running = self.bounds.cancels and attempt.process == "running"
            if may_record_running and not attempt.confirmed_running:
                running = attempt._replace(confirmed_running=True)
                yield f"record_running{arguments}", _set_attempt(state, index, running)
            if self._is_dead(state, instance, attempt):
                dead = _record_death(attempt, instance)
                yield f"record_death{arguments}", _set_attempt(state, index, dead)

    def _list_placements(self, state: TasksState, instance: int) -> Iterator[Step]:
        bounds = self.bounds
        if len(state.attempts) >= bounds.attempts:
            return
        for task in range(bounds.tasks):
            task_attempts = [a for a in state.attempts if a.task == task]
            if state.cancelled[task] or any(_is_believed_live(a, instance) for a in task_attempts):
                continue
            for worker in range(bounds.workers):
                # The workers are interchangeable, so the first attempt is placed on worker 0.
                if not state.attempts and worker:
                    continue
                if state.workers_gone[worker] or not self._has_capacity(state, worker, instance):
                    continue
                lease_until = state.now + START_WINDOW_TICKS
                attempt = Attempt(
                    task, worker, instance, start_until=lease_until, granted=lease_until
                )
                placed = state._replace(attempts=(*state.attempts, attempt))
                yield f"place(instance={instance}, task={task}, worker={worker})", placed

    def _list_early_starts(self, state: TasksState, instance: int) -> Iterator[Step]:
        """Yield the starts that a stale owner sends although their commits will fail."""
        if len(state.attempts) >= self.bounds.attempts:
            return
        for task in range(self.bounds.tasks):
            task_attempts = [a for a in state.attempts if a.task == task]
            if any(_is_believed_live(a, instance) for a in task_attempts):
                continue
            lease_until = state.now + START_WINDOW_TICKS
            # The record never enters the table and reserves nothing, so the attempt starts dead.
            attempt = Attempt(
                task, 0, instance, dead_by=state.epoch, start_until=lease_until, start_sent=True
            )
            sent = state._replace(attempts=(*state.attempts, attempt))
            yield f"send_uncommitted_start(instance={instance}, task={task})", sent

    def _has_capacity(self, state: TasksState, worker: int, instance: int) -> bool:
        """Return whether a worker of capacity 1 has nothing reserved."""
        for attempt in state.attempts:
            if attempt.worker != worker or not _is_believed_live(attempt, instance):
                continue
            if attempt.stop_sent and not self.enforces("reservation until death"):
                continue
            if not attempt.confirmed_running and not self.enforces("reservation from decision"):
                continue
            return False
        return True

    def _list_cancels(self, state: TasksState, instance: int) -> Iterator[Step]:
        if not self.bounds.cancels:
            return
        for task in range(self.bounds.tasks):
            if state.cancelled[task]:
                continue
            task_attempts = [a for a in state.attempts if a.task == task and a.placer <= instance]
            if not self.enforces("not run only if unplaced"):
                task_attempts = [a for a in task_attempts if a.confirmed_running]
            answer = "stopping" if task_attempts else "not run"
            cancelled = replace_item(state.cancelled, task, answer)
            label = f"cancel(instance={instance}, task={task}, answer={answer})"
            yield label, state._replace(cancelled=cancelled)

    def _is_dead(self, state: TasksState, owner: int, attempt: Attempt) -> bool:
        """Return whether the owner may record the attempt as dead.

        One of three conditions must hold: (a) the worker confirmed the end, (b) the platform lists
        the worker as gone, or (c) every granted lease has expired.
        """
        # (b) The platform lists the worker as gone.
        if state.workers_gone[attempt.worker]:
            return True
        if not self.enforces("gone, not unreachable"):
            return True
        # (a) The worker confirmed the end. A start may still arrive until its lease expires.
        if attempt.ended_seen:
            is_adopted_unconfirmed = attempt.placer != owner and not attempt.confirmed_running
            if not is_adopted_unconfirmed or state.now > attempt.start_until + MAX_SKEW_TICKS:
                return True
        if not self.enforces("stop before requeue") and attempt.process == "unknown":
            return True
        # (c) Every lease that this or a former owner granted has expired.
        skew_ticks = MAX_SKEW_TICKS if self.enforces("skew in (c)") else 0
        if state.now <= attempt.granted + skew_ticks:
            return False
        if attempt.placer == owner or not self.enforces("whole life in (c)"):
            return True
        former_owners = range(attempt.placer, owner)
        if not self.enforces("all former owners gone"):
            former_owners = range(owner - 1, owner)
        gone_owner_skew_ticks = MAX_SKEW_TICKS if self.enforces("skew after gone owner") else 0
        return all(
            state.gone_since[o] != NEVER
            and state.now > state.gone_since[o] + LEASE_TICKS + gone_owner_skew_ticks
            for o in former_owners
        )

    def _list_worker_steps(
        self, state: TasksState, attempt: Attempt
    ) -> Iterator[tuple[str, Attempt]]:
        if state.workers_gone[attempt.worker]:
            return
        if attempt.process == "unknown" and attempt.start_sent:
            is_in_time = state.now <= attempt.start_until + MAX_SKEW_TICKS
            if is_in_time or not self.enforces("worker refuses expired start"):
                lease_until = attempt.start_until if is_in_time else state.now
                ever_ran = self.bounds.cancels
                yield (
                    "deliver_start",
                    attempt._replace(process="running", lease_until=lease_until, ever_ran=ever_ran),
                )
        if attempt.process == "running":
            yield "end_by_itself", _end_attempt(attempt)
        if attempt.process != "ended" and attempt.stop_sent:
            if attempt.process == "running" or self.enforces("remembered stop"):
                yield "deliver_stop", _end_attempt(attempt)._replace(ended_seen=True)
            elif not attempt.ended_seen:
                yield "deliver_stop", attempt._replace(ended_seen=True)
        # An attempt already recorded as dead needs no report of its end.
        if attempt.process == "ended" and not attempt.ended_seen and attempt.dead_by == NEVER:
            yield "report_end", attempt._replace(ended_seen=True)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariants G1, G2 and G4.

        G1: the attempts on a worker stay within its capacity, which is 1. G2: a task has at most
        one running attempt. G4: a task whose cancellation was answered 'not run' never runs.
        """
        workers = range(self.bounds.workers)

        def one_running_attempt(state: Any) -> bool:
            running = [a.task for a in state["attempts"] if a.process == "running"]
            return len(running) == len(set(running))

        def within_capacity(state: Any) -> bool:
            for worker in workers:
                worker_attempts = [a for a in state["attempts"] if a.worker == worker]
                reserved = sum(a.dead_by == NEVER for a in worker_attempts)
                running = sum(a.process == "running" for a in worker_attempts)
                if reserved > 1 or running > 1:
                    return False
            return True

        def not_run_is_true(state: Any) -> bool:
            return not any(
                a.ever_ran and state["cancelled"][a.task] == "not run" for a in state["attempts"]
            )

        return {
            "one_running_attempt": one_running_attempt,
            "within_capacity": within_capacity,
            "not_run_is_true": not_run_is_true,
        }

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that the protocol makes progress."""

        def second_attempt_runs(state: Any) -> bool:
            return len(state["attempts"]) > 1 and state["attempts"][1].process == "running"

        return {"a second attempt runs": second_attempt_runs}


def _is_believed_live(attempt: Attempt, instance: int) -> bool:
    """Return whether an instance, perhaps a former owner, believes that the attempt is live.

    A former owner knows of no attempt placed and no death recorded after its epoch.
    """
    return attempt.placer <= instance and (attempt.dead_by == NEVER or attempt.dead_by > instance)


def _set_attempt(state: TasksState, index: int, attempt: Attempt) -> TasksState:
    return state._replace(attempts=replace_item(state.attempts, index, attempt))


def _end_attempt(attempt: Attempt) -> Attempt:
    """Return an attempt that the worker never runs again, in its canonical form."""
    ended = attempt._replace(process="ended", lease_until=0, start_sent=True, stop_sent=True)
    return ended if attempt.dead_by == NEVER else _record_death(ended, attempt.dead_by)


def _record_death(attempt: Attempt, epoch: int) -> Attempt:
    """Record the death of an attempt; one that has ended keeps only its table record."""
    if attempt.process != "ended":
        return attempt._replace(dead_by=epoch, granted=0)
    return Attempt(
        attempt.task,
        attempt.worker,
        attempt.placer,
        dead_by=epoch,
        process="ended",
        ever_ran=attempt.ever_ran,
    )


def _end_processes(attempts: tuple, worker: int) -> tuple:
    return tuple(
        _end_attempt(a) if a.worker == worker and a.process != "ended" else a for a in attempts
    )
