"""Requests that a gateway forwards to servers, and their responses."""

from __future__ import annotations

import asyncio
import socket
import struct

from attrs import evolve
from gateway_loopback import (
    HOST,
    PATIENCE,
    PLAIN,
    SERVICE,
    Behaviour,
    GatewayTest,
    Received,
    answer,
    post,
    reject_request,
    serve_ok,
    silent,
)

from brackenladder.gateway.upstream import MAX_BUFFERED_BODY
from brackenladder.registry.records import ServerState


class PlainRequests(GatewayTest):
    async def test_a_request_is_forwarded_unchanged_and_its_response_returned(self) -> None:
        extra = ["X-Own: kept", "Connection: x-drop", "X-Drop: gone", "Accept: a/b", "Priority: 1"]
        got = await self.ask(post("/plain/a%2Fb//c;d?x=%20y&&z=1", body=b"\x00raw", extra=extra))
        self.assertEqual((got.status, got.body, got.whole), (200, b"ok", True))
        self.assertEqual(got.headers["x-brackenladder-response-signature"], "stamp.1")
        self.assertEqual(got.headers["x-brackenladder-request-id"], "r1")
        self.assertNotIn("content-encoding", got.headers)
        request = self.script.requests[0]
        self.assertEqual((request.method, request.target), ("POST", "/plain/a%2Fb//c;d?x=%20y&&z=1"))
        self.assertEqual(request.body, b"\x00raw")
        self.assertEqual(request.header("X-Own"), "kept")
        self.assertIsNone(request.header("X-Drop"))
        self.assertEqual(request.header("Host"), HOST)
        self.assertEqual(request.header("X-Brackenladder-Expected-Instance"), request.server)
        self.assertEqual(request.header("Priority"), "5")
        self.assertTrue(7000 < int(request.header("X-Brackenladder-Request-Deadline-Ms") or 0) <= 8000)
        names = [key.lower() for key, _ in request.lines]
        self.assertEqual(len(names), len(set(names)))
        for added in ("user-agent", "accept-encoding", "content-type", "connection"):
            self.assertNotIn(added, names)

    async def test_connections_are_reused_on_both_sides(self) -> None:
        client = await self.client()
        for number in range(6):
            got = await asyncio.wait_for(client.ask(post("/plain/x", f"r{number}")), PATIENCE)
            self.assertEqual(got.headers["x-brackenladder-request-id"], f"r{number}")
        self.assertLessEqual(sum(stand_in.connections for stand_in in self.stand_ins), 2)

    async def test_chunked_body_and_get_and_head(self) -> None:
        chunked = post("/plain/x", body=b"", extra=["Transfer-Encoding: chunked"])
        await self.ask(chunked + b"5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n")
        await self.ask(post("/plain/x", body=b"", method="GET"))
        self.assertEqual([r.body for r in self.script.requests], [b"hello!", b""])
        self.assertEqual(self.script.requests[0].header("Content-Length"), "6")
        self.assertIsNone(self.script.requests[0].header("Transfer-Encoding"))
        self.assertIsNone(self.script.requests[1].header("Content-Length"))

        async def head_only(request: Received) -> None:
            request.write(answer(request.id, b"ok")[:-2])

        self.play(head_only)
        client = await self.client()
        client.send(post("/plain/x", body=b"", method="HEAD"))
        status, _ = await asyncio.wait_for(client.head(), PATIENCE)
        self.assertEqual(status, 200)

    async def test_pipelined_requests_get_their_responses_in_order(self) -> None:
        client = await self.client()
        client.send(post("/plain/x", "a") + post("/plain/x", "b") + post("/plain/x", "c"))
        got = [await asyncio.wait_for(client.read(), PATIENCE) for _ in range(3)]
        self.assertEqual([g.headers["x-brackenladder-request-id"] for g in got], ["a", "b", "c"])

    async def test_error_responses_of_servers_are_forwarded_with_their_signature(self) -> None:
        for status in ("500 Oops", "404 Not Found", "504 Late"):
            with self.subTest(status):

                async def fail(request: Received, status: str = status) -> None:
                    request.write(answer(request.id, b"why", status))

                self.play(fail)
                got = await self.ask(post("/plain/x"))
                self.assertEqual((got.status, got.body), (int(status[:3]), b"why"))
                self.assertEqual(got.headers["x-brackenladder-response-signature"], "stamp.1")
        self.assertEqual(len(self.script.requests), 3)

    async def test_expect_100_continue(self) -> None:
        client = await self.client()
        client.send(post("/plain/x", body=b"", extra=["Content-Length: 2", "Expect: 100-continue"]))
        interim = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        self.assertTrue(interim.startswith(b"HTTP/1.1 100 "))
        got = await asyncio.wait_for(client.ask(b"hi"), PATIENCE)
        self.assertEqual((got.status, self.script.requests[0].body), (200, b"hi"))
        self.assertIsNone(self.script.requests[0].header("Expect"))

    async def test_a_large_response_is_relayed_and_a_truncated_one_breaks_the_connection(self) -> None:
        large = bytes(3_000_000)

        async def give(request: Received) -> None:
            request.write(answer(request.id, large))

        async def cut(request: Received) -> None:
            request.write(answer(request.id, large)[:-10])
            await request.writer.drain()
            request.reset()

        self.play(give, cut)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, len(got.body), got.whole), (200, len(large), True))
        got = await self.ask(post("/plain/x"))
        self.assertFalse(got.whole)


