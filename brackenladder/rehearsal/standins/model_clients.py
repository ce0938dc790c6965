"""A test client of the whole system: resolves gateways, sends requests and checks the answers."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from random import Random
from time import monotonic

import aiohttp
from attrs import define, frozen

from brackenladder.rehearsal.standins.model_server import (
    LAST_EVENT_ID,
    PROMPT_PREFIX,
    REQUEST_ID,
    SIGNATURE,
    TOKEN_USAGE,
)

DEADLINE = "X-Brackenladder-Request-Deadline-Ms"
MODEL = "X-Brackenladder-Model"
RESOLVE_SECONDS = 1.0
CONNECT_SECONDS = 1.0
RETRY_SECONDS = 0.1
PROMISES = frozenset({408, 421, 429, 503})  # statuses that guarantee that the request has not run
FINAL = frozenset({400, 401, 404, 413, 431})  # statuses after which a retry cannot succeed
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\d+)\n\n")


class OutcomeKind(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    RETRIED = "served after a retry"
    REFUSED = "refused"
    FAILED = "failed"


@frozen
class Outcome:
    """The result of one request."""

    kind: OutcomeKind
    seconds: float  # time from the first try to the first event, complete answer or failure
    detail: str = ""


@frozen
class RequestSpec:
    """A request to send. A streaming request counts as resumable."""

    host: str
    path: str
    streaming: bool
    deadline_s: float = 8.0
    prompt: str = ""  # value of the header `Prompt-Prefix`
    tokens_in: int = 0
    tokens_out: int = 0


@define
class Progress:
    """What was received for one request, over all its tries."""

    began: float
    last_event: int = 0
    first_at: float | None = None
    tries: int = 0
    detail: str = ""
    complete: bool = False

    def seconds(self) -> float:
        """The time from the first try until the first event, or until now."""
        return (self.first_at if self.first_at is not None else monotonic()) - self.began


class FinalAnswer(Exception):
    """A retry cannot succeed: a final status, or a stream with wrong content."""


class ModelClient:
    """One client in a region and zone. Each try has its own id and connection."""

    def __init__(self, directories: tuple[str, ...], region: str, zone: str, random: Random) -> None:
        self._directories = directories
        self._query = {"Region": region, "Zone": zone}
        self._random = random
        self._addresses: list[str] = []
        self._addresses_until = 0.0
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        """Opens the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def resolve(self, host: str) -> list[str]:
        """The gateways that the directory returns; those of its last answer if no directory answers."""
        if monotonic() < self._addresses_until:
            return self._addresses
        for directory in self._directories:
            try:
                async with (
                    asyncio.timeout(RESOLVE_SECONDS),
                    self._session.get(
                        f"http://{directory}/-/resolve", params=self._query | {"Name": host}
                    ) as answer,
                ):
                    document = await answer.json(content_type=None)
                    self._addresses = list(document["Addresses"])
                    self._addresses_until = monotonic() + float(document["TtlS"])
                    break
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
                continue
        return self._addresses

    async def ask(
        self, spec: RequestSpec, on_event: Callable[[int], None] = lambda _: None, gateway: str = ""
    ) -> Outcome:
        """Sends a request and retries it until it is served, fails finally or its deadline has passed.

        `on_event` is called with the number of each event. `gateway`: address for the first try.
        """
        progress = Progress(monotonic())
        until = progress.began + spec.deadline_s
        refused = False
        while (left := until - monotonic()) > 0:
            progress.tries += 1
            try:
                async with asyncio.timeout(left):
                    pause = await self._try(spec, progress, left, on_event, gateway)
            except FinalAnswer as error:
                return Outcome(OutcomeKind.FAILED, progress.seconds(), str(error))
            except (aiohttp.ClientError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                progress.detail = f"{type(error).__name__}: {error}"
                refused, pause = False, RETRY_SECONDS
            else:
                refused = not progress.complete
            if progress.complete:
                kind = OutcomeKind.SERVED if progress.tries == 1 else OutcomeKind.RETRIED
                return Outcome(kind, progress.seconds())
            gateway = ""
            await asyncio.sleep(min(pause, max(0.0, until - monotonic())))
        kind = OutcomeKind.REFUSED if refused else OutcomeKind.FAILED
        return Outcome(kind, progress.seconds(), progress.detail)

    async def _try(
        self,
        spec: RequestSpec,
        progress: Progress,
        left: float,
        on_event: Callable[[int], None],
        gateway: str,
    ) -> float:
        """Makes one try; if it was refused, returns the seconds to wait before the next one."""
        addresses = [gateway] if gateway else await self.resolve(spec.host)
        if not addresses:
            progress.detail = "the directory names no gateway"
            return RETRY_SECONDS
        url = f"http://{self._random.choice(addresses)}{spec.path}"
        headers = self._headers(spec, progress, left)
        async with self._session.post(url, data=b"{}", headers=headers) as answer:
            if answer.status in PROMISES:
                progress.detail = f"status {answer.status}"
                return float(answer.headers.get("Retry-After", RETRY_SECONDS))
            if answer.status in FINAL:
                raise FinalAnswer(f"status {answer.status}")
            if answer.status != HTTPStatus.OK or SIGNATURE not in answer.headers:
                raise aiohttp.ClientError(f"status {answer.status}")
            if spec.streaming:
                await self._read_stream(answer, progress, on_event)
            else:
                json.loads(await answer.read())
                progress.first_at = monotonic()
            progress.complete = True
        return 0.0

    async def _read_stream(
        self, answer: aiohttp.ClientResponse, progress: Progress, on_event: Callable[[int], None]
    ) -> None:
        """Reads the events, which must be numbered without gaps up to the announced last one."""
        rest, total = b"", 0
        async for data in answer.content.iter_any():
            rest += data
            while (end := rest.find(b"\n\n")) >= 0:
                event, rest = rest[: end + 2], rest[end + 2 :]
                total = _check_event(event, progress.last_event + 1)
                progress.last_event += 1
                if progress.first_at is None:
                    progress.first_at = monotonic()
                on_event(progress.last_event)
        if rest or progress.last_event != (total or progress.last_event):
            raise FinalAnswer(f"ends as complete after event {progress.last_event} of {total}")

    def _headers(self, spec: RequestSpec, progress: Progress, left: float) -> dict[str, str]:
        headers = {
            "Host": spec.host,
            REQUEST_ID: f"{self._random.getrandbits(64):016x}",
            DEADLINE: str(int(left * 1000)),
        }
        if spec.tokens_in:
            headers |= {MODEL: "m", TOKEN_USAGE: f"{spec.tokens_in},{spec.tokens_out}"}
        if spec.prompt:
            headers[PROMPT_PREFIX] = spec.prompt
        if progress.last_event:
            headers[LAST_EVENT_ID] = str(progress.last_event)
        return headers


def _check_event(event: bytes, expected: int) -> int:
    """Checks an event's form and number; returns the number of events that it announces."""
    match = _EVENT.fullmatch(event)
    if match is None:
        raise FinalAnswer(f"malformed event: {event[:40]!r}")
    if int(match[1]) != expected:
        raise FinalAnswer(f"event {int(match[1])} where {expected} was due")
    return int(match[3])
