"""Entry instances, started with the command of the deploy file, beside stand-ins of the platform.

The stand-ins are the project's own; where the pages set a limit that these leave out (bytes of a
row, entries and bytes of a transaction, the longest lease), the classes here add it.
"""

import os
import shutil
import signal
import tempfile
import time
import tomllib
from pathlib import Path

import gevent
import msgspec

from features.support.queue_processes import EntryProcess
from lavenderhook._internal.adapters.transport import HttpClient
from lavenderhook.errors import TransportError
from standins.queues import QueuePlatform, QueueWorkerStandIn, RowStoreStandIn
from standins.web import Response

ROOT = Path(__file__).resolve().parents[1]
ROW_BYTES = 65_536
TRANSACTION_ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
HOLD_MAX_MS = 10_000
LASTING_MS = 3_600_000  # for which a task that lasts runs
READY_SECONDS = 25.0
HEADERS = (("Content-Type", "application/json"),)
SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "hobart-a"
region = "tas-south"
internalPorts = [{internal_port},{internal_port}]
seeds = []
bootstrap = true
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
advice = "{advice}"
metricsPort = {metrics_port}
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
graceS = 6
configApplyMs = 2000
holdMaxMs = 10000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "{store}"
form = "table"
rowBytes = 65536
crossPartition = false
historyS = 20
"""


class LimitedStore(RowStoreStandIn):
    """Row store with the limits on rows and transactions that the pages name."""

    def __init__(self, record):
        super().__init__()
        self.transaction_seconds = 0.006
        self.rejected = 0
        self._record = record

    def _transact(self, body):
        entries = [*body["expectedRevision"], *body["setKeys"], *body["remove"]]
        largest = max((len(row["value"]) * 3 // 4 for row in body["setKeys"]), default=0)
        total = sum(len(row["value"]) for row in body["setKeys"])
        if (
            len(entries) > TRANSACTION_ENTRIES
            or largest > ROW_BYTES + 2
            or total > TRANSACTION_BYTES
        ):
            self.rejected += 1
            if self.rejected == 1:
                keys = [row["key"] for row in body["setKeys"] if len(row["value"]) > ROW_BYTES]
                self._record(
                    f"store: transaction refused (400): {len(entries)} entries, largest row "
                    f"{largest} bytes, {total} bytes in all, large keys {keys}"
                )
            return Response(400)
        return super()._transact(body)


class RecordingWorker(QueueWorkerStandIn):
    """Worker that records starts and ends.

    Attributes
    ----------
    ends : list
        Rows of time, task, run and how of all ends.
    starts : list
        Rows of time, task and run of all starts.
    """

    def __init__(self, platform, name, processors, labels):
        self.ends = []
        self.starts = []
        self.labels = labels
        super().__init__(platform, name, processors)

    def write_entry(self, state="ready"):
        """Write the worker's entry to the store."""
        self.platform.write_json(
            "servers",
            self.name,
            {
                "service": "desk",
                "address": self.get_address(),
                "zone": "hobart-a",
                "state": state,
                "capacity": {"cpu": self.limit.processors, "memMb": 64_000, "gpu": 0},
                "labels": self.labels,
                "born": self.born,
                "sequence": 1,
            },
        )

    def _extend_lease(self, body):
        if "deadlineMs" in body:
            latest = self.read_clock_ms() + HOLD_MAX_MS
            self.lease_until = max(self.lease_until, min(body["deadlineMs"], latest))

    def _start(self, body):
        before = self.runs.get(body["task"])
        reply = super()._start(body)
        if reply.status == 200 and before is None:
            self.starts.append((time.monotonic(), body["task"], body["run"]))
        return reply

    def _finish_run(self, task, outcome):
        run = self.runs[task]["run"]
        super()._finish_run(task, outcome)
        self.ends.append((time.monotonic(), task, run, outcome))


class Platform(QueuePlatform):
    """Store and workers; the queue needs no advice."""

    def __init__(self, workers, record):
        super().__init__(0)
        self.store = LimitedStore(record)
        self.workers = [
            RecordingWorker(self, f"i-{index:08x}", processors, labels)
            for index, (processors, labels) in enumerate(workers, 0x7F3A91C2)
        ]

    def make_routes(self, prefixes):
        """Return the routes of a manifest with one queue for each path prefix."""
        return [
            {
                "name": f"queue-{index}",
                "host": "127.0.0.1",
                "pathPrefix": prefix,
                "service": "desk",
                "priority": 1,
                "maxAttempts": 4,
                "slackFactor": 2.0,
                "targetLatencyMs": 1000,
            }
            for index, prefix in enumerate(prefixes)
        ]

    def check_start(self, worker, task, body):
        """Return the step of a task; the rules are judged afterwards."""
        submission, _, number, _ = task.split(".")
        step = self.steps[submission][int(number)]
        return {**step, "estimateMs": LASTING_MS} if step.get("longRunning") else step

    def record_event(self, worker, task, event):
        """Keep nothing: the workers record starts and ends."""


