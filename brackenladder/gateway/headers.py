"""Header names, and which headers are not forwarded."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from multidict import CIMultiDict, CIMultiDictProxy, istr

REQUEST_ID = istr("X-Brackenladder-Request-Id")
REQUEST_DEADLINE = istr("X-Brackenladder-Request-Deadline-Ms")
EXPECTED_INSTANCE = istr("X-Brackenladder-Expected-Instance")
NOT_EXECUTED = istr("X-Brackenladder-Not-Executed")
RESPONSE_SIGNATURE = istr("X-Brackenladder-Response-Signature")
INSTANCE_ID = istr("X-Brackenladder-Instance-Id")
MODEL = istr("X-Brackenladder-Model")
TOKEN_USAGE = istr("X-Brackenladder-Token-Usage")
PROMPT_PREFIX = istr("X-Brackenladder-Prompt-Prefix")
PRIORITY = istr("Priority")
LAST_EVENT_ID = istr("Last-Event-Id")
RETRY_AFTER = istr("Retry-After")
CONNECTION = istr("Connection")
CONTENT_LENGTH = istr("Content-Length")
CONTENT_TYPE = istr("Content-Type")
EXPECT = istr("Expect")
HOST = istr("Host")
KEEP_ALIVE = istr("Keep-Alive")

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# The gateway writes these anew for the server; the client's values are dropped.
REWRITTEN = frozenset(
    name.lower().encode() for name in (REQUEST_DEADLINE, EXPECTED_INSTANCE, PRIORITY, CONTENT_LENGTH, EXPECT)
)
# Forwarded even if `Connection` names them as hop-by-hop.
PROTECTED = frozenset(
    name.lower().encode()
    for name in (HOST, REQUEST_ID, CONTENT_TYPE, LAST_EVENT_ID, MODEL, TOKEN_USAGE, PROMPT_PREFIX)
)
ENDED_IN_REQUESTS = HOP_BY_HOP | REWRITTEN
ENDED_IN_ANSWERS = frozenset(name.decode() for name in HOP_BY_HOP) | {"content-length"}

RawHeaders = Sequence[tuple[bytes, bytes]]


def named_by_connection(raw_headers: RawHeaders) -> frozenset[bytes]:
    """The headers that the `Connection` header declares to be hop-by-hop."""
    values = [value for name, value in raw_headers if name.lower() == b"connection"]
    names = frozenset(name.strip().lower() for value in values for name in value.split(b","))
    return names - PROTECTED


def forwarded_lines(raw_headers: RawHeaders, without: Iterable[bytes] = ()) -> bytes:
    """The header lines of a request that are forwarded to a server, in the client's order."""
    ended = ENDED_IN_REQUESTS | named_by_connection(raw_headers) | frozenset(without)
    kept = [b"%b: %b\r\n" % (name, value) for name, value in raw_headers if name.lower() not in ended]
    return b"".join(kept)


def header_bytes(raw_headers: RawHeaders, target: str) -> int:
    """The approximate size of a request's head."""
    overhead = len(": \r\n")
    return len(target) + sum([len(name) + len(value) + overhead for name, value in raw_headers])


def answer_headers(received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """The headers of a server's response that are forwarded to the client."""
    connection = received.get(CONNECTION)
    ended = ENDED_IN_ANSWERS
    if connection is not None and "," in connection:
        ended = ended | {name.strip().lower() for name in connection.split(",")}
    kept = CIMultiDict[str]()
    for name, value in received.items():
        if name.lower() not in ended and encodable(value):
            kept.add(name, value)
    return kept


def encodable(value: str) -> bool:
    """Whether a header's value can be encoded as UTF-8 again; bytes that were not valid UTF-8 can't."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
