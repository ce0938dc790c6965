"""What plan and apply cost: `.venv/bin/python benchmarks/plan_apply.py [SERVERS] [POOLS]`.

The time for which one apply holds the event loop (a weight, a route, a pool more or less, all pools anew),
with 1,000 servers and 50 pools if not told otherwise; and a look-up with 1, 10 and 100 routes.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from statistics import median
from time import perf_counter
from typing import Any, cast

sys.path[0:1] = [str(Path(__file__).parents[1])]

from brackenladder.control.plan import make_plan  # noqa: E402
from brackenladder.control.state import parse_state  # noqa: E402
from brackenladder.core.clock import Clock  # noqa: E402
from brackenladder.core.host import Host  # noqa: E402
from brackenladder.interface import ClassSettings, Effect, ListKind, Settings, State  # noqa: E402
from brackenladder.membership.listing import Line, Listing  # noqa: E402
from brackenladder.node.pools import Pools  # noqa: E402
from brackenladder.routing.routes import Router, RouteSpec  # noqa: E402

ROUNDS = 10
LOOKUPS = 20_000
CLASSES = ["view", "invite", "offer"]
TENANTS = [f"tenant-{i}" for i in range(20)]


class Nothing:
    """An upstream, a front and a first pool, as far as an apply touches them."""

    route: Any = None
    distribute: Any = None

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


class Config:
    settings = Settings([ClassSettings(e, 1_000_000, 3_000_000, 1.0) for e in Effect], instances=20)
    zones, kinds = ["a", "b"], ["std", "big"]
    classes, tenants, seed = CLASSES, TENANTS, 1


def pools_of(servers: int) -> Pools:
    loop = asyncio.new_event_loop()
    first: Any = Nothing()
    first.upstream = Nothing()
    clock = Clock()
    first.host = Host(Config.settings, 1, loop, first.upstream, print, clock)
    first.host.directory = first.host.messenger = Nothing()
    pools = Pools(cast(Any, Config), loop, clock, first, cast(Any, Nothing()), print)
    lines = [
        Line(f"s{i}", "127.0.0.1", 1, "ab"[i % 2], ("std", "big")[i % 3 == 0], 0, State.READY, 1.0, 0)
        for i in range(servers)
    ]
    first.host.start()
    pools.distribute(Listing(ListKind.FULL, 1, tuple(lines)))
    return pools


def text(pools: int, weight: float, share: float) -> bytes:
    """So many pools beside the default, each a part of the circle."""
    out = [f'[pools.default.weights]\n"server:s1" = {weight}']
    for i in range(pools):
        low, high = i / (pools + 1), (i + 1) / (pools + 1)
        out.append(f"[pools.p{i}]\npart = [{low}, {high}]")
    out.append(f"[[routes]]\nto = {{ p0 = {share}, default = {1 - share} }}")
    return "\n".join(out).encode()


def held(pools: Pools, data: bytes) -> float:
    """Milliseconds of one apply."""
    plan = make_plan(pools.live(), parse_state(data))
    if plan.findings:
        raise SystemExit(plan.findings[0].text)
    begun = perf_counter()
    pools.apply(plan, 0)
    return (perf_counter() - begun) * 1000


def main() -> int:
    servers = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 50
    pools = pools_of(servers)
    begun = held(pools, text(count, 1.0, 0.5))
    print(f"{servers} servers, {count} pools: {begun:.1f} ms for all of them anew")
    usual = text(count, 1.0, 0.5)
    others = {
        "a weight": text(count, 0.5, 0.5),
        "a route": text(count, 1.0, 0.25),
        "a pool": usual + b'\n[pools.more]\nzones = ["a"]\n',
    }
    for what, other in others.items():
        times = [held(pools, usual if turn % 2 else other) for turn in range(ROUNDS)]
        print(f"  {what:10s} {median(times):8.2f} ms (most {max(times):.2f})")
    for number in (1, 10, 100):
        routes = [
            RouteSpec(classes=("view",), tenants=(TENANTS[i % 20],), prefix=f"/view/{i}", to={"default": 1.0})
            for i in range(number - 1)
        ]
        routes.append(RouteSpec(to={"p0": 0.5, "default": 0.5}))
        router = Router(routes, CLASSES, TENANTS)
        begun = perf_counter()
        for i in range(LOOKUPS):
            router.route(i % 3, i % 20, b"/view", "", 0.3)
        print(f"  {number:3d} routes: {(perf_counter() - begun) / LOOKUPS * 1e6:.2f} us a look-up")
    return 0


if __name__ == "__main__":
    sys.exit(main())
