"""Entry instances that run as subprocesses, connected to stand-ins of the platform."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import gevent

from lavenderhook._internal.adapters.transport import HttpClient
from lavenderhook.errors import TransportError
from standins.queues import QueuePlatform, StoreEndpoint

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 20.0
HEADERS = (("Content-Type", "application/json"),)


# The ports lie below the ephemeral port range. Each test program uses a block of them that its
# process id selects: if two programs found the same port free, one would call the other's process.
FIRST_PORT = 20_000
PORTS_PER_PROGRAM = 100
PORT_RANGES = 120
_ports = itertools.count()


def find_port():
    """Return a free port of the loopback interface from the block of this process."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_PROGRAM
    for _ in range(PORTS_PER_PROGRAM):
        port = first + next(_ports) % PORTS_PER_PROGRAM
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue  # it is in use
            return port
    raise AssertionError(f"no port is free from {first} on")


class EntryProcess:
    """One entry instance in its own process."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.choose_ports()
        self.settings = cluster.folder / f"{name}.toml"
        self.log = cluster.folder / f"{name}.log"
        self.process = None
        self.store_endpoint = StoreEndpoint(cluster.platform.store)
        self.store_endpoint.listener.start()
        self.store_address = self.store_endpoint.listener.location

    def choose_ports(self):
        """Choose ports that are free now."""
        self.frontend_address = f"127.0.0.1:{find_port()}"
        self.readiness_address = f"127.0.0.1:{find_port()}"
        self.internal_port = find_port()
        self.metrics_port = find_port()

    def has_lost_port(self):
        """Return whether the process ended because another program had taken a port."""
        return self.process.poll() is not None and "Address already in use" in self.log.read_text(
            encoding="utf-8"
        )

    def write_settings(self):
        """Write the settings file as the platform does."""
        platform = self.cluster.platform
        self.settings.write_text(
            f"""nodeName = "{self.name}"
ip = "127.0.0.1"
zone = "a"
internalPorts = [{self.internal_port},{self.internal_port}]
advice = "{platform.advice.location}"
metricsPort = {self.metrics_port}
[listen]
frontend = "{self.frontend_address}"
readiness = "{self.readiness_address}"
[bounds]
graceS = 6
holdMaxMs = 6000
stopTimeoutMs = 400
status_s = {self.cluster.state_retention_seconds}
{self.cluster.extra_bounds}
[platform]
address = "{self.store_address}"
""",
            encoding="utf-8",
        )

    def start(self):
        """Start the process; its errors, and its output unless redirected, go to a file."""
        self.write_settings()
        environment = {**os.environ, "LAVENDERHOOK_CONFIG": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.make_command(),
                env=environment,
                stdout=log if self.cluster.output is None else self.cluster.output,
                stderr=log,
                cwd=ROOT,
            )

    def make_command(self):
        """Return the command of the process."""
        return [sys.executable, "-m", "lavenderhook.platform"]

    def is_ready(self):
        """Return whether the readiness check succeeds."""
        try:
            answer = self.cluster.client.call(
                self.readiness_address, "GET", "/lavenderhook/readiness", timeout=1.0
            )
        except TransportError:
            return False
        return answer.status == 200

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def wait(self, seconds):
        """Return the exit status, or None if the process still runs after `seconds`."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            gevent.sleep(0.05)
        return self.process.poll()


class EntryCluster:
    """Stand-ins of the platform, and entry processes.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    instances, workers : int
    entry_class : type
        Class of the instances' processes.
    """

    def __init__(
        self, folder, instances=2, workers=3, seed=1, output=None, entry_class=EntryProcess
    ):
        self.folder = folder
        self.state_retention_seconds = 120
        self.extra_bounds = ""  # lines of the settings
        self.key = None  # of the calls, if they have one
        self.output = output  # target of the processes' standard output; None for one file each
        self.platform = QueuePlatform(workers, seed)
        self.client = HttpClient("caller", size=64)
        self.entries = [entry_class(self, f"entry-{i}") for i in range(instances)]

    def start(self):
        """Start everything and wait until all instances are ready."""
        self.platform.start()
        for entry in self.entries:
            entry.start()
        self.wait_ready()

    def wait_ready(self):
        """Wait until all running instances are ready."""
        until = time.monotonic() + START_SECONDS
        while not all(e.is_ready() for e in self.entries if e.process.poll() is None):
            for entry in self.entries:
                if entry.has_lost_port():
                    entry.log.unlink()
                    entry.choose_ports()
                    entry.start()
            assert time.monotonic() < until, "the instances are not ready"
            gevent.sleep(0.1)

    def stop(self):
        """Stop the processes and stand-ins that were started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
            entry.store_endpoint.listener.close_all()
        self.platform.stop()
        self.client.close()

    def submit(self, index, submission, steps, prefix="/jobs/", key=None):
        """Send a submission to one instance; return the answer."""
        import msgspec

        self.platform.record_submission(submission, steps)
        body = msgspec.json.encode({"spec": "text", "steps": steps})
        return self.call(index, "POST", prefix + submission, body, key=key)

    def call(self, index, method, path, body=b"", seconds=3.2, key=None):
        """Call one instance as a caller, with this key or that of all calls."""
        key = self.key if key is None else key
        headers = HEADERS if key is None else (*HEADERS, ("X-Credential", key))
        return self.client.call(
            self.entries[index].frontend_address, method, path, body, headers, timeout=seconds
        )

    def read_state(self, index, submission):
        """Return the state of a submission, or the status of a refusal."""
        import msgspec

        answer = self.call(index, "GET", f"/jobs/{submission}")
        return msgspec.json.decode(answer.body)["state"] if answer.status == 200 else answer.status

    def wait_state(self, index, submission, state, seconds):
        """Wait until a submission has a state; return the last one seen."""
        until = time.monotonic() + seconds
        found = None
        while time.monotonic() < until:
            try:
                found = self.read_state(index, submission)
            except TransportError as error:
                found = str(error)
            if found == state:
                return found
            gevent.sleep(0.05)
        return found

    def find_owner(self):
        """Return the index of the instance that the store's row names as owner."""
        import base64

        import msgspec

        key = ("lavenderhook-control", "", "owner")
        until = time.monotonic() + START_SECONDS
        while key not in self.platform.store.rows:
            assert time.monotonic() < until, "no instance has claimed the ownership"
            gevent.sleep(0.05)
        row = self.platform.store.rows[key]
        name = msgspec.json.decode(base64.b64decode(row["value"]))["name"]
        return next(i for i, entry in enumerate(self.entries) if entry.name == name)
