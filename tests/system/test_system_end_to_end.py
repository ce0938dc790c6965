"""The whole system as real processes on loopback: configuration, servers, streams, ends of processes."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import tempfile
from http import HTTPStatus
from pathlib import Path
from random import Random
from unittest import IsolatedAsyncioTestCase

from brackenladder.local_site.first_configuration import (
    HOST,
    card_request,
    chat_request,
    first_configuration,
)
from brackenladder.local_site.layout import Layout
from brackenladder.rehearsal.standins.model_clients import ModelClient, OutcomeKind
from brackenladder.system.local.local_system import LocalSystem

PATIENCE = 20.0  # seconds; only a failure waits so long
EVENTS_BEFORE_END = 3
LONG_ANSWER = 400  # tokens: about 2 s


def own_network() -> str:
    """Addresses that no other process's tests use."""
    pid = os.getpid() % 65_536
    return f"127.{210 + pid // 256 % 40}.{pid % 256}"


class WholeSystemTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = Path(tempfile.mkdtemp(prefix="whole-system-"))
        self.addCleanup(shutil.rmtree, folder)
        self.layout = Layout(own_network(), folder)
        self.system = await self.enterAsyncContext(LocalSystem(self.layout))
        self.client = ModelClient(self.layout.directories, "north", "north-a", Random(1))
        await self.client.start()
        self.addAsyncCleanup(self.client.close)

    def executed(self) -> int:
        """How often any server has begun to work on a request."""
        return sum(sum(server.executed.values()) for server in self.system.servers.values())

    async def test_a_configuration_and_heartbeats_bring_requests_to_servers(self) -> None:
        status = await self.system.status()
        self.assertEqual({one.name: one.ready for one in status.services}, {"cards": 3, "chat": 4})
        self.assertEqual({one.revision for one in status.gateways}, {status.revision})
        fetched = (await self.system.control.fetch()).unwrap()
        self.assertEqual(json.loads(fetched), first_configuration())
        for gateway in self.layout.gateways:
            with self.subTest(gateway=gateway.name):
                before = self.executed()
                outcome = await self.client.ask(chat_request(Random(2)), gateway=gateway.front)
                self.assertEqual((outcome.kind, outcome.detail), (OutcomeKind.SERVED, ""))
                outcome = await self.client.ask(card_request(), gateway=gateway.front)
                self.assertEqual((outcome.kind, outcome.detail), (OutcomeKind.SERVED, ""))
                self.assertEqual(self.executed() - before, 2)

    async def test_a_change_is_acknowledged_after_the_leader_is_killed(self) -> None:
        killed = await self.system.leader()
        self.system.kill(killed)
        version = await self.system.add_route("later")
        self.assertEqual((await self.system.status()).configuration_version, version)
        for gateway in self.layout.gateways:
            await self.system.wait_until(
                lambda at=gateway.front: self.has_route(at, "later"), "no such route"
            )

        async def back() -> bool:
            role = self.system.roles[killed.name]
            status = await self.system.status()
            return [end.status for end in role.exits] == [-signal.SIGKILL] and len(status.voters) == 3

        await self.system.wait_until(back, "the killed node is not back")

    async def has_route(self, front: str, name: str) -> bool:
        """Whether a gateway serves requests on a route."""
        reader, writer = await asyncio.open_connection(*front.split(":"))
        head = f"GET /{name}/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Brackenladder-Request-Id: r\r\nConnection: close"
        writer.write(f"{head}\r\n\r\n".encode())
        status = int((await reader.readline()).split()[1])
        writer.close()
        return status == HTTPStatus.OK

    async def test_a_stream_under_way_ends_whole_at_a_gateway_that_is_told_to_end(self) -> None:
        gateway = self.layout.gateways[0]
        process = self.system.roles[gateway.name]
        under_way = asyncio.Event()
        spec = chat_request(Random(3), tokens_out=LONG_ANSWER)
        answer = asyncio.create_task(
            self.client.ask(
                spec, lambda number: number >= EVENTS_BEFORE_END and under_way.set(), gateway.front
            )
        )
        async with asyncio.timeout(PATIENCE):
            await under_way.wait()
            process.send(signal.SIGTERM)
            await self.system.wait_until(self.not_named, "the directory still names the gateway")
            self.assertFalse(answer.done())
            outcome = await answer
        self.assertEqual((outcome.kind, outcome.detail), (OutcomeKind.SERVED, ""))
        self.assertEqual(self.executed(), 1)

        async def ended() -> bool:
            return bool(process.exits)

        await self.system.wait_until(ended, "the gateway did not end")
        self.assertEqual(process.exits[0].status, 0)

    async def not_named(self) -> bool:
        """Whether no directory sends clients to the first gateway any more."""
        named = set()
        for directory in self.layout.directories:
            client = ModelClient((directory,), "north", "north-a", Random(1))
            await client.start()
            named.update(await client.resolve(HOST))
            await client.close()
        return self.layout.gateways[0].front not in named
