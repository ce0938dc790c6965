"""Whatever routes, gateways and clients there are: nobody is led past homes or left alone without need."""

from __future__ import annotations

import unittest
from functools import partial

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from registry.registry_samples import gateway

from brackenladder.catalog.configuration import Configuration, Route, RouteKind
from brackenladder.control_plane.directory import Directory
from brackenladder.registry.directory import MAX_ADDRESSES, ClientLocation
from brackenladder.registry.gateways import GatewayRecord, GatewayRegistry, GatewayState

REGIONS = ("north", "south", "east", "west")
HOSTS = ("a.example", "b.example")
ASKED = ("a.example", "B.Example:8080", "new.example", "")
FROM_ASKED = {"a.example": "a.example", "B.Example:8080": "b.example"}

homes = st.lists(st.sampled_from(REGIONS), unique=True, max_size=3).map(tuple)
routes = st.lists(st.tuples(st.sampled_from(HOSTS), homes), max_size=6)
gateways = st.lists(st.tuples(st.sampled_from(REGIONS), st.sampled_from(GatewayState)), max_size=80)


def route(number: int, host: str, homes: tuple[str, ...]) -> Route:
    return Route(f"r{number}", host, f"/{number}/", RouteKind.SAFE, 1000, 500, homes=homes)


def record(number: int, region: str, state: GatewayState) -> GatewayRecord:
    return gateway(f"g{number}", zone=f"hall-{region}-{number % 2}", region=region, state=state)


class OracleTest(unittest.TestCase):
    @given(
        routes,
        gateways,
        st.sampled_from(ASKED),
        st.sampled_from((*REGIONS, "")),
        st.integers(0, 1),
        st.booleans(),
    )
    def test_answers_keep_the_homes_and_leave_nobody_out(
        self,
        of_hosts: list[tuple[str, tuple[str, ...]]],
        known: list[tuple[str, GatewayState]],
        asked: str,
        region: str,
        zone: int,
        current: bool,
    ) -> None:
        registry = GatewayRegistry()
        for number, (of_region, state) in enumerate(known):
            registry.record_presence(0, record(number, of_region, state))
        directory = Directory(registry)
        parts = tuple(route(number, *part) for number, part in enumerate(of_hosts))
        directory.set_configuration(1, lambda: Configuration(1, parts, ()))
        offer = directory.resolve(0, ClientLocation(asked, region, f"hall-{region}-{zone}"), current)

        named = {known[int(address.removeprefix("g").split(":")[0])][0] for address in offer.addresses}
        ready = {of_region for of_region, state in known if state is GatewayState.READY}
        bound = [part.homes for part in parts if part.host == FROM_ASKED.get(asked)]
        allowed = {one for one in REGIONS if bound and all(not homes or one in homes for homes in bound)}
        self.assertEqual(named, set(offer.regions))
        if region in ready:
            self.assertEqual(named, {region})
        elif current:
            self.assertLessEqual(named, allowed)
            self.assertEqual(bool(named), bool(allowed & ready))
        else:
            self.assertEqual(named, set())
        self.assertLessEqual(len(offer.addresses), MAX_ADDRESSES)

    def test_an_evacuation_or_a_change_of_other_routes_keeps_the_homes(self) -> None:
        registry = GatewayRegistry()
        registry.record_presence(0, record(0, "north", GatewayState.READY))
        registry.record_presence(0, record(1, "south", GatewayState.READY))
        directory = Directory(registry)
        configuration = Configuration(1, (route(0, "a.example", ("north",)),), ())
        for revision in range(1, 4):  # each evacuation is a revision of its own
            directory.set_configuration(revision, partial(evolve, configuration, version=revision))
            offer = directory.resolve(0, ClientLocation("a.example", "east", "hall-east-0"), True)
            self.assertEqual(offer.regions, {"north"})
