"""Clients as the platform's are: they ask the directory, and keep a connection until its end is gone."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from time import monotonic

from attrs import define, field, frozen

from brackenladder.rehearsal.standins.model_clients import DEADLINE, FINAL, MODEL, PROMISES
from brackenladder.rehearsal.standins.model_server import PROMPT_PREFIX, REQUEST_ID, SIGNATURE, TOKEN_USAGE
from brackenladder.soak.configuration import CALLS, Call
from brackenladder.soak.connection import AnswerError, Connection, Ended, Head
from brackenladder.soak.events import Event, Outcome, Resolved, Tried, now
from brackenladder.soak.site import ENGINE

RESOLVE_SECONDS, CONNECT_SECONDS = 1.0, 1.0
MOST_DIRECTORIES = 3  # asked in one look-up
LONG_HOLD = 3  # times the time to live, for some clients
LONG_HOLDERS = 0.3  # share of lanes
THINK_SECONDS = 0.25  # mean pause between two requests of a lane
RETRY_SECONDS = 0.1
LARGEST_PAUSE_SHARE = 1 / 3  # of the deadline: so far Retry-After is honoured
FRESH_SHARE = 0.1  # of requests that go on a new connection although the old one stands
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\d+)\n\n")
Tell = Callable[[Event], None]


class Mixed(Exception):
    """An answer that is not the request's, or not whole though it looks so."""


@frozen
class Place:
    """Where clients are, and the directories they know, nearest first."""

    region: str
    zone: str
    directories: tuple[str, ...]


class Guide:
    """What a directory told the clients of one lane about one host."""

    def __init__(self, place: Place, host: str, hold: int, tell: Tell) -> None:
        self.addresses: tuple[str, ...] = ()
        self._place = place
        self._host = host
        self._hold = hold
        self._tell = tell
        self._until = 0.0

    async def look(self) -> tuple[str, ...]:
        """Addresses of gateways: of the answer that is held, of a new one, or of the last if none comes."""
        if monotonic() < self._until:
            return self.addresses
        for directory in self._place.directories[:MOST_DIRECTORIES]:
            try:
                async with asyncio.timeout(RESOLVE_SECONDS):
                    await self._ask(directory)
                break
            except (OSError, Ended, AnswerError, ValueError, KeyError):
                continue
        return self.addresses

    async def _ask(self, directory: str) -> None:
        place = self._place
        connection = await Connection.open(directory, RESOLVE_SECONDS)
        try:
            path = f"/-/resolve?Name={self._host}&Region={place.region}&Zone={place.zone}"
            await connection.send("GET", path, {"Host": directory})
            head = await connection.head()
            document = json.loads(b"".join([piece async for piece in connection.body(head)]))
        finally:
            connection.close()
        addresses, seconds = tuple(document["Addresses"]), float(document["TtlS"])
        self.addresses = addresses
        self._until = monotonic() + seconds * self._hold
        self._tell(Resolved(now(), place.region, place.zone, self._host, directory, addresses))


