"""Log lines and counters of the directory."""

from __future__ import annotations

import unittest

import logbook
from registry.registry_samples import gateway

from brackenladder.control_plane.directory import Directory
from brackenladder.registry.directory import ClientLocation, Proximity
from brackenladder.registry.gateways import GatewayRegistry, GatewayState

SECOND = 1_000_000  # microseconds
CLIENT = ClientLocation("a.example", "north", "hall-a")


class DirectoryLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gateways = GatewayRegistry()
        self.directory = Directory(self.gateways)
        self.gateways.record_presence(0, gateway("a1", zone="hall-a", region="north"))
        self.gateways.record_presence(0, gateway("c1", zone="hall-c", region="south"))

    def lines(self, now: int) -> list[str]:
        with logbook.TestHandler() as handler:
            self.directory.resolve(now, CLIENT, current=True)
        return [record.message for record in handler.records]

    def test_change_is_logged_once(self) -> None:
        self.assertEqual(len(self.lines(0)), 1)
        self.assertEqual(self.lines(SECOND // 2), [])

    def test_leaving_gateways_are_distinguished_from_silent_ones(self) -> None:
        self.lines(0)
        leaving = gateway("a1", zone="hall-a", region="north", state=GatewayState.LEAVING, seq=2)
        self.gateways.record_presence(SECOND, leaving)
        [line] = self.lines(SECOND)
        self.assertIn("of their region: a1 leaving, heard 0 ms ago", line)
        self.gateways.record_presence(2 * SECOND, gateway("a1", zone="hall-a", region="north", seq=3))
        self.lines(2 * SECOND)
        self.gateways.record_presence(4 * SECOND, gateway("c1", zone="hall-c", region="south", seq=2))
        [line] = self.lines(4 * SECOND)
        self.assertIn("a1 ready, heard 2000 ms ago", line)

    def test_region_without_gateways(self) -> None:
        other = ClientLocation("a.example", "east", "hall-e")
        with logbook.TestHandler() as handler:
            self.directory.resolve(0, other, current=True)
        self.assertIn("of their region: none known", handler.records[0].message)

    def test_answers_are_counted_by_proximity(self) -> None:
        self.lines(0)
        self.directory.resolve(0, ClientLocation("a.example", "north", "hall-x"), current=True)
        self.assertEqual(self.directory.answers, {Proximity.ZONE: 1, Proximity.REGION: 1})

    def test_zone_and_region_answers_in_turn_are_not_logged(self) -> None:
        other_zone = ClientLocation("a.example", "north", "hall-without-gateways")
        with logbook.TestHandler() as handler:
            for _ in range(100):
                self.directory.resolve(0, CLIENT, current=True)
                self.directory.resolve(0, other_zone, current=True)
        self.assertLessEqual(len(handler.records), 2)

    def test_unknown_hosts_share_log_lines(self) -> None:
        with logbook.TestHandler() as handler:
            for number in range(1000):
                self.directory.resolve(
                    0, ClientLocation(f"n{number}.example", "north", "hall-a"), current=True
                )
        self.assertLess(len(handler.records), 10)

    def test_long_name_is_truncated_to_one_line(self) -> None:
        with logbook.TestHandler() as handler:
            self.directory.resolve(0, ClientLocation("x\ny" * 2000, "north", "hall-a"), current=True)
        for record in handler.records:
            self.assertNotIn("\n", record.message)
            self.assertLess(len(record.message), 1000)

    def test_each_loss_and_return_of_a_region_is_logged(self) -> None:
        for seq, state in enumerate((GatewayState.READY, GatewayState.LEAVING) * 3, start=2):
            self.gateways.record_presence(
                0, gateway("a1", zone="hall-a", region="north", state=state, seq=seq)
            )
            self.assertEqual(len(self.lines(0)), 1)
