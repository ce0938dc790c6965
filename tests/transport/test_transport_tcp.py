"""Tests of the transport over TCP: the contract of transports on loopback, and behaviour specific to TCP."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from transport.contract import ANY_PORT, TransportContract
from transport.support import Note, Recorder, at_most, next_iteration, note_codec

from brackenladder.transport.errors import LinkClosed, ListenError
from brackenladder.transport.framing import PING, frame
from brackenladder.transport.handshake import encode_hello
from brackenladder.transport.link import LinkLimits, LinkTiming, ProtocolVersions, Transport
from brackenladder.transport.tcp import TcpTransport

FRAME_LIMIT = 16 << 20
STEADY = LinkTiming(retry_min=1_000, retry_max=4_000, listen_timeout=1_000, listen_retry=1_000)
SHORT_SILENCE = LinkTiming(ping_every=40_000, silence_timeout=250_000, retry_min=1_000, retry_max=4_000)
HELLO = frame(encode_hello(ProtocolVersions(), "raw"), FRAME_LIMIT)


class TcpCase(IsolatedAsyncioTestCase):
    """Creates transports and closes them after the test."""

    def setUp(self):
        self.transports: list[Transport] = []

    async def asyncTearDown(self):
        for transport in self.transports:
            await at_most(transport.close())

    def make(self, name: str, timing: LinkTiming = STEADY, **options: object) -> TcpTransport:
        codec = options.pop("codec", None) or note_codec()
        transport = TcpTransport(codec, timing, Random(1), name=name, **options)
        self.transports.append(transport)
        return transport

    async def until(self, recorder, condition):
        await recorder.until(condition)

    async def settle(self):
        """Waits for another pair of nodes to connect and exchange a message."""
        one, other = self.make("settle-one"), self.make("settle-other")
        sides = Recorder(), Recorder(on_connected=lambda link: link.send(Note(0)))
        await one.listen(ANY_PORT, sides[0])
        other.dial(one.listening[0], sides[1])
        await sides[0].until(lambda: bool(sides[0].messages))

    async def raw(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a plain TCP connection to a transport."""
        ip, port = address.split(":")
        reader, writer = await at_most(asyncio.open_connection(ip, int(port)))
        self.addCleanup(writer.close)
        return reader, writer

    async def raw_server(self, greeting: bytes) -> tuple[str, list[asyncio.StreamReader]]:
        """Starts a plain TCP server that sends `greeting` and keeps its connections open."""
        readers: list[asyncio.StreamReader] = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.addCleanup(writer.close)
            writer.write(greeting)
            readers.append(reader)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        return f"{ip}:{port}", readers


class TcpContractTest(TcpCase, TransportContract):
    pass


