"""A cluster in virtual time: entry instances around `reduce`, a table, workers that enforce leases.

Every external call takes effect at a later event of the same queue, so that the steps can pause
instances, lose responses and delay calls at any point. The test doubles check the invariants
themselves: after each change of a worker, no task runs twice and no worker is overcommitted.
"""

import dataclasses
import heapq
import itertools
import random

import msgspec

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core import events as ev
from lavenderhook._internal.core.identifiers import WorkloadKind
from lavenderhook._internal.core.records import (
    AnyRecord,
    AttemptReport,
    InstanceView,
    JobSpec,
    ShardSnapshot,
    WorkerView,
)
from lavenderhook._internal.core.reducer import reduce
from lavenderhook._internal.core.resources import ZERO_RESOURCES, Resources
from lavenderhook._internal.core.shard import ShardState
from lavenderhook._internal.core.state import CoreParameters, InstanceState

LATENCY_SECONDS = 0.005
RETRY_INTERVAL_SECONDS = 0.5
TIMERS = {
    "heartbeat": "heartbeat_interval",
    "platform-list": "platform_poll_interval",
    "placement": "commit_interval",
    "leases": "worker_poll_interval",
    "recovery": "worker_poll_interval",
}


class InvariantError(AssertionError):
    """An invariant of the cluster was violated."""


class SimulatedTable:
    """The shard's rows; commits are idempotent by transaction id, as in the adapter."""

    def __init__(self):
        self.version = 0
        self.head = None
        self.rows = {}
        self.snapshots = {}
        self.committed_records = []
        self.committed_state = ShardState(0)
        self.is_unavailable = False
        self.responses_to_lose = 0

    def commit(self, effect):
        """Apply a transaction; returns the version, or None on a conflict."""
        if self.head is not None and self.head.transaction_id == effect.transaction_id:
            return self.version
        if effect.expected_version != self.version:
            return None
        assert self.head is None or effect.head.next_log == self.head.next_log + 1
        self.version += 1
        self.head = effect.head
        encoded = msgspec.msgpack.encode(effect.records)
        self.rows[effect.head.next_log - 1] = encoded
        self.committed_records.extend(effect.records)
        self.committed_state.apply_all(effect.records)
        for number in effect.delete_logs:
            self.rows.pop(number, None)
        return self.version

    def read(self):
        """Return the fields of a `ShardLoaded`."""
        if self.head is None:
            return {"head": None, "version": 0, "snapshot": None, "batches": ()}
        covered = self.head.snapshot_log
        snapshot = None
        if covered:
            snapshot = msgspec.msgpack.decode(self.snapshots[covered], type=ShardSnapshot)
        decoder = msgspec.msgpack.Decoder(tuple[AnyRecord, ...])
        numbers = sorted(n for n in self.rows if n > covered)
        batches = tuple(decoder.decode(self.rows[n]) for n in numbers)
        return {
            "head": self.head,
            "version": self.version,
            "snapshot": snapshot,
            "batches": batches,
        }


@dataclasses.dataclass
class SimulatedAttempt:
    """An attempt on a worker."""

    task_id: str
    resources: Resources
    lease_until: float
    ends_at: float
    state: str = "running"
    reason: str = ""


