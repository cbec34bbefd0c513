"""A small deployment for the cases 11 to 15: entry processes on stand-ins of the platform.

The processes run with the command of the deploy file. The stand-ins are those of `standins/`, with
what our pages say and the cases need besides: tasks that last, a bound on the size of a row, and
queues without an advisory service.
"""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import gevent
import msgspec

from features.support.queue_processes import EntryCluster, EntryProcess
from lavenderhook._internal.adapters.transport import HttpClient
from lavenderhook.errors import TransportError
from standins.queues import QueuePlatform, QueueWorkerStandIn, RowStoreStandIn
from standins.web import Response

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, UNABLE = 0, 1, 2
RUN_SECONDS = 112.0  # a case that has not ended by then could not run
ROW_BYTES = 65_536
LASTING_SECONDS = 3600.0
RESTART_SECONDS = 0.5  # the platform starts a process again after a short delay
SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "tas-south"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
countsTowardTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice"]
orders = "call"
advice = "{advice}"
metricsPort = {metrics}
[zones]
hobart-a = "tas-south"
hobart-b = "tas-south"
kingston = "tas-south"
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
holdMaxMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
address = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
transactionMs = 6.0
partitionWritesS = 200
rowBytes = 65536
crossPartition = false
historyS = 20
"""


class Record:
    """The record of a case: what was sent, answered and run, with the seconds since its start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, what):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {what}\n")
        self._file.flush()

    def say(self, what):
        """Write one line, and print it."""
        self.write(what)
        print(what, flush=True)

    def measure_seconds(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at


class Store(RowStoreStandIn):
    """Row store that takes no row of more than `rowBytes`, and counts those that it refuses."""

    def __init__(self, seed=1):
        super().__init__(seed)
        self.refused = 0

    def _transact(self, body):
        # Four characters of base64 stand for three bytes.
        sizes = [len(row["value"]) * 3 // 4 for row in body.get("setKeys", [])]
        if max(sizes, default=0) > ROW_BYTES + 2:
            self.refused += 1
            return Response(400)
        return super()._transact(body)


class Worker(QueueWorkerStandIn):
    """Queue worker whose tasks of lasting steps run until they are stopped."""

    def _start(self, body):
        submission, _, step, _ = body["task"].split(".")
        spec = self.platform.steps[submission][int(step)]
        if not spec.get("longRunning"):
            return super()._start(body)
        estimate = spec.get("estimateMs", 0)
        spec["estimateMs"] = LASTING_SECONDS * 1000
        try:
            return super()._start(body)
        finally:
            spec["estimateMs"] = estimate


class Platform(QueuePlatform):
    """Platform with a record of what runs."""

    def __init__(self, record, workers, processors, seed=1, has_advice=True):
        super().__init__(0, seed)
        self.record = record
        self.has_advice = has_advice
        self.outcomes = {}  # by task, how its runs have ended
        self.store = Store(seed)
        self.workers = [Worker(self, f"w{i}", processors) for i in range(workers)]

    def make_routes(self, prefixes):
        """Return the routes, with or without an advisory service."""
        routes = super().make_routes(prefixes)
        if not self.has_advice:
            for route in routes:
                del route["advice"]
        return routes

    def check_start(self, worker, task, body):
        """Note the start of a run; a queue without an advisory service needs no ticket."""
        if not self.has_advice:
            body.setdefault("ticket", "ticket")
        return super().check_start(worker, task, body)

    def record_event(self, worker, task, event):
        """Add an event of a run to the record."""
        super().record_event(worker, task, event)
        self.outcomes.setdefault(task, []).append(event.rpartition(" ")[2])
        self.record.write(f"{worker.name}: {task} {event}")

    def find_worker_of(self, task):
        """Return the worker on which a task runs now, or None."""
        return next((w for w in self.workers if w.is_up and task in w.runs), None)

    def measure_used_processors(self):
        """Return the thousandths of processors that are in use now."""
        return sum(run["cpu"] for w in self.workers if w.is_up for run in list(w.runs.values()))

    def measure_free_processors(self):
        """Return the thousandths of processors that are free on workers that are up."""
        full = sum(w.limit.processors for w in self.workers if w.is_up)
        return full - self.measure_used_processors()


class Entry(EntryProcess):
    """An entry process with the command of the deploy file."""

    def write_settings(self):
        """Write the settings file as the platform does."""
        zones = ("hobart-a", "hobart-b", "kingston")
        zone = zones[int(self.name.rpartition("-")[2]) % len(zones)]
        text = SETTINGS.format(
            name=self.name,
            zone=zone,
            internal=self.internal_port,
            advice=self.cluster.platform.advice.location,
            metrics=self.metrics_port,
            frontend=self.frontend_address,
            readiness=self.readiness_address,
            store=self.store_address,
        )
        self.settings.write_text(text, encoding="utf-8")

    def start(self):
        """Start the process with the variables that the platform sets."""
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LAVENDERHOOK_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.make_command(), env=environment, stdout=log, stderr=log, cwd=ROOT
            )

    def make_command(self):
        """Return the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        return deploy["roles"]["entry"]["run"].split()

    def measure_memory_mb(self):
        """Return the memory that the process holds, in MiB; 0 if it has ended."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Deployment(EntryCluster):
    """Entry processes and the platform, for one case."""

    def __init__(self, folder, record, *, instances=3, workers=8, processors=8000, has_advice=True):
        self.folder = folder
        self.record = record
        self.key = None
        self.platform = Platform(record, workers, processors, has_advice=has_advice)
        self.client = HttpClient("caller", size=64)
        self.entries = [Entry(self, f"frontend-{i}") for i in range(instances)]

    def post(self, index, submission, steps, seconds=3.2, **times):
        """Send a submission to one entry process; return the status, or None without an answer."""
        self.platform.record_submission(submission, steps)
        body = msgspec.json.encode({"spec": "text", "steps": steps, **times})
        return self.request(index, "POST", submission, body, seconds)[0]

    def read(self, index, submission, seconds=3.2):
        """Return the state of a submission, the status of a refusal, or None without an answer."""
        status, body = self.request(index, "GET", submission, b"", seconds)
        return msgspec.json.decode(body)["state"] if status == 200 else status

    def cancel(self, index, submission, seconds=3.2):
        """Cancel a submission; return the status, or None without an answer."""
        return self.request(index, "DELETE", submission, b"", seconds)[0]

    def request(self, index, method, submission, body, seconds):
        """Send one request; return the status and the body, which are None without an answer."""
        sent_at = time.monotonic()
        try:
            answer = self.call(index, method, f"/jobs/{submission}", body, seconds)
            found = answer.status, answer.body
        except TransportError as error:
            found = None, str(error).encode()
        took = time.monotonic() - sent_at
        self.record.write(
            f"client: {method} {submission} at {self.entries[index].name} -> {found[0]}"
            f" {found[1][:60]!r} after {took:.3f} s"
        )
        return found


def end_processes(deployment):
    """End all processes of a deployment, by their ids."""
    for entry in deployment.entries:
        if entry.process is not None and entry.process.poll() is None:
            entry.process.send_signal(signal.SIGCONT)
            entry.process.kill()
            entry.process.wait()


def run_case(name, play, **options):
    """Play a case and exit with its result.

    Parameters
    ----------
    name : str
        Folder of the case in `review/`.
    play : callable
        Takes the deployment, the record and whether to cause the disruption; returns whether the
        rule held.
    options : dict
        Of the `Deployment`.
    """
    record = Record(ROOT / "review" / name / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    result = UNABLE
    with tempfile.TemporaryDirectory() as folder:
        deployment = None
        try:
            with gevent.Timeout(RUN_SECONDS):
                deployment = Deployment(Path(folder), record, **options)
                deployment.start()
                record.say("all entry processes are ready")
                result = HELD if play(deployment, record, with_trouble) else BROKEN
        except (Exception, gevent.Timeout):
            record.say(f"the case could not run: {traceback.format_exc()}")
        finally:
            if deployment is not None:
                end_processes(deployment)
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for entry in deployment.entries:
                        Path(keep, entry.log.name).write_bytes(entry.log.read_bytes())
    outcome = {HELD: "held", BROKEN: "broken", UNABLE: "not run"}[result]
    record.say(f"result: {outcome} ({'with' if with_trouble else 'without'} the disruption)")
    sys.stdout.flush()
    os._exit(result)