class Refusals(GatewayTest):
    async def test_a_rejected_request_is_sent_to_another_server(self) -> None:
        self.play(reject_request, serve_ok)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, len(self.script.requests)), (200, 2))
        self.assertNotEqual(self.script.requests[0].server, self.script.requests[1].server)

    async def test_a_request_rejected_by_all_servers_gets_503_with_retry_after(self) -> None:
        self.play(reject_request)
        got = await self.ask(post("/plain/x"))
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers["retry-after"]), 0)
        self.assertNotIn("x-brackenladder-response-signature", got.headers)

    async def test_421_with_not_executed_is_a_rejection(self) -> None:
        async def misdirected(request: Received) -> None:
            extra = ["X-Brackenladder-Not-Executed: true"]
            request.write(answer(request.id, b"", "421 Misdirected Request", extra))

        self.play(misdirected, serve_ok)
        self.assertEqual((await self.ask(post("/plain/x"))).status, 200)

    async def test_a_421_without_not_executed_is_repeated_only_on_safe_routes(self) -> None:
        async def misdirected(request: Received) -> None:
            request.write(answer(request.id, b"", "421 Misdirected Request"))

        for path, status in (("/plain/x", 502), ("/safe/x", 200)):
            with self.subTest(path):
                self.play(misdirected, serve_ok)
                self.assertEqual((await self.ask(post(path, path))).status, status)

    async def test_a_503_without_not_executed_becomes_502(self) -> None:
        async def bare(request: Received) -> None:
            request.write(answer(request.id, b"", "503 Service Unavailable"))

        self.play(bare)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, len(self.script.requests)), (502, 1))
        self.assertNotIn("x-brackenladder-response-signature", got.headers)

    async def test_a_dead_server_is_skipped(self) -> None:
        self.stand_ins[0].stop_listening()
        for number in range(4):
            got = await self.ask(post("/plain/x", f"r{number}"))
            self.assertEqual(got.status, 200)

    async def test_without_a_usable_server_the_response_is_503(self) -> None:
        for stand_in in self.stand_ins:
            stand_in.stop_listening()
        got = await self.ask(post("/plain/x"))
        self.assertEqual(got.status, 503)
        self.list_servers(ServerState.DRAINING, 2)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, len(self.script.requests)), (503, 0))

    async def test_invalid_requests_are_rejected(self) -> None:
        no_id = b"POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual((await self.ask(no_id)).status, 400)
        self.assertEqual((await self.ask(post("/other/x"))).status, 404)
        self.assertEqual((await self.ask(post("/plain"))).status, 404)
        self.assertEqual((await self.ask(post("/plain/x", extra=["X-Big: " + "b" * 20_000]))).status, 431)
        self.assertEqual((await self.ask(post("/plain/x", extra=["X-Big: " + "b" * 80_000]))).status, 431)
        self.assertEqual(self.script.requests, [])

    async def test_unparsable_hints_are_ignored(self) -> None:
        extra = ["X-Brackenladder-Token-Usage: many", "X-Brackenladder-Prompt-Prefix: zz:1,,"]
        got = await self.ask(post("/plain/x", extra=extra, deadline_ms=None))
        self.assertEqual(got.status, 200)


class Configurations(GatewayTest):
    def configure(self, *args: object, **changes: object) -> None:
        if args or changes:
            super().configure(*args, **changes)  # type: ignore[arg-type]

    async def test_routes_follow_the_configuration(self) -> None:
        got = await self.ask(post("/plain/x"))
        self.assertEqual(got.status, 503)
        self.assertIn("retry-after", got.headers)
        self.configure((PLAIN,))
        self.assertEqual((await self.ask(post("/plain/x"))).status, 200)
        self.configure((evolve(PLAIN, prefix="/new/"),))
        self.assertEqual((await self.ask(post("/plain/x"))).status, 404)
        self.assertEqual((await self.ask(post("/new/x"))).status, 200)

    async def test_another_service_has_no_servers(self) -> None:
        self.configure((evolve(PLAIN, split=(evolve(PLAIN.split[0], service="b"),)),), (SERVICE, "b"))
        self.assertEqual((await self.ask(post("/plain/x"))).status, 503)
        self.assertEqual(self.script.requests, [])


