"""How the soak's servers spoil their answers: shares of the requests, and the bytes of a copied answer."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

from aiohttp import web
from attrs import frozen

from brackenladder.rehearsal.standins.model_server import NOT_EXECUTED, REQUEST_ID

REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
UNPROVEN_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
# Bytes that form no answer, though some of them say that a request has not run.
GARBLED_ANSWERS = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"HTTP/1.1 999\r\n\r\n",
    f"503 Service Unavailable\r\n{NOT_EXECUTED}: true\r\n\r\n".encode(),
    f"{NOT_EXECUTED}: true\r\nContent-Length: 0\r\n\r\n".encode(),
    f"HTTP/1.1 503 Service Unavailable\r\n{NOT_EXECUTED}: true\r\nContent-Length: 0\r\n\r\n".encode(),
)


class BreakOff(Enum):
    """How a server ends a request without a whole answer."""

    RESET = "reset"
    GARBLED = "garbled"  # bytes that form no answer, then the end of the connection
    CUT = "cut"  # an answer without its last bytes, then the end of the connection


@frozen
class AnswerFaults:
    """How servers treat requests while they are full: shares of all requests, from 0 to 1."""

    rejected: float = 0.0  # rejected, with the header that says that they have not run
    failed: float = 0.0  # ended with 500 before they began, without that header
    expired: float = 0.0  # held until their deadline, then ended with 504, or rejected
    unproven: float = 0.0  # run, and answered with a status of a rejection, but without that header
    repeated: float = 0.0  # answered a second time, just before the next answer on the connection
    cut: float = 0.0  # share of the repeated answers that end within their head
    broken_off: float = 0.0  # ended before they began, without a whole answer
    stalled: float = 0.0  # share of a stream's events that come late, as if it had been preempted
    closing: float = 0.0  # answered with `Connection: close`
    connections_reset: float = 0.0  # share of the new connections that are reset at once


NO_FAULTS = AnswerFaults()
FULL = AnswerFaults(
    rejected=0.5,
    failed=0.05,
    expired=0.03,
    unproven=0.05,
    repeated=0.5,
    cut=0.3,
    broken_off=0.06,
    stalled=0.02,
    closing=0.1,
    connections_reset=0.1,
)


def encode_response(response: web.Response) -> bytes:
    """The bytes of a response with its body, as they are sent on a connection; the request id comes late."""
    body = response.body if isinstance(response.body, bytes) else b""
    headers = dict(response.headers)
    headers.pop("Content-Length", None)
    names = sorted(headers, key=lambda name: (name != NOT_EXECUTED, name == REQUEST_ID))
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [f"{name}: {headers[name]}" for name in names]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
