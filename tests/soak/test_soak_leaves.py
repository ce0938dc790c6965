"""How servers of the soak leave: a server at short notice says how long it stays, and is gone by then."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from random import Random
from typing import Any
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from brackenladder.rehearsal.nodes import free_port, unused_loopback_host
from brackenladder.soak.connection import Connection
from brackenladder.soak.events import Event, LeaveAcknowledged, Trouble
from brackenladder.soak.recording_server import RecordingServer
from brackenladder.soak.servers import NOTICE_SECONDS, Leave, LossyHeartbeats, ServerGroup
from brackenladder.soak.site import SoakLayout

TIMEOUT = 20.0  # seconds; reached only on failure
AWAY_SECONDS = 30.0  # longer than the test


class ShortNoticeTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.beats: list[dict[str, Any]] = []
        host = unused_loopback_host(Random())
        control = f"{host}:{free_port(host, socket.SOCK_STREAM)}"
        listener = await asyncio.get_running_loop().create_server(
            web.Server(self.acknowledge), host, int(control.rpartition(":")[2])
        )
        self.addCleanup(listener.close)
        self.events: list[Event] = []
        layout = SoakLayout(unused_loopback_host(Random()).rpartition(".")[0], Path("/nowhere"))
        settings = layout.servers()[0]
        self.place = settings.id.partition(".")[0]
        region = layout.zones[settings.zone]
        self.group = ServerGroup(layout, region, "seed", self.events.append)
        self.server = RecordingServer(settings, self.events.append, 0.0)
        await self.server.start()
        heartbeats = LossyHeartbeats(self.server, (control,), NOTICE_SECONDS / 10)
        await heartbeats.start()
        self.group._servers[self.place] = self.server
        self.group._heartbeats[self.place] = heartbeats
        self.addAsyncCleanup(self.group.stop)

    async def acknowledge(self, request: web.BaseRequest) -> web.Response:
        """Acknowledges a heartbeat."""
        self.beats.append(json.loads(await request.read()))
        return web.json_response({})

    async def test_a_server_at_short_notice_says_how_long_it_stays_and_is_gone_then(self) -> None:
        leave = asyncio.create_task(self.group.leave(self.place, Leave.SHORT_NOTICE, AWAY_SECONDS))
        self.addCleanup(leave.cancel)
        async with asyncio.timeout(TIMEOUT):
            while not any(isinstance(event, Trouble) for event in self.events):
                await asyncio.sleep(0.01)
        told = [beat["RemainingMs"] for beat in self.beats if beat["State"] == "draining"]
        self.assertGreater(len(told), 1)
        self.assertEqual(told, sorted(told, reverse=True))
        self.assertLessEqual(told[0], NOTICE_SECONDS * 1000)
        self.assertLess(told[-1], told[0])
        acknowledged, trouble = [
            event for event in self.events if isinstance(event, LeaveAcknowledged | Trouble)
        ]
        self.assertIsInstance(acknowledged, LeaveAcknowledged)
        assert isinstance(trouble, Trouble)
        self.assertEqual((trouble.kind, trouble.planned), ("server-short-notice", False))
        with self.assertRaises(OSError):
            await Connection.open(self.server.settings.address, TIMEOUT)