class UnsafeRetries(GatewayTest):
    async def test_a_reset_after_sending_is_retried_only_on_safe_routes(self) -> None:
        async def reset(request: Received) -> None:
            request.reset()

        self.play(reset, serve_ok)
        got = await self.ask(post("/plain/x"))
        self.assertEqual((got.status, len(self.script.requests)), (502, 1))
        self.play(reset, serve_ok)
        got = await self.ask(post("/safe/x"))
        self.assertEqual((got.status, len(self.script.requests)), (200, 3))

    async def test_truncated_or_malformed_responses_are_not_forwarded(self) -> None:
        whole = answer("r1", b"0123456789")
        bad_chunk = stream_like(b"zz\r\nno chunk")
        for sent in (whole[:-1], whole[:40], b"\x16\x03 garbage\r\n\r\n", bad_chunk):
            with self.subTest(sent):

                async def give(request: Received, sent: bytes = sent) -> None:
                    request.write(sent)
                    await request.writer.drain()
                    request.writer.write_eof()
                    await request.client_closed()

                self.play(give)
                got = await self.ask(post("/plain/x"))
                self.assertEqual((got.status, got.whole), (502, True))
                self.assertNotIn("x-brackenladder-response-signature", got.headers)

    async def test_a_response_without_a_length_ends_with_its_connection(self) -> None:
        """One 'may have no length and end with its connection; one that is reset isn't complete'."""
        for body in (b"", b"0123456789", b"x" * 100_000, b"y" * (MAX_BUFFERED_BODY + 10)):
            for chunks in (1, 3):
                with self.subTest(size=len(body), chunks=chunks):
                    self.play(in_parts(unframed(body), chunks, reset=False))
                    got = await self.ask(post("/plain/x"))
                    self.assertEqual((got.status, got.whole, len(got.body)), (200, True, len(body)))
                    self.assertEqual(got.body, body)

    async def test_a_response_without_a_length_that_is_reset_is_incomplete(self) -> None:
        for size in (0, 1, 10, 100_000):
            with self.subTest(size=size):
                self.play(in_parts(unframed(b"x" * size), 2, reset=True))
                got = await self.ask(post("/plain/x"))
                self.assertEqual((got.status, got.whole), (502, True))
                self.assertNotIn("x-brackenladder-response-signature", got.headers)

    async def test_a_large_response_that_is_reset_ends_the_clients_connection(self) -> None:
        async def reset_later(request: Received) -> None:
            request.write(unframed(b"y" * (MAX_BUFFERED_BODY + 10)))
            await request.client_read.wait()
            reset_connection(request)

        self.play(reset_later)
        client = await self.client()
        client.send(post("/plain/x"))
        status, headers = await asyncio.wait_for(client.head(), PATIENCE)
        self.assertEqual((status, headers.get("transfer-encoding")), (200, "chunked"))
        await asyncio.wait_for(client.read_chunk(), PATIENCE)
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            while await asyncio.wait_for(client.read_chunk(), PATIENCE):
                pass

    async def test_a_silent_server_leads_to_504_at_the_deadline(self) -> None:
        self.play(silent)
        got = await self.ask(post("/plain/x", deadline_ms=300))
        self.assertEqual(got.status, 504)

    async def test_a_server_error_on_a_safe_route_is_retried_once_elsewhere(self) -> None:
        async def fail(request: Received) -> None:
            request.write(answer(request.id, b"why", "500 Oops"))

        self.play(fail, serve_ok)
        self.assertEqual((await self.ask(post("/safe/x"))).status, 200)
        self.play(fail)
        got = await self.ask(post("/safe/x"))
        self.assertEqual((got.status, got.body), (500, b"why"))
        self.assertEqual(len(self.script.requests), 4)

    async def test_a_disconnecting_client_frees_its_server(self) -> None:
        self.play(silent)
        client = await self.client()
        client.send(post("/plain/x"))
        request = await self.next_request()
        client.close()
        await asyncio.wait_for(request.closed.wait(), PATIENCE)


def unframed(body: bytes) -> bytes:
    """A response without a length, which ends with its connection."""
    length = b"Content-Length: %d\r\n" % len(body)
    return answer("r1", body).replace(length, b"Connection: close\r\n")


def reset_connection(request: Received) -> None:
    """Close the connection with a reset."""
    connection = request.writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    request.reset()


def in_parts(data: bytes, parts: int, reset: bool) -> Behaviour:
    """Write a response in several pieces, then close or reset the connection."""

    async def give(request: Received) -> None:
        size = len(data) // parts + 1
        for begin in range(0, len(data), size):
            request.write(data[begin : begin + size])
            await request.writer.drain()
            await asyncio.sleep(0.01)
        if reset:
            reset_connection(request)
        else:
            request.writer.close()
            await request.client_closed()

    return give


def stream_like(body: bytes) -> bytes:
    """A chunked response with this body."""
    head = answer("r1", b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + body
