"""Builds journals as a correct system would write them; tests then add single violations."""

from __future__ import annotations

from brackenladder.rehearsal.checker import ClassTerms, Terms
from brackenladder.rehearsal.events import (
    Answered,
    AnyEvent,
    Arrived,
    Asked,
    Broken,
    Changed,
    Closed,
    Down,
    GaveUp,
    NodeUp,
    Replied,
    Sent,
    Told,
    Up,
)

MS = 1000
SECOND = 1_000_000
SAFE, UNSAFE, KEYED = 0, 1, 2
TERMS = Terms(classes=(ClassTerms("safe"), ClassTerms("unsafe"), ClassTerms("keyed")))


class History:
    """Events that can be added in any order and are read by time."""

    def __init__(self, nodes: int = 1) -> None:
        self.events: list[AnyEvent] = [NodeUp(0, f"n{i}") for i in range(nodes)]
        self.attempts = 0
        self.calls = 0

    def add(self, *events: AnyEvent) -> None:
        self.events += events

    def sorted(self) -> list[AnyEvent]:
        return sorted(self.events, key=lambda e: e.t)

    def server(
        self, name: str, pod: str = "east/0", t: int = 0, cold: bool = False, **changes: object
    ) -> None:
        """Starts a server with two standard cores; a cold one starts at 0.12 and is warm after 24 s."""
        started = 1 + t // MS if cold else 0
        share, warm = (0.12, 24 * SECOND) if cold else (1.0, 0)
        self.add(Up(t, name, pod, started, 2.0, share, warm))

    def down(self, name: str, t: int) -> None:
        self.add(Down(t, name))

    def sent(
        self,
        t: int,
        name: str,
        klass: int = SAFE,
        budget: int = SECOND,
        node: str = "n0",
        reused: bool = False,
    ) -> None:
        self.add(Sent(t, name, node, klass, budget, t, reused))

    def attempt(
        self,
        t: int,
        name: str,
        server: str,
        end: int | None = None,
        how: str = "served",
        work: int = 10 * MS,
        first: int | None = None,
        queued: bool = False,
    ) -> None:
        """An attempt that arrives at `t`. `how`: served, error, rejected, or who closed it: node, server."""
        self.attempts += 1
        number = self.attempts
        self.add(Arrived(t, t if first is None else first, server, number, name, work, queued))
        if end is not None and how in ("node", "server"):
            self.add(Closed(end, server, number, name, how))
        elif end is not None:
            self.add(Replied(end, server, number, name, how))

    def answer(self, t: int, name: str, status: int = 200, own: bool = True) -> None:
        self.add(Answered(t, name, status, own, 0.0))

    def cut(self, t: int, name: str, begun: bool = False) -> None:
        self.add(Broken(t, name, begun))

    def gave_up(self, t: int, name: str, early: bool = False) -> None:
        self.add(GaveUp(t, name, early))

    def served(
        self, t: int, name: str, server: str, klass: int = SAFE, node: str = "n0", work: int = 10 * MS
    ) -> None:
        """A request that is served: 1 ms to the server, 10 ms there, 1 ms back."""
        self.sent(t, name, klass, node=node)
        self.attempt(t + MS, name, server, t + 11 * MS, work=work)
        self.answer(t + 12 * MS, name)

    def told(
        self,
        t: int,
        version: int,
        *servers: tuple[str, str, int],
        full: bool = False,
        node: str = "n0",
        source: int = 0,
    ) -> None:
        """A discovery call that is answered at once."""
        self.calls += 1
        self.add(Asked(t - 1, node, self.calls, version - 1))
        self.add(Told(t, node, self.calls, source, version, full, tuple(servers)))

    def changed(self, t: int, version: int, server: str, state: str, started: int = 0) -> None:
        self.add(Changed(t, 0, version, server, state, started))
