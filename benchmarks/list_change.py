"""What one changed line of the list costs the module.

`PYTHONPATH=. .venv/bin/python benchmarks/list_change.py [OTHER]`: medians of 101 changes, each a server that
goes or comes back, in one zone with one kind, and in two zones with three kinds.
OTHER: a checkout to set beside this one, in turn.
"""

from __future__ import annotations

import sys
from statistics import median
from time import perf_counter_ns
from typing import Any

from brackenladder.fleet.variants import variant
from brackenladder.interface import ClassSettings, Effect, ListKind, ServerEntry, Settings, State

ROUNDS = 101


class Deaf:
    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


class Changing:
    """A node before so many servers."""

    def __init__(self, checkout: str, servers: int, mixed: bool) -> None:
        classes = (ClassSettings(Effect.SAFE, 1_000_000, 3_000_000, 1.0),)
        settings = Settings(classes, instances=306, index=17, cross_zone_price=0.05 if mixed else 0.0)
        self.node = variant("module", checkout, {})(settings, 1, Deaf())
        self.node.start(0)
        self.entries = [
            ServerEntry(i * 7919 + 1, zone=i % 2 * mixed, kind=i % 3 * mixed) for i in range(servers)
        ]
        self.node.server_list(0, ListKind.FULL, self.entries)
        self.now = 0

    def change(self) -> int:
        """Nanoseconds of one change."""
        self.now += 1
        entry = self.entries[(self.now // 2) * 131 % len(self.entries)]
        state = State.READY if self.now % 2 else State.GONE
        line = ServerEntry(entry.server, state, entry.cell, entry.zone, entry.kind)
        began = perf_counter_ns()
        self.node.server_list(self.now, ListKind.CHANGES, (line,))
        return perf_counter_ns() - began


def main() -> None:
    checkouts = ["", *sys.argv[1:2]]
    for servers in (100, 1_000, 10_000):
        for mixed in (False, True):
            nodes = [Changing(checkout, servers, mixed) for checkout in checkouts]
            took: list[list[int]] = [[] for _ in nodes]
            for _ in range(ROUNDS):
                for node, times in zip(nodes, took, strict=True):
                    times.append(node.change())
            told = ", ".join(f"{median(times) / 1e6:.3f} ms" for times in took)
            print(
                f"{servers:6} servers, {'two zones, three kinds' if mixed else 'one zone, one kind'}: {told}"
            )


if __name__ == "__main__":
    main()
