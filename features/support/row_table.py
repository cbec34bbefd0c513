"""In-memory rows of the queues for instances that a test drives step by step."""

from lavenderhook._internal.ports.queueing import RowChanges, RowConflict, RowStore, StoredRow
from lavenderhook.errors import StoreUnavailableError


class RowTable(RowStore):
    """Rows with revisions; fails each call while `is_available` is False.

    Attributes
    ----------
    before_transaction : callable or None
        Called once, before the next transaction is carried out.
    """

    def __init__(self):
        self.is_available = True
        self.before_transaction = None
        self._rows = {}
        self._revision = 0

    def find(self, table, key):
        """Return a row, or None."""
        return self._rows.get((table, key))

    def transact(self, writes, conditions=(), deletes=()):
        """Check the conditions and write the rows."""
        hook, self.before_transaction = self.before_transaction, None
        if hook is not None:
            hook()
        self._check_available()
        assert not deletes
        expected = [(w.table, w.key, w.expected) for w in writes if w.expected is not None]
        expected += [(c.table, c.key, c.revision) for c in conditions]
        found = {(table, key): self.find(table, key) for table, key, _ in expected}
        for table, key, revision in expected:
            row = found[(table, key)]
            if revision != (row.revision if row is not None else 0):
                return RowConflict(tuple(row for row in found.values() if row is not None))
        self._revision += 1
        for write in writes:
            self._rows[(write.table, write.key)] = StoredRow(
                table=write.table, key=write.key, value=write.value, revision=self._revision
            )
        return self._revision

    def read(self, table, start="", end="", part="", timeout_seconds=0.0, transfer=None):
        """Return the rows of a table."""
        return self.wait_for_changes(table, 0, 0.0)

    def wait_for_changes(self, table, after, wait_seconds, transfer=None):
        """Return the rows that have changed since a revision, in that order."""
        self._check_available()
        rows = [r for r in self._rows.values() if r.table == table and r.revision > after]
        return RowChanges(tuple(sorted(rows, key=lambda r: r.revision)), self._revision)

    def measure_unanswered_seconds(self):
        """Return zero: no call waits."""
        return 0.0

    def measure_latency_seconds(self):
        """Return zero: calls take no time."""
        return 0.0

    def get_newest_revision(self):
        """Return the newest revision."""
        return self._revision

    def has_answered_since(self, moment):
        """Return whether calls are answered."""
        return self.is_available

    def _check_available(self):
        if not self.is_available:
            raise StoreUnavailableError("the rows are unavailable")
