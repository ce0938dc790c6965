"""Property test of the directory against a model.

Clients must never be directed past home regions, nor be refused while a permitted gateway is ready.
"""

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
    def test_answers_match_the_model(
        self,
        host_homes: list[tuple[str, tuple[str, ...]]],
        known_gateways: list[tuple[str, GatewayState]],
        asked: str,
        region: str,
        zone: int,
        current: bool,
    ) -> None:
        registry = GatewayRegistry()
        for number, (gateway_region, state) in enumerate(known_gateways):
            registry.record_presence(0, record(number, gateway_region, state))
        directory = Directory(registry)
        parts = tuple(route(number, *part) for number, part in enumerate(host_homes))
        directory.set_configuration(1, lambda: Configuration(1, parts, ()))
        offer = directory.resolve(0, ClientLocation(asked, region, f"hall-{region}-{zone}"), current)

        offered = {
            known_gateways[int(address.removeprefix("g").split(":")[0])][0] for address in offer.addresses
        }
        ready = {gateway_region for gateway_region, state in known_gateways if state is GatewayState.READY}
        home_sets = [part.homes for part in parts if part.host == FROM_ASKED.get(asked)]
        allowed = {
            each for each in REGIONS if home_sets and all(not homes or each in homes for homes in home_sets)
        }
        self.assertEqual(offered, set(offer.regions))
        if region in ready:
            self.assertEqual(offered, {region})
        elif current:
            self.assertLessEqual(offered, allowed)
            self.assertEqual(bool(offered), bool(allowed & ready))
        else:
            self.assertEqual(offered, set())
        self.assertLessEqual(len(offer.addresses), MAX_ADDRESSES)

    def test_homes_are_kept_across_revisions(self) -> None:
        registry = GatewayRegistry()
        registry.record_presence(0, record(0, "north", GatewayState.READY))
        registry.record_presence(0, record(1, "south", GatewayState.READY))
        directory = Directory(registry)
        configuration = Configuration(1, (route(0, "a.example", ("north",)),), ())
        for revision in range(1, 4):  # an evacuation creates a new revision too
            directory.set_configuration(revision, partial(evolve, configuration, version=revision))
            offer = directory.resolve(0, ClientLocation("a.example", "east", "hall-east-0"), True)
            self.assertEqual(offer.regions, {"north"})
