"""Reads the log of what earlier owners have started lately."""

from __future__ import annotations

import time

from ...errors import ProtocolError, StoreUnavailableError
from ..ports.queueing import RowStore
from ..queueing.model import SubmissionId
from ..queueing.records import decode
from ..queueing.start_log import START_LOG_TABLE, LoggedStart, StartLogRow, collect_starts
from .table_watcher import LogEvent, describe_failure


def read_former_starts(
    store: RowStore, owner_revision: int, log_event: LogEvent
) -> dict[SubmissionId, list[LoggedStart]]:
    """Return what earlier owners have started lately.

    Parameters
    ----------
    store : RowStore
    owner_revision : int
        Revision of the owner row of this owner; an older read may miss starts.
    log_event : callable
        Logs an event, given by its name and fields.

    Raises
    ------
    LavenderhookError
        If the log can't be read; a malformed row is left out.
    """
    found = store.read(START_LOG_TABLE, "", "~")
    if found.revision < owner_revision:
        raise StoreUnavailableError("the store returned a start log older than the takeover")
    rows: list[StartLogRow] = []
    for row in found.rows:
        try:
            rows.append(decode(row.value, StartLogRow))
        except ProtocolError as error:
            log_event("start-log-unreadable", key=row.key, **describe_failure(error))
    return collect_starts(rows, time.time())
