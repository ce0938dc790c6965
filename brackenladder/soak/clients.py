"""Clients that, like the platform's own, resolve gateways through a directory and reuse connections."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import AsyncIterator
from http import HTTPStatus
from random import Random
from time import monotonic

from attrs import frozen

from brackenladder.rehearsal.standins.model_clients import DEADLINE, FINAL, MODEL, PROMISES
from brackenladder.rehearsal.standins.model_server import PROMPT_PREFIX, REQUEST_ID, SIGNATURE, TOKEN_USAGE
from brackenladder.soak.configuration import CALLS, HOSTS, Call
from brackenladder.soak.connection import AnswerError, Connection, ConnectionEnded, Head, call
from brackenladder.soak.events import Order, Outcome, Record, Resolved, Tried, now
from brackenladder.soak.site import ENGINE, SHAPES, ZONES, SoakLayout

MILLISECONDS = 1000
CONNECT_SECONDS = 1.0
MAX_DIRECTORIES = 3  # directories tried in one look-up
LONG_CACHE_FACTOR = 3  # some clients keep a directory answer for this multiple of its time to live
LONG_CACHE_SHARE = 0.3  # share of clients that keep directory answers that long
THINK_SECONDS = 0.25  # mean pause between two requests of a client
RETRY_SECONDS = 0.1
MOST_RETRIES = 3  # tries of a refused request after the first one, with the same id
RETRY_SHARE = 0.8  # share of the refused requests that are tried again
SAME_GATEWAY_SHARE = 0.5  # share of the retries that go to the gateway that refused the request
MAX_PAUSE_SHARE = 1 / 3  # longest pause after Retry-After, as a share of the deadline
FRESH_SHARE = 0.1  # share of requests sent on a new connection although the old one works
TOKENS_OUT = (8, 120)  # tokens of a streamed answer: minimum and maximum
_EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\d+)\n\n")


class MixedAnswer(Exception):
    """The answer belongs to another request, or is incomplete but looks complete."""


@frozen
class ClientLocation:
    """A client's region and zone, and its directories, nearest first."""

    region: str
    zone: str
    directories: tuple[str, ...]


class DirectoryCache:
    """The gateway addresses of one host that a client has got from a directory."""

    def __init__(self, place: ClientLocation, host: str, cache_factor: int, record: Record) -> None:
        self.addresses: tuple[str, ...] = ()
        self._place = place
        self._host = host
        self._cache_factor = cache_factor
        self._record = record
        self._until = 0.0

    async def addresses_or_last(self) -> tuple[str, ...]:
        """The cached addresses if still valid, else newly resolved ones, else the last known ones."""
        place, query = self._place, f"Name={self._host}&Region={self._place.region}&Zone={self._place.zone}"
        if monotonic() < self._until:
            return self.addresses
        for directory in place.directories[:MAX_DIRECTORIES]:
            reply = await call(directory, "GET", f"/-/resolve?{query}")
            if reply is not None and reply.status == HTTPStatus.OK:
                self.addresses = tuple(reply.document["Addresses"])
                self._until = monotonic() + float(reply.document["TtlS"]) * self._cache_factor
                told = Resolved(now(), place.region, place.zone, self._host, directory, self.addresses)
                self._record(told)
                break
        return self.addresses


