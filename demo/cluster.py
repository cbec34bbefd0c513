"""A local cluster of real processes: the platform's stand-ins and entry instances."""

from __future__ import annotations

import dataclasses
import json
import os
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path

import gevent
from gevent import subprocess
from geventhttpclient import HTTPClient

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_TOKEN = "operator-demo-token"
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 40.0

ENTRY_ZONES = {
    "authority": (
        "hobart-a",
        "hobart-a",
        "hobart-b",
        "hobart-b",
        "kingston",
        "kingston",
        "glenorchy",
    ),
    "ajala": (
        "ibadan-a",
        "ibadan-a",
        "ibadan-a",
        "ibadan-b",
        "ibadan-b",
        "oyo-c",
        "oyo-c",
    ),
}


class ClusterError(Exception):
    """Failure of a process or of a call of the cluster."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Response to an HTTP call."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def decode(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | str | dict | None = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = 20.0,
) -> Answer:
    """Make an HTTP call on a new connection.

    Raises
    ------
    OSError
        If the connection fails or closes before the whole response.
    """
    host, _, port = address.partition(":")
    port, _, prefix = port.partition("/")
    payload = json.dumps(body) if isinstance(body, dict) else body
    client = HTTPClient(
        host, int(port), connection_timeout=timeout, network_timeout=timeout, concurrency=1
    )
    try:
        target = f"/{prefix}{path}" if prefix else path
        response = client.request(method, target, payload or b"", dict(headers or {}))
        data = response.read()
        fields = {name.lower(): value for name, value in response.headers}
        length = fields.get("content-length")
        if length is not None and method != "HEAD" and int(length) != len(data):
            raise ConnectionError(f"{len(data)} of {length} bytes")
        return Answer(response.status_code, fields, bytes(data))
    finally:
        client.close()


class Process:
    """Child process that prints a JSON line when it is ready."""

    def __init__(self, arguments: list[str], log_path: Path) -> None:
        self._log = log_path.open("ab")
        environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"}
        self.child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            env=environment,
            cwd=ROOT,
        )

    def read_ready_line(self) -> dict:
        """Wait for the JSON line with the addresses and return it."""
        with gevent.Timeout(
            START_TIMEOUT_SECONDS, ClusterError("a process did not become ready in time")
        ):
            line = self.child.stdout.readline()
        if not line:
            raise ClusterError(f"a process ended during its start with status {self.child.wait()}")
        return json.loads(line)

    def send(self, number: int) -> None:
        """Send a signal if the process is still running."""
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, timeout: float) -> int:
        """Wait for the end of the process and return its status."""
        status = self.child.wait(timeout=timeout)
        self.child.stdout.close()
        self._log.close()
        return status


@dataclasses.dataclass
class Entry:
    """Entry instance of the cluster."""

    name: str
    availability_zone: str
    process: Process
    address: str
    incarnation: str


class Cluster:
    """Stand-ins and entry instances of a deployment.

    Parameters
    ----------
    deployment : str
        ``authority`` or ``ajala``.
    directory : Path
        Directory of settings and log files.
    core : mapping of str to float
        Core parameters that differ from their defaults.
    standin_settings : str
        TOML text appended to the settings of the stand-ins.
    """

    def __init__(
        self,
        deployment: str,
        directory: Path,
        core: Mapping[str, float] | None = None,
        standin_settings: str = "",
        log_level: str = "info",
    ) -> None:
        self.deployment = deployment
        self.directory = directory
        self.core = dict(core or {})
        self.entries: dict[str, Entry] = {}
        self.platform: dict = {}
        self._standin_settings = standin_settings
        self._log_level = log_level
        self._standins_process: Process | None = None
        self._settings_number = 0

    def start(self, instances: int | None = None) -> None:
        """Start all processes and wait until all entry instances are ready."""
        self.start_platform()
        zones = ENTRY_ZONES[self.deployment][:instances]
        for number, zone in enumerate(zones, start=1):
            self.start_entry(f"entry-{number}", zone)
        self.wait_ready()

    def start_platform(self) -> None:
        """Start the stand-ins."""
        path = self.directory / "standins.toml"
        path.write_text(f'deployment = "{self.deployment}"\n{self._standin_settings}\n')
        self._standins_process = Process(
            ["-m", "standins", "--config", str(path)], self.directory / "standins.log"
        )
        self.platform = self._standins_process.read_ready_line()

    def start_entry(self, name: str, zone: str) -> Entry:
        """Start an entry instance and register it in the instance list."""
        self._settings_number += 1
        path = self.directory / f"{name}-{self._settings_number}.toml"
        path.write_text(self._render_settings(name, zone))
        process = Process(
            ["-m", "lavenderhook.daemon", "--config", str(path)], self.directory / f"{name}.log"
        )
        ready = process.read_ready_line()
        entry = Entry(name, zone, process, ready["address"], ready["incarnation"])
        self.entries[name] = entry
        self._control(
            "POST",
            "instances",
            {
                "id": name,
                "incarnation": entry.incarnation,
                "address": entry.address,
                "zone": zone,
            },
        )
        return entry

    def _render_settings(self, name: str, zone: str) -> str:
        seeds = [entry.address for entry in self.entries.values()]
        core = "\n".join(f"{key} = {value}" for key, value in self.core.items())
        return f"""
