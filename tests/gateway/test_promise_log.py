"""The records of what a gateway's promises ('this request has not run') rest on."""

from __future__ import annotations

import asyncio
import unittest

import logbook
from gateway_loopback import PATIENCE, GatewayTest, post, reject_request, serve_ok

from brackenladder.gateway.metrics import METRICS_PATH
from brackenladder.gateway.promises import LINES_PER_SECOND, AttemptRecord, Basis, PromiseLog, basis_of
from brackenladder.interface import Outcome

REJECTED = AttemptRecord("s1", Outcome.REJECTED, True, 503, not_executed=True)
UNSENT = AttemptRecord("s2", Outcome.NOT_SENT)


class PromiseLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0
        self.promises = PromiseLog(lambda: self.now)

    def logged(self, count: int) -> list[str]:
        """The log lines of this many promises after a rejection."""
        with logbook.TestHandler() as handler:
            for number in range(count):
                self.promises.promised(f"r{number}", 503, [REJECTED, UNSENT], draining=False)
        return [record.message for record in handler.records]

    def test_basis_of_a_promise(self) -> None:
        for attempts, basis in (
            ([], Basis.NO_ATTEMPT),
            ([UNSENT], Basis.NOT_WRITTEN),
            ([UNSENT, REJECTED], Basis.REJECTED),
        ):
            self.assertIs(basis_of(attempts), basis)

    def test_promises_are_counted_by_basis(self) -> None:
        self.promises.promised("r1", 503, [], draining=True)
        self.promises.promised("r2", 503, [UNSENT], draining=False)
        self.assertEqual(
            list(self.promises.lines()),
            [
                'promises_total{basis="no-attempt",draining="true"} 1',
                'promises_total{basis="not-written",draining="false"} 1',
            ],
        )

    def test_rejections_are_counted_by_their_evidence(self) -> None:
        self.promises.attempt_ended(REJECTED)
        self.promises.attempt_ended(AttemptRecord("s1", Outcome.REJECTED, True, 421))
        self.promises.attempt_ended(AttemptRecord("s1", Outcome.REJECTED, True, 503, True, id_repeated=True))
        self.promises.attempt_ended(UNSENT)
        self.assertEqual(
            list(self.promises.lines()),
            [
                'rejections_total{status="421",not_executed="false",id_repeated="false"} 1',
                'rejections_total{status="503",not_executed="true",id_repeated="false"} 1',
                'rejections_total{status="503",not_executed="true",id_repeated="true"} 1',
            ],
        )

    def test_a_promise_after_a_rejection_is_logged_with_each_attempt(self) -> None:
        line = "promise 503 for r0: s1 REJECTED status 503 not-executed; s2 NOT_SENT status 0"
        self.assertEqual(self.logged(1), [line])

    def test_log_lines_are_limited_per_second(self) -> None:
        self.assertEqual(len(self.logged(LINES_PER_SECOND + 5)), LINES_PER_SECOND)
        self.now = 1_000_000
        self.assertEqual(len(self.logged(1)), 1)


class GatewayMetricsTest(GatewayTest):
    async def metrics(self) -> str:
        """The gateway's metrics."""
        reader, writer = await asyncio.open_connection(*self.check)
        writer.write(f"GET {METRICS_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        text = await asyncio.wait_for(reader.read(), PATIENCE)
        writer.close()
        return text.decode()

    async def test_the_metrics_tell_what_promises_rest_on(self) -> None:
        self.play(reject_request)
        self.assertEqual((await self.ask(post("/plain/x"))).status, 503)
        self.play(serve_ok)
        self.assertEqual((await self.ask(post("/plain/x", "r2"))).status, 200)
        text = await self.metrics()
        self.assertIn('promises_total{basis="rejected",draining="false"} 1', text)
        self.assertIn('rejections_total{status="503",not_executed="true",id_repeated="false"}', text)
