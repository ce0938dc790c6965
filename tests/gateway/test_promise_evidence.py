"""Incident REFUSED: evidence that a request has not run must come from the try that it is used for.

A server's answer proves that the request has not run only if it says so (`X-Brackenladder-Not-Executed`) and
answers this try, not an earlier try with the same id on the same connection.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count

from gateway_loopback import PATIENCE, ClientAnswer, GatewayTest, Received, answer, post

NOT_EXECUTED = "X-Brackenladder-Not-Executed: true"
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A rejection whose request id does not come before the header that says that the request has not run.
LATE_ID_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Brackenladder-Not-Executed: true\r\nKeep-Alive: timeout=5\r\n"
    b"X-Brackenladder-Request-Id: earlier\r\nContent-Length: 0\r\n\r\n"
)


def rejection(request_id: str, status: str = "503 Service Unavailable") -> bytes:
    """A server's answer that says that the request has not run."""
    return answer(request_id, b"", status, [NOT_EXECUTED])


class RecordingScript:
    """Servers that count the runs of each request, and repeat a rejection before the next answer."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self._rejected: dict[tuple[str, int], bytes] = {}  # by server and connection: the answer to repeat

    async def reject(self, request: Received) -> None:
        """Rejects the request; the connection stays open."""
        self._rejected[request.server, request.connection] = rejection(request.id)
        request.write(rejection(request.id))

    async def run(self, request: Received) -> None:
        """Runs the request. A rejection on the same connection is repeated just before the answer."""
        self.runs[request.id] += 1
        late_copy = self._rejected.pop((request.server, request.connection), b"")
        request.write(late_copy + answer(request.id, b"ran"))

    async def run_and_send_421(self, request: Received) -> None:
        """Runs the request and answers 421 without saying that it has not run."""
        self.runs[request.id] += 1
        request.write(answer(request.id, b"", "421 Misdirected Request"))


class RepeatedRejection(GatewayTest):
    servers = 1

    async def test_a_rejection_of_an_earlier_try_is_not_taken_for_a_later_one_with_the_same_id(self) -> None:
        # Incident REFUSED: a late copy of a rejection was taken as the answer to a try that the server ran.
        for number in range(5):
            script, request_id = RecordingScript(), f"r{number}"
            self.play(script.reject, script.run)
            first = await self.ask(post("/plain/x", request_id))
            self.assertEqual(first.status, 503)
            second = await self.ask(post("/plain/x", request_id))
            self.assertEqual(script.runs[request_id], 1)
            self.assertEqual((second.status, second.body), (200, b"ran"))


class MisdirectedRequest(GatewayTest):
    async def test_a_421_without_not_executed_promises_nothing(self) -> None:
        # Incident REFUSED: any 421 was taken for a rejection, so a request that ran was sent on or refused.
        script = RecordingScript()
        self.play(script.run_and_send_421)
        got = await self.ask(post("/plain/x"))
        self.assertNotIn(got.status, NOT_RUN_STATUSES)
        self.assertEqual(script.runs["r1"], 1)


class CutSurplus(GatewayTest):
    servers = 1

    def setUp(self) -> None:
        self.refused: set[str] = set()  # ids of the requests that were refused before they reached the server

    def received(self, request_id: str) -> bool:
        """Whether the server has received a request with this id."""
        return any(request.id == request_id for request in self.script.requests)

    async def ask_until_received(self, path: str, cut: int) -> ClientAnswer:
        """The response to a request that the server received.

        On a busy machine a connection may take longer than the gateway waits for it. The request is then
        refused although the server plays no part in it, and a request with another id follows.
        """
        async with asyncio.timeout(PATIENCE):
            for number in count():
                request_id = f"r{cut}.{number}"
                got = await self.ask(post(path, request_id))
                if self.received(request_id):
                    return got
                self.refused.add(request_id)
        raise AssertionError("unreachable")

    def tearDown(self) -> None:
        for request_id in self.refused:
            self.assertFalse(self.received(request_id), f"{request_id} ran later")

    async def test_a_surplus_rejection_cut_anywhere_proves_nothing_about_the_next_request(self) -> None:
        # Incident REFUSED: the start of a surplus rejection and the next answer were read as one rejection.
        surplus = LATE_ID_REJECTION
        for cut in range(1, len(surplus)):

            async def run(request: Received, start: bytes = surplus[:cut]) -> None:
                request.write(start + answer(request.id, b"ran"))
                await request.writer.drain()
                request.writer.close()

            with self.subTest(cut=cut, start=surplus[:cut][-30:]):
                self.play(run)
                got = await self.ask_until_received("/plain/x", cut)
                self.assertNotIn(got.status, NOT_RUN_STATUSES)
                if got.status == 200:
                    self.assertEqual(got.body, b"ran")

    async def test_a_surplus_rejection_cut_anywhere_proves_nothing_about_a_request_that_failed(self) -> None:
        # Incident REFUSED again: a server's own 500, before the first event of a stream, counts as run.
        surplus = LATE_ID_REJECTION
        for cut in range(1, len(surplus)):

            async def fail(request: Received, start: bytes = surplus[:cut]) -> None:
                request.write(start + answer(request.id, b"", "500 Internal Server Error"))
                await request.writer.drain()
                request.writer.close()

            with self.subTest(cut=cut, start=surplus[:cut][-30:]):
                self.play(fail)
                got = await self.ask_until_received("/stream/x", cut)
                self.assertNotIn(got.status, NOT_RUN_STATUSES)
