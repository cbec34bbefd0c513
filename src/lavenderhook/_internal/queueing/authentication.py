"""Check of the key of a call.

Answers revoked and made-up keys, also while the configuration can't be confirmed: a key of the
active version is accepted, and an unknown one is denied only if no newer version can have it.
"""

from __future__ import annotations

import abc
import enum

from .organisations import Organisation, Organisations


class CallRefusal(enum.Enum):
    """Why a call is not served."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"  # a newer configuration may say otherwise


class RevocationPolicy(abc.ABC):
    """For how long the active configuration is trusted not to miss a revocation."""

    @abc.abstractmethod
    def trusts_keys(self, age_seconds: float) -> bool:
        """Return whether known keys are accepted.

        Parameters
        ----------
        age_seconds : float
            How long ago the active configuration was known to be the newest.
        """


class AvailableRevocation(RevocationPolicy):
    """Accepts known keys at any age.

    While nobody reaches the store, nobody can revoke a key; while another instance does, a peer
    passes the revocation on.
    """

    def trusts_keys(self, age_seconds: float) -> bool:
        """Return True."""
        return True


class StrictRevocation(RevocationPolicy):
    """Accepts known keys up to an age of the configuration, at the price of outages.

    Parameters
    ----------
    max_age_seconds : float
    """

    def __init__(self, max_age_seconds: float) -> None:
        self._max_age_seconds = max_age_seconds

    def trusts_keys(self, age_seconds: float) -> bool:
        """Return whether the configuration is young enough."""
        return age_seconds <= self._max_age_seconds


def authenticate(
    key: str,
    organisations: Organisations,
    policy: RevocationPolicy,
    *,
    can_deny: bool,
    age_seconds: float,
) -> Organisation | CallRefusal:
    """Return the organisation that a call belongs to, or why it isn't served.

    Parameters
    ----------
    key : str
        Empty if the call has none.
    organisations : Organisations
        Those of the active configuration.
    policy : RevocationPolicy
    can_deny : bool
        Whether what the active configuration does not have does not exist.
    age_seconds : float
        How long ago the active configuration was known to be the newest.
    """
    organisation = organisations.find_by_key(key) if key else None
    if organisation is not None:
        return organisation if policy.trusts_keys(age_seconds) else CallRefusal.UNCONFIRMED
    if not can_deny:
        return CallRefusal.UNCONFIRMED
    if not key:
        return CallRefusal.MISSING
    return CallRefusal.UNKNOWN if organisations.is_complete else CallRefusal.UNCONFIRMED
