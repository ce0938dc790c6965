"""Tests of RPC calls that end early or late: client resets, late repeats, a process that was suspended."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import time
from typing import Any

import msgpack
import pytest
from crossings import HeldConnects, Raw
from loopback import MOMENT, play, until
from rpc.standins import Bench, Server, answer

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome

DEPARTURES = 200
ONE_AT_A_TIME = {"pipeline": 1, "server_connections": 1}


def call(msgid: int) -> bytes:
    return msgpack.packb([0, msgid, "invite", [msgid]])


async def until_settled(bench: Bench, clients: int) -> None:
    """Waits until this number of clients is left and no call is open."""
    await until(lambda: len(bench.front.clients) == clients and not bench.pool.host.calls)


def test_a_waiting_call_of_a_client_that_reset_is_not_sent():
    """The reset and the response that frees a connection arrive in the same loop iteration, and the response
    is read first."""

    async def scene():
        bench = (await Bench(server := Server(None), table=ONE_AT_A_TIME).start()).wide()
        (endpoint,) = bench.pool.upstream.endpoints.values()
        staying = await bench.client()
        for n in range(1, DEPARTURES + 1):
            staying.call("invite", n)
            await until(lambda n=n: len(server.calls) == n)
            leaving = Raw(bench.port, call(7))
            await until(lambda: len(endpoint.queue) == 1)
            # It waits at least this long; no stricter order of events is required.
            await asyncio.sleep(0.0015)
            leaving.leave("rst")
            endpoint.links[0].data_received(answer(server.calls[-1][1]))
            assert (await staying.receive())[2] is None
            await until_settled(bench, 1)
            assert len(server.calls) == n

    play(scene)


class DelayedConnects(HeldConnects):
    """A loop that starts to connect only once `go` is set."""

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        self.up += 1
        await self.go.wait()
        return await self.loop.create_connection(*args, **kwargs)


def notification(number: int) -> bytes:
    return msgpack.packb([2, "ping", [number]])


@pytest.mark.parametrize("how", ["stays", "ends its sending", "rst"])
def test_calls_behind_notifications_are_sent_unless_their_client_reset(how):
    """Notifications end without a response. While the limit of open calls is reached, the client's connection
    isn't read, so a reset goes unnoticed."""

    async def scene():
        bench = (await Bench(server := Server(), table={"client_calls": 2}).start()).wide()
        upstream = bench.pool.upstream
        loop = upstream.loop
        for n in range(DEPARTURES // 4 if how == "rst" else 1):
            upstream.close_idle(number_of("s0"))
            upstream.loop = connects = DelayedConnects(loop)  # so all calls wait for a connection
            client = Raw(bench.port, b"".join(notification(i) for i in range(2)) + call(7) + call(8))
            await until(lambda: any(len(c.pending) == 2 for c in bench.front.clients))
            if how == "rst":
                client.leave("rst")
            elif how == "ends its sending":
                client.sock.shutdown(socket.SHUT_WR)
            connects.go.set()
            await until(lambda n=n: len(server.messages) >= 2 * n + 2)
            if how != "rst":
                answers = msgpack.Unpacker()
                responses: list[Any] = []
                while len(responses) < 2:
                    answers.feed(await client.answer())
                    responses += list(answers)
                assert sorted(responses) == [[1, 7, None, [7]], [1, 8, None, [8]]]
                client.leave("fin")
            await until_settled(bench, 0)
            assert len(server.calls) == (0 if how == "rst" else 2)

    play(scene)


class FixedBalancer:
    """Replaces the Balancer: sends each call to the server `first`, and a failed one once more, to `s1`."""

    def __init__(self, bench: Bench, first: str) -> None:
        self.host = bench.pool.host
        self.first = first
        balancer: Any = self.host.balancer
        balancer.request = self.request
        balancer.outcome = self.outcome
        self.outcomes: list[Outcome] = []

    def request(self, now: int, request: int, *rest: Any) -> None:
        self.host.send(request, number_of(self.first), 15 * MOMENT)

    def outcome(self, now: int, request: int, attempt: int, server: int, end: Outcome, *rest: Any) -> None:
        self.outcomes.append(end)
        if end != Outcome.OK:
            if attempt == 0:
                self.host.send(request, number_of("s1"), 15 * MOMENT)
            else:
                self.host.fail(request)


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_repeat_is_not_written_after_its_window(late):
    """The retry was decided within the window, but a connection becomes free only after it."""

    async def scene():
        first = Server(lambda connection, _: connection.transport.abort())
        bench = (await Bench(first, second := Server(None), table=ONE_AT_A_TIME).start()).wide()
        host = bench.pool.host
        busy = bench.pool.upstream.endpoints[number_of("s1")]
        client = await bench.client()
        balancer = FixedBalancer(bench, "s1")
        client.call("invite", "takes the only place")
        await until(lambda: len(second.calls) == 1)
        balancer.first = "s0"
        client.call("offer", {"key": 1})
        await until(lambda: len(busy.queue) == 1)
        (repeat,) = [c for c in host.calls.values() if c.in_doubt]
        if late:
            repeat.write_by = host.now()
        connection, message = second.messages[0]
        connection.reply(message[1])
        assert (await client.receive())[1] == 1
        if late:
            _, msgid, error, _ = await client.receive()
            assert (msgid, error[0]) == (2, "failed")
        else:
            await until(lambda: len(second.calls) == 2)
        assert len(second.calls) == (1 if late else 2)
        assert balancer.outcomes[:1] == [Outcome.RESET]

    play(scene)


def test_after_a_suspension_list_updates_are_read_before_calls_are_sent():
    """The call is read first, while the update that its server drains is still unread in another socket."""

    async def scene():
        bench = await Bench(leaving := Server(), staying := Server()).start()
        balancer = FixedBalancer(bench, "s0")
        client = await bench.client()
        assert (await client.ask("invite", 1))[0] is None  # a connection to `s0` is up
        (connection,) = bench.front.clients
        await until(lambda: len(bench.discovery.writers) == 1 and len(bench.discovery.requests) == 2)
        bench.pool.upstream.stall.grace_until = time.monotonic() + 60
        update = json.dumps(
            {"version": 42, "full": False, "servers": [leaving.entry("s0", "draining")]}
        ).encode()
        number = bench.discovery.writers[0].get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(number)) as sock:
            sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(update), update))
        connection.data_received(call(2))
        assert await client.receive() == [1, 2, None, [2]]
        assert len(leaving.calls) == len(staying.calls) == 1
        assert balancer.outcomes == [Outcome.OK, Outcome.NOT_SENT, Outcome.OK]

    play(scene)
