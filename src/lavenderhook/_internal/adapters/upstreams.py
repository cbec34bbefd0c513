"""Exchanges with upstreams."""

from __future__ import annotations

import time
from collections.abc import Callable

from ...errors import LavenderhookError, MismatchedAnswerError, TransportError
from ..core.effects import DispatchToUpstream
from ..core.events import Event, UpstreamAnswered, UpstreamFailed, UpstreamReleased
from ..ports.time import Clock
from .calls import PendingCall, PendingCalls
from .transport import (
    ClientResponse,
    Connection,
    ExchangeTimeoutError,
    HttpClient,
    build_request,
    split_address,
)

REQUEST_ID_HEADER = "lavenderhook-request-id"
NOT_RUN_HEADER = "lavenderhook-not-run"
LEAVING_HEADER = "lavenderhook-leaving"
UNAVAILABLE_STATUS = 503


class UpstreamEffects:
    """Executor of dispatches: one outstanding request for each connection.

    Parameters
    ----------
    client : HttpClient
        Its pools bound the connections to each upstream.
    clock : Clock
    calls : PendingCalls
        Holds each request and receives its response.
    apply : callable
        Receives the resulting events; called from the greenlet of the exchange.
    quarantine : float
        Seconds to wait for a late response after the deadline, so that the slot does not count as
        free while the upstream may still be working.
    headers : tuple of (str, str)
        Sent with every request.
    """

    def __init__(
        self,
        client: HttpClient,
        clock: Clock,
        calls: PendingCalls,
        apply: Callable[[Event], None],
        quarantine: float,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self._client = client
        self._clock = clock
        self._calls = calls
        self._apply = apply
        self._quarantine = quarantine
        self._headers = headers

    def dispatch(self, effect: DispatchToUpstream) -> None:
        """Send a request to an upstream and report how the exchange ends."""
        call = self._calls.get(effect.ticket)
        if call is None:
            self._report_failure(effect, TransportError("the call has ended", sent=False))
            return
        deadline = time.monotonic() + effect.deadline - self._clock.read()
        pool = self._client.get_pool(effect.address)
        try:
            connection = pool.acquire(deadline)
        except LavenderhookError as error:
            self._report_failure(effect, error)
            return
        try:
            self._exchange(effect, call, connection, deadline)
        finally:
            self._client.count(pool.address, connection)
            pool.release(connection)

    def _exchange(
        self,
        effect: DispatchToUpstream,
        call: PendingCall,
        connection: Connection,
        deadline: float,
    ) -> None:
        location = effect.address.partition("/")[0]
        headers = (*call.headers, *self._headers, (REQUEST_ID_HEADER, effect.request_id))
        try:
            prefix = split_address(effect.address)[2]
            data = build_request(call.method, prefix + call.target, location, headers, call.body)
            connection.send(call.method, data, deadline)
            response = connection.receive(deadline)
            _check_echo(effect, response)
        except ExchangeTimeoutError as error:
            self._report_failure(effect, error, timed_out=True)
            self._wait_for_release(effect, connection, deadline)
        except LavenderhookError as error:
            connection.reusable = False
            self._report_failure(effect, error)
        else:
            call.response = response
            self._report_response(effect, response)

    def _wait_for_release(
        self, effect: DispatchToUpstream, connection: Connection, deadline: float
    ) -> None:
        """Read a late response to its end and discard it."""
        try:
            response = connection.receive(deadline + self._quarantine)
            _check_echo(effect, response)
        except LavenderhookError:
            connection.reusable = False
        event = UpstreamReleased(
            now=self._clock.read(), ticket=effect.ticket, upstream_id=effect.upstream_id
        )
        self._apply(event)

    def _report_response(self, effect: DispatchToUpstream, response: ClientResponse) -> None:
        is_unavailable = response.status == UNAVAILABLE_STATUS
        event = UpstreamAnswered(
            now=self._clock.read(),
            ticket=effect.ticket,
            upstream_id=effect.upstream_id,
            status=response.status,
            not_run=is_unavailable and response.get_header(NOT_RUN_HEADER) == "1",
            leaving=response.get_header(LEAVING_HEADER) == "1",
        )
        self._apply(event)

    def _report_failure(
        self, effect: DispatchToUpstream, error: LavenderhookError, *, timed_out: bool = False
    ) -> None:
        event = UpstreamFailed(
            now=self._clock.read(),
            ticket=effect.ticket,
            upstream_id=effect.upstream_id,
            sent=error.sent if isinstance(error, TransportError) else True,
            timed_out=timed_out,
            failure=error.code,
        )
        self._apply(event)


def _check_echo(effect: DispatchToUpstream, response: ClientResponse) -> None:
    echoed = response.get_header(REQUEST_ID_HEADER)
    if echoed is not None and echoed != effect.request_id:
        raise MismatchedAnswerError(effect.request_id, echoed)