class Client:
    """One client: sends requests to one host, one after another, on a kept-alive connection."""

    def __init__(self, place: ClientLocation, host: str, random: Random, record: Record) -> None:
        cache_factor = LONG_CACHE_FACTOR if random.random() < LONG_CACHE_SHARE else 1
        self.stopping = False  # if true, the client stops after its current request
        self._region = place.region
        self._directory_cache = DirectoryCache(place, host, cache_factor, record)
        self._calls = [one for one in CALLS if one.host == host]
        self._random = random
        self._record = record
        self._connection: Connection | None = None
        self._failed: set[str] = set()  # addresses that failed since a directory last gave a new answer

    async def run(self) -> None:
        """Sends requests until `stopping` is set."""
        while not self.stopping:
            await asyncio.sleep(await self._send_request(self._random.choice(self._calls)))
        self._close_connection()

    async def _send_request(self, call_kind: Call) -> float:
        """Sends a request, again with its id while it is refused; returns the pause before the next one."""
        if self._random.random() < FRESH_SHARE or (self._connection and self._connection.closed_by_peer):
            self._close_connection()
        address = self._connection.address if self._connection else await self._choose_gateway()
        if not address:
            return RETRY_SECONDS
        request = f"{self._random.getrandbits(64):016x}"
        tried, pause = await self._try(call_kind, request, address)
        for _ in range(MOST_RETRIES):
            if tried.outcome != Outcome.REFUSED or self.stopping or self._random.random() >= RETRY_SHARE:
                break
            await asyncio.sleep(pause)
            if self._random.random() >= SAME_GATEWAY_SHARE:
                address = await self._choose_gateway() or address
            tried, pause = await self._try(call_kind, request, address)
        return pause

    async def _try(self, call_kind: Call, request: str, address: str) -> tuple[Tried, float]:
        """Sends a request once; returns what happened, and the pause before the next try or request."""
        tried = Tried(
            now(),
            request,
            self._region,
            address,
            call_kind.host,
            call_kind.path,
            call_kind.kind,
            call_kind.deadline_ms,
        )
        tried.outcome, tried.detail, pause = await self._attempt(call_kind, tried)
        tried.ended = now()
        if tried.outcome != Outcome.SERVED:
            self._close_connection()
        self._record(tried)
        return tried, pause

    async def _choose_gateway(self) -> str:
        before = self._directory_cache.addresses
        addresses = await self._directory_cache.addresses_or_last()
        if addresses != before:
            self._failed.clear()
        usable = [address for address in addresses if address not in self._failed] or list(addresses)
        return self._random.choice(usable) if usable else ""

    async def _attempt(self, call_kind: Call, tried: Tried) -> tuple[str, str, float]:
        try:
            async with asyncio.timeout(call_kind.deadline_ms / MILLISECONDS):
                if self._connection is None:
                    self._connection = await Connection.open(tried.gateway, CONNECT_SECONDS)
                tried.fresh = not self._connection.requests
                return await self._exchange(self._connection, call_kind, tried)
        except ConnectionEnded as error:
            return Outcome.CLOSED, str(error), RETRY_SECONDS
        except (MixedAnswer, AnswerError) as error:
            return Outcome.MIXED, str(error), RETRY_SECONDS
        except OSError as error:
            if self._connection is not None:
                return Outcome.OVERDUE, "", RETRY_SECONDS
            self._failed.add(tried.gateway)
            return Outcome.UNREACHED, repr(error), RETRY_SECONDS

    async def _exchange(
        self, connection: Connection, call_kind: Call, tried: Tried
    ) -> tuple[str, str, float]:
        tokens_out = self._random.randint(*TOKENS_OUT)
        await connection.send("POST", call_kind.path, _headers(call_kind, tried.request, tokens_out), b"{}")
        tried.read = now()
        head = await connection.head()
        tried.status = head.status
        pieces = connection.body(head)
        if head.status != HTTPStatus.OK:
            async for _ in pieces:
                pass
            return _not_served(head, call_kind)
        server = _signing_server(head, tried.request)
        if call_kind.streaming:
            await _check_stream(pieces, -(-tokens_out // ENGINE.tokens_an_event))
        else:
            _check_plain(b"".join([piece async for piece in pieces]), server)
        if not head.keeps_connection:
            self._close_connection()
        return Outcome.SERVED, server, self._random.expovariate(1 / THINK_SECONDS)

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Clients:
    """Runs the clients of a region, which send requests until `stop`."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, record: Record) -> None:
        self._clients = [
            Client(
                ClientLocation(region, zone, layout.directories_near(region, zone)),
                HOSTS[number % len(HOSTS)],
                Random(f"{seed} {zone} {number}"),
                record,
            )
            for zone in ZONES
            if ZONES[zone] == region
            for number in range(SHAPES[layout.size].clients_per_zone)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all clients."""
        self._tasks = [asyncio.create_task(client.run()) for client in self._clients]

    def order(self, order: Order) -> None:
        """Clients accept no orders."""

    async def stop(self) -> None:
        """Lets each client finish its current request, then stops them."""
        for client in self._clients:
            client.stopping = True
        await asyncio.gather(*self._tasks)


def _not_served(head: Head, call_kind: Call) -> tuple[str, str, float]:
    if head.status not in PROMISES:
        return Outcome.FAILED, "final" if head.status in FINAL else "", RETRY_SECONDS
    longest = call_kind.deadline_ms / MILLISECONDS * MAX_PAUSE_SHARE
    return Outcome.REFUSED, "", min(float(head.headers.get("retry-after", RETRY_SECONDS)), longest)


def _headers(call_kind: Call, request: str, tokens_out: int) -> dict[str, str]:
    headers = {"Host": call_kind.host, REQUEST_ID: request, DEADLINE: str(call_kind.deadline_ms)}
    if call_kind.streaming:
        headers |= {MODEL: "m", TOKEN_USAGE: f"200,{tokens_out}"}
        headers[PROMPT_PREFIX] = f"5c1e07a2:150,{request[:8]}:50"
    return headers


def _signing_server(head: Head, request: str) -> str:
    """Name of the server that signed an answer; raises MixedAnswer if it signed another request's answer."""
    if head.headers.get(REQUEST_ID.lower()) != request:
        raise MixedAnswer(f"answer to request {head.headers.get(REQUEST_ID.lower())}")
    server, _, signed = head.headers.get(SIGNATURE.lower(), "").rpartition(".")
    if not server or signed != request:
        raise MixedAnswer(f"signature {head.headers.get(SIGNATURE.lower())}")
    return server


def _check_plain(body: bytes, server: str) -> None:
    try:
        told = json.loads(body)["Server"]
    except (ValueError, KeyError, TypeError):
        raise MixedAnswer(f"body {body[:60]!r}") from None
    if told != server:
        raise MixedAnswer(f"body of server {told} with signature of {server}")


async def _check_stream(pieces: AsyncIterator[bytes], total: int) -> None:
    """Checks that the stream holds all its events in order."""
    data, number = b"", 0
    async for piece in pieces:
        data += piece
        while (end := data.find(b"\n\n")) >= 0:
            event, data = data[: end + 2], data[end + 2 :]
            match = _EVENT_PATTERN.fullmatch(event)
            number += 1
            if match is None or int(match[1]) != number or int(match[3]) != total:
                raise MixedAnswer(f"event {event[:60]!r} instead of event {number} of {total}")
    if data or number != total:
        raise MixedAnswer(f"stream ends as if complete after event {number} of {total}")
