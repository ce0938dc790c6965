"""Stand-in servers of the soak that are full: rejections, repeated answers, statuses that prove nothing."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import AsyncMock, Mock, patch

from aiohttp import web

from brackenladder.rehearsal.nodes import free_port, unused_loopback_host
from brackenladder.rehearsal.standins.model_clients import DEADLINE
from brackenladder.rehearsal.standins.model_server import (
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    ServerSettings,
)
from brackenladder.soak.answer_faults import (
    GARBLED_ANSWERS,
    NO_FAULTS,
    UNPROVEN_STATUSES,
    AnswerFaults,
    BreakOff,
    encode_response,
)
from brackenladder.soak.connection import Connection, Head
from brackenladder.soak.events import Arrived, Event, Handled
from brackenladder.soak.partial_heads import END_OF_HEAD
from brackenladder.soak.recording_server import STALL_SECONDS, RecordingServer

TIMEOUT = 20.0  # seconds; reached only on failure
LARGEST_ANSWER = 65_536  # bytes


def request(request_id: str) -> bytes:
    """A request with an empty body."""
    lines = ["POST /pay/1 HTTP/1.1", "Host: h", f"{REQUEST_ID}: {request_id}", "Content-Length: 0", "", ""]
    return "\r\n".join(lines).encode()


class FullServerTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        host = unused_loopback_host(Random())
        self.address = f"{host}:{free_port(host, socket.SOCK_STREAM)}"
        self.events: list[Event] = []
        settings = ServerSettings("cards-1.1", "cards", self.address, "north-a")
        self.server = RecordingServer(settings, self.events.append, 0.0)
        await self.server.start()
        self.addAsyncCleanup(self.server.crash)
        self.connection = await Connection.open(self.address, TIMEOUT)
        self.addCleanup(self.connection.close)

    async def ask(self, request_id: str) -> None:
        """Sends a request on the test's connection."""
        await self.connection.send("POST", "/pay/1", {"Host": "h", REQUEST_ID: request_id}, b"{}")

    async def answer(self) -> Head:
        """The next answer on the connection."""
        async with asyncio.timeout(TIMEOUT):
            head = await self.connection.head()
            async for _ in self.connection.body(head):
                pass
        return head

    def refusals(self) -> list[int]:
        """The status of each handled request; 0: it ran."""
        return [event.refusal for event in self.events if isinstance(event, Handled)]

    async def test_a_rejected_request_does_not_run(self) -> None:
        self.server.faults = AnswerFaults(rejected=1.0)
        await self.ask("r1")
        head = await self.answer()
        self.assertIn(NOT_EXECUTED.lower(), head.headers)
        self.assertEqual(self.refusals(), [head.status])

    async def test_an_unproven_status_is_sent_for_a_request_that_ran(self) -> None:
        self.server.faults = AnswerFaults(unproven=1.0)
        await self.ask("r1")
        head = await self.answer()
        self.assertIn(head.status, UNPROVEN_STATUSES)
        self.assertNotIn(NOT_EXECUTED.lower(), head.headers)
        self.assertEqual(self.refusals(), [0])

    async def test_an_answer_is_repeated_just_before_the_next_one(self) -> None:
        self.server.faults = AnswerFaults(rejected=1.0, repeated=1.0)
        await self.ask("r1")
        first = await self.answer()
        self.server.faults = NO_FAULTS
        await self.ask("r1")
        copy, second = await self.answer(), await self.answer()
        self.assertEqual((copy.status, copy.headers[REQUEST_ID.lower()]), (first.status, "r1"))
        self.assertIn(NOT_EXECUTED.lower(), copy.headers)
        self.assertEqual(second.status, 200)
        self.assertEqual(self.refusals(), [first.status, 0])

    async def test_a_repeated_answer_may_end_within_its_head(self) -> None:
        self.server.faults = AnswerFaults(cut=1.0)
        response = self.server._refused("r1", 503)
        whole = encode_response(response)
        self.assertLess(whole.index(NOT_EXECUTED.encode()), whole.index(REQUEST_ID.encode()))
        copies = {self.server._copy(response) for _ in range(20)}
        self.assertGreater(len(copies), 1)
        for copy in copies:
            self.assertTrue(whole.startswith(copy))
            self.assertNotIn(END_OF_HEAD, copy)

    async def test_a_request_that_fails_before_it_begins_counts_as_run(self) -> None:
        self.server.faults = AnswerFaults(failed=1.0)
        await self.ask("r1")
        head = await self.answer()
        self.assertEqual(head.status, 500)
        self.assertNotIn(NOT_EXECUTED.lower(), head.headers)
        self.assertEqual(self.refusals(), [0])

    async def test_a_request_held_until_its_deadline_is_rejected_or_counts_as_run(self) -> None:
        self.server.faults = AnswerFaults(expired=1.0)
        expected = []
        for number in range(12):
            headers = {"Host": "h", REQUEST_ID: f"r{number}", DEADLINE: "20"}
            await self.connection.send("POST", "/pay/1", headers, b"{}")
            head = await self.answer()
            rejected = NOT_EXECUTED.lower() in head.headers
            self.assertEqual(head.status, 503 if rejected else 504)
            expected.append(503 if rejected else 0)
        self.assertEqual(self.refusals(), expected)
        self.assertEqual(set(expected), {0, 503})

    async def received_until_closed(self, data: bytes) -> bytes:
        """Sends bytes on a connection of their own, and returns what comes before its end, or `reset`."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        received = b""
        try:
            async with asyncio.timeout(TIMEOUT):
                while part := await reader.read(LARGEST_ANSWER):
                    received += part
        except ConnectionResetError:
            received = b"reset"
        writer.close()
        return received

    async def test_a_request_may_end_without_a_whole_answer_and_counts_as_run(self) -> None:
        self.server.faults = AnswerFaults(broken_off=1.0)
        seen = set()
        for number in range(60):
            request_id = f"r{number}"
            received = await self.received_until_closed(request(request_id))
            whole = encode_response(web.Response(headers=self.server._headers(request_id), body=b"{}"))
            if received == b"reset":
                seen.add(BreakOff.RESET)
            elif received in GARBLED_ANSWERS:
                seen.add(BreakOff.GARBLED)
            else:
                self.assertTrue(whole.startswith(received) and len(received) < len(whole), received)
                seen.add(BreakOff.CUT)
        self.assertEqual(seen, set(BreakOff))
        self.assertEqual(self.refusals(), [0] * 60)

    async def test_an_event_of_a_stream_may_come_late(self) -> None:
        pauses: list[float] = []

        async def record_pause(seconds: float) -> None:
            pauses.append(seconds)

        self.server.faults = AnswerFaults(stalled=1.0)
        stream = Mock(write=AsyncMock())
        with patch("brackenladder.soak.recording_server.asyncio.sleep", record_pause):
            await self.server.write_event(stream, b"id: 1\n\n")
        self.assertEqual(pauses, [STALL_SECONDS])
        stream.write.assert_awaited_once_with(b"id: 1\n\n")

    async def test_an_answer_may_announce_that_its_connection_closes(self) -> None:
        self.server.faults = AnswerFaults(closing=1.0)
        await self.ask("r1")
        head = await self.answer()
        self.assertEqual((head.status, head.headers["connection"]), (200, "close"))

    async def test_a_connection_beyond_the_limit_is_reset_before_its_request_arrives(self) -> None:
        self.server.faults = AnswerFaults(connections_reset=1.0)
        self.assertEqual(await self.received_until_closed(b""), b"reset")
        self.assertEqual(self.events, [])

    async def send_and_close(self, data: bytes) -> None:
        """Sends bytes on a connection of their own, and waits until the server has closed it."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(TIMEOUT):
            await reader.read()
        writer.close()

    async def test_a_head_that_ends_with_its_connection_counts_as_run(self) -> None:
        lines = [
            "POST /pay/1 HTTP/1.1",
            "Host: h",
            f"{REQUEST_ID}: r1",
            f"{EXPECTED_INSTANCE}: cards-1.1",
            "",
        ]
        await self.send_and_close("\r\n".join(lines).encode())
        self.assertEqual(self.refusals(), [0])
        self.assertEqual([event.request for event in self.events if isinstance(event, Arrived)], ["r1"])

    async def test_less_than_a_head_that_names_the_server_is_no_request(self) -> None:
        for part in (b"P", b"POST /pay/1 HTTP/1.1\r\nHost: h\r\n", b"POST /pay/1 HTT"):
            await self.send_and_close(part)
        self.assertEqual(self.events, [])
