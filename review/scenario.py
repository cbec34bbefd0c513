"""Runs the project's processes on stand-ins of a small deployment, and checks rules."""

import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import gevent
from gevent import monkey
from record import Record
from workers import Worker

from standins.queues import RowStoreStandIn
from standins.web import Response

monkey.patch_all()

ROOT = Path(__file__).resolve().parents[1]
READY_SECONDS = 30.0
STORE_ANSWER_SECONDS = 0.004
ROW_BYTES = 65_536  # `rowBytes` of the settings
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = {"frontend": 8161, "readiness": 8167, "internal": 7720}
MACHINES = 3

SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "a"
region = "r"
internalPorts = [{internal},{last_internal}]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
[zones]
a = "r"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
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
configApplyMs = 2000
recoveryS = 12
holdMaxMs = 10000
stopTimeoutMs = 400
cancel_ms = 3000
visible_ms = 3000
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


class LimitedRows(RowStoreStandIn):
    """The project's row store with the limits on rows and transactions that the pages set."""

    def _transact(self, body):
        rows = body.get("setKeys", [])
        too_long = any(len(base64.b64decode(row["value"])) > ROW_BYTES for row in rows)
        entries = sum(len(body.get(name, [])) for name in ("expectedRevision", "setKeys", "remove"))
        size = sum(len(row["value"]) for row in rows)
        if too_long or entries > MAX_ENTRIES or size > MAX_TRANSACTION_BYTES:
            return Response(400)
        return super()._transact(body)


class Store:
    """The platform's store, and what the operator and the workers write to it."""

    def __init__(self):
        self.rows = LimitedRows()
        self.rows.delay_seconds = STORE_ANSWER_SECONDS
        self.rows.listener.start()
        self.location = self.rows.listener.location

    def write(self, table, key, value):
        """Write a row on behalf of the operator or a worker."""
        self.rows.put(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        """Remove a row on behalf of the platform."""
        self.rows.delete(table, key)

    def read(self, table, key):
        """Return the value of a row, or None."""
        row = self.rows.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))


class Platform:
    """Store, workers and operator of a small deployment.

    Attributes
    ----------
    hold_max_ms : int
        `holdMaxMs` of the deployment.
    """

    def __init__(self, record, workers, hold_max_ms=10_000):
        self.record = record
        self.hold_max_ms = hold_max_ms
        self.store = Store()
        self.steps = {}
        self.workers = [Worker(self, f"w{i}", "ab"[i % 2], f"r1-{i // 6}") for i in range(workers)]
        for worker in self.workers:
            worker.boot()
        self.store.write("op", "config", self._make_manifest())
        gevent.spawn(self._expire_entries)

    def _make_manifest(self):
        route = {
            "name": "jobs",
            "host": "desk.example",
            "pathPrefix": "/jobs/",
            "service": "desk",
            "priority": 1,
            "maxAttempts": 3,
            "slackFactor": 2.0,
            "targetLatencyMs": 1000,
        }
        service = {"name": "desk", "admissionCheck": False}
        return {"version": 1, "routes": [route], "services": [service], "limits": {}}

    def _expire_entries(self):
        while True:
            for worker in self.workers:
                worker.expire_entry()
            gevent.sleep(0.1)

    def find_step(self, task):
        """Return the step of a task."""
        submission, _, step, _ = task.split(".")
        return self.steps[submission][int(step)]

    def check_start(self, worker, task, step):
        """Check ROUTE and LIMIT at a start."""
        label = step.get("requirements", "")
        if label and label not in (worker.kind, worker.rack):
            self.record.violate(
                "ROUTE", f"{task} needs label {label} and began on {worker.name}, a {worker.kind}"
            )
        used = sum(self.find_step(other).get("cpu", 0) for other in worker.runs)
        if used > 32_000:
            self.record.violate("LIMIT", f"{task} brought {worker.name} to {used} of 32000")


