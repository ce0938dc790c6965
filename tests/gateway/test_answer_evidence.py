"""Whatever surplus precedes a server's answer, the gateway reads that answer or none.

Incident REFUSED: surplus bytes changed what an answer proved about its request.
"""

from __future__ import annotations

import asyncio
from typing import Any, cast
from unittest import TestCase
from unittest.mock import MagicMock

from attrs import frozen
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.gateway.headers import NOT_EXECUTED, REQUEST_ID
from brackenladder.gateway.server_protocol import ServerProtocol

OWN = "own"
NOT_EXECUTED_LINE = "X-Brackenladder-Not-Executed: true"
STATUSES = (200, 400, 408, 421, 429, 500, 503)


@frozen
class Answer:
    """A server's answer."""

    request_id: str
    status: int
    not_executed: bool
    chunked: bool
    body: bytes
    id_first: bool

    def encode(self) -> bytes:
        """Its bytes; the request id is the first or the last but one header."""
        identity = [f"X-Brackenladder-Request-Id: {self.request_id}"]
        evidence = [NOT_EXECUTED_LINE] * self.not_executed + ["Keep-Alive: timeout=5", "Versions: 3"]
        middle = identity + evidence if self.id_first else evidence + identity
        framing = "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {len(self.body)}"
        head = "\r\n".join([f"HTTP/1.1 {self.status} Text", *middle, framing, "", ""]).encode()
        if not self.chunked:
            return head + self.body
        return head + (b"%x\r\n%b\r\n" % (len(self.body), self.body) if self.body else b"") + b"0\r\n\r\n"


def answers(request_id: str) -> st.SearchStrategy[Answer]:
    """Answers of every kind to a request."""
    return st.builds(
        Answer,
        request_id=st.just(request_id),
        status=st.sampled_from(STATUSES),
        not_executed=st.booleans(),
        chunked=st.booleans(),
        body=st.sampled_from((b"", b"ok", b"0\r\n\r\n", b"x" * 200)),
        id_first=st.booleans(),
    )


async def read(parts: list[bytes]) -> tuple[int, bool, str, bytes] | None:
    """What the gateway reads from these bytes as the answer to `OWN`; None: no whole answer."""
    protocol = ServerProtocol(asyncio.get_running_loop())
    transport = MagicMock()
    transport.is_closing.return_value = False
    protocol.connection_made(cast(Any, transport))
    protocol.begin(OWN, False)
    for part in parts:
        protocol.data_received(part)
    protocol.eof_received()
    protocol.connection_lost(None)
    try:
        message, payload = await protocol.read()
        body = await payload.read()
    except Exception:  # of whatever type: the attempt is broken, and its request stays in doubt
        return None
    headers = message.headers
    return message.code, NOT_EXECUTED in headers, headers[REQUEST_ID], body


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    """Cuts data into parts of these sizes; the last part takes the rest."""
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [part for part in (*parts, data) if part]


class SurplusBeforeAnAnswer(TestCase):
    @given(
        st.lists(answers("other"), max_size=2),
        answers("other"),
        st.floats(0.0, 1.0),
        answers(OWN),
        st.lists(st.integers(1, 120), max_size=6),
    )
    def test_the_answer_is_read_as_sent_or_not_at_all(
        self, whole: list[Answer], cut_short: Answer, cut: float, own: Answer, sizes: list[int]
    ) -> None:
        start = cut_short.encode()
        surplus = b"".join([one.encode() for one in whole]) + start[: int(cut * len(start))]
        got = asyncio.run(read(split(surplus + own.encode(), sizes)))
        if got is not None:
            self.assertEqual(got, (own.status, own.not_executed, OWN, own.body))

    @given(st.lists(answers("other"), max_size=3), answers(OWN), st.lists(st.integers(1, 120), max_size=6))
    def test_whole_surplus_answers_are_skipped(
        self, surplus: list[Answer], own: Answer, sizes: list[int]
    ) -> None:
        data = b"".join([one.encode() for one in (*surplus, own)])
        self.assertEqual(asyncio.run(read(split(data, sizes))), (own.status, own.not_executed, OWN, own.body))
