"""Helpers for tests of the Balancer: a host that records all actions, and functions to send events."""

from __future__ import annotations

from dataclasses import replace

from brackenladder.interface import ClassSettings, Effect, Group, ListKind, Outcome, ServerEntry, Settings
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.server import Server

SEC = 1_000_000
SAFE = ClassSettings(Effect.SAFE, aim=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2)
KEYED = ClassSettings(
    Effect.KEYED, aim=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2, group=Group.CELL, window=2 * SEC
)
UNSAFE = ClassSettings(Effect.UNSAFE, aim=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2)
BASE = Settings(
    classes=(SAFE, KEYED, UNSAFE),
    max_attempts=4,
    cancel=True,
    retry_after=True,
    max_retry_after=2 * SEC,
    cold_time=4 * SEC,
    cold_share=0.4,
    fall_multiple=3.0,
    fall_time=SEC,
)


class Recorder:
    def __init__(self) -> None:
        self.calls: list[tuple] = []

    def __getattr__(self, name: str):
        return lambda *args: self.calls.append((name, *args))

    def take(self, *names: str) -> list[tuple]:
        """The actions since the last call, or only those with the given names."""
        calls, self.calls = self.calls, []
        return [c for c in calls if not names or c[0] in names]


def balancer(servers: int | list[ServerEntry] = 4, seed: int = 1, **changes) -> tuple[Balancer, Recorder]:
    recorder = Recorder()
    node = Balancer(replace(BASE, **changes), seed, recorder)
    node.start(0)
    entries = [ServerEntry(i + 1) for i in range(servers)] if isinstance(servers, int) else servers
    node.server_list(0, ListKind.CACHED, entries)
    recorder.take()
    return node, recorder


def ask(
    node: Balancer, recorder: Recorder, now: int, request: int, klass: int = 0, left: int = 3 * SEC
) -> tuple:
    """Sends a request to the Balancer and returns the one action that follows."""
    node.request(now, request, klass, 0, left, False)
    (action,) = recorder.take("send", "refuse", "fail")
    return action


def end(
    node: Balancer,
    recorder: Recorder,
    now: int,
    request: int,
    attempt: int,
    server: int,
    outcome: Outcome,
    latency: int = 10_000,
) -> list[tuple]:
    final = outcome == Outcome.OK
    node.outcome(now, request, attempt, server, outcome, latency, final, ())
    return recorder.take("send", "refuse", "fail")


def load(server: Server, now: int, mean: float) -> float:
    """What is compared when two members are drawn: expected time for the calls in flight."""
    return (server.in_flight + 1) * server.slowness(now, mean)
