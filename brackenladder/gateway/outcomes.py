"""Maps the status and headers of a server's response to the outcome of the attempt."""

from __future__ import annotations

from multidict import CIMultiDictProxy

from brackenladder.gateway.answers import NOT_RUN_STATUSES
from brackenladder.gateway.headers import NOT_EXECUTED
from brackenladder.interface import Outcome

SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
FIRST_FAILURE = 400


def outcome_of(status: int, headers: CIMultiDictProxy[str]) -> Outcome:
    """The outcome of an attempt that received a whole response with this head.

    Only `X-Brackenladder-Not-Executed` says that the server has not run the request; no status does.
    """
    if status >= FIRST_FAILURE and NOT_EXECUTED in headers:
        return Outcome.REJECTED
    if status == GATEWAY_TIMEOUT:
        return Outcome.TIMEOUT
    if status >= SERVER_ERROR or status in NOT_RUN_STATUSES:
        return Outcome.ERROR
    return Outcome.OK


def may_be_passed_on(status: int) -> bool:
    """Whether a server's error response may be forwarded to the client, although the request may have run.

    A status that promises that the request has not run may not be forwarded: only a server that sends
    `X-Brackenladder-Not-Executed` may make that promise.
    """
    return status not in NOT_RUN_STATUSES
