"""Clients that leave while their request waits: how many are sent on 0.3 s or more later, by waiting place.

    python benchmarks/departures.py [TREE]

TREE: the folder whose `brackenladder` is measured, this one if none is given. 200 departures a place on
loopback sockets, half of them in order and half by a reset.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TREE = Path(sys.argv[1]).resolve() if len(sys.argv) > 1 else ROOT
sys.path[:0] = [str(TREE), str(ROOT / "tests")]

from crossings import Raw, hold_connects  # noqa: E402
from loopback import OK, Bench, Server, call, play, until  # noqa: E402

DEPARTURES = 200
LATE = 0.35  # seconds from the departure to the moment at which the request could be sent on
BATCH = 20  # within what the module lets in at once
REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class Place:
    """A node, its server, and the names of the requests whose clients have left."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.answer = OK
        self.server = Server(self.handle)
        self.seen: list[str] = []
        self.left: set[str] = set()
        self.at = 0  # requests that the server had seen as the last clients left
        self.departures = 0
        self.late = 0  # of clients that had left

    async def handle(self, request, writer):
        self.seen.append(request.headers["x-call-id"])
        await self.release.wait()
        return self.answer

    async def start(self, **changes) -> None:
        self.bench = await Bench(self.server, **changes).start()

    def name(self) -> bytes:
        name = f"left-{len(self.left)}"
        self.left.add(name)
        return name.encode()

    def leave(self, clients: list[Raw]) -> None:
        self.at = len(self.seen)
        for client in clients:
            self.departures += 1
            client.leave("rst" if self.departures % 2 else "fin")

    async def settled(self) -> None:
        client_connections = self.bench.node.front.clients
        await until(lambda: not client_connections.connections and not self.bench.pool.host.calls)
        self.late += sum(name in self.left for name in self.seen[self.at :])


async def backlog(place: Place) -> None:
    """Not let in yet: the process stands still."""
    place.release.set()
    await place.start()
    while len(place.left) < DEPARTURES:
        place.leave([Raw(place.bench.port, call("invite", name=place.name())) for _ in range(BATCH)])
        time.sleep(LATE)
        await asyncio.sleep(0.01)
        await place.settled()
        await place.bench.once(call("view"))  # so that there is a connection at hand


async def connecting(place: Place) -> None:
    """Its connection to the server comes up late."""
    place.release.set()
    await place.start()
    while len(place.left) < DEPARTURES:
        held = hold_connects(place.bench)
        clients = [Raw(place.bench.port, call("invite", name=place.name())) for _ in range(BATCH)]
        await until(lambda held=held: held.up > 0)
        place.leave(clients)
        await asyncio.sleep(LATE)
        held.go.set()
        await place.settled()
        place.bench.pool.upstream.pool.loop = held.loop
        for endpoint in place.bench.pool.upstream.pool.endpoints.values():
            endpoint.close_idle()


async def behind(place: Place) -> None:
    """Behind others on its connection, so many that nothing more is read."""
    await place.start()
    while len(place.left) < DEPARTURES:
        place.release.clear()
        before = len(place.seen)
        clients = []
        for _ in range(4):
            names = [place.name() for _ in range(9)]
            clients.append(client := Raw(place.bench.port, call("view", name=b"open-%d" % len(place.left))))
            client.send(b"".join(call("view", name=name) for name in names[:8]))
            wanted = before + len(clients)
            await until(lambda wanted=wanted: len(place.seen) >= wanted)
            client.send(call("view", name=names[8]))
        await asyncio.sleep(0.05)
        place.leave(clients)
        await asyncio.sleep(LATE)
        place.release.set()
        await place.settled()


async def stalled(place: Place) -> None:
    """On a connection in use, unread: the process stands still."""
    place.release.set()
    await place.start()
    while len(place.left) < DEPARTURES:
        clients = [Raw(place.bench.port, call("view", name=b"before")) for _ in range(1)]
        for _ in range(BATCH - 1):
            await clients[-1].answer()
            clients.append(Raw(place.bench.port, call("view", name=b"before")))
        await clients[-1].answer()
        for client in clients:
            client.send(call("view", name=place.name()))
        place.leave(clients)
        time.sleep(LATE)
        await asyncio.sleep(0.01)
        await place.settled()


async def before_a_retry(place: Place) -> None:
    """Turned away by a server after a while; its client has left meanwhile."""
    place.answer = REJECTED
    await place.start()
    while len(place.left) < DEPARTURES:
        place.release.clear()
        client = Raw(place.bench.port, call("view", name=place.name()))
        await until(lambda: len(place.seen) == len(place.left))
        place.leave([client])
        time.sleep(LATE / 10)  # in step with the answer below: the loop has not seen it
        place.release.set()
        await place.settled()


async def held(place: Place) -> None:
    """Held by the module in a later tier."""
    await place.start(layers=["front", "store"], tier=1)
    while len(place.left) < DEPARTURES:
        place.release.clear()
        names = [b"try-%d-%d" % (len(place.seen), n) for n in range(60)]
        clients = {name.decode(): Raw(place.bench.port, call("view", name=name)) for name in names}
        await asyncio.sleep(0.2)
        calls = place.bench.pool.host.calls.values()
        waits = [c.name.decode() for c in calls if c.open and c.current_attempt is None]
        place.left.update(waits)
        place.leave([clients.pop(name) for name in waits])
        await asyncio.sleep(LATE)
        place.release.set()
        for client in clients.values():
            await client.answer()
            client.leave("fin")
        await place.settled()


def measure(scene: Callable[[Place], Awaitable[None]]) -> None:
    async def whole() -> None:
        place = Place()
        await scene(place)
        print(f"{scene.__name__:15} {len(place.left):4} departures, {place.late:4} sent on", flush=True)

    play(whole)


if __name__ == "__main__":
    for scene in (backlog, connecting, behind, stalled, before_a_retry, held):
        measure(scene)
