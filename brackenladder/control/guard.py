"""Checks, from the current server list, whether a change would leave a pool too few ready servers."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

import msgspec

from brackenladder.control.state import DesiredState
from brackenladder.interface import State
from brackenladder.membership.listing import Line
from brackenladder.routing.pools import PoolSpec, capacity, contains, weight
from brackenladder.routing.routes import reachable_pools, used_pools

MIN_CAPACITY = 0.5  # share of a pool's capacity (by weight) that must remain while it has open calls
MAX_DRAINED = 0.34  # share of a pool's servers that may be out of service, including those draining already
SMALL = 3  # a pool of at most this many servers may always have one of them taken out of service


class Finding(msgspec.Struct, frozen=True, forbid_unknown_fields=True, order=True):
    """A reason to refuse a change: the violated `rule`, and the name of the pool or class (`of`)."""

    rule: str
    of: str
    text: str


def serving_servers(spec: PoolSpec, lines: Sequence[Line]) -> list[Line]:
    """Returns the servers of a pool that may get new requests."""
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
    """Returns the reasons to refuse a change, in a stable order. The change is allowed if there are none.

    `open_calls`: number of open calls by pool. `allow_empty`: pools that are meant to have no server.
    """
    found: list[Finding] = []
    # Only pools that are used or that change are checked, as the check blocks the node's event loop.
    reached = {klass: reachable_pools(new.routes, klass, tenants) for klass in classes}
    changed = [name for name, spec in new.pools.items() if old.pools.get(name) not in (None, spec)]
    checked_pools = {
        *used_pools(new.routes),
        *changed,
        *(name for pools in reached.values() for name in pools),
    }
    able = {name: serving_servers(new.pools[name], lines) for name in checked_pools}
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
        old_capacity, new_capacity = capacity(before, lines), capacity(spec, lines)
        if open_calls.get(name, 0) and new_capacity < MIN_CAPACITY * old_capacity:
            found.append(
                Finding(
                    "capacity",
                    name,
                    f"pool {name}: {new_capacity:g} of {old_capacity:g} by weight, with calls open in it",
                )
            )
        # Servers that were draining before the change count too: the limit is on all servers out of service.
        members = [x for x in lines if contains(before, x) and weight(before, x) > 0]
        out = [x for x in members if x.state != State.READY or not contains(spec, x) or weight(spec, x) == 0]
        leaving = [x for x in out if x.state == State.READY]
        max_out = max(MAX_DRAINED * len(members), 1 if len(members) <= SMALL else 0)
        if leaving and len(out) > max_out:
            found.append(
                Finding("drained", name, f"pool {name}: {len(out)} of {len(members)} servers out at once")
            )
    return sorted(found)


def count_serving(new: DesiredState, lines: Sequence[Line]) -> dict[str, int]:
    """Returns by pool how many servers may get new requests. A plan records these numbers."""
    return {name: len(serving_servers(spec, lines)) for name, spec in sorted(new.pools.items())}
