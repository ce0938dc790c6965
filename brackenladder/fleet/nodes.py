"""Nodes in virtual time: the core's own Host, and with it its Balancer, before servers without sockets."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, cast

from brackenladder.balance import Balancer
from brackenladder.core.call import Call, Done, Failure, Probed
from brackenladder.core.clock import Clock
from brackenladder.core.host import Host
from brackenladder.core.roster import Roster
from brackenladder.fleet.queue import Queue, Timer
from brackenladder.fleet.servers import Attempt, Server
from brackenladder.interface import Actions, Events, ListKind, Outcome, Settings, State
from brackenladder.membership.listing import Line, Listing

if TYPE_CHECKING:
    import asyncio

NET = 100  # microseconds from one machine to another

Module = Callable[[Settings, int, Actions], Events]

STATUS = {Failure.GIVEN_UP: 502, Failure.EXPIRED: 504, Failure.FAULT: 500}
OUTCOMES = {"served": Outcome.OK, "error": Outcome.ERROR, "rejected": Outcome.REJECTED}


class VirtualClock(Clock):
    """The queue's time."""

    def __init__(self, queue: Queue) -> None:
        self.queue = queue

    def now(self) -> int:
        return self.queue.now


class FleetCall(Call):
    """A client's try at its node. `told` hears of its one conclusion: a status and advice in seconds."""

    __slots__ = ("name", "told")

    def __init__(
        self,
        name: str,
        klass: int,
        tenant: int,
        left: int,
        repeat: bool,
        told: Callable[[int, float], None],
    ) -> None:
        super().__init__(klass, tenant, left, repeat)
        self.name = name
        self.told = told

    def served(self, answer: object) -> None:
        self.told(200, 0.0)

    def refused(self, retry_after: int) -> None:
        self.told(503, max(0, retry_after) / 1e6)

    def failed(self, why: Failure) -> None:
        self.told(STATUS[why], 0.0)


class Exchange:
    """An attempt: it ends exactly once. A connection of its own, so giving it up tells the server."""

    __slots__ = ("queue", "server", "id", "klass", "done", "over", "attempt", "first", "timer")

    def __init__(self, queue: Queue, server: Server, call: FleetCall, done: Done) -> None:
        self.queue = queue
        self.server = server
        self.id = call.name
        self.klass = call.klass
        self.done = done
        self.over = False
        self.attempt: Attempt | None = None
        self.first = 0
        self.timer: Timer | None = None

    def start(self, timeout: float) -> None:
        self.first = self.queue.now
        self.timer = self.queue.call_later(timeout, self.stop, Outcome.TIMEOUT)
        self.queue.after(NET, self.arrive)

    def arrive(self) -> None:
        if self.over:
            return
        self.attempt = self.server.arrive(self, self.first)
        if self.attempt is None:
            self.queue.after(NET, self.end, Outcome.CONNECT_FAILED)

    def stop(self, outcome: Outcome) -> None:
        if self.over:
            return
        if self.attempt is not None:
            self.queue.after(NET, self.server.left, self.attempt)
        self.end(outcome)

    def answered(self, how: str) -> None:
        self.queue.after(NET, self.end, OUTCOMES[how])

    def reset(self) -> None:
        self.queue.after(NET, self.end, Outcome.RESET)

    def end(self, outcome: Outcome) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(outcome, None, ())


class FleetUpstream:
    """The servers that a node has been told of."""

    def __init__(self, queue: Queue, standing: Mapping[str, Server]) -> None:
        self.queue = queue
        self.standing = standing  # all processes by their id
        self.ready: dict[int, str] = {}

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        if kind != ListKind.CHANGES:
            self.ready.clear()
        for number, line in latest.items():
            if line.state == State.READY:
                self.ready[number] = line.id
            else:
                self.ready.pop(number, None)

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Exchange | None:
        name = self.ready.get(server)
        if name is None:
            return None
        return Exchange(self.queue, self.standing[name], cast(FleetCall, call), done)

    def probe(self, server: int, done: Probed) -> None:
        self.queue.after(2 * NET, done, server in self.ready, ())

    def close_idle(self, server: int) -> None:
        """Connections are not kept in this model yet."""


class Node:
    """A Host in virtual time. `directory` is its way to discovery, `messenger` to the others."""

    def __init__(
        self,
        name: str,
        settings: Settings,
        seed: int,
        queue: Queue,
        standing: Mapping[str, Server],
        zones: Sequence[str],
        module: Module = Balancer,
    ) -> None:
        self.name = name
        self.upstream = FleetUpstream(queue, standing)
        loop = cast("asyncio.AbstractEventLoop", queue)  # of which the Host asks for call_later alone
        self.faults: list[str] = []
        self.host = Host(settings, seed, loop, self.upstream, self.log, VirtualClock(queue), module)
        self.roster = Roster(self.host, self.upstream, zones, ("std",))

    def log(self, text: str) -> None:
        """What the host catches so that other calls go on is a fault of the run."""
        if "Error" in text or "guard" in text:
            self.faults.append(text)

    def told(self, listing: Listing) -> None:
        """News from discovery."""
        self.roster.told(listing)
