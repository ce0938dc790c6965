"""Tests that simulated connections behave like asyncio's connections over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from unittest import TestCase

from brackenladder.simulation.stream_loop import SimulatedSocket, StreamEventLoop
from brackenladder.simulation.streams import HIGH_WATER, USER_TIMEOUT, StreamEnd, StreamNetwork
from brackenladder.simulation.virtual_loop import Process

PATIENCE = 20.0  # seconds; reached only when the test fails
LARGE = 600_000  # bytes; more than all buffers between the two ends


class Recorder(asyncio.Protocol):
    """Records the calls to a protocol."""

    def __init__(self) -> None:
        self.data = b""
        self.seen: list[str] = []
        self.error: Exception | None = None
        self.pauses = 0
        self.lost = asyncio.Event()
        self.made = asyncio.Event()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.seen.append("made")
        self.made.set()

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> None:
        self.seen.append("eof")

    def pause_writing(self) -> None:
        self.pauses += 1

    def resume_writing(self) -> None:
        self.seen.append("resumed")

    def connection_lost(self, exc: Exception | None) -> None:
        self.seen.append("lost")
        self.error = exc
        self.lost.set()


Play = Callable[[Recorder, Recorder], Awaitable[None]]


class StreamContract:
    """Tests for both kinds of connections. `play` runs a scene with the two ends of a connection."""

    def play(self, scene: Play) -> None:
        raise NotImplementedError

    def test_bytes_come_in_order_whatever_their_portions(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            sent = b"".join(b"%d;" % number for number in range(20_000))
            for begin in range(0, len(sent), 7_001):
                near.transport.write(sent[begin : begin + 7_001])
            near.transport.close()
            await far.lost.wait()
            assert far.data == sent and far.seen == ["made", "eof", "lost"] and far.error is None

        self.play(scene)

    def test_a_close_sends_what_was_written(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            near.transport.write(b"x" * LARGE)
            near.transport.close()
            assert near.transport.is_closing()
            near.transport.close()
            await far.lost.wait()
            await near.lost.wait()
            assert len(far.data) == LARGE and near.error is None

        self.play(scene)

    def test_both_directions_are_apart(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            near.transport.write(b"there")
            far.transport.write(b"and back")
            while not (near.data and far.data):
                await asyncio.sleep(0.001)
            assert (near.data, far.data) == (b"and back", b"there")

        self.play(scene)

    def test_whoever_does_not_read_holds_the_writer_up(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            far.transport.pause_reading()
            while not near.pauses:
                near.transport.write(b"x" * LARGE)
                await asyncio.sleep(0.001)
            assert near.transport.get_write_buffer_size() > 0 and "resumed" not in near.seen
            far.transport.resume_reading()
            while "resumed" not in near.seen:
                await asyncio.sleep(0.001)

        self.play(scene)

    def test_an_abort_ends_both_ends(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            near.transport.write(b"x")
            near.transport.abort()
            near.transport.abort()
            await near.lost.wait()
            await far.lost.wait()
            assert near.seen.count("lost") == far.seen.count("lost") == 1

        self.play(scene)

    def test_a_process_that_closes_with_bytes_unread_resets(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            far.transport.pause_reading()
            near.transport.write(b"x" * 1000)
            await asyncio.sleep(0.05)
            far.transport.abort()
            await near.lost.wait()
            assert isinstance(near.error, ConnectionResetError)

        self.play(scene)

    def test_nothing_is_written_after_the_end(self) -> None:
        async def scene(near: Recorder, far: Recorder) -> None:
            near.transport.abort()
            await near.lost.wait()
            near.transport.write(b"late")
            await far.lost.wait()
            assert far.data == b""

        self.play(scene)


class LoopbackStreams(StreamContract, TestCase):
    """Runs the tests on asyncio's own connections."""

    def play(self, scene: Play) -> None:
        async def main() -> None:
            loop = asyncio.get_running_loop()
            far, near = Recorder(), Recorder()
            server = await loop.create_server(lambda: far, "127.0.0.1", 0)
            await loop.create_connection(lambda: near, *server.sockets[0].getsockname())
            async with asyncio.timeout(PATIENCE):
                await far.made.wait()
                await scene(near, far)
            server.close()
            for one in (near, far):
                one.transport.abort()
            await asyncio.sleep(0)

        asyncio.run(main())


