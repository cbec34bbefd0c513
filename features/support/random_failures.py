"""Two owners of one shard under random pauses, lost responses, late starts and takeovers."""

import msgspec
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core.declarations import WorkerLabels, Workload
from lavenderhook._internal.core.identifiers import TaskState, WorkloadKind
from lavenderhook._internal.core.records import AnyRecord
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.shard import ShardState

from .cluster import InvariantError, SimulatedCluster

INSTANCES = 2
WORKERS = 2
ACTIONS = (
    "submit",
    "submit",
    "submit",
    "submit",
    "submit-gang",
    "submit-gang",
    "cancel",
    "cancel",
    "pause",
    "resume",
    "hold-starts",
    "release-starts",
    "lose-answer",
    "store-down",
    "store-up",
    "cut-worker",
    "heal-worker",
    "replace-worker",
    "fail-worker",
    "replace-node",
    "cut-node",
    "heal-node",
    "resize-service",
    "change-service",
    "drain-worker",
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, 5),
        st.sampled_from((0.01, 0.1, 0.7, 2.5, 9.0, 9.0)),
    ),
    min_size=4,
    max_size=40,
)


class RandomCell:
    """A simulated cluster to which random actions are applied."""

    def __init__(self):
        self.cluster = SimulatedCluster(
            commit_interval=0.1, snapshot_every=6, ended_job_retention=1e9
        )
        self.cluster.deliver_forwarded_operations = True
        self.cluster.platform_list_delay_seconds = 1.5
        self.worker_count = 0
        self.generation = 1
        self.submitted = {}
        self.cancelled = {}
        for _ in range(WORKERS):
            self._add_worker()
        for number in range(INSTANCES):
            self.cluster.add_instance(f"node-{number}")
        self.service = Workload(
            name="desk", type=WorkloadKind.SERVICE, resources=Resources(500, 64), count=2
        )
        self.cluster.configure([self.service])
        self.cluster.run(4.0)
        self._do_submit(5)
        self.cluster.run(1.0)

    def _add_worker(self):
        self.worker_count += 1
        self.cluster.add_worker(f"worker-{self.worker_count}", processors=3000)

    def act(self, action, number, seconds):
        """Apply one action and advance the virtual time."""
        getattr(self, "_do_" + action.replace("-", "_"))(number)
        self.cluster.run(seconds)

    def _get_instance(self, number):
        return list(self.cluster.instances.values())[number % INSTANCES]

    def _get_worker(self, number):
        return list(self.cluster.workers.values())[number % WORKERS]

    def _do_submit(self, number, kind=WorkloadKind.BATCH):
        job_id = f"job-{len(self.submitted)}"
        fields = {"count": 1 + number % 4, "run_seconds": 2.0 + 10.0 * number, "kind": kind}
        ticket = self.cluster.submit(self._get_instance(number), job_id, **fields)
        self.submitted[ticket] = (job_id, fields)

    def _do_submit_gang(self, number):
        self._do_submit(number, WorkloadKind.GANG)

    def _do_cancel(self, number):
        if self.submitted:
            job_id, _ = list(self.submitted.values())[number % len(self.submitted)]
            self.cancelled[self.cluster.cancel(self._get_instance(number), job_id)] = job_id

    def _do_resize_service(self, number):
        self.service = msgspec.structs.replace(self.service, count=number % 4 + 1)
        self.cluster.configure([self.service])

    def _do_change_service(self, number):
        resources = Resources(200 + 100 * number, 64)
        self.service = msgspec.structs.replace(self.service, resources=resources)
        self.cluster.configure([self.service])

    def _do_drain_worker(self, number):
        worker_id = self._get_worker(number).view.worker_id
        self.cluster.configure([WorkerLabels(name=worker_id, drain=number < 3)])

    def _do_pause(self, number):
        self._get_instance(number).is_paused = True

    def _do_resume(self, number):
        self._get_instance(number).resume()

    def _do_hold_starts(self, number):
        self._get_instance(number).delayed_effect_types = (fx.StartTasks, fx.RenewLeases)

    def _do_release_starts(self, number):
        self._get_instance(number).execute_delayed_effects()

    def _do_lose_answer(self, number):
        self.cluster.table.responses_to_lose = 1 + number % 2

    def _do_store_down(self, number):
        self.cluster.table.is_unavailable = True

    def _do_store_up(self, number):
        self.cluster.table.is_unavailable = False

    def _do_cut_worker(self, number):
        self._get_worker(number).is_reachable = False

    def _do_heal_worker(self, number):
        self._get_worker(number).is_reachable = True

    def _do_fail_worker(self, number):
        self._get_worker(number).fails_starts = number % 2 == 0

    def _do_replace_worker(self, number):
        self.cluster.remove_worker(self._get_worker(number).view.worker_id)
        self._add_worker()

    def _do_replace_node(self, number):
        name = self._get_instance(number).name
        self.cluster.kill(name)
        self.generation += 1
        self.cluster.add_instance(name, self.generation)

    def _do_cut_node(self, number):
        self._get_instance(number).is_connected = False

    def _do_heal_node(self, number):
        self._get_instance(number).is_connected = True

    def heal(self):
        """End all faults and wait until every batch job has ended and the service has converged."""
        for number in range(INSTANCES):
            self._do_resume(number)
            self._do_release_starts(number)
            self._do_heal_node(number)
        for number in range(WORKERS):
            self._do_heal_worker(number)
            self._do_fail_worker(1)
            self._get_worker(number).fails_starts = False
            self.cluster.configure([WorkerLabels(name=self._get_worker(number).view.worker_id)])
        self._do_store_up(0)
        self.cluster.table.responses_to_lose = 0
        self.cluster.run_until(self._is_settled, seconds=900.0)

    def _is_settled(self):
        jobs = self.cluster.table.committed_state.jobs.values()
        batch = [job for job in jobs if job.spec.kind is not WorkloadKind.SERVICE]
        ended = all(job.ended_at is not None for job in batch)
        return self.cluster.find_owner() and ended and self._is_service_converged()

    def _is_service_converged(self):
        running = [
            task.resources
            for _, _, task in self.cluster.list_running()
            if task.task_id.startswith("service.desk.")
        ]
        return running == [self.service.resources] * self.service.count

    def check_results(self):
        """Check that nothing durable was lost and that all answers were correct."""
        jobs = self.cluster.table.committed_state.jobs
        cancelled = set(self.cancelled.values())
        for ticket, (job_id, fields) in self.submitted.items():
            if not isinstance(self.cluster.answers.get(ticket), fx.AnswerSubmission):
                continue
            if job_id not in jobs:
                raise InvariantError(f"{job_id} was accepted but is not in the committed state")
            states = [task.state for task in jobs[job_id].tasks.values()]
            if len(states) != fields["count"]:
                raise InvariantError(f"{job_id} has {len(states)} tasks")
            if job_id not in cancelled and TaskState.CANCELLED in states:
                is_gang = fields["kind"] is WorkloadKind.GANG
                if not (is_gang and TaskState.FAILED in states):
                    raise InvariantError(f"a task of {job_id} was lost")
        self._check_cancellations()
        self._check_snapshot()

    def _check_cancellations(self):
        for ticket, job_id in self.cancelled.items():
            answer = self.cluster.answers.get(ticket)
            if not isinstance(answer, fx.AnswerCancellation):
                continue
            started = [t for t in self.cluster.started_tasks if t.startswith(f"{job_id}.")]
            total = answer.not_run + answer.stopping + answer.ended
            if len(started) > total - answer.not_run:
                raise InvariantError(f"tasks of {job_id} ran that were reported as not run")

    def _check_snapshot(self):
        """Check that applying a snapshot of the state rebuilds it exactly."""
        state = self.cluster.table.committed_state
        encoded = msgspec.msgpack.encode(state.build_records())
        copy = ShardState(state.shard)
        copy.apply_all(msgspec.msgpack.decode(encoded, type=tuple[AnyRecord, ...]))
        if (copy.jobs, copy.tasks, copy.attempts) != (state.jobs, state.tasks, state.attempts):
            raise InvariantError("a snapshot does not rebuild the state")


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)
@given(STEPS)
def check_random_failures(steps):
    """Apply random actions, heal the cell and check the results."""
    cell = RandomCell()
    for step in steps:
        cell.act(*step)
    cell.heal()
    cell.check_results()
