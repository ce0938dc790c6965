"""A call given up on a shared connection must never have two attempts running at the same time."""

from __future__ import annotations

from typing import Any

from loopback import MOMENT, play, until
from rpc.standins import Bench, Server

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome


class RetryingBalancer:
    """Replaces the Balancer: the first attempt has a time-out of 0.1 s and is then retried at `s1`."""

    def __init__(self, bench: Bench) -> None:
        self.host = bench.pool.host
        self.outcomes: list[Outcome] = []
        balancer: Any = self.host.balancer
        balancer.request = self.request
        balancer.outcome = self.outcome

    def request(self, now: int, request: int, klass: int, *rest: Any) -> None:
        self.host.send(request, number_of("s0"), 100_000 if klass == 0 else 15 * MOMENT)

    def outcome(
        self, now: int, request: int, attempt: int, server: int, outcome: Outcome, *rest: Any
    ) -> None:
        self.outcomes.append(outcome)
        if outcome == Outcome.TIMEOUT:
            self.host.send(request, number_of("s1"), MOMENT)
        elif outcome != Outcome.OK:
            self.host.refuse(request, 0)


def test_the_next_attempt_starts_after_the_connection_of_the_first_is_closed():
    async def scene():
        bench = await Bench(silent := Server(None), other := Server()).start()
        balancer = RetryingBalancer(bench)
        client = await bench.client()
        assert await client.ask("view", 1) == [None, [1]]
        assert len(silent.calls) == len(other.calls) == 1
        await until(lambda: all(c.ended for c in silent.connections))
        assert balancer.outcomes == [Outcome.TIMEOUT, Outcome.OK]

    play(scene)


def test_there_is_no_further_attempt_while_other_calls_keep_the_connection_open():
    async def scene():
        bench = await Bench(silent := Server(None), other := Server()).start()
        balancer = RetryingBalancer(bench)
        client = await bench.client()
        client.call("invite", "neighbour")
        await until(lambda: len(silent.calls) == 1)
        client.call("view", 1)
        _, msgid, error, _ = await client.receive()
        assert msgid == 2 and error[0] == "refused" and "may have run" in error[2]
        assert not other.calls and balancer.outcomes == [Outcome.TIMEOUT, Outcome.NOT_SENT]
        connection, message = silent.messages[0]
        connection.reply(message[1], None, "neighbour")
        assert await client.receive() == [1, 1, None, "neighbour"]
        assert not connection.ended

    play(scene)
