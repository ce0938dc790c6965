"""The records of what a gateway's promises ('this request has not run') rest on."""

from __future__ import annotations

import asyncio
import unittest

import logbook
from gateway_loopback import PATIENCE, GatewayTest, post, reject_request, serve_ok

from brackenladder.gateway.metrics import METRICS_PATH
from brackenladder.gateway.promises import (
    LINES_PER_SECOND,
    AttemptRecord,
    Basis,
    ClientPlace,
    OwnAnswer,
    PromiseLog,
    Written,
    basis_of,
)
from brackenladder.interface import Outcome
from brackenladder.registry.records import ServerState

REJECTED = AttemptRecord("s1", Outcome.REJECTED, Written.ALL, 503, not_executed=True)
UNSENT = AttemptRecord("s2", Outcome.NOT_SENT)
CHECKED = AttemptRecord("s3", Outcome.NOT_SENT, Written.START)
RESET = AttemptRecord("s4", Outcome.RESET, Written.ALL)


def own_answer(
    request_id: str, *attempts: AttemptRecord, status: int = 503, draining: bool = False
) -> OwnAnswer:
    """A gateway's answer to the third request on its client connection 12."""
    return OwnAnswer(request_id, status, attempts, ClientPlace(12, 3), draining)


class PromiseLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0
        self.promises = PromiseLog(lambda: self.now)

    def logged(self, *answers: OwnAnswer) -> list[str]:
        """The log lines of these answers."""
        with logbook.TestHandler() as handler:
            for answer in answers:
                self.promises.answered(answer)
        return [record.message for record in handler.records]

    def test_basis_of_a_promise(self) -> None:
        for attempts, basis in (
            ([], Basis.NO_ATTEMPT),
            ([UNSENT], Basis.NOT_WRITTEN),
            ([UNSENT, REJECTED], Basis.REJECTED),
        ):
            self.assertIs(basis_of(attempts), basis)

    def test_promises_are_counted_by_basis(self) -> None:
        self.promises.answered(own_answer("r1", draining=True))
        self.promises.answered(own_answer("r2", UNSENT))
        self.promises.answered(own_answer("r3", RESET, status=502))  # no promise
        self.assertEqual(
            list(self.promises.lines()),
            [
                'promises_total{basis="no-attempt",draining="true"} 1',
                'promises_total{basis="not-written",draining="false"} 1',
                "own_answers_unlogged_total 0",
            ],
        )

    def test_rejections_are_counted_by_their_evidence(self) -> None:
        self.promises.attempt_ended(REJECTED)
        self.promises.attempt_ended(AttemptRecord("s1", Outcome.REJECTED, Written.ALL, 421))
        repeated = AttemptRecord("s1", Outcome.REJECTED, Written.ALL, 503, True, id_repeated=True)
        self.promises.attempt_ended(repeated)
        self.promises.attempt_ended(UNSENT)
        self.assertEqual(
            list(self.promises.lines()),
            [
                'rejections_total{status="421",not_executed="false",id_repeated="false"} 1',
                'rejections_total{status="503",not_executed="true",id_repeated="false"} 1',
                'rejections_total{status="503",not_executed="true",id_repeated="true"} 1',
                "own_answers_unlogged_total 0",
            ],
        )

    def test_a_promise_is_logged_with_its_basis_its_place_and_each_attempt(self) -> None:
        place = "client connection 12 request 3"
        rejected = "s1 REJECTED written all status 503 not-executed"
        for answer, line in (
            (own_answer("r1"), f"promise 503 for r1: no-attempt; {place}"),
            (
                own_answer("r2", CHECKED, draining=True),
                f"promise 503 for r2 (draining): not-written; {place}; s3 NOT_SENT written start status 0",
            ),
            (
                own_answer("r3", REJECTED, UNSENT),
                f"promise 503 for r3: rejected; {place}; {rejected}; s2 NOT_SENT written nothing status 0",
            ),
        ):
            self.assertEqual(self.logged(answer), [line])

    def test_an_answer_in_doubt_is_logged_as_no_promise(self) -> None:
        line = (
            "no promise 502 for r1: in doubt; client connection 12 request 3; s4 RESET written all status 0"
        )
        self.assertEqual(self.logged(own_answer("r1", RESET, status=502)), [line])

    def test_log_lines_are_limited_per_second_and_the_others_are_counted(self) -> None:
        answers = [own_answer(f"r{number}", REJECTED) for number in range(LINES_PER_SECOND + 5)]
        self.assertEqual(len(self.logged(*answers)), LINES_PER_SECOND)
        self.assertIn("own_answers_unlogged_total 5", self.promises.lines())
        self.now = 1_000_000
        self.assertEqual(len(self.logged(answers[0])), 1)


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

    async def test_a_promise_is_found_by_the_id_of_its_request_whatever_it_rests_on(self) -> None:
        client = await self.client()
        self.play(reject_request)
        handler = logbook.TestHandler()
        with handler.applicationbound():
            await client.ask(post("/plain/x", "r1"))
            self.list_servers(ServerState.DRAINING, seq=2)
            await client.ask(post("/plain/x", "r2"))
        lines = [record.message for record in handler.records if record.channel == "promises"]
        begin, place, *attempts = lines[0].split("; ")
        self.assertEqual((begin, place), ("promise 503 for r1: rejected", "client connection 1 request 1"))
        self.assertRegex(attempts[0], "s[01] REJECTED written all status 503 not-executed")
        self.assertEqual(lines[1], "promise 503 for r2: no-attempt; client connection 1 request 2")
