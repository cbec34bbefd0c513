"""Configuration in the table: commit and read."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from ...errors import LavenderhookError, ProtocolError, StoreUnavailableError, TransportError
from ..core.effects import CommitConfiguration, LoadConfiguration
from ..core.events import (
    ConfigurationChange,
    ConfigurationCommitted,
    ConfigurationReceived,
    ConfigurationRefused,
    ConfigurationUnavailable,
    ConfigurationUncertain,
    Event,
)
from ..core.identifiers import ConfigurationVersion
from ..decoding import decode_msgpack
from ..ports.platform import TableStore
from ..ports.time import Clock
from .commits import Backoff

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
COMMIT_TIMEOUT_SECONDS = 5.0  # then the operator is told that the result is unknown
UNAVAILABLE_AFTER_SECONDS = 1.0  # definite refusals for this long are reported to the operator
SCAN_ROWS = 500


class ConfigurationHead(msgspec.Struct, frozen=True):
    """The head row: the current version and the change that created it."""

    version: int
    change_id: str


def format_change_key(version: int) -> str:
    """Return the key of a change; keys sort in the order of versions."""
    return f"{CHANGE_PREFIX}{version:012d}"


class ConfigurationStore:
    """Executor of the effects that commit and load the configuration.

    Parameters
    ----------
    table : TableStore
    clock : Clock
    emit : callable
        Receives the resulting events.
    """

    def __init__(self, table: TableStore, clock: Clock, emit: Callable[[Event], None]) -> None:
        self._table = table
        self._clock = clock
        self._emit = emit
        self._is_loading = False

    def commit(self, effect: CommitConfiguration) -> None:
        """Commit a change if the version before it is current."""
        change = effect.change
        content = msgspec.msgpack.encode(change)
        started = time.monotonic()
        is_indeterminate = False
        backoff = Backoff()
        while True:
            try:
                committed, actual = self._try_commit(change, content)
                self._emit(self._build_result_event(effect, committed, actual))
                return
            except StoreUnavailableError:
                limit = COMMIT_TIMEOUT_SECONDS if is_indeterminate else UNAVAILABLE_AFTER_SECONDS
            except ProtocolError:
                # The table rejected the transaction itself, so it can never take effect.
                limit = 0.0
            except TransportError:
                is_indeterminate = True
                limit = COMMIT_TIMEOUT_SECONDS
            if time.monotonic() - started >= limit:
                self._emit(self._build_failure_event(effect, is_indeterminate))
                return
            backoff.wait()

    def _try_commit(self, change: ConfigurationChange, content: bytes) -> tuple[bool, int]:
        """Return whether the change took effect, and the current version."""
        row = self._table.read(HEAD_KEY)
        head = decode_msgpack(row.value, ConfigurationHead) if row.version else None
        version = head.version if head else 0
        if version >= change.version:
            # An earlier attempt may have taken effect although its response was lost.
            stored = self._table.read(format_change_key(change.version))
            return stored.value == content, version
        if version != change.version - 1:
            return False, version
        result = self._table.commit(
            f"config-{change.version}-{change.change_id}",
            {HEAD_KEY: row.version},
            {
                HEAD_KEY: msgspec.msgpack.encode(
                    ConfigurationHead(change.version, change.change_id)
                ),
                format_change_key(change.version): content,
            },
        )
        if isinstance(result, int):
            return True, change.version
        return self._try_commit(change, content)

    def _build_result_event(
        self, effect: CommitConfiguration, committed: bool, actual: int
    ) -> Event:
        now = self._clock.read()
        change = effect.change
        if committed:
            return ConfigurationCommitted(now=now, ticket=effect.ticket, change=change)
        return ConfigurationRefused(
            now=now,
            ticket=effect.ticket,
            expected=ConfigurationVersion(change.version - 1),
            actual=ConfigurationVersion(actual),
        )

    def _build_failure_event(self, effect: CommitConfiguration, is_indeterminate: bool) -> Event:
        now = self._clock.read()
        if is_indeterminate:
            return ConfigurationUncertain(now=now, ticket=effect.ticket)
        expected = ConfigurationVersion(effect.change.version - 1)
        return ConfigurationRefused(now=now, ticket=effect.ticket, expected=expected, actual=None)

    def load(self, effect: LoadConfiguration) -> None:
        """Read the changes after a version."""
        if self._is_loading:
            return
        self._is_loading = True
        try:
            self._emit(self._read_changes(effect.after))
        except LavenderhookError:
            self._emit(ConfigurationUnavailable(now=self._clock.read()))
        finally:
            self._is_loading = False

    def _read_changes(self, after: ConfigurationVersion) -> ConfigurationReceived:
        row = self._table.read(HEAD_KEY)
        head = decode_msgpack(row.value, ConfigurationHead) if row.version else None
        version = head.version if head else 0
        changes: list[ConfigurationChange] = []
        last = format_change_key(after)
        while after + len(changes) < version:
            rows = self._table.scan(CHANGE_PREFIX, last, SCAN_ROWS)
            if not rows:
                break
            changes.extend(decode_msgpack(found.value, ConfigurationChange) for found in rows)
            last = rows[-1].key
        if changes:
            version = max(version, changes[-1].version)
        return ConfigurationReceived(
            now=self._clock.read(),
            changes=tuple(changes),
            complete=after == 0,
            from_table=True,
            head=ConfigurationVersion(version),
        )
