"""`GET /-/Status`: the status document for operators."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase

from control_cluster import PATIENCE, ZONES, ControlCluster, configuration, heartbeat

from brackenladder.catalog.structuring import structure
from brackenladder.control_plane.control_node import ControlNode
from brackenladder.control_plane.status import (
    ControlStatus,
    ViolationStatus,
    age_ms,
    service_statuses,
    status_document,
)
from brackenladder.control_plane.wire import gateway_codec
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.node.control_links import ControlLinks
from brackenladder.node.role_runner import monotonic_microseconds
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.registry.gateways import GatewayState
from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.system.status_text import status_lines
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

STATUS = "/-/Status"


class ServiceCountsTest(TestCase):
    def test_server_counts_by_service_and_state(self) -> None:
        records = [
            ServerRecord("a", "chat", "127.0.0.1:1", "z", 4, ServerState.READY, 1, cold_for=5),
            ServerRecord("b", "chat", "127.0.0.1:2", "z", 4, ServerState.READY, 1),
            ServerRecord("c", "chat", "127.0.0.1:3", "z", 4, ServerState.DRAINING, 1, cold_for=5),
            ServerRecord("d", "cards", "127.0.0.1:4", "z", 4, ServerState.READY, 1),
        ]
        counts = [
            (entry.name, entry.ready, entry.draining, entry.cold) for entry in service_statuses(records)
        ]
        self.assertEqual(counts, [("cards", 1, 0, 0), ("chat", 2, 1, 1)])

    def test_an_age_that_was_never_measured_is_none(self) -> None:
        self.assertEqual([age_ms(age) for age in (2500, -3, 1 << 60)], [2, 0, None])


class StatusTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        self.leader = await self.cluster.leader()

    async def status(self, number: int) -> ControlStatus:
        """Fetches a node's status, and checks that it survives a round trip through its type."""
        answer = await self.cluster.get(self.cluster.platforms[number].listen.control, STATUS)
        self.assertEqual(answer.status, HTTPStatus.OK)
        status = structure(ControlStatus, answer.document).unwrap()
        self.assertEqual(status_document(status), answer.document)
        return status

    async def test_leader_members_version_servers_and_gateways(self) -> None:
        await self.cluster.post_until_answered(0, "/-/Config.Replace", configuration(7, "a"), base=0)
        await self.cluster.post_until_answered(0, "/-/Evacuations.Begin/hall-2")
        await self.cluster.post_until_answered(1, "/-/Instances.Heartbeat/i-1", heartbeat(1))
        links = self.connect_gateway()
        async with asyncio.timeout(PATIENCE):
            node, status = await self.leader_status()
            while [entry.revision for entry in status.gateways] != [status.revision]:
                node, status = await self.leader_status()
        self.assertEqual(status.leader, status.node)
        self.assertEqual({voter.zone for voter in status.voters}, set(ZONES))
        self.assertEqual((len(status.voters), status.outgoing, status.learners), (3, (), ()))
        self.assertEqual((status.configuration_version, status.revision), (7, node.catalog.revision))
        self.assertEqual(status.evacuated_zones, ("hall-2",))
        self.assertEqual([(entry.name, entry.ready) for entry in status.services], [("api", 1)])
        self.assertTrue(status.in_touch)
        gateway = status.gateways[0]
        self.assertEqual((gateway.node, gateway.state), ("gateway-1", "ready"))
        await links.close()
        await self.cluster.until(lambda: node.status().gateways[0].revision is None)

    async def test_node_without_a_quorum_is_not_in_touch(self) -> None:
        for number in {0, 1, 2} - {self.leader}:
            await self.cluster.crash(number)
        await self.cluster.until(lambda: not self.cluster.node(self.leader).soft_state.in_touch)
        status = await self.status(self.leader)
        self.assertFalse(status.in_touch)
        self.assertGreater(status.contact_age_ms or 0, 1000)

    async def test_violated_invariants_are_reported(self) -> None:
        self.assertEqual((await self.status(0)).violations, ())
        with VIOLATIONS.restoring_counts():
            for _ in range(2):
                VIOLATIONS.check(Invariant.CALL_ENDS_IN_TIME, False, "of this test")
            status = await self.status(0)
        self.assertEqual(status.violations, (ViolationStatus("call-ends-in-time", 2),))
        self.assertIn("VIOLATED      call-ends-in-time: 2 times", status_lines(status))

    async def test_status_of_an_older_node_has_no_violations(self) -> None:
        document = status_document(await self.status(0))
        del document["Violations"]
        self.assertEqual(structure(ControlStatus, document).unwrap().violations, ())

    async def leader_status(self) -> tuple[ControlNode, ControlStatus]:
        """The node that reports itself as leader, and its status. Under load the leader may change."""
        while True:
            number = await self.cluster.leader()
            status = await self.status(number)
            if status.role == "leader":
                return self.cluster.node(number), status

    def connect_gateway(self) -> TcpTransport:
        """Connects a gateway to the control nodes; returns its transport, which the caller must close."""
        transport = TcpTransport(gateway_codec(), LinkTiming(), Random(1))
        self.addAsyncCleanup(transport.close)
        presence = Presence("gateway-1", "127.0.0.1:8144", "hall-1", "north", 1)
        presence.set_state(GatewayState.READY)
        choice = RelayChoice("gateway-1", "hall-1", {})
        links = ControlLinks(
            transport, Subscriber(), presence, monotonic_microseconds, Random(1), choice, lambda _told: None
        )
        links.set_seeds(self.cluster.platforms[0].seed_inner_addresses)
        return transport
