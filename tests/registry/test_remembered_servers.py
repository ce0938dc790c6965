"""Which servers a control node remembers across a restart, and which of them it uses afterwards."""

from __future__ import annotations

import unittest

from attrs import evolve

from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.registry.remembered_servers import (
    MAX_SERVERS,
    HealthAnswer,
    RememberedServer,
    ServerListTracker,
    verify,
)

READY = ServerRecord("i-1", "llm", "10.0.0.1:80", "hall-a", 4, ServerState.READY, seq=7, cold_for=3)
PATHS = {"llm": "/healthz"}


class VerifyTest(unittest.TestCase):
    SERVER = RememberedServer(READY, "/healthz")

    def test_a_server_that_answers_with_its_id_is_used_as_remembered_but_warm(self) -> None:
        self.assertEqual(verify(self.SERVER, HealthAnswer("i-1")), evolve(READY, cold_for=0))

    def test_another_server_at_its_address_is_not_used(self) -> None:
        self.assertIsNone(verify(self.SERVER, HealthAnswer("i-2")))
        self.assertIsNone(verify(self.SERVER, HealthAnswer("")))

    def test_a_cold_server_is_not_used(self) -> None:
        self.assertIsNone(verify(self.SERVER, HealthAnswer("i-1", cold_for=1)))


class ServerListTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = ServerListTracker()

    def selected_ids(self, *servers: ServerRecord) -> list[str]:
        return [server.record.id for server in self.tracker.select(servers, PATHS)]

    def test_only_ready_servers_of_known_services_are_remembered(self) -> None:
        draining = evolve(READY, id="i-2", state=ServerState.DRAINING)
        ending = evolve(READY, id="i-3", remaining=5)
        unknown = evolve(READY, id="i-4", service="other")
        self.assertEqual(self.selected_ids(READY, draining, ending, unknown), ["i-1"])

    def test_the_list_is_bounded(self) -> None:
        servers = [evolve(READY, id=f"i-{number}") for number in range(MAX_SERVERS + 1)]
        self.assertEqual(len(self.selected_ids(*servers)), MAX_SERVERS)

    def test_an_unchanged_heartbeat_does_not_cause_a_write(self) -> None:
        first = self.tracker.select([READY], PATHS)
        self.assertTrue(self.tracker.changed(first))
        self.tracker.mark_written(first)
        self.assertFalse(self.tracker.changed(self.tracker.select([evolve(READY, seq=8)], PATHS)))
        moved = self.tracker.select([evolve(READY, address="10.0.0.2:80")], PATHS)
        self.assertTrue(self.tracker.changed(moved))
        self.assertTrue(self.tracker.changed(()))
