"""The whole system as real processes on loopback: configuration, servers, streams, process exits."""

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

TIMEOUT_SECONDS = 20.0  # reached only by a failing test
EVENTS_BEFORE_END = 3
LONG_ANSWER_TOKENS = 400  # streamed in about 2 s


def own_network() -> str:
    """Returns a loopback network that no concurrent test process uses."""
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
        """Number of request executions that all servers have begun."""
        return sum(sum(server.executed.values()) for server in self.system.servers.values())

    async def test_with_configuration_and_heartbeats_requests_reach_servers(self) -> None:
        status = await self.system.status()
        self.assertEqual(
            {service.name: service.ready for service in status.services}, {"cards": 3, "chat": 4}
        )
        self.assertEqual({gateway.revision for gateway in status.gateways}, {status.revision})
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

        async def is_back() -> bool:
            role = self.system.roles[killed.name]
            status = await self.system.status()
            return [ended.status for ended in role.exits] == [-signal.SIGKILL] and len(status.voters) == 3

        await self.system.wait_until(is_back, "the killed node is not back")

    async def has_route(self, front: str, name: str) -> bool:
        """Whether a gateway serves requests on a route."""
        reader, writer = await asyncio.open_connection(*front.split(":"))
        head = f"GET /{name}/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Brackenladder-Request-Id: r\r\nConnection: close"
        writer.write(f"{head}\r\n\r\n".encode())
        status = int((await reader.readline()).split()[1])
        writer.close()
        return status == HTTPStatus.OK

    async def test_a_gateway_completes_an_open_stream_after_sigterm(self) -> None:
        gateway = self.layout.gateways[0]
        process = self.system.roles[gateway.name]
        in_progress = asyncio.Event()
        spec = chat_request(Random(3), tokens_out=LONG_ANSWER_TOKENS)
        answer = asyncio.create_task(
            self.client.ask(
                spec, lambda number: number >= EVENTS_BEFORE_END and in_progress.set(), gateway.front
            )
        )
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await in_progress.wait()
            process.send(signal.SIGTERM)
            await self.system.wait_until(self.not_listed, "the directory still lists the gateway")
            self.assertFalse(answer.done())
            outcome = await answer
        self.assertEqual((outcome.kind, outcome.detail), (OutcomeKind.SERVED, ""))
        self.assertEqual(self.executed(), 1)

        async def has_ended() -> bool:
            return bool(process.exits)

        await self.system.wait_until(has_ended, "the gateway did not end")
        self.assertEqual(process.exits[0].status, 0)

    async def not_listed(self) -> bool:
        """Whether no directory returns the first gateway to clients any more."""
        listed = set()
        for directory in self.layout.directories:
            client = ModelClient((directory,), "north", "north-a", Random(1))
            await client.start()
            listed.update(await client.resolve(HOST))
            await client.close()
        return self.layout.gateways[0].front not in listed
