"""Parts of the soak on real sockets: the relay, the client connection, and a client with a server."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from random import Random
from unittest import IsolatedAsyncioTestCase

from brackenladder.local_site.layout import INTERNAL_PORTS, Machine
from brackenladder.rehearsal.nodes import free_port, unused_loopback_host
from brackenladder.rehearsal.standins.model_server import ServerSettings
from brackenladder.soak.clients import Client, ClientLocation
from brackenladder.soak.configuration import PLAIN_HOST
from brackenladder.soak.connection import AnswerError, Connection, ConnectionEnded, call
from brackenladder.soak.events import Arrived, Event, Handled, Outcome, Resolved, Tried
from brackenladder.soak.recording_server import RecordingServer
from brackenladder.soak.relay import Relay
from brackenladder.soak.site import ENGINE, SoakLayout

TIMEOUT = 20.0  # seconds; reached only on failure
ROUNDS = 20  # exchanges on an undelayed link while another one is delayed


class Echo(asyncio.Protocol):
    """Echoes received data."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


class RelayTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        network = unused_loopback_host(Random()).rpartition(".")[0]
        self.layout = SoakLayout(network, Path("/nowhere"))
        self.gateway, self.node = self.layout.gateways[0], self.layout.control[0]
        self.relay = Relay(self.layout, "", "", lambda _: None)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Echo, self.node.ip, INTERNAL_PORTS[0])
        self.addCleanup(server.close)
        self.links = [await self.link(source) for source in self.layout.gateways[:2]]

    async def link(self, source: Machine) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects a gateway to the control node through the relay."""
        reader, writer = await asyncio.open_connection(*self.layout.relay_address(source, self.node))
        self.addCleanup(writer.close)
        return reader, writer

    async def echo(self, data: bytes, link: int = 0) -> bytes:
        """Sends data on a link and returns the echo."""
        reader, writer = self.links[link]
        writer.write(data)
        async with asyncio.timeout(TIMEOUT):
            return await reader.readexactly(len(data))

    def order(self, do: str, *pair: str) -> None:
        self.relay.order({"do": do, "pairs": [pair]})

    async def test_held_data_arrives_after_the_release(self) -> None:
        self.assertEqual(await self.echo(b"one"), b"one")
        for pair in ((self.gateway.name, self.node.name), (self.node.name, self.gateway.name)):
            self.order("hold", *pair)
            self.order("hold", *pair)
            self.order("release", *pair)
            echoed = asyncio.create_task(self.echo(b"two"))
            for number in range(ROUNDS):
                await self.echo(b"%d" % number, link=1)
            self.assertFalse(echoed.done())
            self.order("release", *pair)
            self.assertEqual(await echoed, b"two")

    async def test_a_reset_ends_the_link(self) -> None:
        self.assertEqual(await self.echo(b"one"), b"one")
        self.order("reset", self.gateway.name, self.node.name)
        with self.assertRaises((asyncio.IncompleteReadError, OSError)):
            await self.echo(b"two")


class ConnectionTest(IsolatedAsyncioTestCase):
    async def body_of(self, answer: bytes) -> bytes:
        """Body that the connection reads from an answer after which the server closes."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        connection = await Connection.open(f"{host}:{port}", TIMEOUT)
        self.addCleanup(connection.close)
        await connection.send("GET", "/", {"Host": "x"})
        head = await connection.head()
        return b"".join([piece async for piece in connection.body(head)])

    async def test_complete_answers(self) -> None:
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        ):
            self.assertEqual(await self.body_of(answer), b"ok")

    async def test_truncated_answers_raise_connection_ended(self) -> None:
        for answer in (
            b"",
            b"HTTP/1.1 200 OK\r\nConte",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n0\r\n",
        ):
            with self.assertRaises(ConnectionEnded):
                await self.body_of(answer)

    async def test_malformed_answers_are_rejected(self) -> None:
        for answer in (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nooo\r\n",
        ):
            with self.assertRaises(AnswerError):
                await self.body_of(answer)

    async def test_call_without_a_listener_returns_none(self) -> None:
        host = unused_loopback_host(Random())
        self.assertIsNone(await call(f"{host}:{free_port(host, socket.SOCK_STREAM)}", "GET", "/"))


class ClientTest(IsolatedAsyncioTestCase):
    async def test_a_client_and_a_server_record_the_same_request(self) -> None:
        host = unused_loopback_host(Random())
        address = f"{host}:{free_port(host, socket.SOCK_STREAM)}"
        events: list[Event] = []
        settings = ServerSettings("chat-0.1", "chat", address, "north-a", ENGINE)
        server = RecordingServer(settings, events.append, 0.0)
        await server.start()
        self.addAsyncCleanup(server.crash)
        directory = await self.directory(address)
        client = Client(
            ClientLocation("north", "north-a", (directory,)), PLAIN_HOST, Random(1), events.append
        )
        running = asyncio.create_task(client.run())
        async with asyncio.timeout(TIMEOUT):
            while not any(isinstance(event, Tried) and event.path == "/chat/1" for event in events):
                await asyncio.sleep(0)
        client.stopping = True
        await running
        tried = next(event for event in events if isinstance(event, Tried) and event.path == "/chat/1")
        self.assertEqual((tried.outcome, tried.detail), (Outcome.SERVED, "chat-0.1"))
        self.assertEqual(tried.gateway, address)
        for kind in (Arrived, Handled):
            self.assertIn(tried.request, [event.request for event in events if isinstance(event, kind)])
        self.assertTrue(any(isinstance(event, Resolved) for event in events))

    async def directory(self, address: str) -> str:
        """Starts a directory that answers with one address; returns the directory's address."""
        body = json.dumps({"Addresses": [address], "TtlS": 1}).encode()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"
