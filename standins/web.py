"""HTTP listener, requests and responses shared by all stand-ins."""

import errno
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from .errors import BadRequestError, DropConnectionError, UnknownTargetError

BACKLOG = 1024  # bursts of new connections must not be refused except by a fault
READ_CHUNK_BYTES = 65536


@dataclass
class Request:
    """HTTP request to a stand-in."""

    method: str
    path: str
    query: dict
    headers: dict
    environ: dict
    connection: object

    @property
    def client(self):
        """Return the id of the calling instance, or an empty string."""
        return self.headers.get("lavenderhook-instance", "")

    def read_chunks(self):
        """Yield the body in chunks; close the connection if the body ends early."""
        stream = self.environ["wsgi.input"]
        while True:
            try:
                chunk = stream.read(READ_CHUNK_BYTES)
            except OSError:
                raise DropConnectionError from None
            if not chunk:
                return
            yield chunk

    def read_body(self):
        """Return the whole body."""
        return b"".join(self.read_chunks())

    def read_json(self):
        """Decode the body from JSON.

        Raises
        ------
        BadRequestError
            If the body is not a JSON object.
        """
        try:
            value = msgspec.json.decode(self.read_body() or b"{}")
        except msgspec.DecodeError as error:
            raise BadRequestError("body", str(error)) from None
        if not isinstance(value, dict):
            raise BadRequestError("body", "is not a JSON object")
        return value


@dataclass
class Response:
    """HTTP response; the body is bytes or an iterable of bytes."""

    status: int = 200
    body: bytes | Iterable = b""
    headers: dict = field(default_factory=dict)

    def close(self):
        """Release the resources of a body that is not sent."""
        close = getattr(self.body, "close", None)
        if close is not None:
            close()


def read_float(values, name):
    """Return a value as a float.

    Raises
    ------
    BadRequestError
        If it is missing or not a number.
    """
    value = values.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadRequestError(name, f"{value!r} is not a number")
    return float(value)


def reply_json(value, status=200, headers=None):
    """Build a JSON response."""
    body = msgspec.json.encode(value)
    return Response(status, body, {"Content-Type": "application/json", **(headers or {})})


class Handler(WSGIHandler):
    """Handler of an accepted connection."""

    def __init__(self, sock, address, server, rfile=None):
        # Headers and body are written separately: with Nagle's algorithm, the body waits for a
        # delayed acknowledgement, which adds about 44 ms to each request.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)
        self.on_close = []

    def handle(self):
        """Serve the connection, then run the callbacks registered in ``on_close``."""
        self.server.handlers.add(self)
        try:
            super().handle()
        except OSError:
            pass
        finally:
            self.server.handlers.discard(self)
            for callback in self.on_close:
                callback(self)

    def get_environ(self):
        """Return the WSGI environment with a reference to this handler."""
        environ = super().get_environ()
        environ["standins.connection"] = self
        return environ

    def log_request(self):
        """Skip the access log, whose line the base class formats even if it is disabled."""

    def abort(self):
        """Shut the connection down immediately in both directions."""
        self.close_connection = True
        sock = self.__dict__.get("socket")
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            if error.errno not in (errno.ENOTCONN, errno.EBADF):
                raise

    def handle_one_response(self):
        """Send a response, or abort the connection if it is marked as closed."""
        super().handle_one_response()
        if self.close_connection:
            self.abort()


class Listener(WSGIServer):
    """HTTP server on a loopback port chosen by the system.

    Parameters
    ----------
    respond : callable
        Maps a `Request` to a `Response`.
    """

    handler_class = Handler

    def __init__(self, respond):
        # An explicit server name avoids a DNS lookup for each listener.
        environ = {"SERVER_NAME": "127.0.0.1"}
        super().__init__(
            ("127.0.0.1", 0), self.run_request, backlog=BACKLOG, log=None, environ=environ
        )
        self.respond = respond
        self.handlers = set()

    @property
    def location(self):
        """Return ``host:port`` of the listener."""
        return f"127.0.0.1:{self.server_port}"

    def run_request(self, environ, start_response):
        """Handle a WSGI request."""
        request = build_request(environ)
        try:
            response = self.respond(request)
        except BadRequestError as error:
            response = reply_json({"error": str(error), "argument": error.argument}, 400)
        except UnknownTargetError as error:
            response = reply_json({"error": str(error)}, 404)
        except DropConnectionError:
            request.connection.abort()
            raise
        phrase = HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", list(response.headers.items()))
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body

    def close_all(self):
        """Stop listening and abort all open connections."""
        self.stop(timeout=0)
        for handler in list(self.handlers):
            handler.abort()


def build_request(environ):
    """Build a `Request` from a WSGI environment."""
    header_prefix = "HTTP_"
    headers = {
        name[len(header_prefix) :].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith(header_prefix)
    }
    query = {
        name: values[-1]
        for name, values in parse_qs(environ["QUERY_STRING"], keep_blank_values=True).items()
    }
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
    return Request(
        environ["REQUEST_METHOD"], path, query, headers, environ, environ["standins.connection"]
    )
