"""Servers and gateways: what a control node hears reaches every gateway, clients are sent to gateways."""

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


class FollowingGateway:
    """A gateway without its servers: it follows the control nodes."""

    def __init__(self, cluster: ControlCluster, name: str = "gateway-1") -> None:
        self.subscriber = Subscriber()
        self.told: list[PrefixNotices] = []
        self.presence = Presence(name, FRONT, "hall-1", "north", 1)
        self.transport = TcpTransport(gateway_codec(), LinkTiming(), Random(1))
        self.links = ControlLinks(
            self.transport,
            self.subscriber,
            self.presence,
            monotonic_microseconds,
            Random(1),
            RelayChoice(name, "hall-1", cluster.platforms[0].zones),
            self.told.append,
        )
        self.links.set_seeds(cluster.platforms[0].seed_inner_addresses)

    def state(self) -> ServerState | None:
        """The server's state as the gateway sees it."""
        record = self.subscriber.view.servers.get(SERVER)
        return record.state if record is not None else None


def unread(gateway: FollowingGateway) -> set[PrefixNotice]:
    """What it was told of placements as they were made; a snapshot's notices leave nothing to read."""
    notices = [notice for message in gateway.told for notice in message.notices]
    return {evolve(notice, age=0) for notice in notices if notice.unread}


class ServersTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        await self.cluster.leader()
        self.gateway = FollowingGateway(self.cluster)
        self.addAsyncCleanup(self.gateway.transport.close)

    async def test_a_server_is_known_everywhere_whichever_node_it_calls(self) -> None:
        for number, state, seen in (
            (0, "ready", ServerState.READY),
            (1, "draining", ServerState.DRAINING),
        ):
            answer = await self.cluster.insist(number, HEARTBEAT, heartbeat(number + 1, state))
            self.assertEqual((answer.status, answer.document), (HTTPStatus.OK, {}))
            await self.cluster.until(lambda seen=seen: self.gateway.state() is seen)
        self.assertEqual((await self.cluster.insist(2, DEREGISTER)).status, HTTPStatus.OK)
        await self.cluster.until(lambda: self.gateway.state() is None)

    async def test_a_late_heartbeat_changes_nothing(self) -> None:
        await self.cluster.insist(0, HEARTBEAT, heartbeat(5, "draining"))
        self.assertEqual((await self.cluster.insist(1, HEARTBEAT, heartbeat(4))).status, HTTPStatus.OK)
        await self.cluster.until(lambda: self.gateway.state() is ServerState.DRAINING)

    async def test_out_of_touch_nothing_is_acknowledged(self) -> None:
        for number in (0, 1):
            await self.cluster.crash(number)
        await self.cluster.until(lambda: self.cluster.node(2).host.contact_age() > 1_500_000)
        answer = await self.cluster.post(2, HEARTBEAT, heartbeat(1, "draining"))
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_a_node_that_was_just_cut_off_acknowledges_no_end_of_a_server(self) -> None:
        self.assertEqual((await self.cluster.insist(2, HEARTBEAT, heartbeat(1))).status, HTTPStatus.OK)
        for number in (0, 1):
            await self.cluster.crash(number)
        self.assertLess(self.cluster.node(2).host.contact_age(), IN_TOUCH_AGE)
        leaving = self.cluster.post(2, HEARTBEAT, heartbeat(2, "draining"))
        for answer in await asyncio.gather(leaving, self.cluster.post(2, DEREGISTER)):
            self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_what_a_node_is_told_goes_over_the_link_that_consensus_uses(self) -> None:
        for number in range(3):
            node = self.cluster.node(number)
            for peer, link in node.peers.peers():
                self.assertIs(node.soft_state.update_link(peer.replica_id), link)

    async def test_a_prefix_notice_reaches_the_other_gateways_and_those_that_come_later(self) -> None:
        other = FollowingGateway(self.cluster, "gateway-2")
        self.addAsyncCleanup(other.transport.close)
        for gateway in (self.gateway, other):
            await self.first_message(gateway)
            self.assertEqual(set(gateway.told), {PrefixNotices(())})  # a relay's word that nothing is known
        notice = PrefixNotice(server=7, keys=(1, 2), tokens=(2_000, 3_000), unread=5_000)

        def told() -> bool:
            self.gateway.links.tell(PrefixNotices((notice,)))
            return notice in unread(other) and self.known_everywhere()

        await self.cluster.until(told)
        self.assertEqual(unread(other), {notice})
        late = FollowingGateway(self.cluster, "gateway-3")
        self.addAsyncCleanup(late.transport.close)
        await self.first_message(late)
        self.assertEqual([evolve(each, age=0) for each in late.told[0].notices], [evolve(notice, unread=0)])
        self.assertEqual(unread(self.gateway), set())  # a snapshot may hold it, with nothing left to read

    async def first_message(self, gateway: FollowingGateway) -> None:
        await self.cluster.until(lambda: self.tick(gateway) and bool(gateway.told))

    def known_everywhere(self) -> bool:
        """Whether all control nodes know of a prefix."""
        return all(self.cluster.node(number).soft_state.prefixes() for number in self.cluster.roles)

    async def test_the_number_of_gateways_is_known_once_every_one_had_time_to_be_heard(self) -> None:
        view = self.gateway.subscriber.view
        await self.cluster.until(lambda: self.tick(self.gateway) and view.gateways_known)
        self.assertEqual(view.gateways, 1)

    def tick(self, gateway: FollowingGateway) -> bool:
        gateway.links.tick()
        return True

    async def test_the_catalog_reaches_a_gateway(self) -> None:
        answer = await self.cluster.insist(0, "/-/Config.Replace", configuration(7, "a"), 0)
        self.assertEqual(answer.status, HTTPStatus.OK)
        await self.cluster.insist(1, "/-/Evacuations.Begin/hall-2")
        view = self.gateway.subscriber.view
        await self.cluster.until(lambda: view.evacuated == {"hall-2"} and view.configuration is not None)
        self.assertEqual(view.configuration.version, 7)
        await self.cluster.until(lambda: self.gateway.subscriber.complete)
        self.assertEqual(
            self.gateway.subscriber.control_nodes, self.cluster.platforms[0].seed_inner_addresses
        )

    async def test_the_directory_names_ready_gateways_only(self) -> None:
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
