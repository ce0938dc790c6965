"""The events of a run, indexed by request, server and node."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from brackenladder.rehearsal.events import (
    Again,
    Answered,
    AnyEvent,
    Arrived,
    Asked,
    Broken,
    Changed,
    Closed,
    Down,
    GaveUp,
    Hushed,
    Lag,
    NodeEnded,
    NodeSignal,
    NodeUp,
    Replied,
    Sent,
    Told,
    Untold,
    Up,
)

NEVER = 1 << 62  # a time later than any in a run


class Attempt:
    """One attempt as its server saw it. `first`, `whole`: when its first and its last byte came."""

    __slots__ = ("first", "whole", "server", "number", "end", "how", "queued", "work")

    def __init__(self, event: Arrived) -> None:
        self.first = event.first
        self.whole = event.t
        self.server = event.server
        self.number = event.attempt
        self.end = NEVER
        self.how = ""  # "served", "error", "rejected", or who closed the connection: "node" or "server"
        self.queued = event.queued
        self.work = event.work

    @property
    def may_have_run(self) -> bool:
        return self.how != "rejected"


class Request:
    """One try of a client's request, as the client and the servers saw it."""

    __slots__ = ("sent", "answer", "broken", "gave_up", "again", "attempts")

    def __init__(self) -> None:
        self.sent: Sent | None = None
        self.answer: Answered | None = None
        self.broken: Broken | None = None
        self.gave_up: GaveUp | None = None
        self.again: Again | None = None
        self.attempts: list[Attempt] = []


class ServerProcess:
    """One process of a server, from its start `up` to its end `down`."""

    __slots__ = ("up", "down")

    def __init__(self, up: Up) -> None:
        self.up = up
        self.down = NEVER


class History:
    """The events of a run, indexed. `worst`: the largest lag that a stand-in reported, in microseconds."""

    def __init__(self, events: Iterable[AnyEvent]) -> None:
        self.requests: defaultdict[str, Request] = defaultdict(Request)
        self.processes: defaultdict[str, list[ServerProcess]] = defaultdict(list)
        self.told: defaultdict[str, list[Told]] = defaultdict(list)
        self.calls: defaultdict[str, list[Asked | Told | Untold]] = defaultdict(list)
        self.pauses: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        # When a fault silenced each call, by node and call number.
        self.hushed: defaultdict[str, dict[int, int]] = defaultdict(dict)
        self.changed: list[Changed] = []
        # By node: (time, signal or "ended").
        self.ends: defaultdict[str, list[tuple[int, str]]] = defaultdict(list)
        self.began: defaultdict[str, list[int]] = defaultdict(list)
        self.worst = Lag(0, "", 0)
        self.last = 0
        self.index_events(events)

    def index_events(self, events: Iterable[AnyEvent]) -> None:
        """Fills the indexes by request, server and node."""
        open_attempts: dict[int, Attempt] = {}
        for event in events:
            self.last = event.t
            kind = type(event)
            if kind is Arrived:
                assert isinstance(event, Arrived)
                attempt = open_attempts[event.attempt] = Attempt(event)
                self.requests[event.id].attempts.append(attempt)
            elif isinstance(event, (Replied, Closed)):
                ended = open_attempts.pop(event.attempt, None)
                if ended is not None:
                    ended.end = event.t
                    ended.how = event.how if isinstance(event, Replied) else event.by
            elif isinstance(event, Sent):
                self.requests[event.id].sent = event
            elif isinstance(event, Answered):
                self.requests[event.id].answer = event
            elif isinstance(event, Broken):
                self.requests[event.id].broken = event
            elif isinstance(event, GaveUp):
                self.requests[event.id].gave_up = event
            elif isinstance(event, Again):
                self.requests[event.id].again = event
            elif isinstance(event, Up):
                self.processes[event.server].append(ServerProcess(event))
            elif isinstance(event, Down):
                if self.processes[event.server]:
                    self.processes[event.server][-1].down = event.t
            elif isinstance(event, Hushed):
                self.hushed[event.node][event.call] = event.t
            elif isinstance(event, (Asked, Told, Untold)):
                self.calls[event.node].append(event)
                if isinstance(event, Told):
                    self.told[event.node].append(event)
            elif isinstance(event, Changed):
                self.changed.append(event)
            elif isinstance(event, NodeSignal):
                if event.signal == "stop":
                    self.pauses[event.node].append((event.t, NEVER))
                elif event.signal == "cont" and self.pauses[event.node]:
                    self.pauses[event.node][-1] = (self.pauses[event.node][-1][0], event.t)
                elif event.signal != "hup":
                    self.ends[event.node].append((event.t, event.signal))
            elif isinstance(event, NodeEnded):
                # As after a kill, clients retry what a crashed node held; the crash is reported elsewhere.
                self.ends[event.node].append((event.t, "ended" if event.wanted else "kill"))
            elif isinstance(event, NodeUp):
                self.began[event.node].append(event.t)
            elif isinstance(event, Lag) and event.lag > self.worst.lag:
                self.worst = event

    def killed(self, node: str, start: int, end: int) -> bool:
        """Whether the node was killed with SIGKILL, or crashed, in this interval."""
        return any(kind == "kill" and start <= t <= end for t, kind in self.ends[node])

    def paused(self, node: str, start: int, end: int) -> bool:
        """Whether the node's process was paused, and so unable to answer, at some time in this interval."""
        return any(begin <= end and start <= over for begin, over in self.pauses[node])

    def ending(self, request: Request) -> int:
        """When the client knew that it would get no answer; the end of the run if it never did."""
        ends = [e.t for e in (request.broken, request.gave_up) if e is not None]
        return min(ends, default=self.last)

    def group(self, server: str, kind: str) -> str:
        """The name of the group of servers that share idempotency keys with this one."""
        processes = self.processes.get(server)
        if kind == "all" or not processes:
            return ""
        pod = processes[-1].up.pod
        return pod if kind == "pod" else pod.partition("/")[0]