[instance]
name = "{name}"
availability_zone = "{zone}"
listen = "127.0.0.1:0"

[peers]
seeds = {json.dumps(seeds)}

[platform]
table = "{self.platform["table"]}"
objects = "{self.platform["objects"]}"
instances = "{self.platform["instances"]}"

[operators]
demo = "{OPERATOR_TOKEN}"

[logging]
level = "{self._log_level}"

[core]
{core}
"""

    def _control(self, method: str, path: str, body: dict | None = None) -> dict:
        answer = call(self.platform["control"], method, f"/control/v1/{path}", body)
        if answer.status >= 300:
            raise ClusterError(f"{path}: {answer.status} {answer.body[:200]!r}")
        return answer.decode()

    def wait_ready(self, timeout: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until all entry instances report that they are ready."""
        for entry in self.entries.values():
            self.wait_for(lambda e=entry: self._is_ready(e), f"{entry.name} ready", timeout)

    def _is_ready(self, entry: Entry) -> bool:
        try:
            return call(entry.address, "GET", "/readyz", timeout=2.0).status == 200
        except OSError:
            return False

    def wait_for(
        self, condition, description: str, timeout: float = START_TIMEOUT_SECONDS
    ) -> float:
        """Wait until a condition holds and return the elapsed seconds.

        Raises
        ------
        ClusterError
            If it does not hold within `timeout` seconds.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > timeout:
                raise ClusterError(f"timed out after {timeout:.0f} s: {description}")
            gevent.sleep(0.05)
        return time.monotonic() - started

    def call_operator(self, name: str, method: str, path: str, body: dict | None = None) -> Answer:
        """Call the operator API of an entry instance."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return call(self.entries[name].address, method, f"/operator/v1/{path}", body, headers)

    def add_fault(self, kind: str, **options: object) -> list:
        """Add a fault to the stand-ins and return its ids."""
        return self._control("POST", "faults", {"kind": kind, **options})["ids"]

    def clear_faults(self) -> None:
        """End all faults."""
        self._control("DELETE", "faults")

    def read_ledger(self) -> dict:
        """Return the ledger of the stand-ins."""
        return self._control("GET", "ledger")

    def mark_leaving(self, name: str) -> None:
        """Mark an entry instance as leaving in the instance list."""
        self._control("POST", "instances:leaving", {"id": name})

    def kill(self, name: str, *, remove_from_list: bool = True) -> None:
        """Kill an entry instance and, by default, remove it from the lagging instance list."""
        entry = self.entries.pop(name)
        entry.process.send(signal.SIGKILL)
        entry.process.wait(10.0)
        if remove_from_list:
            self._control("DELETE", f"instances/{name}")

    def pause(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self.entries[name].process.send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self.entries[name].process.send(signal.SIGCONT)

    def stop_entry(self, name: str) -> int:
        """Shut an entry instance down gracefully and return its exit status."""
        entry = self.entries[name]
        self.mark_leaving(name)
        entry.process.send(signal.SIGTERM)
        status = entry.process.wait(STOP_TIMEOUT_SECONDS)
        del self.entries[name]
        self._control("DELETE", f"instances/{name}")
        return status

    def restart_entry(self, name: str) -> int:
        """Shut an entry instance down gracefully, restart it and return its exit status."""
        zone = self.entries[name].availability_zone
        status = self.stop_entry(name)
        self.start_entry(name, zone)
        return status

    def stop(self) -> None:
        """End every process that this cluster started."""
        for entry in self.entries.values():
            entry.process.send(signal.SIGCONT)
            entry.process.send(signal.SIGKILL)
            entry.process.wait(10.0)
        self.entries.clear()
        if self._standins_process is not None:
            self._standins_process.send(signal.SIGKILL)
            self._standins_process.wait(10.0)
            self._standins_process = None
