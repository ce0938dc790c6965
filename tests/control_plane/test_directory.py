"""The directory's answers by home regions, and the check of its invariant."""

from __future__ import annotations

import unittest
from unittest import mock

from registry.registry_samples import gateway

from brackenladder.catalog.configuration import Configuration, Route, RouteKind
from brackenladder.catalog.homes import HostHomes
from brackenladder.control_plane.directory import Directory
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.registry.directory import NO_GATEWAYS, ClientLocation
from brackenladder.registry.gateways import GatewayRegistry, GatewayState

CLIENT = ClientLocation("a.example", "east", "hall-e")


def configuration(*homes: str) -> Configuration:
    return Configuration(1, (Route("a", "a.example", "/", RouteKind.SAFE, 1000, 500, homes=homes),), ())


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gateways = GatewayRegistry()
        self.directory = Directory(self.gateways)
        self.gateways.record_presence(0, gateway("n1", zone="hall-n", region="north"))
        self.gateways.record_presence(0, gateway("s1", zone="hall-s", region="south"))

    def nodes(self, current: bool = True) -> list[str]:
        offer = self.directory.resolve(0, CLIENT, current)
        return [address.split(":")[0] for address in offer.addresses]

    def test_without_configuration_clients_stay_in_their_region(self) -> None:
        self.assertEqual(self.nodes(), [])
        self.gateways.record_presence(0, gateway("e1", zone="hall-e", region="east"))
        self.assertEqual(self.nodes(), ["e1"])

    def test_outdated_homes_keep_clients_in_their_region(self) -> None:
        self.directory.set_configuration(1, configuration)
        self.assertEqual(self.nodes(), ["n1", "s1"])
        self.assertEqual(self.directory.resolve(0, CLIENT, current=False), NO_GATEWAYS)

    def test_older_revision_is_ignored(self) -> None:
        self.directory.set_configuration(2, lambda: configuration("south"))
        self.directory.set_configuration(1, configuration)
        self.assertEqual(self.nodes(), ["s1"])

    def test_region_without_ready_gateways_respects_homes(self) -> None:
        self.directory.set_configuration(1, lambda: configuration("south"))
        for seq, state in enumerate((GatewayState.STARTING, GatewayState.READY, GatewayState.LEAVING)):
            own = gateway("e1", seq=seq, state=state, zone="hall-e", region="east")
            self.gateways.record_presence(0, own)
            self.assertEqual(self.nodes(), ["e1"] if state is GatewayState.READY else ["s1"])

    def test_violation_is_counted(self) -> None:
        self.directory.set_configuration(1, lambda: configuration("south"))
        with VIOLATIONS.restoring_counts():
            before = VIOLATIONS.violations().get(Invariant.DIRECTORY_KEEPS_HOMES, 0)
            # the first two calls, which choose the gateways, are wrong; those of the check are not
            real, answers = HostHomes.permits, iter((True, True))
            wrong_choice = mock.patch.object(
                HostHomes, "permits", lambda homes, region: next(answers, None) or real(homes, region)
            )
            with wrong_choice:
                self.assertEqual(self.nodes(), ["n1", "s1"])
            counted = VIOLATIONS.violations()[Invariant.DIRECTORY_KEEPS_HOMES] - before
        self.assertEqual(counted, 1)
