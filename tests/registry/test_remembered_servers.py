"""Which servers a control node remembers over its restart, and which of them count afterwards."""

from __future__ import annotations

import unittest

from attrs import evolve

from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.registry.remembered_servers import (
    MOST_SERVERS,
    HealthAnswer,
    RememberedServer,
    ServerListTracker,
    verify,
)

READY = ServerRecord("i-1", "llm", "10.0.0.1:80", "hall-a", 4, ServerState.READY, seq=7, cold_for=3)
PATHS = {"llm": "/healthz"}


class VerifiedTest(unittest.TestCase):
    SERVER = RememberedServer(READY, "/healthz")

    def test_a_server_that_names_itself_counts_as_it_was_but_warm(self) -> None:
        self.assertEqual(verify(self.SERVER, HealthAnswer("i-1")), evolve(READY, cold_for=0))

    def test_another_server_at_its_address_does_not(self) -> None:
        self.assertIsNone(verify(self.SERVER, HealthAnswer("i-2")))
        self.assertIsNone(verify(self.SERVER, HealthAnswer("")))

    def test_nor_does_one_that_is_cold(self) -> None:
        self.assertIsNone(verify(self.SERVER, HealthAnswer("i-1", cold_for=1)))


class ServerMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = ServerListTracker()

    def lasting(self, *servers: ServerRecord) -> list[str]:
        return [server.record.id for server in self.memory.select(servers, PATHS)]

    def test_only_ready_servers_of_known_services_are_remembered(self) -> None:
        draining = evolve(READY, id="i-2", state=ServerState.DRAINING)
        ending = evolve(READY, id="i-3", remaining=5)
        unknown = evolve(READY, id="i-4", service="other")
        self.assertEqual(self.lasting(READY, draining, ending, unknown), ["i-1"])

    def test_how_many_is_bounded(self) -> None:
        servers = [evolve(READY, id=f"i-{number}") for number in range(MOST_SERVERS + 1)]
        self.assertEqual(len(self.lasting(*servers)), MOST_SERVERS)

    def test_a_heartbeat_that_changes_nothing_is_no_reason_to_write(self) -> None:
        first = self.memory.select([READY], PATHS)
        self.assertTrue(self.memory.changed(first))
        self.memory.mark_written(first)
        self.assertFalse(self.memory.changed(self.memory.select([evolve(READY, seq=8)], PATHS)))
        moved = self.memory.select([evolve(READY, address="10.0.0.2:80")], PATHS)
        self.assertTrue(self.memory.changed(moved))
        self.assertTrue(self.memory.changed(()))