@define
class Attempt:
    """One try as far as it has come."""

    call: Call
    request: str
    gateway: str
    tokens_out: int
    began: int = field(factory=now)
    read: int = 0
    status: int = 0
    fresh: bool = True
    pause: float = RETRY_SECONDS

    @property
    def events(self) -> int:
        """The length of the stream that answers it."""
        return -(-self.tokens_out // ENGINE.tokens_an_event)


class Lane:
    """One client: requests one after the other on one host, on a connection that it keeps."""

    def __init__(self, place: Place, host: str, random: Random, tell: Tell) -> None:
        hold = LONG_HOLD if random.random() < LONG_HOLDERS else 1
        self._place = place
        self._guide = Guide(place, host, hold, tell)
        self._calls = [call for call in CALLS if call.host == host]
        self._random = random
        self._tell = tell
        self._connection: Connection | None = None
        self._failed: set[str] = set()  # addresses that failed since the last answer of the directory
        self._stopping = False

    async def run(self) -> None:
        """Sends until it is stopped."""
        while not self._stopping:
            pause = await self._once(self._random.choice(self._calls))
            await asyncio.sleep(pause or self._random.expovariate(1 / THINK_SECONDS))
        self._drop()

    def stop(self) -> None:
        """Sends no more requests after the one under way."""
        self._stopping = True

    async def _once(self, call: Call) -> float:
        """One try; the pause after it, 0 for the usual one."""
        if self._random.random() < FRESH_SHARE:
            self._drop()
        address = self._connection.address if self._connection else await self._choose()
        if not address:
            return RETRY_SECONDS
        attempt = Attempt(call, f"{self._random.getrandbits(64):016x}", address, self._random.randint(8, 120))
        outcome, detail = await self._try(attempt)
        if outcome != Outcome.SERVED:
            self._drop()
        self._note(attempt, outcome, detail)
        return 0.0 if outcome == Outcome.SERVED else attempt.pause

    async def _choose(self) -> str:
        before = self._guide.addresses
        addresses = await self._guide.look()
        if addresses != before:
            self._failed.clear()
        sound = [address for address in addresses if address not in self._failed] or list(addresses)
        return self._random.choice(sound) if sound else ""

    async def _try(self, attempt: Attempt) -> tuple[str, str]:
        try:
            async with asyncio.timeout(attempt.call.deadline_ms / 1000):
                if self._connection is None:
                    try:
                        self._connection = await Connection.open(attempt.gateway, CONNECT_SECONDS)
                    except OSError as error:
                        self._failed.add(attempt.gateway)
                        return Outcome.UNREACHED, repr(error)
                attempt.fresh = not self._connection.requests
                return await self._exchange(self._connection, attempt)
        except Ended as error:
            return Outcome.CLOSED, str(error)
        except (Mixed, AnswerError) as error:
            return Outcome.MIXED, str(error)
        except TimeoutError:
            return Outcome.OVERDUE, ""

    async def _exchange(self, connection: Connection, attempt: Attempt) -> tuple[str, str]:
        await connection.send("POST", attempt.call.path, _headers(attempt), b"{}")
        attempt.read = now()
        head = await connection.head()
        attempt.status = head.status
        if head.status != HTTPStatus.OK:
            async for _ in connection.body(head):
                pass
            return self._not_served(head, attempt)
        server = _signed(head, attempt)
        pieces = connection.body(head)
        if attempt.call.streaming:
            rest, number = b"", 0
            async for piece in pieces:
                rest, number = _take_events(rest + piece, number, attempt.events)
            if rest or number != attempt.events:
                raise Mixed(f"ends as complete after event {number} of {attempt.events}")
        else:
            _check_plain(b"".join([piece async for piece in pieces]), server)
        if not head.keeps:
            self._drop()
        return Outcome.SERVED, server

    def _not_served(self, head: Head, attempt: Attempt) -> tuple[str, str]:
        if head.status in PROMISES:
            longest = attempt.call.deadline_ms / 1000 * LARGEST_PAUSE_SHARE
            attempt.pause = min(float(head.headers.get("retry-after", RETRY_SECONDS)), longest)
            return Outcome.REFUSED, ""
        return Outcome.FAILED, "final" if head.status in FINAL else ""

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _note(self, attempt: Attempt, outcome: str, detail: str) -> None:
        call = attempt.call
        self._tell(
            Tried(
                began=attempt.began,
                ended=now(),
                request=attempt.request,
                region=self._place.region,
                gateway=attempt.gateway,
                host=call.host,
                path=call.path,
                kind=call.kind,
                outcome=outcome,
                status=attempt.status,
                read=attempt.read,
                deadline_ms=call.deadline_ms,
                detail=detail,
                fresh=attempt.fresh,
            )
        )


def _headers(attempt: Attempt) -> dict[str, str]:
    call = attempt.call
    headers = {"Host": call.host, REQUEST_ID: attempt.request, DEADLINE: str(call.deadline_ms)}
    if call.streaming:
        headers |= {MODEL: "m", TOKEN_USAGE: f"200,{attempt.tokens_out}"}
        headers[PROMPT_PREFIX] = f"5c1e07a2:150,{attempt.request[:8]}:50"
    return headers


def _signed(head: Head, attempt: Attempt) -> str:
    """The server that signed the answer to this request."""
    if head.headers.get(REQUEST_ID.lower()) != attempt.request:
        raise Mixed(f"the answer of {head.headers.get(REQUEST_ID.lower())}")
    server, _, request = head.headers.get(SIGNATURE.lower(), "").rpartition(".")
    if not server or request != attempt.request:
        raise Mixed(f"signature {head.headers.get(SIGNATURE.lower())}")
    return server


def _check_plain(body: bytes, server: str) -> None:
    try:
        told = json.loads(body)["Server"]
    except (ValueError, KeyError, TypeError):
        raise Mixed(f"body {body[:60]!r}") from None
    if told != server:
        raise Mixed(f"body of {told} signed by {server}")


def _take_events(data: bytes, number: int, total: int) -> tuple[bytes, int]:
    """What is left after the whole events of `data`, and the number of the last one."""
    while (end := data.find(b"\n\n")) >= 0:
        event, data = data[: end + 2], data[end + 2 :]
        match = _EVENT.fullmatch(event)
        number += 1
        if match is None or int(match[1]) != number or int(match[3]) != total:
            raise Mixed(f"event {event[:60]!r} where {number} of {total} was due")
    return data, number
