"""Streams without a length, while model servers crash: does one end as complete before its last piece?"""

from __future__ import annotations

import asyncio
import random
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from case import BROKEN, HELD, NOT_RUN, TROUBLE, Record, run_case
from deployment import HOST, ZONES, Deployment, configuration, route
from wire import ID, SIGNATURE, Incomplete, read_answer, request_bytes

PLAY_SECONDS = 40.0
CRASH_GAP_SECONDS = 2.0  # from a server's return to the next crash
DOWN_SECONDS = 4.5
CLIENTS_PER_ZONE = 4
DEADLINE_MS = 15000
EVENT_TOKENS = 4
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\d+):(?: token-\d)+\n\n")


class Clients:
    """Clients of all zones, and what they saw."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self.site = site
        self.record = record
        self.until = time.monotonic() + PLAY_SECONDS
        self.sent = self.whole = self.cut = self.other = 0
        self.broken: list[str] = []

    async def run(self) -> None:
        """Runs all clients to their end."""
        names = [(zone, number) for zone in ZONES for number in range(CLIENTS_PER_ZONE)]
        await asyncio.gather(*(self._client(zone, number) for zone, number in names))

    async def _client(self, zone: str, number: int) -> None:
        count = 0
        while time.monotonic() < self.until:
            count += 1
            await self._request(zone, f"{zone[:4]}{number}-{count}", random.choice(("chat", "cv")))

    async def _request(self, zone: str, request: str, path: str) -> None:
        addresses = await self.site.resolve(zone)
        if not addresses:
            await asyncio.sleep(0.5)
            return
        gateway = random.choice(addresses)
        events = random.randint(8, 25)
        headers = {
            "Host": HOST,
            ID: request,
            "X-Brackenladder-Request-Deadline-Ms": str(DEADLINE_MS),
            "X-Brackenladder-Model": "m",
            "X-Brackenladder-Token-Usage": f"700,{events * EVENT_TOKENS}",
        }
        body = bytearray()
        self.sent += 1
        self.record("sent", request=request, path=path, gateway=gateway, pieces=events)
        host, _, port = gateway.rpartition(":")
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(request_bytes("POST", f"/{path}/1", headers, b"x" * 1400))
                    answer = await read_answer(reader, body)
                finally:
                    writer.close()
        except (Incomplete, OSError) as error:
            self.cut += 1
            self.record("visibly incomplete", request=request, error=repr(error), tail=_tail(body))
            return
        if answer.status != 200 or SIGNATURE not in answer.headers:
            self.other += 1
            self.record("answered", request=request, status=answer.status)
            return
        pieces = [int(match[1]) for match in EVENT.finditer(answer.body)]
        rest = EVENT.sub(b"", answer.body)
        self.record("answered as complete", request=request, pieces=len(pieces), of=events, rest=_tail(rest))
        if pieces == list(range(1, events + 1)) and not rest:
            self.whole += 1
            return
        self.broken.append(request)
        self.record.say(
            f"ORDER broken: stream {request} on /{path}/ ended as complete after piece {len(pieces)}"
            f" of {events}; it ends with {_tail(answer.body)!r}"
        )


def _tail(data: bytes | bytearray) -> str:
    return bytes(data[-40:]).decode("latin-1")


async def _crash_servers(site: Deployment, until: float) -> None:
    """Crashes one server after the other; each is down for 4.5 s and comes back as a new incarnation."""
    while time.monotonic() < until:
        await asyncio.sleep(CRASH_GAP_SECONDS)
        place = random.choice(site.servers)
        site.crash_server(place)
        await asyncio.sleep(DOWN_SECONDS)
        site.start_server(place)


async def play(record: Record, folder: Path) -> int:
    """Plays the case."""
    site = Deployment(folder, record)
    site.add_servers("match-llm", 2, framing="close", event_tokens=EVENT_TOKENS, token_ms=30)
    routes = [
        route("chat", "streaming", "match-llm", DEADLINE_MS, 1),
        route("cv", "streaming", "match-llm", DEADLINE_MS, 2, Resumable=True),
    ]
    try:
        if not await site.begin(configuration(1, routes, ["match-llm"])):
            record.say("the system did not get ready")
            return NOT_RUN
        clients = Clients(site, record)
        crashes = asyncio.create_task(_crash_servers(site, clients.until - 4)) if TROUBLE else None
        await clients.run()
        if crashes is not None:
            crashes.cancel()
        for line in site.server_records():
            record.line(line.pop("at"), line.pop("what"), **line)
    finally:
        site.end()
    record.say(
        f"{clients.sent} streams sent: {clients.whole} whole, {clients.cut} visibly incomplete,"
        f" {clients.other} failed, {len(clients.broken)} ended as complete before their last piece"
    )
    if not clients.whole:
        return NOT_RUN
    return BROKEN if clients.broken else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