class SimulatedWorker:
    """A worker that enforces leases and can be made to fail every start.

    It refuses the start of a stopped attempt and a start whose lease has expired.
    """

    def __init__(self, cluster, view):
        self.cluster = cluster
        self.view = view
        # Running tasks go on when the capacity in `view` is reduced.
        self.initial_capacity = view.capacity
        self.attempts = {}
        self.stopped = set()
        self.is_reachable = True
        self.fails_starts = False
        self.starts = 0

    def start(self, starts):
        """Start attempts, idempotently by id."""
        return [self._start(start) for start in starts]

    def _start(self, start):
        attempt_id = start.attempt_id
        if attempt_id in self.attempts:
            return self._report(attempt_id)
        if attempt_id in self.stopped:
            return AttemptReport(attempt_id=attempt_id, state="refused", reason="stopped")
        if self.cluster.now >= start.lease_until:
            return AttemptReport(attempt_id=attempt_id, state="refused", reason="lease-expired")
        self.starts += 1
        self.cluster.started_tasks.add(start.task_id)
        self.cluster.start_times.setdefault(start.task_id, []).append(self.cluster.now)
        run_seconds = float(str(start.command.get("run_seconds", "inf")))
        ends_at = self.cluster.now + run_seconds if start.kind != "service" else float("inf")
        task = SimulatedAttempt(start.task_id, start.resources, start.lease_until, ends_at)
        if self.fails_starts:
            task.state = "failed"
        self.attempts[attempt_id] = task
        self.cluster.check_invariants()
        return self._report(attempt_id)

    def _report(self, attempt_id):
        task = self.attempts[attempt_id]
        address = f"{self.view.worker_id}:{attempt_id}" if task.state == "running" else ""
        return AttemptReport(
            attempt_id=attempt_id, state=task.state, reason=task.reason, address=address
        )

    def renew(self, attempts, lease_until):
        """Extend leases; returns (renewed, unknown)."""
        known = [a for a in attempts if self.is_running(a)]
        for attempt in known:
            task = self.attempts[attempt]
            task.lease_until = max(task.lease_until, lease_until)
        return known, [a for a in attempts if a not in known]

    def is_running(self, attempt_id):
        """Return whether an attempt runs on this worker."""
        task = self.attempts.get(attempt_id)
        return task is not None and task.state == "running"

    def stop(self, attempts):
        """Stop attempts and refuse their later starts."""
        reports = []
        for attempt_id in attempts:
            self.stopped.add(attempt_id)
            if self.is_running(attempt_id):
                self.attempts[attempt_id].state = "stopped"
            if attempt_id in self.attempts:
                reports.append(self._report(attempt_id))
            else:
                reports.append(AttemptReport(attempt_id=attempt_id, state="stopped"))
        return reports

    def delete_ended(self, attempts):
        """Delete ended attempts."""
        for attempt_id in attempts:
            if attempt_id in self.attempts and not self.is_running(attempt_id):
                del self.attempts[attempt_id]

    def list_attempts(self):
        """Return a report of every attempt."""
        return [self._report(attempt_id) for attempt_id in self.attempts]

    def advance(self, now):
        """End tasks whose run time or lease has passed."""
        for task in self.attempts.values():
            if task.state != "running":
                continue
            if now >= task.lease_until:
                task.state, task.reason = "stopped", "lease-expired"
            elif now >= task.ends_at:
                task.state = "done"


class SimulatedInstance:
    """An entry instance around the reducer."""

    def __init__(self, cluster, name, generation=1, parameters=None):
        self.cluster = cluster
        self.name = name
        self.is_paused = False
        self.is_killed = False
        self.is_connected = True
        self.drops_worker_reports = False
        self.inbox = []
        self.delayed_effects = []
        self.delayed_effect_types = ()
        self.state = InstanceState(
            name=name,
            incarnation=f"{name}-{generation}",
            availability_zone="zone-a",
            address=f"{name}:1",
            parameters=parameters or CoreParameters(),
            generator=random.Random(7),
        )
        self.state.configuration.has_read_version = True

    def deliver(self, event_type, **fields):
        """Pass an event to the reducer, now or when the pause ends."""
        if self.is_killed or (self.drops_worker_reports and event_type is ev.AttemptsReported):
            return
        if self.is_paused:
            self.inbox.append((event_type, fields))
            return
        event = event_type(now=self.cluster.now, **fields)
        for effect in reduce(self.state, event):
            if isinstance(effect, self.delayed_effect_types):
                self.delayed_effects.append(effect)
            else:
                self.cluster.execute_effect(self, effect)

    def resume(self):
        """Deliver what arrived during the pause."""
        self.is_paused = False
        inbox, self.inbox = self.inbox, []
        for event_type, fields in inbox:
            self.deliver(event_type, **fields)

    def execute_delayed_effects(self):
        """Execute the delayed effects, as a process does after a pause."""
        self.delayed_effect_types = ()
        delayed_effects, self.delayed_effects = self.delayed_effects, []
        for effect in delayed_effects:
            self.cluster.execute_effect(self, effect)

    def get_ownership(self):
        """Return the instance's view of shard 0."""
        return self.state.ownerships.get(0)