class ForeignBytesTest(TcpCase):
    """Bytes from a client that isn't a node, or from a faulty node."""

    async def refused_for(self, data: bytes, limits: LinkLimits | None = None) -> LinkClosed:
        side = Recorder()
        transport = self.make("far", limits=limits, on_refused=side.refused)
        await transport.listen(ANY_PORT, side)
        _, writer = await self.raw(transport.listening[0])
        writer.write(data)
        await side.until(lambda: bool(side.refusals))
        self.assertEqual(side.calls, [])
        return side.refusals[0]

    async def closed_for(self, data: bytes, limits: LinkLimits | None = None) -> tuple[LinkClosed, Recorder]:
        side = Recorder()
        transport = self.make("far", limits=limits)
        await transport.listen(ANY_PORT, side)
        _, writer = await self.raw(transport.listening[0])
        writer.write(HELLO + data)
        await side.until(lambda: bool(side.reasons))
        return side.reasons[0], side

    async def test_a_first_frame_that_is_no_hello(self):
        for body in (b"\x01", b"\x90", b"\x91\x00", b"\x93\x01\x01\x01"):
            self.assertEqual(await self.refused_for(frame(body, FRAME_LIMIT)), LinkClosed.MALFORMED)

    async def test_a_ping_before_the_hello(self):
        self.assertEqual(await self.refused_for(PING), LinkClosed.MALFORMED)

    async def test_another_protocol(self):
        self.assertEqual(await self.refused_for(b"GET / HTTP/1.1\r\n\r\n"), LinkClosed.OVERSIZED)

    async def test_a_malformed_frame(self):
        good = frame(note_codec().encode(Note(1)), FRAME_LIMIT)
        reason, side = await self.closed_for(good + b"\0\0\0\1\xc1")
        self.assertEqual(reason, LinkClosed.MALFORMED)
        self.assertEqual(side.messages, [Note(1)])

    async def test_a_field_of_another_type(self):
        reason, _ = await self.closed_for(frame(b"\x92\x01\xa1a", FRAME_LIMIT))
        self.assertEqual(reason, LinkClosed.MALFORMED)

    async def test_a_frame_over_the_limit(self):
        reason, _ = await self.closed_for((1_001).to_bytes(4, "big"), LinkLimits(frame_bytes=1_000))
        self.assertEqual(reason, LinkClosed.OVERSIZED)

    async def test_a_connection_that_ends_within_a_frame(self):
        side = Recorder()
        transport = self.make("far")
        await transport.listen(ANY_PORT, side)
        _, writer = await self.raw(transport.listening[0])
        writer.write(HELLO + b"\0\0\0\5abc")
        writer.close()
        await side.until(lambda: bool(side.reasons))
        self.assertEqual((side.messages, side.reasons), ([], [LinkClosed.REMOTE]))

    async def test_a_reset(self):
        side = Recorder()
        transport = self.make("far")
        await transport.listen(ANY_PORT, side)
        _, writer = await self.raw(transport.listening[0])
        writer.write(HELLO)
        await side.until(lambda: bool(side.links))
        writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )
        writer.transport.abort()
        await side.until(lambda: bool(side.reasons))
        self.assertEqual(side.reasons, [LinkClosed.LOST])


class SilenceTest(TcpCase):
    """Pings, and closing of links that receive nothing."""

    async def test_a_quiet_link_sends_pings(self):
        address, readers = await self.raw_server(HELLO)
        side = Recorder()
        self.make("near", SHORT_SILENCE).dial(address, side)
        await side.until(lambda: bool(readers))
        hello = frame(encode_hello(ProtocolVersions(), "near"), FRAME_LIMIT)
        self.assertEqual(await at_most(readers[0].readexactly(len(hello))), hello)
        self.assertEqual(await at_most(readers[0].readexactly(2 * len(PING))), PING + PING)

    async def test_a_silent_link_is_closed_and_dialled_again(self):
        address, _ = await self.raw_server(HELLO)
        side = Recorder()
        self.make("near", SHORT_SILENCE).dial(address, side)
        await side.until(lambda: len(side.links) == 2)
        self.assertEqual(side.reasons[0], LinkClosed.SILENT)

    async def test_a_listener_that_never_sends_a_hello_is_given_up(self):
        address, _ = await self.raw_server(b"")
        side = Recorder()
        dialer = self.make("near", SHORT_SILENCE, on_refused=side.refused).dial(address, side)
        await side.until(lambda: len(side.refusals) == 2)
        self.assertEqual(dialer.last_reason, LinkClosed.SILENT)
        self.assertEqual(side.calls, [])

    async def test_two_quiet_nodes_keep_their_link(self):
        far, near = self.make("far", SHORT_SILENCE), self.make("near", SHORT_SILENCE)
        side, dead = Recorder(), Recorder()
        await far.listen(ANY_PORT, Recorder())
        near.dial(far.listening[0], side)
        await side.until(lambda: bool(side.links))
        address, _ = await self.raw_server(HELLO)
        near.dial(address, dead)  # measures three silence timeouts
        await dead.until(lambda: len(dead.reasons) == 3)
        self.assertEqual(side.calls, ["connected"])

    async def test_the_queue_stays_within_its_limit_if_the_peer_does_not_read(self):
        address, readers = await self.raw_server(HELLO)
        side = Recorder()
        near = self.make("near", limits=LinkLimits(queue_bytes=100_000))
        dialer = near.dial(address, side)
        await side.until(lambda: bool(side.links))
        link = side.links[0]
        for _ in range(10_000):
            if not link.send(Note(1, body=bytes(10_000))):
                break
            await next_iteration()  # writes the batch to the kernel
        self.assertFalse(link.send(Note(1, body=bytes(10_000))))
        self.assertLessEqual(link.queued_bytes, 100_000)
        dialer.close()
        self.assertEqual(side.reasons, [])  # the close waits until the queued messages have been sent