class Machine:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, scenario, name, ip):
        self.name = name
        self.ip = ip
        self._scenario = scenario
        self._settings = scenario.folder / f"{name}.toml"
        self._log = scenario.folder / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            store=self._scenario.platform.store.location,
            last_internal=PORTS["internal"] + 15,
            **PORTS,
        )
        self._settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LAVENDERHOOK_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self):
        """Return whether the readiness check succeeds."""
        return self.call("readiness", "GET", "/lavenderhook/readiness")[0] == 200

    def call(self, port, method, path, body=None, seconds=3.0):
        """Send a request; return status and body, or (None, reason) without an answer."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
            f"X-Deadline-Ms: {int(seconds * 1000)}\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            with (
                gevent.Timeout(seconds, TimeoutError("no answer in time")),
                socket.create_connection((self.ip, PORTS[port])) as connection,
            ):
                connection.sendall(head.encode() + data)
                answer = b""
                while block := connection.recv(65536):
                    answer += block
            status = int(answer.split(b" ", 2)[1])
            return status, answer.partition(b"\r\n\r\n")[2].decode()
        except (OSError, IndexError, ValueError) as error:
            return None, f"{type(error).__name__}: {error}"

    def read_log(self):
        """Return the lines that the process wrote."""
        return self._log.read_text(encoding="utf-8").splitlines()


class Scenario:
    """A case: machines, platform, clients and record.

    Parameters
    ----------
    folder : Path
        Of the case.
    workers : int
    """

    def __init__(self, folder, workers):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.platform = Platform(self.record, workers)
        self.machines = [
            Machine(self, f"frontend-a-{i + 1}", ip) for i, ip in enumerate(_find_addresses())
        ]
        self.accepted = []
        self._submitted = 0

    def start(self):
        """Start the machines and wait until they are ready and one of them is the owner."""
        for machine in self.machines:
            machine.start()
        deadline = time.monotonic() + READY_SECONDS
        while not (all(m.is_ready() for m in self.machines) and self.find_owner()):
            if time.monotonic() > deadline:
                raise RuntimeError("the machines are not ready")
            gevent.sleep(0.1)
        self.record.write("ready", owner=self.find_owner().name)

    def find_owner(self):
        """Return the machine that the store names as the one that gives orders, or None."""
        row = self.platform.store.read("lavenderhook-control", "owner")
        names = [m for m in self.machines if row is not None and m.name == row["name"]]
        return names[0] if names else None

    def submit(self, steps):
        """Submit work as a client does: again, at another machine, until it is accepted."""
        self._submitted += 1
        submission = f"{random.getrandbits(32):08x}{self._submitted:08x}"
        self.platform.steps[submission] = steps
        self.record.write("submission", id=submission, steps=json.dumps(steps))
        for attempt in range(5):
            machine = self.machines[(self._submitted + attempt) % len(self.machines)]
            body = {"spec": "text", "steps": steps}
            status, _ = machine.call("frontend", "POST", f"/jobs/{submission}", body)
            self.record.write("answer", id=submission, machine=machine.name, status=status)
            if status == 200:
                self.accepted.append(submission)
                return submission
            gevent.sleep(0.2)
        return None

    def read_state(self, submission, machine=None):
        """Return the state of a submission, or the status of another answer."""
        machine = machine or random.choice(self.machines)
        status, body = machine.call("frontend", "GET", f"/jobs/{submission}")
        return json.loads(body)["state"] if status == 200 else status

    def wait_completed(self, seconds):
        """Wait until all accepted submissions are completed; return the others' states."""
        deadline = time.monotonic() + seconds
        states = dict.fromkeys(self.accepted)
        while time.monotonic() < deadline:
            for submission, state in states.items():
                if state != "completed":
                    states[submission] = self.read_state(submission)
            if all(state == "completed" for state in states.values()):
                break
            gevent.sleep(0.2)
        self.record.write("states", completed=list(states.values()).count("completed"))
        return {s: state for s, state in states.items() if state != "completed"}

    def stop(self):
        """End the processes that this scenario started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()

    def keep_logs(self, events):
        """Copy the machines' log lines of these events into the record."""
        for machine in self.machines:
            for line in machine.read_log():
                if any(f'"event":"{event}"' in line for event in events):
                    self.record.write("log", machine=machine.name, line=line)

    def close(self):
        """Close the record and remove the temporary folder."""
        self.record.close()
        self._temporary.cleanup()


def _find_addresses():
    """Return loopback addresses on which all ports of a machine are free."""
    while True:
        network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        addresses = [f"{network}.{11 + i}" for i in range(MACHINES)]
        if all(_is_free(ip, port) for ip in addresses for port in (*PORTS.values(), 9464)):
            return addresses


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True


def run_case(folder, rule, workers, play, events=()):
    """Play a case and exit with its result.

    Parameters
    ----------
    folder : Path
        Of the case.
    rule : str
        The one that decides the result; others that are broken are shown as well.
    workers : int
    play : callable
        Takes the scenario; checks of the workers' side are made by the stand-ins.
    events : tuple of str
        Events whose log lines are kept in the record.
    """
    result = NOT_RUN
    scenario = None
    gevent.signal_handler(signal.SIGTERM, sys.exit, NOT_RUN)  # ends the processes first
    try:
        with gevent.Timeout(110, TimeoutError("the case took too long")):
            scenario = Scenario(folder, workers)
            scenario.start()
            play(scenario)
            result = BROKEN if scenario.record.has_broken(rule) else HELD
    except (Exception, SystemExit) as error:
        result = NOT_RUN
        print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
    if scenario is not None:
        try:
            _finish(scenario, result, events)
        except Exception as error:
            print(f"not recorded: {type(error).__name__}: {error}", file=sys.stderr)
            result = NOT_RUN
    os._exit(result)


def _finish(scenario, result, events):
    """End the processes, and write what the case has shown."""
    scenario.stop()
    scenario.keep_logs(events)
    scenario.record.write("result", code=result)
    print(f"result {result}: {len(scenario.record.violations)} violations")
    for violation in scenario.record.violations[:10]:
        print(violation)
    sys.stdout.flush()
    scenario.close()
