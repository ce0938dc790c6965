"""The directory of running control nodes respects home regions, even if no gateway is left."""

from __future__ import annotations

from http import HTTPStatus
from random import Random
from unittest import IsolatedAsyncioTestCase, mock

from attrs import evolve
from control_cluster import HOST, Answer, ControlCluster, configuration

from brackenladder.consensus.messages import AppendEntries
from brackenladder.control_plane.wire import gateway_codec
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.node.control_links import ControlLinks
from brackenladder.node.role_runner import monotonic_microseconds
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.registry.gateways import GatewayState
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

FREE_HOST = "free.example"  # its routes have no home regions
# Front addresses of the gateways, by region.
NORTH, SOUTH, EAST = "10.0.0.1:8144", "10.0.0.2:8144", "10.0.0.3:8144"


class ReadyGateway:
    """The control side of a ready gateway."""

    def __init__(self, cluster: ControlCluster, front: str, zone: str) -> None:
        zones = cluster.platforms[0].zones
        self.presence = Presence(front, front, zone, zones[zone], 1)
        self.presence.set_state(GatewayState.READY)
        self.transport = TcpTransport(gateway_codec(), LinkTiming(), Random(1))
        self.links = ControlLinks(
            self.transport,
            Subscriber(),
            self.presence,
            monotonic_microseconds,
            Random(1),
            RelayChoice(front, zone, zones),
            lambda notices: None,
        )
        self.links.set_seeds(cluster.platforms[0].seed_inner_addresses)


class DirectoryHomesTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        await self.cluster.leader()
        self.gateways = {
            front: ReadyGateway(self.cluster, front, zone)
            for front, zone in ((NORTH, "hall-1"), (SOUTH, "hall-2"), (EAST, "hall-3"))
        }
        for gateway in self.gateways.values():
            self.addAsyncCleanup(gateway.transport.close)
        await self.configure(1, north=["north", "south"], any_region=[])

    async def configure(self, version: int, at: int = 0, **homes: list[str]) -> None:
        """Sets a configuration with a HOST route for each keyword, and a FREE_HOST route without homes."""
        document = configuration(version, *homes)
        for route in document["Routes"]:
            route["HomeRegions"] = homes[route["Name"]]
        document["Routes"].append({**document["Routes"][-1], "Name": "free", "Hostname": FREE_HOST})
        document["Routes"][-1]["HomeRegions"] = []
        answer = await self.cluster.post_until_answered(at, "/-/Config.Replace", document, version - 1)
        self.assertEqual(answer.status, HTTPStatus.OK)

    async def ask(self, region: str, host: str = HOST) -> Answer:
        """Asks the directory of the first node as a client of a region."""
        for gateway in self.gateways.values():
            gateway.links.tick()
        address = self.cluster.platforms[0].listen.directory
        return await self.cluster.get(address, f"/-/resolve?Name={host}&Region={region}&Zone=hall-{region}")

    async def assert_resolves(self, region: str, addresses: set[str], host: str = HOST) -> None:
        """Waits until a client of the region gets exactly these addresses."""

        def complete(answer: Answer) -> bool:
            return answer.status == HTTPStatus.OK and set(answer.document["Addresses"]) == addresses

        await self.cluster.repeat(lambda: self.ask(region, host), complete)

    async def assert_unavailable(self, region: str, host: str = HOST) -> None:
        """Waits until a client of the region gets a 503 answer with a Retry-After header."""
        answer = await self.cluster.repeat(
            lambda: self.ask(region, host), lambda answer: answer.status != HTTPStatus.OK
        )
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertIsNotNone(answer.retry_after)

    async def leave(self, *fronts: str) -> None:
        for front in fronts:
            self.gateways[front].presence.set_state(GatewayState.LEAVING)

    async def test_region_without_gateways_gets_home_regions_only(self) -> None:
        await self.assert_resolves("south", {SOUTH})
        await self.leave(SOUTH)
        await self.assert_resolves("south", {NORTH})  # not to the east, which is not a home region
        await self.assert_resolves("south", {NORTH, EAST}, FREE_HOST)
        await self.assert_resolves("east", {EAST})  # gateways of the client's own region are always allowed

    async def test_unavailable_if_no_permitted_gateway_is_ready(self) -> None:
        await self.assert_resolves("south", {SOUTH})
        await self.leave(SOUTH, NORTH)
        await self.assert_unavailable("south")
        await self.assert_resolves("south", {EAST}, FREE_HOST)

    async def test_changed_homes_apply_to_the_next_answer(self) -> None:
        await self.assert_resolves("south", {SOUTH})
        await self.leave(SOUTH)
        await self.assert_resolves("south", {NORTH})
        await self.configure(2, north=["south", "east"], any_region=[])
        await self.assert_resolves("south", {EAST})
        await self.configure(3, north=["south"], any_region=[])
        await self.assert_unavailable("south")

    async def test_homes_of_all_routes_of_a_host_combine(self) -> None:
        await self.configure(2, north=["north", "east"], other=["east"], any_region=[])
        await self.leave(SOUTH)
        await self.assert_resolves("south", {EAST})
        await self.configure(3, north=["north"], other=["east"], any_region=[])
        await self.assert_unavailable("south")

    async def test_unknown_host_gets_its_own_region_only(self) -> None:
        await self.assert_resolves("south", {SOUTH}, "new.example")
        await self.leave(SOUTH)
        await self.assert_unavailable("south", "new.example")

    async def test_node_that_lacks_entries_keeps_clients_in_their_region(self) -> None:
        """Contact with the leader does not mean that the homes are current: entries may be in transit."""
        await self.assert_resolves("south", {SOUTH})
        await self.leave(SOUTH)
        await self.assert_resolves("south", {NORTH})
        leader = await self.leader_other_than(0)
        host = self.cluster.node(0).host
        step = host.step

        def step_without_entries(sender: str, message: object) -> None:
            step(sender, evolve(message, entries=()) if isinstance(message, AppendEntries) else message)

        with mock.patch.object(host, "step", step_without_entries):
            await self.configure(2, at=leader, north=["south"], any_region=[])
            acknowledged = monotonic_microseconds()
            await self.cluster.until(lambda: host.replica.quorum_contact_at > acknowledged)
            answer = await self.ask("south")
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE, answer.body)

    async def leader_other_than(self, number: int) -> int:
        """Makes another node than `number` the leader, if necessary; returns the leader."""
        while (leader := await self.cluster.leader()) == number:
            self.cluster.node(number).host.transfer_leadership()
            await self.cluster.until(lambda: not self.cluster.node(number).host.leads)
        return leader
