"""Credentials of callers, operators and peers."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from ...errors import PermissionDeniedError, UnauthenticatedError
from ..core.identifiers import CallerName, TeamName
from .frontend import HttpRequest

CALLER_HEADER = "lavenderhook-caller"
DEFAULT_TEAM = TeamName("default")
ANONYMOUS = CallerName("anonymous")
_SCHEME = "bearer "
_Entry = TypeVar("_Entry")


class Identity(msgspec.Struct, frozen=True):
    """A caller and the team whose quota it uses."""

    caller: CallerName
    team: TeamName


def _read_token(incoming: HttpRequest) -> str:
    value = incoming.headers.get("authorization", "")
    if not value.lower().startswith(_SCHEME):
        raise UnauthenticatedError("a bearer credential is required")
    return value[len(_SCHEME) :].strip()


class Credentials:
    """Checks the credentials that the settings declare.

    Parameters
    ----------
    callers : mapping of str to Identity
        Identities by token; if empty, the name in the caller header is trusted.
    operators : mapping of str to str
        Names by token.
    peer : str
        Shared credential of the peers; empty for none.
    """

    def __init__(
        self, callers: Mapping[str, Identity], operators: Mapping[str, str], peer: str
    ) -> None:
        self._callers = {token.encode(): identity for token, identity in callers.items()}
        self._operators = {token.encode(): name for token, name in operators.items()}
        self._peer = peer.encode()

    @property
    def strips_authorization(self) -> bool:
        """Return whether the authorization header is for this system and not forwarded."""
        return bool(self._callers)

    def identify_caller(self, incoming: HttpRequest) -> Identity:
        """Return the identity of the caller.

        Raises
        ------
        UnauthenticatedError
            If callers are declared and the call carries no credential of one of them.
        PermissionDeniedError
            If the call names a caller to whom the credential does not belong.
        """
        caller_name = incoming.headers.get(CALLER_HEADER, "")
        if not self._callers:
            return Identity(CallerName(caller_name) if caller_name else ANONYMOUS, DEFAULT_TEAM)
        identity = _find(self._callers, _read_token(incoming))
        if identity is None:
            raise UnauthenticatedError("unknown credential")
        if caller_name and caller_name != identity.caller:
            raise PermissionDeniedError(f"the credential does not belong to {caller_name!r}")
        return identity

    def require_team(self, identity: Identity, team: TeamName) -> None:
        """Check that a caller may submit work that is charged to a team.

        Raises
        ------
        PermissionDeniedError
            If callers are declared and this one belongs to another team.
        """
        if self._callers and identity.team != team:
            raise PermissionDeniedError(f"the workload belongs to team {team!r}")

    def identify_operator(self, incoming: HttpRequest) -> str:
        """Return the name of the calling operator.

        Raises
        ------
        UnauthenticatedError
            If the call carries no credential of an operator.
        """
        name = _find(self._operators, _read_token(incoming))
        if name is None:
            raise UnauthenticatedError("unknown credential")
        return name

    def require_peer(self, incoming: HttpRequest) -> None:
        """Check that the call comes from a peer.

        Raises
        ------
        UnauthenticatedError
            If peers share a credential and the call does not carry it.
        """
        if self._peer and not hmac.compare_digest(_read_token(incoming).encode(), self._peer):
            raise UnauthenticatedError("not the credential of the peers")


def _find(table: Mapping[bytes, _Entry], token: str) -> _Entry | None:
    """Return the entry of a token; each comparison takes constant time and none is skipped."""
    given = token.encode()
    found = None
    for known, entry in table.items():
        if hmac.compare_digest(known, given):
            found = entry
    return found
