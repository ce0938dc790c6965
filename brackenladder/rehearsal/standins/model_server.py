"""A simulated server for tests of the whole system: a model server, or an application without a model.

It implements the interface that gateways expect of servers: streams of numbered events, `/-/report`,
`/healthz`, 421 for another instance, `Not-Executed` if a request has not run. `heartbeats.py` registers it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress

from aiohttp import web
from attrs import frozen

from brackenladder.rehearsal.standins.model_engine import EngineSettings, Prompt, PromptCache, parse_prompt

REQUEST_ID = "X-Brackenladder-Request-Id"
SIGNATURE = "X-Brackenladder-Response-Signature"
EXPECTED_INSTANCE = "X-Brackenladder-Expected-Instance"
INSTANCE_ID = "X-Brackenladder-Instance-Id"
NOT_EXECUTED = "X-Brackenladder-Not-Executed"
TOKEN_USAGE = "X-Brackenladder-Token-Usage"
PROMPT_PREFIX = "X-Brackenladder-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
KEEP_ALIVE = "timeout=15"
KEEP_ALIVE_SECONDS = 15.0
PLAIN_WORK_SECONDS = 0.02
CLOSE_SECONDS = 0.2
LARGEST_BODY = 4 * 1024 * 1024  # largest request body, in bytes


@frozen
class ServerSettings:
    """A server's identity and capacity."""

    id: str  # unique to this process: a restarted server gets a new id
    service: str
    address: str  # "ip:port"
    zone: str
    engine: EngineSettings | None = None  # None: an application without a model
    slots: int = 16
    model: str = "m"


