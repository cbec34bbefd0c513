"""Comparison of two transports for messages between entry instances.

Sends the same heartbeats and forwarded requests over HTTP with MessagePack, as the daemon does,
and over gRPC with its support for gevent; once between two processes, once in one process that is
client and server at the same time. Run with ``python bench/peers.py``.
"""

import argparse
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONCURRENCY = 16
CALL_SECONDS = 2.0  # deadline of a call
RUN_SECONDS = 4.0
SETUP_SECONDS = 60.0
BODY_BYTES = 1024  # of a forwarded request and its response
MEMBERS = 7


def build_payloads():
    """Return the encoded messages by name."""
    import msgspec

    from lavenderhook._internal.adapters.peers import ForwardedHead, Heartbeat, encode_framed
    from lavenderhook._internal.core.identifiers import MemberState, PriorityClass
    from lavenderhook._internal.core.messages import Digest, ForwardedRequest

    names = [f"entry-{number}-0123456789ab" for number in range(MEMBERS)]
    digest = Digest(
        name="entry-0",
        incarnation=names[0],
        address="10.0.0.1:8080",
        availability_zone="hobart-a",
        sequence=12345,
        state=MemberState.ALIVE,
        ready=True,
        configuration_version=678,
        free_slots={"sponsor-desk": 12},
        queued={"sponsor-desk": 3},
        shards={0: 4},
    )
    heartbeat = Heartbeat(base=1, digest=digest, members=dict.fromkeys(names, "10.0.0.1:8080"))
    request = ForwardedRequest(
        request_id="0123456789abcdef",
        caller="desk",
        service="sponsor-desk",
        labels={"tier": "gold"},
        idempotent=True,
        remaining_seconds=9.5,
        priority=PriorityClass.NORMAL,
        sender=names[0],
    )
    head = ForwardedHead(
        request=request,
        method="POST",
        target="/proof",
        headers=(("content-type", "application/json"), ("accept", "*/*")),
    )
    return {
        "heartbeat": msgspec.msgpack.encode(heartbeat),
        "request": encode_framed(head, b"x" * BODY_BYTES),
    }


class HttpTransport:
    """HTTP with the client and listener of the daemon."""

    def __init__(self):
        from lavenderhook._internal.adapters import frontend, transport

        self.frontend = frontend
        self.client = transport.HttpClient("peer", size=CONCURRENCY, timeout=CALL_SECONDS)

    def listen(self):
        """Start the server and return its address."""
        limits = self.frontend.ListenerLimits(
            body_bytes=1 << 20,
            header_bytes=1 << 15,
            line_bytes=1 << 13,
            read_seconds=10,
            idle_seconds=75,
            connections=1024,
        )
        listener = self.frontend.Listener(("127.0.0.1", 0), limits, self.handle_request, print)
        listener.start()
        return listener.location

    def handle_request(self, request):
        """Return the response to one call, as the daemon does."""
        body = request.read_body()
        if request.path.endswith("heartbeat"):
            return self.frontend.Reply(status=204)
        return self.frontend.Reply(body=body)

    def connect(self, address):
        """Return a function that makes one call."""
        return lambda kind, body: self.client.call(address, "POST", f"/peer/v1/{kind}", body)


class GrpcTransport:
    """gRPC with its support for gevent."""

    def __init__(self):
        from gevent import monkey

        monkey.patch_all()
        import grpc.experimental.gevent

        grpc.experimental.gevent.init_gevent()
        self.grpc = grpc

    def listen(self):
        """Start the server and return its address."""
        from concurrent import futures

        handlers = {
            "heartbeat": self.grpc.unary_unary_rpc_method_handler(lambda body, _: b""),
            "request": self.grpc.unary_unary_rpc_method_handler(lambda body, _: body),
        }
        generic = self.grpc.method_handlers_generic_handler("peer", handlers)
        self.server = self.grpc.server(futures.ThreadPoolExecutor(CONCURRENCY))
        self.server.add_generic_rpc_handlers((generic,))
        port = self.server.add_insecure_port("127.0.0.1:0")
        self.server.start()
        return f"127.0.0.1:{port}"

    def connect(self, address):
        """Return a function that makes one call."""
        channel = self.grpc.insecure_channel(address)
        methods = {kind: channel.unary_unary(f"/peer/{kind}") for kind in ("heartbeat", "request")}
        return lambda kind, body: methods[kind](body, timeout=CALL_SECONDS)


