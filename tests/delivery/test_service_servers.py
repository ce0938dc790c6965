"""The index of servers by service, and its change log."""

from __future__ import annotations

import unittest

from attrs import evolve

from brackenladder.delivery.service_servers import MAX_CHANGES, ServiceServers
from brackenladder.registry.records import ServerRecord, ServerState

RECORD = ServerRecord("i-1", "llm", "10.0.0.1:80", "hall-a", 4, ServerState.READY, seq=1)


class ServiceServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = ServiceServers()

    def test_a_reader_sees_each_change_once(self) -> None:
        self.servers.set(RECORD)
        self.servers.set(evolve(RECORD, id="i-2"))
        self.servers.set(evolve(RECORD, seq=2))
        self.assertEqual(self.servers.changed_since("llm", 0), ("i-1", "i-2"))
        seen = self.servers.version("llm")
        self.assertEqual(self.servers.changed_since("llm", seen), ())
        self.servers.remove("i-2")
        self.assertEqual(self.servers.changed_since("llm", seen), ("i-2",))
        self.assertEqual(set(self.servers.of("llm")), {"i-1"})

    def test_services_are_independent(self) -> None:
        self.servers.set(RECORD)
        seen = self.servers.version("llm")
        self.servers.set(evolve(RECORD, id="i-2", service="api"))
        self.assertEqual(self.servers.changed_since("llm", seen), ())
        self.assertEqual(set(self.servers.of("api")), {"i-2"})

    def test_a_server_may_change_its_service(self) -> None:
        self.servers.set(RECORD)
        seen = self.servers.version("llm")
        self.servers.set(evolve(RECORD, service="api"))
        self.assertEqual(self.servers.changed_since("llm", seen), ("i-1",))
        self.assertEqual((dict(self.servers.of("llm")), set(self.servers.of("api"))), ({}, {"i-1"}))

    def test_a_reader_too_far_behind_has_to_read_all(self) -> None:
        for number in range(MAX_CHANGES + 1):
            self.servers.set(evolve(RECORD, id=f"i-{number}"))
        self.assertIsNone(self.servers.changed_since("llm", 0))
        self.assertEqual(len(self.servers.changed_since("llm", 1) or ()), MAX_CHANGES)
        self.assertIsNone(self.servers.changed_since("llm", -1))

    def test_unknown_services_are_empty(self) -> None:
        self.servers.remove("i-9")
        self.assertEqual((dict(self.servers.of("llm")), self.servers.version("llm")), ({}, 0))
        self.assertEqual(self.servers.changed_since("llm", 0), ())