class DialerTest(TcpCase):
    """Connection attempts."""

    async def test_a_connection_that_hangs_is_given_up(self):
        hanging, started = LinkTiming(connect_timeout=5_000, retry_min=1_000), []
        reached = asyncio.Event()

        async def hang(connection: socket.socket, address: object) -> None:
            started.append(connection)
            if len(started) == 3:
                reached.set()
            await asyncio.get_running_loop().create_future()

        side = Recorder()
        with patch.object(asyncio.get_running_loop(), "sock_connect", hang):
            dialer = self.make("near", hanging).dial("127.0.0.1:9", side)
            await at_most(reached.wait())
            self.assertEqual([each.fileno() for each in started[:2]], [-1, -1])  # the sockets were closed
            self.assertEqual(dialer.last_reason, LinkClosed.UNREACHABLE)
            dialer.close()
            await at_most(dialer.wait_closed())
        self.assertEqual([each.fileno() for each in started], [-1] * len(started))

    async def test_a_dialer_can_be_closed_at_any_time(self):
        far_side, side = Recorder(), Recorder()
        far, near = self.make("far"), self.make("near")
        await far.listen(ANY_PORT, far_side)
        for rounds in range(8):
            dialer = near.dial(far.listening[0], side)
            for _ in range(rounds):
                await next_iteration()
            dialer.close()
            await at_most(dialer.wait_closed())
            self.assertTrue(dialer.done)

    async def test_a_transport_waits_for_links_that_cannot_send(self):
        address, _ = await self.raw_server(HELLO)
        side = Recorder()
        near = self.make("near", LinkTiming(close_grace=5_000))
        near.dial(address, side)
        await side.until(lambda: bool(side.links))
        side.links[0].send(Note(1, body=bytes(12 << 20)))
        await at_most(near.close())
        self.assertEqual(side.reasons, [LinkClosed.LOCAL])


class ListenTest(TcpCase):
    """Listening on addresses that are in use."""

    async def test_an_address_in_use_is_tried_again(self):
        holder = socket.socket()
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        ip, port = holder.getsockname()
        transport = self.make("far", LinkTiming(listen_retry=1_000))
        listening = asyncio.ensure_future(transport.listen(f"{ip}:{port}", Recorder()))
        await self.settle()
        self.assertFalse(listening.done())
        holder.close()
        await at_most(listening)
        self.assertEqual(transport.listening, (f"{ip}:{port}",))

    async def test_a_closed_transport_stops_retrying(self):
        holder = self.make("holder")
        await holder.listen(ANY_PORT, Recorder())
        transport = self.make("far", LinkTiming(listen_retry=1_000))
        listening = asyncio.ensure_future(transport.listen(holder.listening[0], Recorder()))
        await next_iteration()
        await transport.close()
        with self.assertRaises(ListenError):
            await at_most(listening)
        self.assertTrue(transport.dial(holder.listening[0], Recorder()).done)

    async def test_an_address_of_another_machine_is_an_error_at_once(self):
        with self.assertRaises(ListenError):
            await at_most(self.make("far", LinkTiming()).listen("192.0.2.1:0", Recorder()))


class ConnectionDroppedByListenerTest(TcpCase):
    """asyncio drops a connection that it accepts while the listener closes, without calling its protocol."""

    async def test_close_does_not_wait_for_it(self):
        transport = self.make("one", LinkTiming(close_grace=1_000))
        await transport.listen(ANY_PORT, Recorder())
        transport._accept(Recorder())  # creates only the protocol; `connection_made` is never called
        await at_most(transport.close())
