"""How a call can conclude, and the gateway's own answers to clients."""

from __future__ import annotations

from enum import Enum, IntEnum

from aiohttp import web
from attrs import frozen
from multidict import CIMultiDict

from brackenladder.core.call import Failure
from brackenladder.gateway.headers import RETRY_AFTER

DEFAULT_RETRY_AFTER = 250_000  # microseconds
MICROSECONDS_PER_SECOND = 1e6


class Status(IntEnum):
    """The statuses that the gateway answers with itself."""

    BAD_REQUEST = 400
    NOT_FOUND = 404
    REQUEST_TIMEOUT = 408
    BODY_TOO_LARGE = 413
    HEADER_TOO_LARGE = 431
    BAD_GATEWAY = 502
    UNAVAILABLE = 503
    GATEWAY_TIMEOUT = 504


# Each promises that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class RequestFault(Enum):
    """Why a request is answered before any server is asked."""

    MALFORMED = "malformed"
    NO_REQUEST_ID = "no request id"
    NO_ROUTE = "no route"
    BODY_TOO_SLOW = "body too slow"
    BODY_TOO_LARGE = "body too large"
    HEADER_TOO_LARGE = "header too large"
    NOT_CONFIGURED = "not configured"
    LEAVING = "the gateway ends"


FAULT_STATUS = {
    RequestFault.MALFORMED: Status.BAD_REQUEST,
    RequestFault.NO_REQUEST_ID: Status.BAD_REQUEST,
    RequestFault.NO_ROUTE: Status.NOT_FOUND,
    RequestFault.BODY_TOO_SLOW: Status.REQUEST_TIMEOUT,
    RequestFault.BODY_TOO_LARGE: Status.BODY_TOO_LARGE,
    RequestFault.HEADER_TOO_LARGE: Status.HEADER_TOO_LARGE,
    RequestFault.NOT_CONFIGURED: Status.UNAVAILABLE,
    RequestFault.LEAVING: Status.UNAVAILABLE,
}


@frozen
class WholeAnswer:
    """A server's answer that was read to its end."""

    server_id: str
    status: int
    reason: str
    headers: CIMultiDict[str]
    body: bytes


@frozen
class Refused:
    """A call was turned away; a retry after so many microseconds does no harm."""

    retry_after: int


@frozen
class Failed:
    """A call was not served, and nothing is promised."""

    why: Failure


def own_answer(status: Status, retry_after: int = 0) -> web.Response:
    """An answer of the gateway's own: no server's signature, no body."""
    response = web.Response(status=status)
    if status is Status.UNAVAILABLE:
        wait = retry_after if retry_after > 0 else DEFAULT_RETRY_AFTER
        response.headers[RETRY_AFTER] = f"{wait / MICROSECONDS_PER_SECOND:.3f}"
    return response


def unserved_answer(ending: Refused | Failed, in_doubt: bool, timed_out: bool) -> web.Response:
    """The answer to a request that was not served; a promise only if it cannot have run."""
    if not in_doubt:
        retry_after = ending.retry_after if isinstance(ending, Refused) else 0
        return own_answer(Status.UNAVAILABLE, retry_after)
    expired = isinstance(ending, Failed) and ending.why is Failure.EXPIRED
    return own_answer(Status.GATEWAY_TIMEOUT if timed_out or expired else Status.BAD_GATEWAY)
