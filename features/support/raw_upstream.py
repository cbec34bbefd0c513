"""Scripted upstream on raw sockets, which sends invalid responses on request."""

import contextlib

import gevent
from gevent import socket
from gevent.server import StreamServer


def build_response(request_id, body, *, length=None, extra=b""):
    """Return the bytes of a response."""
    length = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\nlavenderhook-request-id: {request_id}\r\n".encode()
    return head + extra + f"Content-Length: {length}\r\n\r\n".encode() + body


class RawUpstream:
    """Server whose next response follows `next_response`; later ones are valid again.

    Attributes
    ----------
    connections : int
        Connections accepted so far.
    served : list of (int, str)
        Connection number and request id of each request.
    """

    def __init__(self):
        self.next_response = "valid response"
        self.connections = 0
        self.served = []
        self.delay = 0.0
        self.server = StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"127.0.0.1:{self.server.server_port}"

    def handle(self, sock, _address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        number = self.connections
        with contextlib.suppress(ConnectionError), sock.makefile("rb") as stream:
            while request_id := read_request(stream):
                self.served.append((number, request_id))
                kind, self.next_response = self.next_response, "valid response"
                if not self.respond(sock, kind, request_id):
                    break
        sock.close()

    def respond(self, sock, kind, request_id):
        """Send one response and return whether the connection stays open."""
        body = f"answer to {request_id}".encode()
        valid = build_response(request_id, body)
        if kind == "delayed response":
            gevent.sleep(self.delay)
        if kind in ("valid response", "delayed response"):
            sock.sendall(valid)
            return True
        if kind == "valid response, then close":
            sock.sendall(valid)
            return False
        if kind == "wrong id":
            sock.sendall(build_response("another", b"answer to another"))
            return True
        if kind == "two in one segment":
            sock.sendall(valid + build_response("another", b"answer to another"))
            return True
        if kind == "late second response":
            sock.sendall(valid)
            gevent.sleep(0.02)
            sock.sendall(build_response("another", b"answer to another"))
            return True
        sock.sendall(INVALID_RESPONSES[kind](request_id, body))
        return False

    def stop(self):
        """Stop listening."""
        self.server.stop(timeout=0.1)


def _build_truncated_chunks(_request_id, body):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + f"{len(body):x}\r\n".encode() + body + b"\r\n"


INVALID_RESPONSES = {
    "short body": lambda request_id, body: build_response(request_id, body[:3], length=len(body)),
    "no response": lambda _request_id, _body: b"",
    "partial head": lambda _request_id, _body: b"HTTP/1.1 200 OK\r\nContent-Le",
    "no last chunk": _build_truncated_chunks,
    "no declared length": lambda _request_id, body: b"HTTP/1.1 200 OK\r\n\r\n" + body,
    "not HTTP": lambda _request_id, _body: b"SSH-2.0-server\r\n\r\n",
    "two lengths": lambda request_id, body: build_response(
        request_id, body, extra=b"Content-Length: 3\r\n"
    ),
}


def read_request(stream):
    """Read one request and return its id, or None at the end of the connection."""
    length, request_id, line = 0, None, stream.readline()
    if not line:
        return None
    while (line := stream.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
        if name.lower() == "lavenderhook-request-id":
            request_id = value.strip()
    stream.read(length)
    return request_id
