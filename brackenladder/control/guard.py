"""What a change would do to service, on the list as it is now. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

import msgspec

from brackenladder.control.state import DesiredState
from brackenladder.interface import State
from brackenladder.membership.listing import Line
from brackenladder.routing.pools import PoolSpec, capacity, contains, weight
from brackenladder.routing.routes import reachable_pools, used_pools

LEAST_CAPACITY = 0.5  # of a pool's capacity by weight that a change has to leave while calls are open in it
MOST_DRAINED = 0.34  # of a pool's servers may be out of it at once, with those that discovery drains
SMALL = 3  # a pool of no more servers may lose one of them, whatever part of it that is


class Finding(msgspec.Struct, frozen=True, forbid_unknown_fields=True, order=True):
    """Why a change is refused: `rule` and `of`, a pool or a class, tell one finding from another."""

    rule: str
    of: str
    text: str


def serving_servers(spec: PoolSpec, lines: Sequence[Line]) -> list[Line]:
    """Servers of a pool that may get something new."""
    return [x for x in lines if x.state == State.READY and contains(spec, x) and weight(spec, x) > 0]


def check_change(
    old: DesiredState,
    new: DesiredState,
    lines: Sequence[Line],
    open_calls: Mapping[str, int],
    classes: Sequence[str],
    tenants: Sequence[str],
    allow_empty: Collection[str] = (),
) -> list[Finding]:
    """All findings, in a stable order. None: the change may be made.

    `open_calls`: by pool. `allow_empty`: pools that are meant to have no server.
    """
    found: list[Finding] = []
    # Only pools that something goes to, or that change, are looked at: a node is held while this goes on.
    reached = {klass: reachable_pools(new.routes, klass, tenants) for klass in classes}
    changed = [name for name, spec in new.pools.items() if old.pools.get(name) not in (None, spec)]
    looked_at = {*used_pools(new.routes), *changed, *(name for pools in reached.values() for name in pools)}
    able = {name: serving_servers(new.pools[name], lines) for name in looked_at}
    for name in sorted(used_pools(new.routes)):
        if not able[name] and name not in allow_empty:
            found.append(Finding("empty", name, f"pool {name}: no ready server is left"))
    for klass in classes:
        pools = reached[klass]
        if not any(able[pool] for pool in pools) and not all(pool in allow_empty for pool in pools):
            found.append(Finding("class", klass, f"class {klass}: none of its pools has a ready server"))
    for name in changed:
        before, spec = old.pools[name], new.pools[name]
        if not able[name]:
            continue
        had, has = capacity(before, lines), capacity(spec, lines)
        if open_calls.get(name, 0) and has < LEAST_CAPACITY * had:
            found.append(
                Finding("capacity", name, f"pool {name}: {has:g} of {had:g} by weight, with calls open in it")
            )
        # Those that discovery drains are out already: what counts is all that is out at once.
        members = [x for x in lines if contains(before, x) and weight(before, x) > 0]
        out = [x for x in members if x.state != State.READY or not contains(spec, x) or weight(spec, x) == 0]
        leave = [x for x in out if x.state == State.READY]
        most = max(MOST_DRAINED * len(members), 1 if len(members) <= SMALL else 0)
        if leave and len(out) > most:
            found.append(
                Finding("drained", name, f"pool {name}: {len(out)} of {len(members)} servers out at once")
            )
    return sorted(found)


def count_serving(new: DesiredState, lines: Sequence[Line]) -> dict[str, int]:
    """What of the list a verdict rests on: how many servers of each pool may get something new."""
    return {name: len(serving_servers(spec, lines)) for name, spec in sorted(new.pools.items())}