class Entry(EntryProcess):
    """An entry instance, started with the command of the deploy file."""

    def write_settings(self):
        """Write the settings file as the platform does."""
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                internal_port=self.internal_port,
                metrics_port=self.metrics_port,
                frontend=self.frontend_address,
                readiness=self.readiness_address,
                advice=self.cluster.platform.advice.location,
                store=self.store_address,
            ),
            encoding="utf-8",
        )

    def make_command(self):
        """Return the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        return deploy["roles"]["entry"]["run"].split()

    def read_memory_mb(self):
        """Return the resident memory of the process, or 0 if it doesn't run."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                lines = [line for line in status if line.startswith("VmRSS")]
        except OSError:
            return 0.0
        return int(lines[0].split()[1]) / 1024 if lines else 0.0


class Rig:
    """Stand-ins, entry instances and a record of what they have done.

    Parameters
    ----------
    case : Path
        Folder of the case; the record is written there.
    workers : list of (int, list of str)
        Capacity in thousandths of a core, and labels.
    instances : int
    """

    def __init__(self, case, workers, instances=3):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._file = (case / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = Platform(workers, self.record)
        self.client = HttpClient("caller", size=64)
        self.entries = [Entry(self, f"frontend-{i}") for i in range(instances)]
        self.output = None
        self.state_retention_seconds = 120
        self.record(f"disruption: {'yes' if self.has_trouble else 'no'}")

    def record(self, line):
        """Write a line to the record, with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {line}\n")
        self._file.flush()

    def start(self):
        """Start everything; exit with 2 if the instances don't get ready."""
        self.platform.start()
        for entry in self.entries:
            entry.start()
        until = time.monotonic() + READY_SECONDS
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > until:
                raise CannotRunError("the instances are not ready")
            gevent.sleep(0.1)
        self.record(f"{len(self.entries)} instances are ready")

    def stop(self):
        """End all processes that were started, and remove their files."""
        for entry in self.entries:
            process = entry.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            entry.store_endpoint.listener.close_all()
        self.platform.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def find_owner(self):
        """Return the instance that the store's row names as the owner."""
        import base64

        row = self.platform.store.rows[("lavenderhook-control", "", "owner")]
        name = msgspec.json.decode(base64.b64decode(row["value"]))["name"]
        return next(entry for entry in self.entries if entry.name == name)

    def call(self, entry, method, path, body=b"", seconds=3.0):
        """Call an instance as a client; return status and decoded body, or (0, error)."""
        headers = (*HEADERS, ("X-Deadline-Ms", str(int(seconds * 1000))))
        try:
            answer = self.client.call(
                entry.frontend_address, method, path, body, headers, timeout=seconds
            )
        except TransportError as error:
            return 0, str(error)
        return answer.status, msgspec.json.decode(answer.body) if answer.body else {}

    def submit(self, submission, steps, entry=None, **fields):
        """Hand a submission in until an instance accepts it, as a client with retries does."""
        self.platform.record_submission(submission, steps)
        body = msgspec.json.encode({"spec": "(text)", "steps": steps, **fields})
        for attempt in range(5):
            chosen = entry or self.entries[attempt % len(self.entries)]
            status, _ = self.call(chosen, "POST", f"/bulk/{submission}", body)
            self.record(f"client: POST {submission} at {chosen.name} -> {status}")
            if 200 <= status < 300:
                return True
            gevent.sleep(0.3)
        return False

    def read_state(self, submission, entry):
        """Return the state of a submission as a client sees it, or the status."""
        status, body = self.call(entry, "GET", f"/bulk/{submission}")
        return body.get("state", status) if status == 200 else status


class CannotRunError(Exception):
    """The case can't be judged."""


def run_case(case, workers, play, instances=3):
    """Play a case and return its exit status: 1 if the rule was broken, 0 if not, else 2.

    Parameters
    ----------
    play : callable
        Takes the rig; returns whether the rule held.
    """
    rig = Rig(case, workers, instances)
    try:
        rig.start()
        rig.platform.write_configuration(2, ["/bulk/"])
        gevent.sleep(2.5)
        held = play(rig)
    except CannotRunError as error:
        rig.record(f"could not run: {error}")
        return 2
    except Exception as error:
        rig.record(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        rig.stop()
    rig.record("rule held" if held else "rule BROKEN")
    return 0 if held else 1