class SimulatedCluster:
    """Entry instances, workers, a table and the calls among them in virtual time."""

    def __init__(self, **parameters):
        self.now = 1000.0
        self.scheduled_calls = []
        self.call_numbers = itertools.count()
        self.tickets = itertools.count(1)
        self.table = SimulatedTable()
        self.instances = {}
        self.workers = {}
        self.listed_instances = {}
        self.started_tasks = set()
        self.start_times = {}
        self.operations = {}
        self.deliver_forwarded_operations = False
        self.platform_list_delay_seconds = 0.0
        self.unreadable_entries = set()  # ids in the platform's list
        self.changes = []
        self.answers = {}
        self.log = []
        self.parameters = CoreParameters(**parameters)

    # Time

    def schedule(self, delay, call):
        """Call a function after `delay` seconds."""
        heapq.heappush(self.scheduled_calls, (self.now + delay, next(self.call_numbers), call))

    def run(self, seconds):
        """Advance the virtual time."""
        end = self.now + seconds
        while self.scheduled_calls and self.scheduled_calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self.scheduled_calls)
            self._advance_workers()
            call()
        self.now = end
        self._advance_workers()

    def run_until(self, condition, seconds=60.0):
        """Advance the virtual time until a condition holds; fails after `seconds`."""
        end = self.now + seconds
        while not condition():
            if self.now >= end:
                raise AssertionError("the condition did not become true in time")
            self.run(0.05)

    def _advance_workers(self):
        for worker in self.workers.values():
            worker.advance(self.now)

    # Set-up

    def add_worker(self, name, processors=4000, memory_mb=8192, rack="rack-1", **labels):
        """Add a worker to the platform."""
        view = WorkerView(
            worker_id=name,
            address=f"{name}:1",
            availability_zone="zone-a",
            rack=rack,
            capacity=Resources(processors, memory_mb),
            labels=labels,
        )
        self.workers[name] = SimulatedWorker(self, view)
        return self.workers[name]

    def remove_worker(self, name):
        """Remove a worker: it no longer exists nor appears in the platform's list."""
        del self.workers[name]

    def add_instance(self, name, generation=1):
        """Start an entry instance."""
        instance = SimulatedInstance(self, name, generation, self.parameters)
        self.instances[name] = instance
        self.listed_instances[name] = instance
        self._send_configuration(instance)
        for offset, (timer, attribute) in enumerate(TIMERS.items()):
            interval = getattr(self.parameters, attribute)
            self.schedule(
                0.001 * (offset + 1), lambda t=timer, i=interval: self._tick(instance, t, i)
            )
        return instance

    def _tick(self, instance, timer, interval):
        if instance.is_killed:
            return
        if not instance.is_paused:
            instance.deliver(ev.TimerFired, name=timer)
        self.schedule(interval, lambda: self._tick(instance, timer, interval))

    def kill(self, name, *, listed=False):
        """End a process; `listed` keeps it in the platform's list."""
        self.instances[name].is_killed = True
        if not listed:
            del self.listed_instances[name]

    def find_owner(self):
        """Return the instance that the head row names and that regards itself as owner, or None."""
        for instance in self.instances.values():
            head = self.table.head
            owns = head is not None and head.owner == instance.state.incarnation
            if owns and not instance.is_killed and instance.get_ownership().is_owned():
                return instance
        return None

    # Operations

    def configure(self, puts, deletes=()):
        """Send a configuration change to all instances."""
        version = len(self.changes) + 1
        change = ev.ConfigurationChange(
            version=version,
            change_id=f"change-{version}",
            author="operator",
            at=self.now,
            puts=tuple(puts),
            deletes=deletes,
        )
        self.changes.append(change)
        for instance in self.instances.values():
            self._send_configuration(instance)

    def _send_configuration(self, instance):
        instance.deliver(
            ev.ConfigurationReceived,
            changes=tuple(self.changes),
            complete=True,
            from_table=True,
            head=len(self.changes),
        )

    def submit(self, instance, job_id, **fields):
        """Submit a job and return the ticket."""
        values = {
            "kind": WorkloadKind.BATCH,
            "name": "proofs",
            "caller": "engraver",
            "team": "printing",
            "labels": {},
            "resources": Resources(1000, 512),
            "count": 1,
            "run_seconds": 30.0,
            **fields,
        }
        return self._operate(instance, ev.JobSubmitted, job=JobSpec(job_id=job_id, **values))

    def cancel(self, instance, job_id, team="printing"):
        """Cancel a job and return the ticket."""
        return self._operate(
            instance, ev.JobCancelRequested, job_id=job_id, caller="engraver", team=team
        )

    def query(self, instance, kind, key="", team=None):
        """Query a view and return the answer."""
        ticket = self._operate(
            instance,
            ev.QueryReceived,
            kind=ev.QueryKind(kind),
            key=key,
            caller="engraver",
            team=team,
        )
        return self.answers[ticket]

    # Effects

    def execute_effect(self, instance, effect):
        """Execute an effect as the adapters do."""
        handler = _EFFECTS.get(type(effect))
        if handler is not None:
            handler(self, instance, effect)
        elif isinstance(effect, fx.ForwardOperation) and self.deliver_forwarded_operations:
            self._forward(effect)
        elif hasattr(effect, "ticket"):
            self.answers[effect.ticket] = effect
        elif isinstance(effect, fx.LogDecision):
            self.log.append((self.now, instance.name, effect.decision, effect.fields))

    def _forward(self, effect):
        peer = next(n for n in self.instances.values() if n.state.address == effect.address)
        event_type, fields = self.operations[effect.ticket]
        self.schedule(LATENCY_SECONDS, lambda: peer.deliver(event_type, forwarded=True, **fields))

    def _operate(self, instance, event_type, **fields):
        """Send an operation to an instance and return its ticket."""
        ticket = next(self.tickets)
        self.operations[ticket] = (event_type, {"ticket": ticket, **fields})
        instance.deliver(event_type, **self.operations[ticket][1])
        return ticket

    def _send_heartbeat(self, instance, effect):
        for peer in self.instances.values():
            reachable = peer is not instance and peer.is_connected and instance.is_connected
            if peer.state.address in effect.addresses and reachable:
                self.schedule(LATENCY_SECONDS, lambda p=peer: self._deliver_heartbeat(p, effect))

    def _deliver_heartbeat(self, peer, effect):
        if not peer.is_paused:
            peer.deliver(ev.HeartbeatReceived, digest=effect.digest, members=effect.members)

    def _list_platform(self, instance, effect):
        instances = tuple(
            InstanceView(
                name=n.name,
                incarnation=n.state.incarnation,
                address=n.state.address,
                availability_zone="zone-a",
            )
            for n in self.listed_instances.values()
        )
        unreadable = tuple(sorted(self.unreadable_entries))
        workers = tuple(
            worker.view
            for worker in self.workers.values()
            if worker.view.worker_id not in self.unreadable_entries
        )
        self.schedule(
            self.platform_list_delay_seconds,
            lambda: instance.deliver(
                ev.PlatformListed, instances=instances, workers=workers, unreadable=unreadable
            ),
        )

    def _load_shard(self, instance, effect):
        def answer():
            if self.table.is_unavailable:
                instance.deliver(ev.ShardLoadFailed, shard=effect.shard)
            else:
                instance.deliver(ev.ShardLoaded, shard=effect.shard, **self.table.read())

        self.schedule(LATENCY_SECONDS, answer)

    def _commit_shard(self, instance, effect):
        self.schedule(LATENCY_SECONDS, lambda: self._try_commit(instance, effect))

    def _try_commit(self, instance, effect):
        if instance.is_killed:
            return
        fields = {"shard": effect.shard, "transaction_id": effect.transaction_id}
        if self.table.is_unavailable or instance.is_paused:
            instance.deliver(ev.CommitDelayed, **fields)
            self.schedule(RETRY_INTERVAL_SECONDS, lambda: self._try_commit(instance, effect))
            return
        version = self.table.commit(effect)
        self.check_reservations()
        if version is not None and self.table.responses_to_lose > 0:
            self.table.responses_to_lose -= 1
            instance.deliver(ev.CommitDelayed, **fields)
            self.schedule(RETRY_INTERVAL_SECONDS, lambda: self._try_commit(instance, effect))
        elif version is None:
            instance.deliver(ev.CommitConflicted, **fields)
        else:
            instance.deliver(ev.CommitSucceeded, version=version, **fields)

    def _store_snapshot(self, instance, effect):
        snapshot = effect.snapshot
        self.table.snapshots[snapshot.log_number] = msgspec.msgpack.encode(snapshot)
        instance.deliver(ev.SnapshotStored, shard=snapshot.shard, log_number=snapshot.log_number)

    def _call_worker(self, instance, effect, operation, attempts, call):
        """Call a worker and deliver its response; a call to an unreachable one fails later."""

        def answer():
            worker = self.workers.get(effect.worker_id)
            if worker is None or not worker.is_reachable:
                self.schedule(
                    0.5,
                    lambda: instance.deliver(
                        ev.WorkerUnreachable,
                        worker_id=effect.worker_id,
                        attempts=attempts,
                        operation=operation,
                    ),
                )
            else:
                call(worker)

        self.schedule(LATENCY_SECONDS, answer)

    def _report(self, instance, effect, reports, *, complete, requested_at):
        instance.deliver(
            ev.AttemptsReported,
            worker_id=effect.worker_id,
            reports=tuple(reports),
            complete=complete,
            requested_at=requested_at,
        )

    def _start_tasks(self, instance, effect):
        sent_at = self.now
        ids = tuple(start.attempt_id for start in effect.starts)

        def call(worker):
            reports = worker.start(effect.starts)
            self._report(instance, effect, reports, complete=False, requested_at=sent_at)

        self._call_worker(instance, effect, "start", ids, call)

    def _stop_tasks(self, instance, effect):
        sent_at = self.now

        def call(worker):
            reports = worker.stop(effect.attempts)
            self._report(instance, effect, reports, complete=False, requested_at=sent_at)

        self._call_worker(instance, effect, "stop", effect.attempts, call)

    def _poll_worker(self, instance, effect):
        sent_at = self.now

        def call(worker):
            reports = worker.list_attempts()
            self._report(instance, effect, reports, complete=True, requested_at=sent_at)

        self._call_worker(instance, effect, "poll", (), call)

    def _renew_leases(self, instance, effect):
        def call(worker):
            renewed, unknown = worker.renew(effect.attempts, effect.lease_until)
            instance.deliver(
                ev.LeasesRenewed,
                worker_id=effect.worker_id,
                attempts=tuple(renewed),
                unknown=tuple(unknown),
            )

        self._call_worker(instance, effect, "renew", effect.attempts, call)

    def _forget_tasks(self, instance, effect):
        self._call_worker(
            instance, effect, "forget", effect.attempts, lambda w: w.delete_ended(effect.attempts)
        )

    # Invariants

    def list_running(self):
        """Return (worker, attempt id, task) of every running attempt."""
        return [
            (worker, attempt_id, task)
            for worker in self.workers.values()
            for attempt_id, task in worker.attempts.items()
            if task.state == "running"
        ]

    def count_running(self, job_id):
        """Return how many tasks of a job run."""
        prefix = f"{job_id}."
        return sum(1 for _, _, task in self.list_running() if task.task_id.startswith(prefix))

    def check_reservations(self):
        """Check that the committed reservations fit every worker."""
        for worker in self.workers.values():
            reserved = self.table.committed_state.get_reserved(worker.view.worker_id)
            if not reserved.fits(worker.initial_capacity):
                raise InvariantError(f"{worker.view.worker_id} has {reserved} reserved")

    def check_invariants(self):
        """Check that no task runs twice at once and that no worker runs more than its capacity."""
        seen = {}
        for _, attempt_id, task in self.list_running():
            if task.task_id in seen:
                raise InvariantError(
                    f"task {task.task_id} runs as {seen[task.task_id]} and {attempt_id}"
                )
            seen[task.task_id] = attempt_id
        for worker in self.workers.values():
            running = [t.resources for t in worker.attempts.values() if t.state == "running"]
            used = sum(running, start=ZERO_RESOURCES)
            if not used.fits(worker.initial_capacity):
                raise InvariantError(f"{worker.view.worker_id} runs {used}")


_EFFECTS = {
    fx.SendHeartbeat: SimulatedCluster._send_heartbeat,
    fx.ListPlatform: SimulatedCluster._list_platform,
    fx.LoadShard: SimulatedCluster._load_shard,
    fx.CommitShard: SimulatedCluster._commit_shard,
    fx.StoreSnapshot: SimulatedCluster._store_snapshot,
    fx.StartTasks: SimulatedCluster._start_tasks,
    fx.StopTasks: SimulatedCluster._stop_tasks,
    fx.PollWorker: SimulatedCluster._poll_worker,
    fx.RenewLeases: SimulatedCluster._renew_leases,
    fx.ForgetTasks: SimulatedCluster._forget_tasks,
}
