"""The choice of gateways for a client."""

from __future__ import annotations

import unittest

from registry.registry_samples import gateway

from brackenladder.registry.directory import (
    MAX_ADDRESSES,
    NO_GATEWAYS,
    ClientLocation,
    Proximity,
    ResolvedGateways,
    resolve,
)
from brackenladder.registry.gateways import GatewayState

A1 = gateway("a1", zone="hall-a", region="north")
A2 = gateway("a2", zone="hall-a", region="north")
B1 = gateway("b1", zone="hall-b", region="north")
C1 = gateway("c1", zone="hall-c", region="south")


def everywhere(_region: str) -> bool:
    return True


def nowhere(_region: str) -> bool:
    return False


def client(region: str, zone: str, host: str = "a.example") -> ClientLocation:
    return ClientLocation(host, region, zone)


def node_names(resolved: ResolvedGateways) -> list[str]:
    return [address.split(":")[0] for address in resolved.addresses]


class ResolveTest(unittest.TestCase):
    def test_gateways_of_the_zone_come_first(self) -> None:
        self.assertEqual(
            node_names(resolve([C1, B1, A2, A1], client("north", "hall-a"), everywhere)), ["a1", "a2"]
        )

    def test_then_gateways_of_the_region(self) -> None:
        self.assertEqual(
            node_names(resolve([C1, B1, A1], client("north", "hall-x"), everywhere)), ["a1", "b1"]
        )

    def test_then_all_gateways(self) -> None:
        self.assertEqual(
            node_names(resolve([C1, B1, A1], client("east", "hall-x"), everywhere)), ["a1", "b1", "c1"]
        )

    def test_only_permitted_other_regions_are_used(self) -> None:
        resolved = resolve([C1, B1, A1], client("east", "hall-x"), lambda region: region == "south")
        self.assertEqual((node_names(resolved), resolved.regions), (["c1"], {"south"}))

    def test_no_gateways_if_no_region_is_permitted(self) -> None:
        self.assertEqual(resolve([C1, B1], client("east", "hall-x"), nowhere), NO_GATEWAYS)

    def test_the_own_region_needs_no_permission(self) -> None:
        self.assertEqual(node_names(resolve([C1, B1], client("north", "hall-a"), nowhere)), ["b1"])

    def test_in_client_region(self) -> None:
        self.assertTrue(resolve([C1, B1], client("north", "hall-b"), everywhere).in_client_region)
        self.assertTrue(resolve([C1, B1], client("north", "hall-x"), everywhere).in_client_region)
        self.assertFalse(resolve([C1, B1], client("east", "hall-x"), everywhere).in_client_region)

    def test_proximity(self) -> None:
        self.assertIs(resolve([C1, B1], client("north", "hall-b"), everywhere).proximity, Proximity.ZONE)
        self.assertIs(resolve([C1, B1], client("north", "hall-x"), everywhere).proximity, Proximity.REGION)
        self.assertIs(resolve([C1, B1], client("east", "hall-x"), everywhere).proximity, Proximity.ELSEWHERE)
        self.assertIs(resolve([], client("east", "hall-x"), everywhere).proximity, Proximity.NOWHERE)

    def test_only_ready_gateways(self) -> None:
        leaving = gateway("a3", state=GatewayState.LEAVING)
        starting = gateway("a4", state=GatewayState.STARTING)
        self.assertEqual(
            node_names(resolve([leaving, starting, B1], client("north", "hall-a"), everywhere)), ["b1"]
        )
        self.assertEqual(
            resolve([leaving, starting], client("north", "hall-a"), everywhere).addresses,
            NO_GATEWAYS.addresses,
        )

    def test_the_limit_and_rotation_by_offset(self) -> None:
        many = [gateway(f"n{number:03}") for number in range(100)]
        first = resolve(many, client("north", "hall-a"), everywhere).addresses
        second = resolve(many, client("north", "hall-a"), everywhere, offset=MAX_ADDRESSES).addresses
        self.assertEqual((len(first), len(second)), (MAX_ADDRESSES, MAX_ADDRESSES))
        self.assertEqual(len({*first, *second}), 100)
        self.assertEqual(first[0], "n000:8144")
