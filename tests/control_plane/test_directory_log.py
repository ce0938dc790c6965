"""What a control node logs and counts of the answers of its directory."""

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

    def test_a_change_is_logged_once(self) -> None:
        self.assertEqual(len(self.lines(0)), 1)
        self.assertEqual(self.lines(SECOND // 2), [])

    def test_a_region_whose_gateways_leave_is_told_from_one_that_was_not_heard(self) -> None:
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

    def test_a_region_without_any(self) -> None:
        other = ClientLocation("a.example", "east", "hall-e")
        with logbook.TestHandler() as handler:
            self.directory.resolve(0, other, current=True)
        self.assertIn("of their region: none known", handler.records[0].message)

    def test_answers_are_counted_by_their_reach(self) -> None:
        self.lines(0)
        self.directory.resolve(0, ClientLocation("a.example", "north", "hall-x"), current=True)
        self.assertEqual(self.directory.answers, {Proximity.ZONE: 1, Proximity.REGION: 1})

    def test_clients_of_two_zones_of_a_region_are_no_change_of_each_other(self) -> None:
        beside = ClientLocation("a.example", "north", "hall-without-gateways")
        with logbook.TestHandler() as handler:
            for _ in range(100):
                self.directory.resolve(0, CLIENT, current=True)
                self.directory.resolve(0, beside, current=True)
        self.assertLessEqual(len(handler.records), 2)

    def test_names_that_no_route_has_make_no_line_each(self) -> None:
        with logbook.TestHandler() as handler:
            for number in range(1000):
                self.directory.resolve(
                    0, ClientLocation(f"n{number}.example", "north", "hall-a"), current=True
                )
        self.assertLess(len(handler.records), 10)

    def test_a_name_makes_one_line_of_bounded_length(self) -> None:
        with logbook.TestHandler() as handler:
            self.directory.resolve(0, ClientLocation("x\ny" * 2000, "north", "hall-a"), current=True)
        for record in handler.records:
            self.assertNotIn("\n", record.message)
            self.assertLess(len(record.message), 1000)

    def test_a_region_that_is_lost_and_comes_back_is_logged_each_time(self) -> None:
        for seq, state in enumerate((GatewayState.READY, GatewayState.LEAVING) * 3, start=2):
            self.gateways.record_presence(
                0, gateway("a1", zone="hall-a", region="north", state=state, seq=seq)
            )
            self.assertEqual(len(self.lines(0)), 1)
