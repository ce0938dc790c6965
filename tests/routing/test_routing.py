"""Pools and routes by themselves."""

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
    ("spec", "fits", "not_of_it"),
    [
        (PoolSpec(), line("x", "z", "y", 9), None),
        (PoolSpec(zones=("a", "b")), line("x", "b"), line("x", "c")),
        (PoolSpec(kinds=("big",), zones=("a",)), line("x", kind="big"), line("x", "b", "big")),
        (PoolSpec(cells=(3,)), line("x", cell=3), line("x", cell=4)),
        (PoolSpec(servers=("s1",)), line("s1"), line("s11")),
    ],
)
def test_a_server_fits_every_list_that_is_not_empty(spec, fits, not_of_it):
    assert contains(spec, fits) and (not_of_it is None or not contains(spec, not_of_it))


def test_parts_of_the_circle_cover_it_once_and_a_grown_part_keeps_what_it_had():
    names = [f"s{i}" for i in range(2000)]
    parts = [PoolSpec(part=part) for part in ((0.0, 0.1), (0.1, 0.6), (0.6, 1.0))]
    held = [{name for name in names if contains(spec, line(name))} for spec in parts]
    assert sum(map(len, held)) == len(names) == len(set.union(*held))
    assert len(held[0]) == pytest.approx(200, rel=0.2)
    assert held[0] < {name for name in names if contains(PoolSpec(part=(0.0, 0.2)), line(name))}
    assert hash_position("s1") == hash_position("s1") != hash_position("s2")


def test_weights_of_a_server_win_over_its_kind_s_and_nothing_is_a_drain_for_this_pool():
    spec = PoolSpec(zones=("a",), weights={"kind:big": 3.0, "server:s1": 0.0})
    lines = (line("s0", kind="big"), line("s1", kind="big"), line("s2"), line("s3", "b"))
    assert [weight(spec, x) for x in lines] == [3.0, 0.0, 1.0, 1.0]
    assert capacity(spec, lines) == 4.0
    listing = pool_listing(spec, Listing(ListKind.CHANGES, 7, lines))
    states = [x.state for x in listing.lines]
    assert states == [State.READY, State.DRAINING, State.READY, State.GONE] and listing.version == 7


def router(*routes: RouteSpec) -> Router:
    return Router(routes, CLASSES, TENANTS)


def test_the_first_route_that_fits_takes_it():
    routes = router(
        RouteSpec(classes=("view",), tenants=("acme",), to={"one": 1.0}),
        RouteSpec(prefix="/view/eu", to={"two": 1.0}),
        RouteSpec(classes=("offer",), to={"three": 1.0}),
    )
    asked = {
        (0, 0, b"/view/eu"): "one",
        (0, 1, b"/view/eu/7"): "two",
        (0, 7, b"/view"): "default",  # a stranger, whom no route takes
        (1, 0, b"/offer"): "three",
        (1, 7, b"/view/eu"): "two",
    }
    for (klass, tenant, path), pool in asked.items():
        assert routes.route(klass, tenant, path, "", 0.5) == pool


@pytest.mark.parametrize("sticky", ["", "object"])
def test_shares_are_kept_and_what_is_sticky_stays_as_a_share_grows(sticky):
    rng, went = Random(1), {}
    for share in (0.05, 0.2):
        routes = router(RouteSpec(to={"default": 1 - share, "canary": share}, sticky=sticky))
        assert routes.sticky(0, 0, b"/view") == sticky
        went[share] = [routes.route(0, 0, b"/view", f"object {i}", rng.random()) for i in range(10_000)]
        assert Counter(went[share])["canary"] == pytest.approx(10_000 * share, rel=0.15)
    if sticky:
        both = zip(went[0.05], went[0.2], strict=True)
        assert not any(before == "canary" != after for before, after in both)


def test_where_a_class_may_come_to():
    routes = [
        RouteSpec(classes=("view",), tenants=("acme",), to={"one": 1.0}),
        RouteSpec(classes=("view",), prefix="/x", to={"two": 0.3, "three": 0.7}),
        RouteSpec(tenants=("acme", "zeta"), to={"four": 1.0, "five": 0.0}),
    ]
    assert set(reachable_pools(routes, "view", TENANTS)) == {"one", "two", "three", "four", "default"}
    assert set(reachable_pools(routes, "offer", TENANTS)) == {"four", "default"}
    assert set(reachable_pools([RouteSpec(to={"one": 1.0})], "view", TENANTS)) == {"one"}
