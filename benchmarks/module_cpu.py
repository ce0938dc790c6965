"""What a call costs the decision module: `.venv/bin/python benchmarks/module_cpu.py OTHER [PAIRS]`.

A request and its outcome, with eight calls in flight, before 60, 1,000 and 10,000 servers, a fiftieth of them
cold; and a list that changes by one line. Each pair times this checkout and OTHER one after the other, in
turns; medians in microseconds, the ratio with its quartiles, and the ratio of the best times, which a busy
machine sways least.
"""

from __future__ import annotations

import sys
from pathlib import Path
from statistics import median, quantiles
from time import process_time_ns
from typing import Any

sys.path[0:1] = [str(Path(__file__).parents[1])]

from brackenladder.fleet.variants import variant  # noqa: E402
from brackenladder.interface import (  # noqa: E402
    ClassSettings,
    Effect,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
    TenantSettings,
)

CALLS = 4_000
FLIGHT = 8
CHANGES = {60: 400, 1_000: 200, 10_000: 100}


class Actions:
    """Notes where a request was sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, int]] = []

    def send(self, request: int, server: int, timeout: int) -> None:
        self.sent.append((request, server))

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


class Node:
    def __init__(self, checkout: str, servers: int) -> None:
        self.actions = Actions()
        classes = [ClassSettings(effect, 1_000_000, 3_000_000, 1.0) for effect in Effect]
        tenants = [TenantSettings(300.0), TenantSettings(100.0)]
        settings = Settings(
            classes, tenants, instances=306, index=17, cold_time=10**12, cold_share=0.3, fall_multiple=2.5,
            fall_time=3_000_000, max_attempts=3,
        )  # fmt: skip
        self.module = variant("module", checkout, {})(settings, 1, self.actions)
        self.module.start(0)
        self.entries = [
            ServerEntry(i * 7919 + 1, kind=i % 3, ready_at=0 if i % 50 else 1) for i in range(servers)
        ]
        self.module.server_list(0, ListKind.FULL, self.entries)
        self.now = self.number = self.turn = 0

    def calls(self) -> float:
        """Microseconds a call."""
        module, sent = self.module, self.actions.sent
        begun = process_time_ns()
        for _ in range(CALLS):
            self.number += 1
            self.now += 500
            module.request(self.now, self.number, self.number % 3, self.number % 2, 3_000_000, False)
            if len(sent) > FLIGHT:
                request, server = sent.pop(0)
                module.outcome(self.now, request, 0, server, Outcome.OK, 60_000, False, ())
        return (process_time_ns() - begun) / CALLS / 1000

    def changes(self) -> float:
        """Microseconds a change of the list."""
        count = CHANGES[len(self.entries)]
        begun = process_time_ns()
        for _ in range(count):
            self.turn += 1
            self.now += 1000
            entry = self.entries[self.turn // 2 % len(self.entries)]
            state = State.DRAINING if self.turn % 2 else State.READY
            news = ServerEntry(entry.server, state, kind=entry.kind, ready_at=entry.ready_at)
            self.module.server_list(self.now, ListKind.CHANGES, [news])
        return (process_time_ns() - begun) / count / 1000


def main() -> int:
    if len(sys.argv) not in (2, 3):
        print(__doc__)
        return 2
    pairs = int(sys.argv[2]) if len(sys.argv) == 3 else 15
    for servers in CHANGES:
        nodes = Node("", servers), Node(sys.argv[1], servers)
        for what in ("calls", "changes"):
            rows = []
            for pair in range(pairs + 1):
                order = nodes if pair % 2 else nodes[::-1]
                times = {node: getattr(node, what)() for node in order}
                rows.append((times[nodes[0]], times[nodes[1]]))
            rows = rows[1:]  # the first warms up
            low, mid, high = quantiles([own / other for own, other in rows], n=4)
            own, other = (median(column) for column in zip(*rows, strict=True))
            best = min(own for own, _ in rows) / min(other for _, other in rows)
            print(
                f"{servers:6d} {what:8s} {own:9.2f} {other:9.2f} us, ratio {mid:.3f} ({low:.3f}, {high:.3f}),"
                f" of the best {best:.3f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