class ModelServer:
    """Serves requests in a limited number of slots. `executed`: how often each request id began to run."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.draining = False
        self.executed: Counter[str] = Counter()
        self.prefilled_tokens = 0
        self.running = 0
        self._engine = settings.engine or EngineSettings(slots=settings.slots, queue=settings.slots)
        self._cache = PromptCache(self._engine.kv_tokens)
        self._slots = asyncio.Semaphore(self._engine.slots)
        self._waiting = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._protocols = web.Server(
            self._handle, handler_cancellation=True, access_log=None, keepalive_timeout=KEEP_ALIVE_SECONDS
        )
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening; raises OSError if the address is not available."""
        host, _, port = self.settings.address.rpartition(":")
        self._listener = await asyncio.get_running_loop().create_server(
            self._protocols, host, int(port), reuse_address=True
        )

    async def finish(self) -> None:
        """Waits until no request runs, then stops."""
        await self._idle.wait()
        await self._end(CLOSE_SECONDS)

    async def crash(self) -> None:
        """Stops at once: aborts all connections, also in the middle of streams."""
        for protocol in self._protocols.connections:
            if protocol.transport is not None:
                protocol.transport.abort()
        await self._end(0.0)

    async def _end(self, grace_seconds: float) -> None:
        if self._listener is not None:
            self._listener.close()
        await self._protocols.shutdown(grace_seconds)

    # -- requests

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method == "GET" and request.path == "/healthz":
            headers = {INSTANCE_ID: self.settings.id}
            return web.Response(status=503 if self.draining else 200, headers=headers)
        if request.method == "GET" and request.path == "/-/report":
            return web.json_response(self._report())
        self.arrived(request.headers.get(REQUEST_ID, ""), request.path)
        await request.read()
        return await self._serve(request)

    def arrived(self, request_id: str, path: str) -> None:
        """Hook for an arrived request; overridden, as are the next two, by servers that record requests."""

    def begun(self, request_id: str) -> None:
        """Hook for the begin of work on a request."""
        self.executed[request_id] += 1

    def turned_away(self, request_id: str, status: int) -> None:
        """Hook for a request that was refused and will not run."""

    def cold_remaining_ms(self) -> int:
        """The remaining warm-up time that the server reports."""
        return 0

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        if not request_id:
            return self._refused(request_id, 400)
        if request.headers.get(EXPECTED_INSTANCE, self.settings.id) != self.settings.id:
            return self._refused(request_id, 421)
        if self._slots.locked() and self._waiting >= self._engine.queue:
            return self._refused(request_id, 503)
        try:
            prompt = self._prompt(request)
        except ValueError:
            return self._refused(request_id, 400)
        async with self._slot():
            self.begun(request_id)
            if self.settings.engine is None:
                return await self._answer(request_id)
            return await self._stream(request, request_id, prompt)

    @asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        """Waits for a slot and holds it."""
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.running -= 1
            self._slots.release()
            if not self.running:
                self._idle.set()

    async def _answer(self, request_id: str) -> web.Response:
        await asyncio.sleep(PLAIN_WORK_SECONDS)
        body = {"Service": self.settings.service, "Server": self.settings.id, "Zone": self.settings.zone}
        return web.json_response(body, headers=self._headers(request_id))

    async def _stream(self, request: web.BaseRequest, request_id: str, prompt: Prompt) -> web.StreamResponse:
        await self._prefill(prompt)
        answer = self.new_stream(self._headers(request_id))
        answer.content_type = "text/event-stream"
        with suppress(ConnectionError):  # the caller has closed the connection
            await self._send_events(request, answer, prompt.events)
        return answer

    async def _send_events(self, request: web.BaseRequest, answer: web.StreamResponse, last: int) -> None:
        first = int(request.headers.get(LAST_EVENT_ID) or 0) + 1
        for number in self.event_numbers(first, last):
            if number > first:
                await asyncio.sleep(self._pace())
            if not answer.prepared:
                await answer.prepare(request)
            await self.write_event(answer, b"id: %d\ndata: piece %d of %d\n\n" % (number, number, last))
        if not answer.prepared:
            await answer.prepare(request)
        await answer.write_eof()

    def new_stream(self, headers: dict[str, str]) -> web.StreamResponse:
        """The response of a stream; overridden to send streams without a length."""
        answer = web.StreamResponse(headers=headers)
        answer.enable_chunked_encoding()
        return answer

    async def write_event(self, answer: web.StreamResponse, event: bytes) -> None:
        """Writes one event; overridden to write it in parts."""
        await answer.write(event)

    def event_numbers(self, first: int, last: int) -> Iterable[int]:
        """The numbers of a stream's events; overridden to inject wrong streams."""
        return range(first, last + 1)

    async def _prefill(self, prompt: Prompt) -> None:
        """Simulates the prefill of the uncached part, slower the more requests run."""
        unread = self._cache.unread(prompt)
        self.prefilled_tokens += unread
        await asyncio.sleep(unread / self._engine.prefill_tokens_a_second * self._crowding())
        self._cache.keep(prompt)

    def _pace(self) -> float:
        return self._engine.event_seconds * self._crowding()

    def _crowding(self) -> float:
        return 1.0 + self.running / self._engine.slots

    def _prompt(self, request: web.BaseRequest) -> Prompt:
        prefix = request.headers.get(PROMPT_PREFIX, "")
        usage = request.headers.get(TOKEN_USAGE, "")
        return parse_prompt(prefix, usage, self._engine.tokens_an_event)

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {
            REQUEST_ID: request_id,
            SIGNATURE: f"{self.settings.id}.{request_id}",
            "Keep-Alive": KEEP_ALIVE,
        }
        return headers | {"Connection": "close"} if self.draining else headers

    def _refused(self, request_id: str, status: int) -> web.Response:
        """The answer for a request that has not run."""
        self.turned_away(request_id, status)
        return web.Response(status=status, headers=self._headers(request_id) | {NOT_EXECUTED: "true"})

    def _report(self) -> dict[str, object]:
        return {
            "Stage": "both",
            "Models": [self.model_entry()],
            "Busy": False,
            "Seq": 0,
            "Queued": self._waiting,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": self._engine.kv_tokens,
            "Handles": 0,
        }

    def model_entry(self) -> dict[str, object]:
        """The model's entry in reports and heartbeats."""
        return {"Name": self.settings.model, "Version": 1, "Adapters": []}
