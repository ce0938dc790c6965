"""Control nodes that start with a damaged store or an address in use, and orderly shutdown."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import sqlite3
import threading
import time
from contextlib import closing, suppress
from http import HTTPStatus
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from aiohttp import web
from attrs import evolve
from control_cluster import PATIENCE, ControlCluster, configuration

from brackenladder.consensus.messages import AppendEntries
from brackenladder.consensus.types import Write
from brackenladder.control_plane import http_server
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.control_node import (
    HANDOVER_SECONDS,
    HTTP_GRACE_SECONDS,
    LINK_GRACE,
    STOP_SECONDS,
    STORE_GRACE_SECONDS,
)
from brackenladder.control_plane.http_server import HttpListener
from brackenladder.storage.sqlite_file import FILE_NAME
from brackenladder.storage.sqlite_log import SqliteLogStore

REPLACE = "/-/Config.Replace"
ADDRESS = "127.0.0.1"
SCHEDULING_SLACK = 0.5  # seconds of extra time for a busy machine
MICROSECONDS = 1_000_000


class DamagedStoreTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        self.leader = await self.cluster.leader()
        self.damaged = next(number for number in range(3) if number != self.leader)
        answer = await self.cluster.post_until_answered(self.leader, REPLACE, configuration(1, "r1"), 0)
        self.assertEqual(answer.status, HTTPStatus.OK)
        await self.cluster.until(lambda: self._version(self.damaged) == 1)

    def _version(self, number: int) -> int:
        current = self.cluster.node(number).catalog.configuration
        return current.version if current is not None else 0

    def _voters(self) -> set[str]:
        members = self.cluster.node(self.leader).host.replica.members
        return {voter.replica_id for voter in members.voters} if not members.outgoing else set()

    async def _damage(self) -> str:
        """Crashes a follower and corrupts a row of its store; returns its replica id."""
        old_id = self.cluster.node(self.damaged).member.replica_id
        await self.cluster.crash(self.damaged)
        path = os.path.join(self.cluster.platforms[self.damaged].data_dir, FILE_NAME)
        with closing(sqlite3.connect(path, isolation_level=None)) as connection:
            connection.execute("UPDATE hard_state SET term = term + 1")
        return old_id

    async def test_node_rejoins_as_a_new_replica(self) -> None:
        old_id = await self._damage()
        await self.cluster.start(self.damaged)
        new_id = self.cluster.node(self.damaged).member.replica_id
        await self.cluster.until(lambda: new_id in self._voters())
        self.assertNotIn(old_id, self._voters())
        await self.cluster.until(lambda: self._version(self.damaged) == 1)

    async def test_node_does_not_bootstrap_a_new_system(self) -> None:
        old_id = await self._damage()
        platform = self.cluster.platforms[self.damaged]
        self.cluster.platforms[self.damaged] = evolve(platform, bootstrap=True)
        await self.cluster.start(self.damaged)
        node = self.cluster.node(self.damaged)
        self.assertNotEqual(node.member.replica_id, old_id)
        await self.cluster.until(lambda: node.member.replica_id in self._voters())
        new_id = node.member.replica_id
        await self.cluster.crash(self.damaged)
        self.cluster.platforms[self.damaged] = evolve(platform, bootstrap=True)
        await self.cluster.start(self.damaged)
        self.assertEqual(self.cluster.node(self.damaged).member.replica_id, new_id)


class ListenerTest(IsolatedAsyncioTestCase):
    """The socket of a killed process may stay bound for a moment after the next one starts."""

    def setUp(self) -> None:
        self.bound_socket = socket.create_server((ADDRESS, 0))
        self.addCleanup(self.bound_socket.close)
        self.address = f"{ADDRESS}:{self.bound_socket.getsockname()[1]}"
        self.enterContext(patch.object(http_server, "BIND_RETRY_SECONDS", 0.01))

    async def handle(self, _request: web.BaseRequest) -> web.Response:
        return web.Response()

    async def test_address_in_use_is_retried(self) -> None:
        listener = HttpListener(self.handle)
        listening = asyncio.create_task(listener.listen(self.address))
        await asyncio.sleep(0.1)
        self.assertFalse(listening.done())
        self.bound_socket.close()
        await asyncio.wait_for(listening, PATIENCE)
        await listener.close(0.0)

    async def test_address_that_stays_in_use_is_an_error(self) -> None:
        with (
            patch.object(http_server, "BIND_TIMEOUT_SECONDS", 0.05),
            self.assertRaises(OSError) as caught,
        ):
            await HttpListener(self.handle).listen(self.address)
        self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    async def test_foreign_address_fails_immediately(self) -> None:
        with patch.object(asyncio, "sleep", side_effect=AssertionError), self.assertRaises(OSError):
            await HttpListener(self.handle).listen("192.0.2.1:9")


class ClosingTest(IsolatedAsyncioTestCase):
    async def test_hanging_call_does_not_delay_close(self) -> None:
        called, released = asyncio.Event(), asyncio.Event()
        self.addCleanup(released.set)

        async def hang(_request: web.BaseRequest) -> web.Response:
            called.set()
            while not released.is_set():  # ignores cancellation
                with suppress(asyncio.CancelledError):
                    await released.wait()
            return web.Response()

        with socket.create_server((ADDRESS, 0)) as probe:
            port = probe.getsockname()[1]
        for grace in (0.0, 0.2):
            with self.subTest(grace=grace):
                called.clear()
                released.clear()
                listener = HttpListener(hang)
                await listener.listen(f"{ADDRESS}:{port}")
                _, writer = await asyncio.open_connection(ADDRESS, port)
                self.addCleanup(writer.close)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                await called.wait()
                started_at = time.monotonic()
                await listener.close(grace)
                elapsed = time.monotonic() - started_at
                released.set()
                self.assertLess(elapsed, grace + SCHEDULING_SLACK)


def drop_entries(host: ConsensusHost) -> None:
    """Makes a host drop all entries, so that it stays in contact with its leader but acknowledges none."""
    step = host.step

    def step_without_entries(sender: str, message: object) -> None:
        step(sender, evolve(message, entries=()) if isinstance(message, AppendEntries) else message)

    host.step = step_without_entries  # type: ignore[method-assign]


class ShutdownTest(IsolatedAsyncioTestCase):
    """On SIGTERM the process ends within the time limit, whatever hangs."""

    def test_sum_of_the_waits_is_within_the_limit(self) -> None:
        parts = HANDOVER_SECONDS + HTTP_GRACE_SECONDS + LINK_GRACE / MICROSECONDS + STORE_GRACE_SECONDS
        self.assertLessEqual(parts, STOP_SECONDS)

    async def test_leader_shuts_down_in_time_with_hanging_disk_and_no_followers(self) -> None:
        cluster = await self.enterAsyncContext(ControlCluster())
        leader = await cluster.leader()
        released = threading.Event()
        self.addCleanup(released.set)
        hanging = threading.Event()
        real = SqliteLogStore.apply_batch

        def hang(store: SqliteLogStore, writes: tuple[Write, ...]) -> object:
            if store.path.startswith(cluster.platforms[leader].data_dir):
                hanging.set()
                released.wait(PATIENCE)
            return real(store, writes)

        others = [number for number in range(3) if number != leader]
        for number in others:
            drop_entries(cluster.node(number).host)
        with patch.object(SqliteLogStore, "apply_batch", hang):
            # Submit while it still leads: without followers it would step down and write nothing.
            order = asyncio.create_task(cluster.post(leader, REPLACE, configuration(1, "r1"), 0))
            await cluster.until(hanging.is_set)
            for number in others:
                await cluster.crash(number)
            started_at = time.monotonic()
            await cluster.stop(leader)
            elapsed = time.monotonic() - started_at
            released.set()
        self.assertLess(elapsed, STOP_SECONDS + SCHEDULING_SLACK)
        with suppress(Exception):
            await order
