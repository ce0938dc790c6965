"""The response to a request that expires while a response from a server is being read.

A 503 promises that the request has not run. It must not be sent for a request that was written to a server,
unless that server rejected it.
"""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any, cast

from gateway_loopback import STREAM
from multidict import CIMultiDict

from brackenladder.core.call import Failure
from brackenladder.gateway.answers import Failed, Status, WholeAnswer, unserved_answer
from brackenladder.gateway.calls import GatewayCall
from brackenladder.gateway.contracts import AttemptEnd
from brackenladder.gateway.promises import AttemptRecord, PromiseLog
from brackenladder.interface import Outcome
from brackenladder.placement.traits import CallTraits

ANSWER = WholeAnswer("i-1", 200, "OK", CIMultiDict(), b"done")


class Exchange:
    """A stand-in for the exchange that a call reports rejections to."""

    context = SimpleNamespace(promises=PromiseLog(lambda: 0))

    def rejected_by(self, server_id: str) -> None:
        """Ignored here."""


class DoubtTest(unittest.TestCase):
    def setUp(self) -> None:
        self.call = GatewayCall(cast(Any, Exchange()), cast(Any, None), CallTraits(STREAM), 0, 0)

    def status_after(self, outcome: Outcome, written: bool, answer: WholeAnswer | None = None) -> int:
        """The status that the client gets if a call expires and its attempt then ends with this outcome."""
        attempt = cast(Any, SimpleNamespace(record=SimpleNamespace(id="i-1"), written=written))
        attempt.stop = lambda _: None
        attempt.ended_as = lambda outcome: AttemptRecord("i-1", outcome)
        ending = Failed(Failure.EXPIRED)
        self.call.failed(ending.why)
        self.call.attempt_ended(attempt, AttemptEnd(outcome, answer))
        return unserved_answer(ending, self.call.may_have_run, self.call.timed_out).status

    def test_a_response_read_too_late_leads_to_504(self) -> None:
        self.assertEqual(self.status_after(Outcome.OK, True, ANSWER), Status.GATEWAY_TIMEOUT)

    def test_a_request_never_written_gets_503(self) -> None:
        self.assertEqual(self.status_after(Outcome.NOT_SENT, False), Status.UNAVAILABLE)

    def test_a_rejected_request_gets_503(self) -> None:
        self.assertEqual(self.status_after(Outcome.REJECTED, True), Status.UNAVAILABLE)
