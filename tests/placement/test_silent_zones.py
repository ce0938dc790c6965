"""Calls leave a zone without power after a few failures, whichever servers these were at."""

from __future__ import annotations

import unittest
from collections import Counter

from placement_stage import MS, SECOND, Sent, Stage, servers_in

from brackenladder.interface import Outcome
from brackenladder.placement.silent_zones import SILENCE_TIME, UNANSWERED_CONNECT, SilentZones

DARK = servers_in("north-1", 8)
LIT = servers_in("north-2", 8)
NEVER_UP = 600 * MS  # microseconds after which a connect fails


class SilentZonesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.zones = SilentZones()

    def test_two_servers_without_an_answer_make_a_zone_silent(self) -> None:
        self.zones.connect_failed(0, "a", 1, NEVER_UP)
        self.assertFalse(self.zones.silent(0, "a"))
        self.zones.unanswered(100, "a", 2)
        self.assertTrue(self.zones.silent(100, "a"))
        self.assertFalse(self.zones.silent(100, "b"))

    def test_the_same_server_twice_does_not_make_a_zone_silent(self) -> None:
        self.zones.connect_failed(0, "a", 1, NEVER_UP)
        self.zones.connect_failed(100, "a", 1, NEVER_UP)
        self.assertFalse(self.zones.silent(100, "a"))

    def test_waiting_calls_without_a_failed_connect_do_not_make_a_zone_silent(self) -> None:
        for server in range(5):
            self.zones.unanswered(0, "a", server)
        self.assertFalse(self.zones.silent(0, "a"))

    def test_an_answer_or_a_refused_connect_ends_the_silence(self) -> None:
        for end in (self.answer, self.refuse):
            for server in (1, 2):
                self.zones.connect_failed(0, "a", server, NEVER_UP)
            self.assertTrue(self.zones.silent(0, "a"))
            end()
            self.assertFalse(self.zones.silent(0, "a"))

    def test_the_silence_expires(self) -> None:
        for server in (1, 2):
            self.zones.connect_failed(0, "a", server, NEVER_UP)
        self.assertTrue(self.zones.silent(SILENCE_TIME - 1, "a"))
        self.assertFalse(self.zones.silent(SILENCE_TIME, "a"))

    def answer(self) -> None:
        self.zones.answered("a")

    def refuse(self) -> None:
        self.zones.connect_failed(0, "a", 3, UNANSWERED_CONNECT - 1)


class DarkZoneTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stage = Stage(DARK | LIT, gateways=40)
        for _ in range(40):
            self.stage.serve()

    def go_on(self, seconds: int) -> Counter[str]:
        """Three calls a second; connects to the dark zone time out. Counts the attempts in each zone."""
        attempts: Counter[str] = Counter()
        for _ in range(3 * seconds):
            self.stage.now += SECOND // 3
            sent: object = self.stage.send()
            attempt = 0
            while isinstance(sent, Sent) and sent.server in DARK:
                attempts["dark"] += 1
                sent = self.stage.end(sent, Outcome.CONNECT_FAILED, NEVER_UP, attempt)
                attempt += 1
            assert isinstance(sent, Sent), sent
            attempts["lit"] += 1
            self.stage.end(sent, attempt=attempt)
        return attempts

    def test_few_calls_go_to_the_dark_zone(self) -> None:
        attempts = self.go_on(2)
        self.assertLessEqual(attempts["dark"], 3)
        self.assertEqual(attempts["lit"], 6)

    def test_the_dark_zone_is_used_if_there_is_no_other(self) -> None:
        self.go_on(1)
        self.stage.list(DARK)
        self.assertIn(self.stage.send().server, DARK)

    def test_the_zone_is_used_again_after_some_time(self) -> None:
        self.go_on(2)
        self.stage.now += SILENCE_TIME
        servers = [self.stage.serve().server for _ in range(40)]
        self.assertTrue(any(server in DARK for server in servers))
