"""Structured logging: one line for each decision, written without blocking the event loop."""

from __future__ import annotations

import collections
import contextlib
import datetime
import sys
import time
from typing import IO, TYPE_CHECKING, Any, Protocol

import gevent
import gevent.event
import msgspec
from loguru import logger

if TYPE_CHECKING:
    # Importing it at run time would load the whole core, which takes a second of each restart on a
    # small machine.
    from ..core.effects import LogDecision

MAX_BUFFERED_LINES = 20_000  # further lines are dropped and counted
MAX_TRACE_LINES = 12
DECISION_LEVELS = ("debug", "info")  # levels of the settings that include decisions
DEFAULT_SINK_ID = 0  # loguru's number of its own sink
FLUSH_SECONDS = 0.02
FINAL_FLUSH_SECONDS = 1.0

_ENCODER = msgspec.json.Encoder(enc_hook=repr)


def discard_default_sink() -> None:
    """Remove loguru's own sink, which writes to standard error in the event loop."""
    with contextlib.suppress(ValueError):  # it may have been removed already
        logger.remove(DEFAULT_SINK_ID)


class LineWriter:
    """Writes lines from a thread, at most one batch at a time.

    A write to a pipe with a slow reader blocks its thread; in the thread of the event loop it would
    block all decisions.
    """

    def __init__(self, stream: IO[str]) -> None:
        self._stream = stream
        self._lines: collections.deque[str] = collections.deque()
        self._lines_added = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._is_stopping = False
        self.dropped = 0

    def start(self) -> None:
        """Start the greenlet that writes lines."""
        self._greenlet = gevent.spawn(self._run)

    def add(self, line: str) -> None:
        """Add a line; does not block while the writer's greenlet runs."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._greenlet is not None:
            self._lines_added.set()
        else:
            self.flush()

    def flush(self) -> None:
        """Write all buffered lines in the calling thread."""
        lines, self._lines = self._lines, collections.deque()
        if lines:
            self._write("".join(lines))

    def stop(self) -> None:
        """Write the buffered lines and stop; they are lost if the stream still blocks."""
        self._is_stopping = True
        self._lines_added.set()
        if self._greenlet is not None:
            # It is not killed, since that would truncate a batch that a thread is writing.
            self._greenlet.join(timeout=FINAL_FLUSH_SECONDS)
            if not self._greenlet.dead:
                return
            self._greenlet = None
        self.flush()

    def _run(self) -> None:
        pool = gevent.get_hub().threadpool
        while not self._is_stopping:
            self._lines_added.wait()
            self._lines_added.clear()
            lines, self._lines = self._lines, collections.deque()
            if lines:
                pool.apply(self._write, ("".join(lines),))
            if not self._is_stopping:
                gevent.sleep(FLUSH_SECONDS)

    def _write(self, text: str) -> None:
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):  # a closed stream raises ValueError
            self.dropped += text.count("\n")


class LogSettings(Protocol):
    """Settings of the log."""

    @property
    def level(self) -> str:
        """Lowest level that is written."""

    @property
    def format(self) -> str:
        """``json`` or ``text``."""

    @property
    def file(self) -> str:
        """``stdout``, ``stderr`` or a path."""


class DecisionLog:
    """Log of one instance.

    Lines about the process and its failures go through loguru. Lines about decisions are encoded
    directly and go to the same writer: a loguru record takes about 40 microseconds, a noticeable
    part of the time of routing a request.

    Parameters
    ----------
    settings : LogSettings
    incarnation : str
        Written into every line.
    """

    def __init__(self, settings: LogSettings, incarnation: str) -> None:
        self._incarnation = incarnation
        self._is_json = settings.format == "json"
        self._writes_decisions = settings.level in DECISION_LEVELS
        stream: IO[str] = sys.stderr
        if settings.file == "stdout":
            stream = sys.stdout
        elif settings.file != "stderr":
            stream = open(settings.file, "a", encoding="utf-8")  # noqa: SIM115
        self.writer = LineWriter(stream)
        self._logger = logger.bind(instance=incarnation)
        # Loguru has one logger for the process, and tests run several instances in one process.
        self._handler = logger.add(
            self._sink,
            level=settings.level.upper(),
            format="{message}",
            diagnose=False,  # values of variables may hold keys
            filter=lambda record: record["extra"].get("instance") == incarnation,
        )

    def handle_log_effect(self, effect: LogDecision) -> None:
        """Write a line about the decision of an effect."""
        self.write_decision(effect.decision, effect.fields)

    def write_decision(self, decision: str, fields: dict[str, Any]) -> None:
        """Write a line about a decision."""
        if self._writes_decisions:
            self._write(time.time(), "info", decision, fields)

    def log_failure(self, what: str, error: BaseException) -> None:
        """Write a line about a failure, with its traceback."""
        fields: dict[str, Any] = {
            "error": getattr(error, "code", type(error).__name__),
            "message": str(error),
        }
        self._logger.opt(exception=error).bind(fields=fields).error(what)

    def log_info(self, message: str, **fields: Any) -> None:
        """Write a line about the process itself."""
        self._logger.bind(fields=fields).info(message)

    def stop(self) -> None:
        """Write the buffered lines and close the log."""
        logger.remove(self._handler)
        self.writer.stop()

    def _sink(self, message: Any) -> None:
        record = message.record
        fields = dict(record["extra"].get("fields", {}))
        if record["exception"] is not None:
            fields["trace"] = str(message).splitlines()[-MAX_TRACE_LINES:]
        level = record["level"].name.lower()
        self._write(record["time"].timestamp(), level, record["message"], fields)

    def _write(self, at: float, level: str, event: str, fields: dict[str, Any]) -> None:
        if self._is_json:
            line = {
                "time": at,
                "level": level,
                "instance": self._incarnation,
                "event": event,
                **fields,
            }
            self.writer.add(_ENCODER.encode(line).decode() + "\n")
            return
        pairs = " ".join(f"{key}={value!r}" for key, value in fields.items())
        moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
        self.writer.add(f"{moment:%H:%M:%S.%f} {level} {event} {pairs}\n")
