"""Faults of the exchange that hit one server at the same time."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase

from brackenladder.simulation.exchange import faults
from brackenladder.simulation.exchange.behaviour import Answer, AnswerKind
from brackenladder.simulation.exchange.history import History, Run
from brackenladder.simulation.exchange.servers import Server, ServerConnection
from brackenladder.simulation.exchange.site import SECOND


class Draws(Random):
    """Draws a server that starts again at once, 0.3 s before its crash is noticed."""

    def random(self) -> float:
        return 0.9

    def choice(self, seq: Any) -> Any:
        return {(0.0, 0.3, 1.5): 0.3, (0.0, faults.REUSE_SECONDS, 2.0): 0.0}.get(tuple(seq), seq[0])


class FakeServer:
    """A server that records the reports that it makes."""

    def __init__(self) -> None:
        self.id, self.service, self.up, self.draining_since = "s1.1", "api", True, 0
        self.reports: list[str] = []

    def crash(self) -> None:
        self.id = "s1.2"

    def start(self, _service: str | None, announced: bool = True) -> None:
        self.reports += ["ready"] * announced

    def announce(self) -> None:
        self.reports.append("ready")

    def report_gone(self, server_id: str, _service: str, deregistered: bool = True) -> None:
        self.reports.append(f"{server_id} gone")


class CrashAndDrainTest(IsolatedAsyncioTestCase):
    async def reports(self, drained: bool) -> list[str]:
        """What a server reports that crashes, and is drained or not before the crash is noticed."""
        server = FakeServer()
        checks = SimpleNamespace(server_closed=lambda _server: None)
        servers = [server, FakeServer(), FakeServer()]
        world = SimpleNamespace(servers=servers, checks=checks, count_fault=lambda _kind: None)
        crash = asyncio.create_task(faults.crash(cast(Any, world), Draws()))
        await asyncio.sleep(0.1)
        server.draining_since = int(drained)
        await crash
        return server.reports

    async def test_a_server_reports_ready_once_its_crash_is_noticed(self) -> None:
        self.assertEqual(await self.reports(drained=False), ["s1.1 gone", "ready"])

    async def test_a_server_that_drains_does_not_report_ready_again(self) -> None:
        self.assertEqual(await self.reports(drained=True), ["s1.1 gone"])


class ResetAnswerTest(IsolatedAsyncioTestCase):
    """What a reset has done to a run is not undone by what its server does later."""

    def setUp(self) -> None:
        loop = SimpleNamespace(microseconds=9 * SECOND, call_later=lambda *_: None)
        self.run_ = Run(1, "q1", "s1.1", "api", "north", "north-1", 0, "POST", "/x", b"", 0, 0)
        self.server = cast(Any, object.__new__(Server))
        self.server.number, self.server.incarnation, self.server.service = 1, 1, "api"
        self.server.streams = SimpleNamespace(loop=loop)
        self.server.history = History(runs=[self.run_])
        self.server.repeats_answers, self.server.draining_since = False, 0

    async def test_a_run_that_a_reset_cut_stays_cut_when_its_server_writes_on(self) -> None:
        connection = ServerConnection(self.server)
        self.run_.cut = True  # by a reset, of which the server's process has not been told
        connection._written(self.run_, Answer(AnswerKind.CHUNKED, ()))
        self.assertEqual((self.run_.cut, self.run_.complete), (True, False))

    async def test_an_answer_that_a_reset_lost_stays_lost_when_its_server_crashes_later(self) -> None:
        # Seed 114 of profile exchange: rule LOST for a stream whose last bytes a reset had lost.
        self.run_.ended_at, self.run_.crashed = SECOND, True
        self.server._break_off(9 * SECOND)
        self.assertTrue(self.run_.crashed)