TRANSPORTS = {"http": HttpTransport, "grpc": GrpcTransport}


def measure(call, kind, body):
    """Call from several greenlets for `RUN_SECONDS` and return rate, latencies and failures."""
    import gevent

    latencies, failures = [], []
    ends_at = time.monotonic() + RUN_SECONDS

    def call_until_end():
        while (started := time.monotonic()) < ends_at:
            try:
                call(kind, body)
            except Exception as error:
                code = getattr(error, "code", type(error).__name__)
                failures.append(str(code() if callable(code) else code))
                continue
            latencies.append(time.monotonic() - started)

    greenlets = [gevent.spawn(call_until_end) for _ in range(CONCURRENCY)]
    gevent.joinall(greenlets, timeout=RUN_SECONDS + 2 * CALL_SECONDS)
    unfinished = sum(not greenlet.ready() for greenlet in greenlets)
    latencies.sort()
    return {
        "calls_per_second": round(len(latencies) / RUN_SECONDS),
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 2) if latencies else None,
        "p99_ms": round(1000 * latencies[int(len(latencies) * 0.99)], 2) if latencies else None,
        "failed": dict(Counter(failures)),
        "unfinished": unfinished,
    }


def run_server(name):
    """Serve until standard input is closed."""
    transport = TRANSPORTS[name]()
    print(transport.listen(), flush=True)
    import gevent
    from gevent.fileobject import FileObject

    FileObject(sys.stdin).read()
    gevent.sleep(0)
    os._exit(0)


def run_client(name, kind, address):
    """Measure calls to an address, or to this process if the address is empty."""
    transport = TRANSPORTS[name]()
    call = transport.connect(address or transport.listen())
    print(json.dumps(measure(call, kind, build_payloads()[kind])), flush=True)
    # Threads of the gRPC library may prevent a normal exit.
    os._exit(0)


def start_role(arguments, **options):
    """Start this script as a server or client subprocess."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    command = [sys.executable, __file__, *arguments]
    return subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, text=True, **options)


def run_case(name, kind, in_one_process):
    """Measure one case and return its result."""
    if in_one_process:
        return collect_result(start_role(["--role", "client", "--transport", name, "--kind", kind]))
    server = start_role(["--role", "server", "--transport", name], stdin=subprocess.PIPE)
    try:
        address = server.stdout.readline().strip()
        arguments = ["--transport", name, "--kind", kind, "--address", address]
        return collect_result(start_role(["--role", "client", *arguments]))
    finally:
        server.kill()
        server.wait()


def collect_result(process):
    """Return the result of a client process; kill it if it hangs."""
    try:
        output, _ = process.communicate(timeout=SETUP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return {"hung": True}
    return json.loads(output) if output else {"exit": process.returncode}


def main():
    """Run all cases, or one role of a case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=("server", "client"))
    parser.add_argument("--transport", choices=tuple(TRANSPORTS))
    parser.add_argument("--kind", choices=("heartbeat", "request"))
    parser.add_argument("--address", default="")
    options = parser.parse_args()
    if options.role == "server":
        run_server(options.transport)
    elif options.role == "client":
        run_client(options.transport, options.kind, options.address)
    else:
        for in_one_process in (False, True):
            for name in TRANSPORTS:
                for kind in ("heartbeat", "request"):
                    result = run_case(name, kind, in_one_process)
                    processes = "one process" if in_one_process else "two processes"
                    print(f"{name} {kind:9} {processes:13} {json.dumps(result)}", flush=True)


if __name__ == "__main__":
    main()
