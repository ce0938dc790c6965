"""Unit tests of pools and routes."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing
from brackenladder.routing.pools import PoolSpec, capacity, contains, hash_position, pool_listing, weight
from brackenladder.routing.routes import Router, RouteSpec, reachable_pools

CLASSES, TENANTS = ("view", "offer"), ("acme", "zeta")


def line(name: str, zone="a", kind="std", cell=0, state=State.READY) -> Line:
    return Line(name, "127.0.0.1", 1, zone, kind, cell, state, 1.0, 0)


@pytest.mark.parametrize(
    ("spec", "fits", "other"),
    [
        (PoolSpec(), line("x", "z", "y", 9), None),
        (PoolSpec(zones=("a", "b")), line("x", "b"), line("x", "c")),
        (PoolSpec(kinds=("big",), zones=("a",)), line("x", kind="big"), line("x", "b", "big")),
        (PoolSpec(cells=(3,)), line("x", cell=3), line("x", cell=4)),
        (PoolSpec(servers=("s1",)), line("s1"), line("s11")),
    ],
)
def test_a_server_must_match_every_list_that_is_not_empty(spec, fits, other):
    assert contains(spec, fits) and (other is None or not contains(spec, other))


def test_hashed_parts_cover_all_servers_once_and_a_larger_part_keeps_its_servers():
    names = [f"s{i}" for i in range(2000)]
    parts = [PoolSpec(part=part) for part in ((0.0, 0.1), (0.1, 0.6), (0.6, 1.0))]
    servers_by_part = [{name for name in names if contains(spec, line(name))} for spec in parts]
    assert sum(map(len, servers_by_part)) == len(names) == len(set.union(*servers_by_part))
    assert len(servers_by_part[0]) == pytest.approx(200, rel=0.2)
    assert servers_by_part[0] < {name for name in names if contains(PoolSpec(part=(0.0, 0.2)), line(name))}
    assert hash_position("s1") == hash_position("s1") != hash_position("s2")


def test_a_server_s_weight_overrides_its_kind_s_and_zero_drains_it_in_this_pool():
    spec = PoolSpec(zones=("a",), weights={"kind:big": 3.0, "server:s1": 0.0})
    lines = (line("s0", kind="big"), line("s1", kind="big"), line("s2"), line("s3", "b"))
    assert [weight(spec, x) for x in lines] == [3.0, 0.0, 1.0, 1.0]
    assert capacity(spec, lines) == 4.0
    listing = pool_listing(spec, Listing(ListKind.CHANGES, 7, lines))
    states = [x.state for x in listing.lines]
    assert states == [State.READY, State.DRAINING, State.READY, State.GONE] and listing.version == 7


def router(*routes: RouteSpec) -> Router:
    return Router(routes, CLASSES, TENANTS)


def test_the_first_matching_route_is_used():
    routes = router(
        RouteSpec(classes=("view",), tenants=("acme",), to={"one": 1.0}),
        RouteSpec(prefix="/view/eu", to={"two": 1.0}),
        RouteSpec(classes=("offer",), to={"three": 1.0}),
    )
    expected = {
        (0, 0, b"/view/eu"): "one",
        (0, 1, b"/view/eu/7"): "two",
        (0, 7, b"/view"): "default",  # an unknown tenant, which no route matches
        (1, 0, b"/offer"): "three",
        (1, 7, b"/view/eu"): "two",
    }
    for (klass, tenant, path), pool in expected.items():
        assert routes.route(klass, tenant, path, "", 0.5) == pool


@pytest.mark.parametrize("sticky", ["", "object"])
def test_shares_are_met_and_sticky_requests_stay_when_a_share_grows(sticky):
    rng, pools = Random(1), {}
    for share in (0.05, 0.2):
        routes = router(RouteSpec(to={"default": 1 - share, "canary": share}, sticky=sticky))
        assert routes.sticky(0, 0, b"/view") == sticky
        pools[share] = [routes.route(0, 0, b"/view", f"object {i}", rng.random()) for i in range(10_000)]
        assert Counter(pools[share])["canary"] == pytest.approx(10_000 * share, rel=0.15)
    if sticky:
        both = zip(pools[0.05], pools[0.2], strict=True)
        assert not any(before == "canary" != after for before, after in both)


def test_the_pools_reachable_by_a_class():
    routes = [
        RouteSpec(classes=("view",), tenants=("acme",), to={"one": 1.0}),
        RouteSpec(classes=("view",), prefix="/x", to={"two": 0.3, "three": 0.7}),
        RouteSpec(tenants=("acme", "zeta"), to={"four": 1.0, "five": 0.0}),
    ]
    assert set(reachable_pools(routes, "view", TENANTS)) == {"one", "two", "three", "four", "default"}
    assert set(reachable_pools(routes, "offer", TENANTS)) == {"four", "default"}
    assert set(reachable_pools([RouteSpec(to={"one": 1.0})], "view", TENANTS)) == {"one"}
