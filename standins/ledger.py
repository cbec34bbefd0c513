"""Ledger of what ran on the platform, used by tests to check invariants."""

import time
from collections import Counter, defaultdict


class Ledger:
    """Events recorded by all stand-ins of one platform.

    Times are wall-clock seconds.

    Parameters
    ----------
    record_executions : bool
        Whether to keep each execution; they are counted in either case.
    """

    def __init__(self, record_executions=True):
        self.record_executions = record_executions
        self.attempts = {}
        self.running_by_task = defaultdict(dict)
        self.clear()

    def clear(self):
        """Discard past events, except the records of running attempts."""
        self.overcommit = []
        self.overlaps = []
        self.while_leaving = []
        self.executions = []
        self.counts = Counter()
        self.table_commits = []
        self.done = Counter()
        self.attempts = {
            attempt: entry for attempt, entry in self.attempts.items() if entry["end"] is None
        }

    def record_start(self, attempt, task, job, worker):
        """Record the start of an attempt and any overlap with other attempts of its task."""
        now = time.time()
        self.counts["starts"] += 1
        self.attempts[attempt] = {
            "attempt": attempt,
            "task": task,
            "job": job,
            "worker": worker,
            "start": now,
            "end": None,
            "state": "running",
        }
        active_attempts = self.running_by_task[task]
        if active_attempts:
            self.overlaps.append(
                {
                    "task": task,
                    "attempt": attempt,
                    "worker": worker,
                    "with": dict(active_attempts),
                    "at": now,
                }
            )
        active_attempts[attempt] = worker

    def record_end(self, attempt, state, reason):
        """Record the end of an attempt."""
        entry = self.attempts[attempt]
        entry.update(end=time.time(), state=state, reason=reason)
        self.counts[state] += 1
        if state == "done":
            self.done[entry["task"]] += 1
        active_attempts = self.running_by_task[entry["task"]]
        active_attempts.pop(attempt, None)
        if not active_attempts:
            del self.running_by_task[entry["task"]]

    def record_execution(self, entry):
        """Record that an upstream executes a request; the entry is completed when it ends."""
        self.counts["executions"] += 1
        if self.record_executions:
            self.executions.append(entry)

    def record_while_leaving(self, worker, request, began_at):
        """Record that an upstream received a request after its worker began to leave."""
        self.counts["requests_while_leaving"] += 1
        self.while_leaving.append(
            {
                "worker": worker,
                "request": request.headers.get("lavenderhook-request-id", ""),
                "instance": request.client,
                "seconds_after": time.time() - began_at,
            }
        )

    def record_refusal(self, reason):
        """Count a start that a worker refused."""
        self.counts["refused"] += 1
        self.counts[f"refused:{reason}"] += 1

    def record_overcommit(self, worker, resource, used, capacity, attempts):
        """Record that the use of a resource exceeds its capacity."""
        self.overcommit.append(
            {
                "worker": worker,
                "resource": resource,
                "used": used,
                "capacity": capacity,
                "attempts": attempts,
                "at": time.time(),
            }
        )

    def describe(self, sections=()):
        """Return the ledger as JSON values.

        Parameters
        ----------
        sections : iterable of str
            Names of the sections to return; empty for all.
        """
        by_request = defaultdict(list)
        for execution in self.executions:
            by_request[f"{execution['caller']}/{execution['request']}"].append(execution)
        all_sections = {
            "overcommit": self.overcommit,
            "overlaps": self.overlaps,
            "while_leaving": self.while_leaving,
            "attempts": list(self.attempts.values()),
            "running": {
                task: dict(active_attempts)
                for task, active_attempts in self.running_by_task.items()
            },
            "executions": by_request,
            "repeated_non_idempotent": [
                key
                for key, entries in by_request.items()
                if sum(not entry["idempotent"] for entry in entries) > 1
            ],
            "done": dict(self.done),
            "done_twice": [task for task, times in self.done.items() if times > 1],
            "counts": dict(self.counts),
            "table_commits": self.table_commits,
        }
        selected = set(sections) or set(all_sections)
        return {name: content for name, content in all_sections.items() if name in selected}
