"""Commands that show the state of the cluster: instances, workers, queue, summary, explain."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from cleo.helpers import argument

from ...errors import InvalidArgumentError, ReportedError
from .client import Client
from .command import SHARD_OPTION, ConnectedCommand
from .tables import render_table

WAIT_HEADERS = ("task", "state", "waits for", "detail", "worker", "failures", "reason")


class InstancesCommand(ConnectedCommand):
    """Show the entry instances."""

    name = "instances"
    description = "Shows the entry instances known to the instance that responds."
    help = """Shows every entry instance known to the instance that responds, with the configuration
version of each.

States: alive, suspect (by default 1 s without a heartbeat), failed (by default 1.5 s, and another
instance suspects it too, if one is alive), leaving, gone (not in the platform's list). An instance
whose version stays behind for more than a few seconds needs attention."""

    def execute_command(self) -> None:
        """Print the instances."""
        view = self.connect().fetch("/operator/v1/instances")
        names = ("name", "address", "availability_zone", "state", "configuration_version")
        rows = [
            [*(entry[name] for name in names), entry["incarnation"]] for entry in view["instances"]
        ]
        self.show(view, ("name", "address", "zone", "state", "version", "incarnation"), rows)


class _ShardCommand(ConnectedCommand):
    own_options = [SHARD_OPTION]

    def _fetch_shards(self, view: str) -> list[Any]:
        """Return the views of the chosen shard, or of all shards.

        The number of shards is a setting of the daemon and is not known here; the first shard that
        does not exist is refused, which ends the list.
        """
        client = self.connect()
        chosen = self.read_number("shard")
        if chosen is not None:
            return [client.fetch(f"/operator/v1/{view}/shard:{chosen}")]
        found = [client.fetch(f"/operator/v1/{view}/shard:0")]
        while True:
            try:
                found.append(client.fetch(f"/operator/v1/{view}/shard:{len(found)}"))
            except ReportedError as error:
                if error.code != InvalidArgumentError.code:
                    raise
                return found

    def _show_entries(self, view: str, name: str, headers: Any, build_row: Any) -> None:
        shards = self._fetch_shards(view)
        entries = [{"shard": n, **e} for n, shard in enumerate(shards) for e in shard[name]]
        chosen = self.read_number("shard")
        if chosen is not None:
            entries = [{**entry, "shard": chosen} for entry in entries]
        self.show({name: entries}, headers, [build_row(entry) for entry in entries])
        if any(shard.get("truncated") for shard in shards):
            self.print_note("note: more entries are not shown")


class WorkersCommand(_ShardCommand):
    """Show the workers."""

    name = "workers"
    description = "Shows the workers, their reserved resources and whether they receive work."
    help = """Shows each worker: reserved and total resources (processors in thousandths), running
attempts, and why it receives no work: draining (set by an operator's worker-labels, or leaving
according to the platform), ejected (its starts fail), or unreachable."""

    def execute_command(self) -> None:
        """Print the workers."""
        headers = ("worker", "zone", "rack", "processors", "memory_mb", "accelerators", "attempts")
        self._show_entries("workers", "workers", (*headers, "state"), _build_worker_row)


def _build_worker_row(entry: Any) -> list[object]:
    reserved, capacity = entry["reserved"], entry["capacity"]
    amounts = [
        f"{reserved.get(name, 0)}/{capacity.get(name, 0)}"
        for name in ("processors", "memory_mb", "accelerators")
    ]
    flags = [name for name in ("draining", "ejected") if entry.get(name)]
    if entry.get("unreachable_since") is not None:
        flags.append("unreachable")
    if not entry.get("listed", True):
        flags.append("unlisted")
    location = (entry["worker"], entry["availability_zone"], entry["rack"])
    return [*location, *amounts, entry["attempts"], flags or "open"]


class QueueCommand(_ShardCommand):
    """Show the waiting tasks."""

    name = "queue"
    description = "Shows the waiting tasks, longest first, and the reason for each."
    help = """Shows the tasks that wait to be placed, with the seconds that each has waited and the
reason. See the help of explain for the reasons."""

    def execute_command(self) -> None:
        """Print the queue."""
        headers = ("task", "team", "waiting_s", "waits for", "detail")
        self._show_entries("queue", "tasks", headers, _build_queue_row)


def _build_queue_row(entry: Any) -> list[object]:
    reason = entry["reason"] or {}
    waiting = float(entry["waiting_seconds"])
    return [entry["task"], entry["team"], waiting, reason.get("code"), reason.get("detail")]


class SummaryCommand(_ShardCommand):
    """Show totals of each shard."""

    name = "summary"
    description = "Shows totals of each shard: jobs, tasks, reserved resources, owner."
    help = """Shows for each shard the number of jobs and tasks in each state, the reserved
resources, the capacity, the owning instance, and whether the store delays its placements."""

    def execute_command(self) -> None:
        """Print the totals."""
        shards = self._fetch_shards("summary")
        names = ("shard", "jobs", "tasks", "reserved", "capacity", "owner", "store_delayed")
        rows = [[shard.get(name) for name in names] for shard in shards]
        self.show({"shards": shards}, names, rows)


class ExplainCommand(ConnectedCommand):
    """Explain why a job or task waits."""

    name = "explain"
    description = "Explains why a job or task waits or did not succeed."
    help = """Explains what each waiting task of a job waits for, or one task given as JOB/INDEX.

  lavenderhook explain certificates-2026-12
  lavenderhook explain certificates-2026-12/3

Reasons: turn (fits, waits for its turn), no-room (the matching workers are full), quota (the team
has reached its share), gang-reserved (workers are reserved for its gang), back-off (a failed
task is retried later), no-eligible-worker (no worker matches the selectors), too-large,
gang-too-large, store-unavailable (no placements until the store is available again).

A job that was refused at submission is not stored: the reason is in the response to submit, which
may be repeated, and in the log line job-refused."""
    arguments = [argument("job", "Id of the job, or JOB/INDEX.")]

    def execute_command(self) -> None:
        """Print the explanation."""
        client = self.connect()
        job = self.argument("job")
        view = client.fetch(f"/operator/v1/explain/{quote(job, safe='/')}")
        if self.is_json:
            self.print_json(view)
            return
        self.print_lines([f"job {view['job']} is {view['state']}"])
        tasks = view["tasks"]
        if not tasks:
            self.print_lines(["no task waits"])
            tasks = self._fetch_failed_tasks(client, view["job"])
        if tasks:
            self.print_lines(render_table(WAIT_HEADERS, [_build_wait_row(t) for t in tasks]))

    def _fetch_failed_tasks(self, client: Client, job: str) -> list[Any]:
        view = client.fetch(f"/operator/v1/jobs/{quote(job, safe='')}")
        return [task for task in view["tasks"] if task["failures"] or task["reason"]]


def _build_wait_row(task: Any) -> list[object]:
    reason = task.get("waits_for") or {}
    return [
        task["task"],
        task["state"],
        reason.get("code"),
        reason.get("detail"),
        task.get("worker"),
        task["failures"],
        task["reason"],
    ]
