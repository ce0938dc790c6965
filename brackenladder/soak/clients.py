"""Clients as the platform's are: they ask the directory, and keep a connection until its end is gone."""

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
from brackenladder.soak.connection import AnswerError, Connection, Ended, Head, call
from brackenladder.soak.events import Order, Outcome, Resolved, Tell, Tried, now
from brackenladder.soak.site import ENGINE, SHAPES, ZONES, SoakLayout

MILLISECONDS = 1000
CONNECT_SECONDS = 1.0
MOST_DIRECTORIES = 3  # asked in one look-up
LONG_HOLD = 3  # times the time to live, for some clients
LONG_HOLDERS = 0.3  # share of clients
THINK_SECONDS = 0.25  # mean pause between two requests of a client
RETRY_SECONDS = 0.1
LARGEST_PAUSE_SHARE = 1 / 3  # of the deadline: so far Retry-After is honoured
FRESH_SHARE = 0.1  # of requests that go on a new connection although the old one stands
TOKENS_OUT = (8, 120)  # of a stream, fewest and most
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\d+)\n\n")


class Mixed(Exception):
    """An answer that is not the request's, or not whole though it looks so."""


@frozen
class Place:
    """Where clients are, and the directories they know, nearest first."""

    region: str
    zone: str
    directories: tuple[str, ...]


class Guide:
    """What a directory told one client about one host."""

    def __init__(self, place: Place, host: str, hold: int, tell: Tell) -> None:
        self.addresses: tuple[str, ...] = ()
        self._place = place
        self._host = host
        self._hold = hold
        self._tell = tell
        self._until = 0.0

    async def look(self) -> tuple[str, ...]:
        """Addresses of gateways: of the answer that is held, of a new one, or of the last if none comes."""
        place, query = self._place, f"Name={self._host}&Region={self._place.region}&Zone={self._place.zone}"
        if monotonic() < self._until:
            return self.addresses
        for directory in place.directories[:MOST_DIRECTORIES]:
            reply = await call(directory, "GET", f"/-/resolve?{query}")
            if reply is not None and reply.status == HTTPStatus.OK:
                self.addresses = tuple(reply.document["Addresses"])
                self._until = monotonic() + float(reply.document["TtlS"]) * self._hold
                told = Resolved(now(), place.region, place.zone, self._host, directory, self.addresses)
                self._tell(told)
                break
        return self.addresses