class Simulated:
    """Two hosts with one process each."""

    def __init__(self, seed: int) -> None:
        self.loop = StreamEventLoop()
        self.loop.streams = StreamNetwork(self.loop, Random(seed), lambda _one, _other: 1_000)
        self.processes = [Process("near"), Process("far")]
        for number, process in enumerate(self.processes):
            self.loop.assign_host(process, self.loop.streams.add_host(f"10.0.0.{number}", "zone"))

    async def connect(self) -> tuple[Recorder, Recorder]:
        """Returns the two ends of a new connection."""
        near, far = Recorder(), Recorder()
        await self.inside(1, self.loop.create_server(lambda: far, "10.0.0.1", 80))
        sock = SimulatedSocket()
        await self.inside(0, self.loop.sock_connect(sock, ("10.0.0.1", 80)))
        await self.inside(0, self.loop.create_connection(lambda: near, sock=sock))
        await far.made.wait()
        return near, far

    async def inside(self, number: int, work: Awaitable[object]) -> object:
        """Runs an awaitable in one of the processes."""
        return await self.processes[number].run(asyncio.ensure_future, work)


class SimulatedStreams(StreamContract, TestCase):
    """Runs the tests on simulated connections, with portions drawn from several seeds."""

    def play(self, scene: Play) -> None:
        for seed in range(5):
            simulated = Simulated(seed)

            async def main(simulated: Simulated = simulated) -> None:
                await scene(*await simulated.connect())

            simulated.loop.run_until_complete(main())
            self.assertEqual(simulated.loop.unhandled_exceptions, [])
            simulated.loop.close()

    def run_one(self, scene: Callable[[Simulated], Awaitable[None]]) -> None:
        simulated = Simulated(1)
        simulated.loop.run_until_complete(scene(simulated))
        simulated.loop.close()

    def test_nobody_listens(self) -> None:
        async def scene(simulated: Simulated) -> None:
            with self.assertRaises(ConnectionRefusedError):
                await simulated.inside(0, simulated.loop.sock_connect(SimulatedSocket(), ("10.0.0.1", 81)))

        self.run_one(scene)

    def test_what_is_written_to_a_forgotten_connection_meets_a_reset(self) -> None:
        async def scene(simulated: Simulated) -> None:
            near, far = await simulated.connect()
            end = far.transport
            assert isinstance(end, StreamEnd)
            end.drop_silently()
            await asyncio.sleep(1)
            self.assertEqual(near.seen, ["made"])
            near.transport.write(b"x")
            await near.lost.wait()
            self.assertIsInstance(near.error, ConnectionResetError)

        self.run_one(scene)

    def test_a_process_that_stands_still_reads_when_it_goes_on(self) -> None:
        async def scene(simulated: Simulated) -> None:
            near, far = await simulated.connect()
            simulated.processes[1].freeze()
            near.transport.write(b"x")
            await asyncio.sleep(1)
            self.assertEqual(far.data, b"")
            simulated.processes[1].thaw()
            await asyncio.sleep(0.01)
            self.assertEqual(far.data, b"x")

        self.run_one(scene)

    def test_what_is_lost_on_the_way_to_a_dark_host_is_sent_again(self) -> None:
        async def scene(simulated: Simulated) -> None:
            near, far = await simulated.connect()
            host = simulated.loop.streams.host("10.0.0.1")
            host.unreachable = True
            near.transport.write(b"one;")
            await asyncio.sleep(1)
            host.unreachable = False
            near.transport.write(b"two")
            await asyncio.sleep(1)
            self.assertEqual(far.data, b"one;two")

        self.run_one(scene)

    def test_a_host_that_stays_dark_ends_what_is_not_acknowledged(self) -> None:
        async def scene(simulated: Simulated) -> None:
            near, _ = await simulated.connect()
            simulated.loop.streams.host("10.0.0.1").unreachable = True
            near.transport.write(b"x")
            await near.lost.wait()
            self.assertIsInstance(near.error, TimeoutError)
            self.assertGreaterEqual(simulated.loop.microseconds, USER_TIMEOUT)

        self.run_one(scene)

    def test_a_process_that_ends_closes_what_it_had(self) -> None:
        async def scene(simulated: Simulated) -> None:
            near, far = await simulated.connect()
            simulated.processes[1].end()
            simulated.loop.streams.end_process(simulated.processes[1])
            await near.lost.wait()
            self.assertEqual(far.seen, ["made"])

        self.run_one(scene)

    def test_a_connection_taken_as_its_listener_closes_is_dropped_without_a_word(self) -> None:
        async def scene(simulated: Simulated) -> None:
            loop = simulated.loop
            made: list[Recorder] = []

            def factory() -> Recorder:
                made.append(Recorder())
                server.close()
                return made[-1]

            server = await simulated.inside(1, loop.create_server(factory, "10.0.0.1", 80))
            near, sock = Recorder(), SimulatedSocket()
            await simulated.inside(0, loop.sock_connect(sock, ("10.0.0.1", 80)))
            await simulated.inside(0, loop.create_connection(lambda: near, sock=sock))
            await near.lost.wait()
            self.assertEqual([one.seen for one in made], [[]])

        self.run_one(scene)

    def test_the_bound_of_the_writer_is_that_of_asyncio(self) -> None:
        self.assertEqual(HIGH_WATER, 64 * 1024)
