"""How much a placement pass has handled."""

from __future__ import annotations

import msgspec


class PassSize(msgspec.Struct, frozen=True, kw_only=True):
    """What one placement pass has handled.

    Parameters
    ----------
    ranked : int
        Steps with waiting tasks that are due.
    tried : int
        Of these, those for which workers were searched.
    advice_waiting : int
        Calls for advice that have no response yet.
    promoted : int
        Steps that went before those of better rank.
    """

    ranked: int = 0
    tried: int = 0
    advice_waiting: int = 0
    promoted: int = 0

    def merge(self, other: PassSize) -> PassSize:
        """Return the larger of each of the numbers."""
        return PassSize(
            ranked=max(self.ranked, other.ranked),
            tried=max(self.tried, other.tried),
            advice_waiting=max(self.advice_waiting, other.advice_waiting),
            promoted=max(self.promoted, other.promoted),
        )
