"""What is promised of a request whose time is over at the moment at which its answer is read."""

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
from brackenladder.interface import Outcome
from brackenladder.placement.traits import CallTraits

ANSWER = WholeAnswer("i-1", 200, "OK", CIMultiDict(), b"done")


class Exchange:
    """Takes what a call tells of servers."""

    def rejected_by(self, server_id: str) -> None:
        """Nothing is kept."""


class DoubtTest(unittest.TestCase):
    def setUp(self) -> None:
        self.call = GatewayCall(cast(Any, Exchange()), cast(Any, None), CallTraits(STREAM), 0, 0)

    def status_after(self, outcome: Outcome, written: bool, answer: WholeAnswer | None = None) -> int:
        """The answer to a call that has expired, once its attempt has ended so."""
        attempt = cast(Any, SimpleNamespace(record=SimpleNamespace(id="i-1"), written=written))
        attempt.stop = lambda _: None
        ending = Failed(Failure.EXPIRED)
        self.call.failed(ending.why)
        self.call.attempt_ended(attempt, AttemptEnd(outcome, answer))
        return unserved_answer(ending, self.call.may_have_run, self.call.timed_out).status

    def test_an_answer_that_was_read_too_late_is_no_promise(self) -> None:
        self.assertEqual(self.status_after(Outcome.OK, True, ANSWER), Status.GATEWAY_TIMEOUT)

    def test_a_request_that_was_never_written_is_promised_not_to_have_run(self) -> None:
        self.assertEqual(self.status_after(Outcome.NOT_SENT, False), Status.UNAVAILABLE)

    def test_a_server_that_has_not_run_it_says_so(self) -> None:
        self.assertEqual(self.status_after(Outcome.REJECTED, True), Status.UNAVAILABLE)