class Lane:
    """One client: requests one after the other on one host, on a connection that it keeps."""

    def __init__(self, place: Place, host: str, random: Random, tell: Tell) -> None:
        hold = LONG_HOLD if random.random() < LONG_HOLDERS else 1
        self.stopping = False  # no more requests after the one under way
        self._region = place.region
        self._guide = Guide(place, host, hold, tell)
        self._calls = [one for one in CALLS if one.host == host]
        self._random = random
        self._tell = tell
        self._connection: Connection | None = None
        self._failed: set[str] = set()  # addresses that failed since the last answer of the directory

    async def run(self) -> None:
        """Sends until it is stopped."""
        while not self.stopping:
            await asyncio.sleep(await self._once(self._random.choice(self._calls)))
        self._drop()

    async def _once(self, what: Call) -> float:
        """One try; the pause after it."""
        if self._random.random() < FRESH_SHARE or (self._connection and self._connection.gone):
            self._drop()
        address = self._connection.address if self._connection else await self._choose()
        if not address:
            return RETRY_SECONDS
        request = f"{self._random.getrandbits(64):016x}"
        tried = Tried(
            now(), request, self._region, address, what.host, what.path, what.kind, what.deadline_ms
        )
        tried.outcome, tried.detail, pause = await self._try(what, tried)
        tried.ended = now()
        if tried.outcome != Outcome.SERVED:
            self._drop()
        self._tell(tried)
        return pause

    async def _choose(self) -> str:
        before = self._guide.addresses
        addresses = await self._guide.look()
        if addresses != before:
            self._failed.clear()
        sound = [address for address in addresses if address not in self._failed] or list(addresses)
        return self._random.choice(sound) if sound else ""

    async def _try(self, what: Call, tried: Tried) -> tuple[str, str, float]:
        try:
            async with asyncio.timeout(what.deadline_ms / MILLISECONDS):
                if self._connection is None:
                    self._connection = await Connection.open(tried.gateway, CONNECT_SECONDS)
                tried.fresh = not self._connection.requests
                return await self._exchange(self._connection, what, tried)
        except Ended as error:
            return Outcome.CLOSED, str(error), RETRY_SECONDS
        except (Mixed, AnswerError) as error:
            return Outcome.MIXED, str(error), RETRY_SECONDS
        except OSError as error:
            if self._connection is not None:
                return Outcome.OVERDUE, "", RETRY_SECONDS
            self._failed.add(tried.gateway)
            return Outcome.UNREACHED, repr(error), RETRY_SECONDS

    async def _exchange(self, connection: Connection, what: Call, tried: Tried) -> tuple[str, str, float]:
        tokens_out = self._random.randint(*TOKENS_OUT)
        await connection.send("POST", what.path, _headers(what, tried.request, tokens_out), b"{}")
        tried.read = now()
        head = await connection.head()
        tried.status = head.status
        pieces = connection.body(head)
        if head.status != HTTPStatus.OK:
            async for _ in pieces:
                pass
            return _not_served(head, what)
        server = _signed(head, tried.request)
        if what.streaming:
            await _check_stream(pieces, -(-tokens_out // ENGINE.tokens_an_event))
        else:
            _check_plain(b"".join([piece async for piece in pieces]), server)
        if not head.keeps:
            self._drop()
        return Outcome.SERVED, server, self._random.expovariate(1 / THINK_SECONDS)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Clients:
    """All clients of a region."""

    def __init__(self, layout: SoakLayout, region: str, seed: str, tell: Tell) -> None:
        self._lanes = [
            Lane(
                Place(region, zone, layout.directories_near(region, zone)),
                HOSTS[number % len(HOSTS)],
                Random(f"{seed} {zone} {number}"),
                tell,
            )
            for zone in ZONES
            if ZONES[zone] == region
            for number in range(SHAPES[layout.size].lanes)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """All lanes begin."""
        self._tasks = [asyncio.create_task(lane.run()) for lane in self._lanes]

    def order(self, order: Order) -> None:
        """There is none."""

    async def stop(self) -> None:
        """What is open is finished first."""
        for lane in self._lanes:
            lane.stopping = True
        await asyncio.gather(*self._tasks)


def _not_served(head: Head, what: Call) -> tuple[str, str, float]:
    if head.status not in PROMISES:
        return Outcome.FAILED, "final" if head.status in FINAL else "", RETRY_SECONDS
    longest = what.deadline_ms / MILLISECONDS * LARGEST_PAUSE_SHARE
    return Outcome.REFUSED, "", min(float(head.headers.get("retry-after", RETRY_SECONDS)), longest)


def _headers(what: Call, request: str, tokens_out: int) -> dict[str, str]:
    headers = {"Host": what.host, REQUEST_ID: request, DEADLINE: str(what.deadline_ms)}
    if what.streaming:
        headers |= {MODEL: "m", TOKEN_USAGE: f"200,{tokens_out}"}
        headers[PROMPT_PREFIX] = f"5c1e07a2:150,{request[:8]}:50"
    return headers


def _signed(head: Head, request: str) -> str:
    """The server that signed the answer to this request."""
    if head.headers.get(REQUEST_ID.lower()) != request:
        raise Mixed(f"the answer of {head.headers.get(REQUEST_ID.lower())}")
    server, _, signed = head.headers.get(SIGNATURE.lower(), "").rpartition(".")
    if not server or signed != request:
        raise Mixed(f"signature {head.headers.get(SIGNATURE.lower())}")
    return server


def _check_plain(body: bytes, server: str) -> None:
    try:
        told = json.loads(body)["Server"]
    except (ValueError, KeyError, TypeError):
        raise Mixed(f"body {body[:60]!r}") from None
    if told != server:
        raise Mixed(f"body of {told} signed by {server}")


async def _check_stream(pieces: AsyncIterator[bytes], total: int) -> None:
    """Events that follow one another up to the last one."""
    data, number = b"", 0
    async for piece in pieces:
        data += piece
        while (end := data.find(b"\n\n")) >= 0:
            event, data = data[: end + 2], data[end + 2 :]
            match = _EVENT.fullmatch(event)
            number += 1
            if match is None or int(match[1]) != number or int(match[3]) != total:
                raise Mixed(f"event {event[:60]!r} where {number} of {total} was due")
    if data or number != total:
        raise Mixed(f"ends as complete after event {number} of {total}")
