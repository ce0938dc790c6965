"""The restart cache: a control node's state after a restart, before there is a leader or any heartbeat."""

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
        self.checks = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.path == "/healthz"
        self.checks += 1
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
        first = await self.cluster.post_until_answered(0, "/-/Config.Replace", configuration(3, "a"), base=0)
        self.assertEqual(first.status, HTTPStatus.OK)
        await self.cluster.post_until_answered(0, f"/-/Instances.Heartbeat/{SERVER}", self.heartbeat())
        await self.cluster.until(lambda: self.is_cached(0))

    def heartbeat(self) -> dict[str, object]:
        return {**heartbeat(1), "Address": self.address}

    def is_cached(self, number: int) -> bool:
        """Whether a node's cache has catalog and server on disk. Only node 0 is in the server's region."""
        node = self.cluster.node(number)
        cache = node.recovery._cache
        written = cache._written_revision == node.catalog.revision > 0 and cache._memory._written
        return bool(written) and cache._write_task is not None and cache._write_task.done()

    def take_notices(self, message: PrefixNotices) -> None:
        self.notices.append(message)
        self.notices_came_first = self.subscriber.view.configuration is None

    async def restart(self, count: int) -> Subscriber:
        """Crashes all nodes and starts `count` of them; returns the connected subscriber of a new gateway."""
        for number in range(3):
            await self.cluster.crash(number)
        for number in range(count):
            await self.cluster.start(number)
        subscriber = self.subscriber = Subscriber()
        self.notices: list[PrefixNotices] = []
        self.notices_came_first = False
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

    async def test_committed_catalog_and_healthy_server_are_published_without_a_leader(self) -> None:
        with patch.object(Election, "due", return_value=False):  # there is no leader
            subscriber = await self.restart(2)
            await self.cluster.until(lambda: SERVER in subscriber.view.servers)
            await self.cluster.until(lambda: subscriber.view.configuration is not None)
        current = subscriber.view.configuration
        assert current is not None
        self.assertEqual(current.version, 3)
        self.assertEqual(subscriber.view.servers[SERVER].address, self.address)
        self.assertFalse(subscriber.complete)

    async def test_no_catalog_is_published_without_a_majority(self) -> None:
        subscriber = await self.restart(1)
        node = self.cluster.node(0)
        await self.cluster.until(lambda: node.recovery._remembered is not None)
        await self.cluster.until(lambda: SERVER in subscriber.view.servers)  # arrives after any catalog
        self.assertIsNone(subscriber.view.configuration)
        await self.cluster.start(1)
        await self.cluster.until(lambda: subscriber.view.configuration is not None)

    async def test_outdated_cached_catalog_is_not_published(self) -> None:
        await self.cluster.crash(0)
        newer = await self.cluster.post_until_answered(1, "/-/Config.Replace", configuration(4, "b"), base=3)
        self.assertEqual(newer.status, HTTPStatus.OK)
        await self.cluster.start(0)
        with patch.object(Election, "due", return_value=False):
            for number in range(3):
                await self.cluster.crash(number)
            for number in range(2):
                await self.cluster.start(number)
            older, other = self.cluster.node(0), self.cluster.node(1)
            older.recovery.catalog_remembered(RememberedCatalog(1, b"", ()))  # as from an older cache file
            await self.cluster.until(lambda: len(older.recovery._gate._reports) == 2)
            self.assertIsNotNone(older.recovery._remembered)
            self.assertGreater(other._newest_order_index(), 1)

    async def test_cached_prefixes_are_sent_first(self) -> None:
        notice = PrefixNotice(7, (1, 2), (2_000, 3_000))
        node = self.cluster.node(0)
        node.soft_state.prefixes_remembered((notice,))
        cache = node.recovery._cache
        cache._written_at -= PREFIX_INTERVAL
        node.recovery.write()
        assert cache._write_task is not None
        await cache._write_task
        await self.restart(1)
        await self.cluster.until(lambda: bool(self.notices))
        self.assertEqual(self.notices[0].notices[0].keys, notice.keys)
        self.assertTrue(self.notices_came_first)

    async def test_unhealthy_cold_or_replaced_server_is_not_published(self) -> None:
        cold = {**self.server.headers, "X-Brackenladder-Cold-Remaining-Ms": "900"}
        other = {"X-Brackenladder-Instance-Id": "i-2"}
        for status, headers in (
            (HTTPStatus.SERVICE_UNAVAILABLE, self.server.headers),
            (HTTPStatus.OK, cold),
            (HTTPStatus.OK, other),
            (HTTPStatus.OK, {}),
        ):
            with self.subTest(status=status, headers=headers):
                self.server.status, self.server.headers, self.server.checks = status, headers, 0
                subscriber = await self.restart(1)
                restoring = self.cluster.node(0).recovery._cache._restore_task
                assert restoring is not None
                await restoring
                self.assertEqual((self.server.checks, dict(subscriber.view.servers)), (1, {}))
                for number in (1, 2):
                    await self.cluster.start(number)

    async def test_cache_file_of_another_replica_is_ignored(self) -> None:
        path = self.cluster.node(0).recovery._cache._file._path
        with open(path, "rb") as file:
            old_content = file.read()
        await self.cluster.crash(0)
        self.cluster.wipe(0)
        os.makedirs(os.path.dirname(path))
        with open(path, "wb") as file:
            file.write(old_content)
        await self.cluster.start(0)
        restoring = self.cluster.node(0).recovery._cache._restore_task
        assert restoring is not None
        await restoring
        self.assertEqual(self.server.checks, 0)

    async def test_damaged_cache_file_is_ignored(self) -> None:
        path = self.cluster.node(0).recovery._cache._file._path
        for number in range(3):
            await self.cluster.crash(number)
        with open(path, "r+b") as file:
            file.write(b"damaged")
        for number in range(3):
            await self.cluster.start(number)
        await self.cluster.leader()
        self.assertEqual(self.server.checks, 0)
        answer = await self.cluster.repeat(
            lambda: self.cluster.fetch(1), lambda fetched: fetched.status == HTTPStatus.OK
        )
        self.assertEqual(answer.document["Version"], 3)
