"""Structured logging: one line for each decision, written without holding up decisions."""

from __future__ import annotations

import collections
import contextlib
import sys
from typing import IO, Any

import gevent
import gevent.event
import msgspec
from loguru import logger

from ..core.effects import LogDecision
from .settings import LoggingSettings

MAX_LINES = 20_000  # lines that wait for the writer; further ones are dropped and counted
DEFAULT_SINK = 0  # the library's number for it
FLUSH_SECONDS = 0.02

_ENCODER = msgspec.json.Encoder(enc_hook=repr)


def discard_default_sink() -> None:
    """Remove the library's own sink, which writes to standard error in the event loop."""
    with contextlib.suppress(ValueError):  # it may be removed already
        logger.remove(DEFAULT_SINK)


class LineWriter:
    """Writes lines from a thread, at most one batch at a time.

    A write to a pipe whose reader is slow blocks its thread; in the event loop's own thread that
    would stop all decisions.
    """

    def __init__(self, stream: IO[str]) -> None:
        self._stream = stream
        self._lines: collections.deque[str] = collections.deque()
        self._filled = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self.dropped = 0

    def start(self) -> None:
        """Start to write."""
        self._greenlet = gevent.spawn(self._run)

    def add(self, line: str) -> None:
        """Add a line; does not block."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._greenlet is not None:
            self._filled.set()
        else:
            self.flush()

    def flush(self) -> None:
        """Write all waiting lines in the calling thread."""
        lines, self._lines = self._lines, collections.deque()
        if lines:
            self._write("".join(lines))

    def stop(self) -> None:
        """Write what waits and end."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self.flush()

    def _run(self) -> None:
        pool = gevent.get_hub().threadpool
        while True:
            self._filled.wait()
            self._filled.clear()
            lines, self._lines = self._lines, collections.deque()
            if lines:
                pool.apply(self._write, ("".join(lines),))
            gevent.sleep(FLUSH_SECONDS)

    def _write(self, text: str) -> None:
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            self.dropped += text.count("\n")


class DecisionLog:
    """Log of one instance.

    Parameters
    ----------
    settings : LoggingSettings
    incarnation : str
        Written into every line.
    """

    def __init__(self, settings: LoggingSettings, incarnation: str) -> None:
        self._incarnation = incarnation
        self._as_json = settings.format == "json"
        stream: IO[str] = sys.stderr
        if settings.file != "stderr":
            stream = open(settings.file, "a", encoding="utf-8")  # noqa: SIM115
        self.writer = LineWriter(stream)
        self._logger = logger.bind(instance=incarnation)
        # The library has one logger for the process, which may hold several instances in tests.
        self._handler = logger.add(
            self._sink,
            level=settings.level.upper(),
            format="{message}",
            filter=lambda record: record["extra"].get("instance") == incarnation,
        )

    def execute(self, effect: LogDecision) -> None:
        """Write the line of a decision."""
        self._logger.bind(fields=effect.fields).info(effect.decision)

    def report(self, what: str, error: BaseException) -> None:
        """Write the line of a failure."""
        fields: dict[str, Any] = {
            "error": getattr(error, "code", type(error).__name__),
            "message": str(error),
        }
        self._logger.opt(exception=error).bind(fields=fields).error(what)

    def note(self, message: str, **fields: Any) -> None:
        """Write a line about the process itself."""
        self._logger.bind(fields=fields).info(message)

    def stop(self) -> None:
        """Write what waits and end."""
        logger.remove(self._handler)
        self.writer.stop()

    def _sink(self, message: Any) -> None:
        record = message.record
        fields = record["extra"].get("fields", {})
        line: dict[str, Any] = {
            "time": record["time"].timestamp(),
            "level": record["level"].name.lower(),
            "instance": self._incarnation,
            "event": record["message"],
            **fields,
        }
        if record["exception"] is not None:
            line["trace"] = str(message).splitlines()[-12:]
        if self._as_json:
            self.writer.add(_ENCODER.encode(line).decode() + "\n")
            return
        rest = " ".join(f"{key}={value!r}" for key, value in fields.items())
        self.writer.add(
            f"{record['time']:%H:%M:%S.%f} {record['level'].name} {line['event']} {rest}\n"
        )
