"""What a control node knows right after its restart, before there is a leader and before heartbeats come."""

from __future__ import annotations

import os
from http import HTTPStatus
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from aiohttp import web
from control_cluster import ControlCluster, configuration, heartbeat

from brackenladder.consensus.election import Election
from brackenladder.control_plane.restart_cache import PREFIX_INTERVAL, RememberedCatalog
from brackenladder.control_plane.wire import gateway_codec
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.node.control_links import ControlLinks
from brackenladder.node.role_runner import monotonic_microseconds
from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

SERVER = "i-1"


class HealthyServer:
    """A server that answers health checks."""

    def __init__(self) -> None:
        self.headers = {"X-Brackenladder-Instance-Id": SERVER}
        self.status = HTTPStatus.OK
        self.asked = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.path == "/healthz"
        self.asked += 1
        return web.Response(status=self.status, headers=self.headers)


class RestartCacheTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = HealthyServer()
        runner = web.ServerRunner(web.Server(self.server.answer))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{runner.addresses[0][1]}"
        self.cluster = await self.enterAsyncContext(ControlCluster())
        await self.cluster.leader()
        first = await self.cluster.insist(0, "/-/Config.Replace", configuration(3, "a"), base=0)
        self.assertEqual(first.status, HTTPStatus.OK)
        await self.cluster.insist(0, f"/-/Instances.Heartbeat/{SERVER}", self.heartbeat())
        await self.cluster.until(lambda: self.remembered(0))

    def heartbeat(self) -> dict[str, object]:
        return {**heartbeat(1), "Address": self.address}

    def remembered(self, number: int) -> bool:
        """Whether a node has both written; node 0 is in the server's region."""
        node = self.cluster.node(number)
        cache = node.recovery._cache
        written = cache._written_revision == node.catalog.revision > 0 and cache._memory._written
        return bool(written) and cache._write_task is not None and cache._write_task.done()

    def take_notices(self, message: PrefixNotices) -> None:
        self.told.append(message)
        self.told_first = self.subscriber.view.configuration is None

    async def restart(self, count: int) -> Subscriber:
        """All three crash, some come back. A gateway follows them; it is linked on return."""
        for number in range(3):
            await self.cluster.crash(number)
        for number in range(count):
            await self.cluster.start(number)
        subscriber = self.subscriber = Subscriber()
        self.told: list[PrefixNotices] = []
        self.told_first = False
        transport = TcpTransport(gateway_codec(), LinkTiming(), Random(1))
        self.addAsyncCleanup(transport.close)
        links = ControlLinks(
            transport,
            subscriber,
            Presence("gateway-1", "127.0.0.1:8144", "hall-1", "north", 1),
            monotonic_microseconds,
            Random(1),
            RelayChoice("gateway-1", "hall-1", {}),
            self.take_notices,
        )
        links.set_seeds(self.cluster.platforms[0].seed_inner_addresses)
        await self.cluster.until(lambda: bool(subscriber._sources))
        return subscriber

    async def test_the_committed_catalog_and_a_server_that_answers_are_told_at_once(self) -> None:
        with patch.object(Election, "due", return_value=False):  # nobody leads
            subscriber = await self.restart(2)
            await self.cluster.until(lambda: SERVER in subscriber.view.servers)
            await self.cluster.until(lambda: subscriber.view.configuration is not None)
        configured = subscriber.view.configuration
        assert configured is not None
        self.assertEqual(configured.version, 3)
        self.assertEqual(subscriber.view.servers[SERVER].address, self.address)
        self.assertFalse(subscriber.complete)

    async def test_a_node_that_restarts_without_a_majority_hands_out_no_catalog(self) -> None:
        subscriber = await self.restart(1)
        node = self.cluster.node(0)
        await self.cluster.until(lambda: node.recovery._remembered is not None)
        await self.cluster.until(lambda: SERVER in subscriber.view.servers)  # told later than a catalog
        self.assertIsNone(subscriber.view.configuration)
        await self.cluster.start(1)
        await self.cluster.until(lambda: subscriber.view.configuration is not None)

    async def test_a_remembered_catalog_that_is_not_the_newest_is_never_told(self) -> None:
        await self.cluster.crash(0)
        newer = await self.cluster.insist(1, "/-/Config.Replace", configuration(4, "b"), base=3)
        self.assertEqual(newer.status, HTTPStatus.OK)
        await self.cluster.start(0)
        with patch.object(Election, "due", return_value=False):
            for number in range(3):
                await self.cluster.crash(number)
            for number in range(2):
                await self.cluster.start(number)
            older, other = self.cluster.node(0), self.cluster.node(1)
            older.recovery.catalog_remembered(
                RememberedCatalog(1, b"", ())
            )  # as if it had been written before
            await self.cluster.until(lambda: len(older.recovery._gate._reports) == 2)
            self.assertIsNotNone(older.recovery._remembered)
            self.assertGreater(other._newest_order_index(), 1)

    async def test_the_prefixes_that_servers_keep_are_told_before_anything_else(self) -> None:
        notice = PrefixNotice(7, (1, 2), (2_000, 3_000))
        node = self.cluster.node(0)
        node.soft_state.prefixes_remembered((notice,))
        cache = node.recovery._cache
        cache._written_at -= PREFIX_INTERVAL
        node.recovery.write()
        assert cache._write_task is not None
        await cache._write_task
        await self.restart(1)
        await self.cluster.until(lambda: bool(self.told))
        self.assertEqual(self.told[0].notices[0].keys, notice.keys)
        self.assertTrue(self.told_first)

    async def test_a_server_that_is_leaving_or_cold_or_another_is_not(self) -> None:
        cold = {**self.server.headers, "X-Brackenladder-Cold-Remaining-Ms": "900"}
        other = {"X-Brackenladder-Instance-Id": "i-2"}
        for status, headers in (
            (HTTPStatus.SERVICE_UNAVAILABLE, self.server.headers),
            (HTTPStatus.OK, cold),
            (HTTPStatus.OK, other),
            (HTTPStatus.OK, {}),
        ):
            with self.subTest(status=status, headers=headers):
                self.server.status, self.server.headers, self.server.asked = status, headers, 0
                subscriber = await self.restart(1)
                recalling = self.cluster.node(0).recovery._cache._restore_task
                assert recalling is not None
                await recalling
                self.assertEqual((self.server.asked, dict(subscriber.view.servers)), (1, {}))
                for number in (1, 2):
                    await self.cluster.start(number)

    async def test_a_file_that_was_left_beside_a_new_log_is_passed_over(self) -> None:
        path = self.cluster.node(0).recovery._cache._file._path
        with open(path, "rb") as file:
            left = file.read()
        await self.cluster.crash(0)
        self.cluster.wipe(0)
        os.makedirs(os.path.dirname(path))
        with open(path, "wb") as file:
            file.write(left)
        await self.cluster.start(0)
        recalling = self.cluster.node(0).recovery._cache._restore_task
        assert recalling is not None
        await recalling
        self.assertEqual(self.server.asked, 0)

    async def test_a_damaged_file_is_passed_over(self) -> None:
        path = self.cluster.node(0).recovery._cache._file._path
        for number in range(3):
            await self.cluster.crash(number)
        with open(path, "r+b") as file:
            file.write(b"damaged")
        for number in range(3):
            await self.cluster.start(number)
        await self.cluster.leader()
        self.assertEqual(self.server.asked, 0)
        answer = await self.cluster.repeat(
            lambda: self.cluster.fetch(1), lambda got: got.status == HTTPStatus.OK
        )
        self.assertEqual(answer.document["Version"], 3)
