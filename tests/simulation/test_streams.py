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
        self.connected = asyncio.Event()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.seen.append("made")
        self.connected.set()

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

    def test_bytes_arrive_in_order(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            sent = b"".join(b"%d;" % number for number in range(20_000))
            for begin in range(0, len(sent), 7_001):
                local.transport.write(sent[begin : begin + 7_001])
            local.transport.close()
            await remote.lost.wait()
            assert remote.data == sent and remote.seen == ["made", "eof", "lost"] and remote.error is None

        self.play(scene)

    def test_close_sends_written_data(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            local.transport.write(b"x" * LARGE)
            local.transport.close()
            assert local.transport.is_closing()
            local.transport.close()
            await remote.lost.wait()
            await local.lost.wait()
            assert len(remote.data) == LARGE and local.error is None

        self.play(scene)

    def test_directions_are_independent(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            local.transport.write(b"there")
            remote.transport.write(b"and back")
            while not (local.data and remote.data):
                await asyncio.sleep(0.001)
            assert (local.data, remote.data) == (b"and back", b"there")

        self.play(scene)

    def test_paused_reader_pauses_writer(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            remote.transport.pause_reading()
            while not local.pauses:
                local.transport.write(b"x" * LARGE)
                await asyncio.sleep(0.001)
            assert local.transport.get_write_buffer_size() > 0 and "resumed" not in local.seen
            remote.transport.resume_reading()
            while "resumed" not in local.seen:
                await asyncio.sleep(0.001)

        self.play(scene)

    def test_abort_closes_both_ends(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            local.transport.write(b"x")
            local.transport.abort()
            local.transport.abort()
            await local.lost.wait()
            await remote.lost.wait()
            assert local.seen.count("lost") == remote.seen.count("lost") == 1

        self.play(scene)

    def test_abort_with_unread_bytes_resets(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            remote.transport.pause_reading()
            local.transport.write(b"x" * 1000)
            await asyncio.sleep(0.05)
            remote.transport.abort()
            await local.lost.wait()
            assert isinstance(local.error, ConnectionResetError)

        self.play(scene)

    def test_write_after_close_is_ignored(self) -> None:
        async def scene(local: Recorder, remote: Recorder) -> None:
            local.transport.abort()
            await local.lost.wait()
            local.transport.write(b"late")
            await remote.lost.wait()
            assert remote.data == b""

        self.play(scene)


class LoopbackStreams(StreamContract, TestCase):
    """Runs the tests on asyncio's own connections."""

    def play(self, scene: Play) -> None:
        async def main() -> None:
            loop = asyncio.get_running_loop()
            remote, local = Recorder(), Recorder()
            server = await loop.create_server(lambda: remote, "127.0.0.1", 0)
            await loop.create_connection(lambda: local, *server.sockets[0].getsockname())
            async with asyncio.timeout(PATIENCE):
                await remote.connected.wait()
                await scene(local, remote)
            server.close()
            for one in (local, remote):
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
        local, remote = Recorder(), Recorder()
        await self.run_in_process(1, self.loop.create_server(lambda: remote, "10.0.0.1", 80))
        sock = SimulatedSocket()
        await self.run_in_process(0, self.loop.sock_connect(sock, ("10.0.0.1", 80)))
        await self.run_in_process(0, self.loop.create_connection(lambda: local, sock=sock))
        await remote.connected.wait()
        return local, remote

    async def run_in_process(self, number: int, work: Awaitable[object]) -> object:
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

    def test_connection_refused_without_listener(self) -> None:
        async def scene(simulated: Simulated) -> None:
            with self.assertRaises(ConnectionRefusedError):
                await simulated.run_in_process(
                    0, simulated.loop.sock_connect(SimulatedSocket(), ("10.0.0.1", 81))
                )

        self.run_one(scene)

    def test_write_to_dropped_connection_is_reset(self) -> None:
        async def scene(simulated: Simulated) -> None:
            local, remote = await simulated.connect()
            end = remote.transport
            assert isinstance(end, StreamEnd)
            end.drop_silently()
            await asyncio.sleep(1)
            self.assertEqual(local.seen, ["made"])
            local.transport.write(b"x")
            await local.lost.wait()
            self.assertIsInstance(local.error, ConnectionResetError)

        self.run_one(scene)

    def test_frozen_process_reads_after_thaw(self) -> None:
        async def scene(simulated: Simulated) -> None:
            local, remote = await simulated.connect()
            simulated.processes[1].freeze()
            local.transport.write(b"x")
            await asyncio.sleep(1)
            self.assertEqual(remote.data, b"")
            simulated.processes[1].thaw()
            await asyncio.sleep(0.01)
            self.assertEqual(remote.data, b"x")

        self.run_one(scene)

    def test_data_lost_to_unreachable_host_is_retransmitted(self) -> None:
        async def scene(simulated: Simulated) -> None:
            local, remote = await simulated.connect()
            host = simulated.loop.streams.host("10.0.0.1")
            host.unreachable = True
            local.transport.write(b"one;")
            await asyncio.sleep(1)
            host.unreachable = False
            local.transport.write(b"two")
            await asyncio.sleep(1)
            self.assertEqual(remote.data, b"one;two")

        self.run_one(scene)

    def test_connection_to_unreachable_host_times_out(self) -> None:
        async def scene(simulated: Simulated) -> None:
            local, _ = await simulated.connect()
            simulated.loop.streams.host("10.0.0.1").unreachable = True
            local.transport.write(b"x")
            await local.lost.wait()
            self.assertIsInstance(local.error, TimeoutError)
            self.assertGreaterEqual(simulated.loop.microseconds, USER_TIMEOUT)

        self.run_one(scene)

    def test_end_of_process_closes_its_connections(self) -> None:
        async def scene(simulated: Simulated) -> None:
            local, remote = await simulated.connect()
            simulated.processes[1].end()
            simulated.loop.streams.end_process(simulated.processes[1])
            await local.lost.wait()
            self.assertEqual(remote.seen, ["made"])

        self.run_one(scene)

    def test_connection_accepted_while_listener_closes_is_dropped(self) -> None:
        async def scene(simulated: Simulated) -> None:
            loop = simulated.loop
            connected: list[Recorder] = []

            def factory() -> Recorder:
                connected.append(Recorder())
                server.close()
                return connected[-1]

            server = await simulated.run_in_process(1, loop.create_server(factory, "10.0.0.1", 80))
            local, sock = Recorder(), SimulatedSocket()
            await simulated.run_in_process(0, loop.sock_connect(sock, ("10.0.0.1", 80)))
            await simulated.run_in_process(0, loop.create_connection(lambda: local, sock=sock))
            await local.lost.wait()
            self.assertEqual([one.seen for one in connected], [[]])

        self.run_one(scene)

    def test_write_limit_equals_that_of_asyncio(self) -> None:
        self.assertEqual(HIGH_WATER, 64 * 1024)
