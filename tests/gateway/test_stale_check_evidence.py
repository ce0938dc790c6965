"""Incident REFUSED again: what the check for stale connections writes must not be a request at any server.

The check writes the start of a request, and the request may then go elsewhere or be refused. The connection
is closed, not reset, so the server still reads what was written. Servers such as Python's own `http.server`
take the end of a connection for the end of a request's head.
"""

from __future__ import annotations

import asyncio
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Event, Thread
from typing import Any
from unittest import mock

from attrs import evolve
from gateway_loopback import PATIENCE, SERVICE, GatewayTest, microseconds, post

from brackenladder.gateway import stale_check
from brackenladder.registry.records import ServerRecord, ServerState

CHECK_SECONDS = 0.3  # long enough for the server list to change while a connection is checked
NOT_RUN_STATUSES = (408, 421, 429, 503)
REQUEST_ID = "X-Brackenladder-Request-Id"


class Handler(BaseHTTPRequestHandler):
    """Serves requests, and records the id of each one whose head it has read."""

    protocol_version = "HTTP/1.1"
    server: LibraryServer

    def handle_one_request(self) -> None:
        """Notes when the first byte of a further request has come."""
        if self.rfile.peek(1) and self.server.begun_ids:
            self.server.checked.set()
        super().handle_one_request()

    def do_POST(self) -> None:
        """Begins a request, and fails it with a status of its own if its body does not come whole."""
        self.server.begun_ids.append(self.headers[REQUEST_ID])
        length = int(self.headers.get("Content-Length", "0"))
        whole = len(self.rfile.read(length)) == length
        self.send_response(200 if whole else 500)
        self.send_header(REQUEST_ID, self.headers[REQUEST_ID])
        self.send_header("X-Brackenladder-Response-Signature", "stamp.1")
        self.send_header("Keep-Alive", "timeout=5")
        self.send_header("Content-Length", "0")
        self.end_headers()

    do_GET = do_POST

    def finish(self) -> None:
        """Notes that the connection has ended."""
        super().finish()
        self.server.closed.set()

    def log_message(self, format: str, *args: Any) -> None:
        """Writes no log."""


class LibraryServer(ThreadingHTTPServer):
    """A server of Python's standard library; `begun_ids`: of the requests that it has begun."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), Handler)
        self.begun_ids: list[str] = []
        self.checked = Event()  # the start of a second request has come
        self.closed = Event()  # a connection has ended

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores connections that are reset."""


class StaleCheckEvidence(GatewayTest):
    servers = 0

    async def asyncSetUp(self) -> None:
        self.server = LibraryServer()
        Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        times = {"IDLE_SECONDS": 0.0, "LEAST_WAIT_SECONDS": CHECK_SECONDS, "MOST_WAIT_SECONDS": CHECK_SECONDS}
        patch = mock.patch.multiple(stale_check, **times)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    def list_servers(self, state: ServerState = ServerState.READY, seq: int = 1) -> None:
        address = f"127.0.0.1:{self.server.server_address[1]}"
        record = ServerRecord("s0", SERVICE, address, "za", 16, ServerState.READY, seq)
        self.view.merge_servers(microseconds(), [evolve(record, state=state)])

    async def refused_during_check(self, request: bytes) -> int:
        """The status of a request whose server begins to drain while the connection to it is checked."""
        client = await self.client()
        self.assertEqual((await client.ask(post("/plain/x", "warm-up"))).status, 200)
        asking = asyncio.create_task(client.ask(request))
        self.assertTrue(await asyncio.to_thread(self.server.checked.wait, PATIENCE))
        self.list_servers(ServerState.DRAINING, seq=2)
        status = (await asyncio.wait_for(asking, PATIENCE)).status
        self.assertTrue(await asyncio.to_thread(self.server.closed.wait, PATIENCE))
        return status

    async def test_a_request_with_a_body_that_is_refused_during_a_check_has_not_begun(self) -> None:
        # Incident REFUSED again: a server began it, and failed it for want of its body; the client got 503.
        self.assertIn(await self.refused_during_check(post("/plain/x", "r1")), NOT_RUN_STATUSES)
        self.assertNotIn("r1", self.server.begun_ids)

    async def test_a_request_without_a_body_that_is_refused_during_a_check_has_not_run(self) -> None:
        # Incident REFUSED again: a server ran it whole; the client got 503.
        request = post("/plain/x", "r1", b"", method="GET")
        self.assertIn(await self.refused_during_check(request), NOT_RUN_STATUSES)
        self.assertNotIn("r1", self.server.begun_ids)
