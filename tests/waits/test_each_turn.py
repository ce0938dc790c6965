"""Waits of the service end when they are given up, in whichever turn of the event loop that comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import patch

from returns.result import Result, Success
from waits.each_turn import Wait, WaitLost, must_end, play_each_turn

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import BeginEvacuation, encode_order
from brackenladder.consensus.replica import Replica
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import DurableState, Member, Members, Write
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.messages import OrderOutcome, OrderReply
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.server_protocol import ServerProtocol
from brackenladder.gateway.start_gate import StartGate
from brackenladder.storage.log_store import StoreError
from brackenladder.transport.codec import Codec
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

PATIENCE = 60.0  # seconds of virtual time
ORDER = encode_order(BeginEvacuation("hall-1"))


class HeldWriter:
    """Makes writes durable at once, or once `held` is taken away."""

    def __init__(self) -> None:
        self.held = False
        self._waiting: list[Callable[[], None]] = []

    def submit(self, write: Write, done: Callable[[Write, Result[None, StoreError]], None]) -> None:
        loop = asyncio.get_running_loop()
        self._waiting.append(lambda: loop.call_soon(done, write, Success(None)) and None)
        if not self.held:
            self.release()

    def release(self) -> None:
        self.held = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def close(self) -> None:
        pass

    def join(self, timeout_s: float) -> bool:
        return True


async def leading_host(writer: HeldWriter) -> ConsensusHost:
    """A system of one replica that leads."""
    loop = asyncio.get_running_loop()
    member = Member("one", "127.0.0.1:1")
    replica = Replica(member, DurableState(), Timing(), Random(1), 0, Members((member,)))
    host = ConsensusHost(
        replica, writer, Catalog(), lambda: int(loop.time() * 1e6), lambda _to, _what: None, lambda: None
    )
    host.start()
    while not host.leads or host.applied_index < replica.last_index:
        await asyncio.sleep(0.01)
    return host


async def leader_change() -> Wait:
    host = await leading_host(HeldWriter())
    return Wait(lambda: host.wait_for_leader_change(PATIENCE), lambda: host.leader_changed.set())


async def proposal() -> Wait:
    writer = HeldWriter()
    host = await leading_host(writer)
    writer.held = True
    return Wait(
        lambda: host.propose(ORDER),
        writer.release,
        lambda: str(list(host._proposals) if host._proposals else ""),
    )


async def read_round() -> Wait:
    host = await leading_host(HeldWriter())
    answers = host._answer_reads
    host._answer_reads = lambda _output: None  # type: ignore[method-assign]  # the round does not end by itself

    def end() -> None:
        host._answer_reads = answers  # type: ignore[method-assign]
        for token in list(host._reads):
            host._conclude_read(token, Success(None))

    return Wait(host.confirm_read, end, lambda: str(list(host._reads) if host._reads else ""))


async def newer_catalog() -> Wait:
    host = await leading_host(HeldWriter())
    host.catalog = SimpleNamespace(revision=0)  # type: ignore[assignment]  # all that the wait looks at

    def end() -> None:
        host.catalog = SimpleNamespace(revision=9)  # type: ignore[assignment]
        host._changed.set()

    return Wait(lambda: host.wait_for_revision(9), end)


def reply_of_a_leader(by_change: bool) -> Callable[[], object]:
    async def make() -> Wait:
        table = ReplyTable()
        link = object()
        changed = asyncio.Event()
        request = table.open(link)  # type: ignore[arg-type]  # it is compared only

        def end() -> None:
            if by_change:
                changed.set()
            else:
                table.resolve(link, OrderReply(request, OrderOutcome.ACCEPTED, 1))  # type: ignore[arg-type]

        left = lambda: str(list(table._waiting) if table._waiting else "")  # noqa: E731
        return Wait(lambda: table.wait(request, OrderReply, changed, PATIENCE), end, left)

    return make


async def start_gate() -> Wait:
    gate = StartGate(SystemView())
    return Wait(lambda: gate.wait(1 << 40), gate.open)


async def reset_of_a_rested_connection() -> Wait:
    protocol = ServerProtocol(asyncio.get_running_loop())
    left = lambda: "a waiter" if protocol._lost_waiter is not None else ""  # noqa: E731
    return Wait(lambda: protocol.wait_for_loss(PATIENCE), lambda: protocol.connection_lost(None), left)


class EachTurnTest(TestCase):
    def test_a_wait_for_another_leader(self) -> None:
        play_each_turn(leader_change)

    def test_an_order_that_waits_for_its_commit(self) -> None:
        play_each_turn(proposal)

    def test_a_read_that_waits_for_a_quorum(self) -> None:
        play_each_turn(read_round)

    def test_a_read_that_waits_for_the_nodes_own_log(self) -> None:
        play_each_turn(newer_catalog)

    def test_an_answer_of_the_leader(self) -> None:
        play_each_turn(reply_of_a_leader(by_change=False))  # type: ignore[arg-type]

    def test_an_answer_that_another_leader_ends(self) -> None:
        play_each_turn(reply_of_a_leader(by_change=True))  # type: ignore[arg-type]

    def test_a_request_that_waits_at_the_start_gate(self) -> None:
        play_each_turn(start_gate)

    def test_a_look_at_a_rested_connection(self) -> None:
        play_each_turn(reset_of_a_rested_connection)


class PlantedTest(TestCase):
    """The two faults that CI beside load has found, and the plainest of their class."""

    def test_a_cancellation_that_is_dropped(self) -> None:
        async def dropping(self: ConsensusHost, timeout: float) -> None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._leader_changed.wait(), timeout)

        with patch.object(ConsensusHost, "wait_for_leader_change", dropping), self.assertRaises(WaitLost):
            play_each_turn(leader_change)

    def test_a_connection_that_never_hears_of_its_end(self) -> None:
        aborted = TcpTransport._abort_all

        def forgets_none(self: TcpTransport) -> None:
            links = set(self._incoming)
            aborted(self)
            self._incoming |= links

        end_of_a_transport()
        with patch.object(TcpTransport, "_abort_all", forgets_none), self.assertRaises(WaitLost):
            end_of_a_transport()

    def test_an_end_that_comes_to_nobody(self) -> None:
        async def make() -> Wait:
            waiter = asyncio.get_running_loop().create_future()

            async def wait() -> None:
                with suppress(asyncio.CancelledError):
                    await waiter
                await asyncio.Event().wait()

            return Wait(wait, lambda: None)

        with self.assertRaises(WaitLost):
            play_each_turn(make)


def end_of_a_transport() -> None:
    """A transport closes in the turn in which asyncio has made a protocol for a connection, and drops it."""

    async def close() -> None:
        transport = TcpTransport(Codec(), LinkTiming(close_grace=1_000), Random(1))
        transport._accept(object())  # type: ignore[arg-type]  # nothing is ever handed over
        await transport.close()

    must_end(close)
