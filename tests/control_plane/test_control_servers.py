"""Distribution of server reports, prefix notices and the catalog to gateways, and the directory."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random
from unittest import IsolatedAsyncioTestCase

from attrs import evolve
from control_cluster import Answer, ControlCluster, configuration, heartbeat

from brackenladder.control_plane.soft_state import IN_TOUCH_AGE
from brackenladder.control_plane.wire import gateway_codec
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.node.control_links import ControlLinks
from brackenladder.node.role_runner import monotonic_microseconds
from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.registry.gateways import GatewayState
from brackenladder.registry.records import ServerState
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

FRONT = "127.0.0.1:8144"
SERVER = "i-1"
HEARTBEAT = f"/-/Instances.Heartbeat/{SERVER}"
DEREGISTER = f"/-/Instances.Deregister/{SERVER}"


class SubscribedGateway:
    """The control side of a gateway: it subscribes to the control nodes and serves no requests."""

    def __init__(self, cluster: ControlCluster, name: str = "gateway-1") -> None:
        self.subscriber = Subscriber()
        self.notices: list[PrefixNotices] = []
        self.presence = Presence(name, FRONT, "hall-1", "north", 1)
        self.transport = TcpTransport(gateway_codec(), LinkTiming(), Random(1))
        self.links = ControlLinks(
            self.transport,
            self.subscriber,
            self.presence,
            monotonic_microseconds,
            Random(1),
            RelayChoice(name, "hall-1", cluster.platforms[0].zones),
            self.notices.append,
        )
        self.links.set_seeds(cluster.platforms[0].seed_inner_addresses)

    def state(self) -> ServerState | None:
        """The server's state as known to the gateway; None if it does not know the server."""
        record = self.subscriber.view.servers.get(SERVER)
        return record.state if record is not None else None


def relayed_notices(gateway: SubscribedGateway) -> set[PrefixNotice]:
    """The notices that were relayed from other gateways. Notices of a snapshot have `uncached_tokens` 0."""
    notices = [notice for message in gateway.notices for notice in message.notices]
    return {evolve(notice, age=0) for notice in notices if notice.uncached_tokens}


class ServersTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        await self.cluster.leader()
        self.gateway = SubscribedGateway(self.cluster)
        self.addAsyncCleanup(self.gateway.transport.close)

    async def test_server_reports_reach_gateways_through_any_node(self) -> None:
        for number, state, expected in (
            (0, "ready", ServerState.READY),
            (1, "draining", ServerState.DRAINING),
        ):
            answer = await self.cluster.post_until_answered(number, HEARTBEAT, heartbeat(number + 1, state))
            self.assertEqual((answer.status, answer.document), (HTTPStatus.OK, {}))
            await self.cluster.until(lambda expected=expected: self.gateway.state() is expected)
        self.assertEqual((await self.cluster.post_until_answered(2, DEREGISTER)).status, HTTPStatus.OK)
        await self.cluster.until(lambda: self.gateway.state() is None)

    async def test_heartbeat_with_an_older_sequence_number_is_ignored(self) -> None:
        await self.cluster.post_until_answered(0, HEARTBEAT, heartbeat(5, "draining"))
        self.assertEqual(
            (await self.cluster.post_until_answered(1, HEARTBEAT, heartbeat(4))).status, HTTPStatus.OK
        )
        await self.cluster.until(lambda: self.gateway.state() is ServerState.DRAINING)

    async def test_node_without_quorum_contact_acknowledges_nothing(self) -> None:
        for number in (0, 1):
            await self.cluster.crash(number)
        await self.cluster.until(lambda: self.cluster.node(2).host.contact_age() > 1_500_000)
        answer = await self.cluster.post(2, HEARTBEAT, heartbeat(1, "draining"))
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_node_that_just_lost_its_quorum_acknowledges_no_drain(self) -> None:
        self.assertEqual(
            (await self.cluster.post_until_answered(2, HEARTBEAT, heartbeat(1))).status, HTTPStatus.OK
        )
        for number in (0, 1):
            await self.cluster.crash(number)
        self.assertLess(self.cluster.node(2).host.contact_age(), IN_TOUCH_AGE)
        leaving = self.cluster.post(2, HEARTBEAT, heartbeat(2, "draining"))
        for answer in await asyncio.gather(leaving, self.cluster.post(2, DEREGISTER)):
            self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_updates_use_the_link_of_consensus(self) -> None:
        for number in range(3):
            node = self.cluster.node(number)
            for peer, link in node.peers.peers():
                self.assertIs(node.soft_state.update_link(peer.replica_id), link)

    async def test_prefix_notice_reaches_other_and_later_gateways(self) -> None:
        other = SubscribedGateway(self.cluster, "gateway-2")
        self.addAsyncCleanup(other.transport.close)
        for gateway in (self.gateway, other):
            await self.first_message(gateway)
            self.assertEqual(set(gateway.notices), {PrefixNotices(())})  # the relay has no prefixes yet
        notice = PrefixNotice(server=7, keys=(1, 2), tokens=(2_000, 3_000), uncached_tokens=5_000)

        def relayed() -> bool:
            self.gateway.links.send_prefix_notices(PrefixNotices((notice,)))
            return notice in relayed_notices(other) and self.known_everywhere()

        await self.cluster.until(relayed)
        self.assertEqual(relayed_notices(other), {notice})
        late = SubscribedGateway(self.cluster, "gateway-3")
        self.addAsyncCleanup(late.transport.close)
        await self.first_message(late)
        self.assertEqual(
            [evolve(each, age=0) for each in late.notices[0].notices], [evolve(notice, uncached_tokens=0)]
        )
        # a snapshot may contain the notice, but with `uncached_tokens` 0
        self.assertEqual(relayed_notices(self.gateway), set())

    async def first_message(self, gateway: SubscribedGateway) -> None:
        await self.cluster.until(lambda: self.tick(gateway) and bool(gateway.notices))

    def known_everywhere(self) -> bool:
        """Whether every control node knows a prefix."""
        return all(self.cluster.node(number).soft_state.prefixes() for number in self.cluster.roles)

    async def test_gateway_count_is_published_after_the_settle_time(self) -> None:
        view = self.gateway.subscriber.view
        await self.cluster.until(lambda: self.tick(self.gateway) and view.gateways_known)
        self.assertEqual(view.gateways, 1)

    def tick(self, gateway: SubscribedGateway) -> bool:
        gateway.links.tick()
        return True

    async def test_catalog_reaches_a_gateway(self) -> None:
        answer = await self.cluster.post_until_answered(0, "/-/Config.Replace", configuration(7, "a"), 0)
        self.assertEqual(answer.status, HTTPStatus.OK)
        await self.cluster.post_until_answered(1, "/-/Evacuations.Begin/hall-2")
        view = self.gateway.subscriber.view
        await self.cluster.until(lambda: view.evacuated == {"hall-2"} and view.configuration is not None)
        self.assertEqual(view.configuration.version, 7)
        await self.cluster.until(lambda: self.gateway.subscriber.complete)
        self.assertEqual(
            self.gateway.subscriber.control_nodes, self.cluster.platforms[0].seed_inner_addresses
        )

    async def test_directory_returns_ready_gateways_only(self) -> None:
        address = self.cluster.platforms[1].listen.directory

        async def resolve() -> Answer:
            self.gateway.links.tick()
            return await self.cluster.get(address, "/-/resolve?Name=a.example&Region=north&Zone=hall-1")

        self.assertEqual((await resolve()).status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.gateway.presence.set_state(GatewayState.READY)
        answer = await self.cluster.repeat(resolve, lambda answer: answer.status == HTTPStatus.OK)
        self.assertEqual(answer.document, {"Addresses": [FRONT], "TtlS": 1})
        self.gateway.presence.set_state(GatewayState.LEAVING)
        answer = await self.cluster.repeat(resolve, lambda answer: answer.status != HTTPStatus.OK)
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)
