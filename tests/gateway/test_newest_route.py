"""A configuration comes while a request is under way: later attempts keep to what it allows too."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import patch

from attrs import evolve
from gateway.gateway_loopback import (
    LAST_CHUNK,
    PATIENCE,
    RESUMABLE,
    SAFE,
    SERVICE,
    GatewayTest,
    Received,
    chunk,
    event,
    microseconds,
    post,
    serve_ok,
    stream_head,
    turn_away,
)

from brackenladder.catalog.configuration import Route
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.upstream import ServiceUpstream
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.placement.traits import CallTraits
from brackenladder.registry.records import ServerRecord, ServerState

HERE, THERE = "ra", "rb"  # regions; `s0` stands in this gateway's, `s1` in the other


class NewestRoute(GatewayTest):
    routes = (SAFE, RESUMABLE)

    def list_servers(self, state: ServerState = ServerState.READY, seq: int = 1) -> None:
        self.platform = evolve(self.platform, zones={"za": HERE, "zb": THERE})
        zones = {"s0": "za", "s1": "zb"}
        records = [
            ServerRecord(s.name, SERVICE, s.address, zones[s.name], 16, state, seq) for s in self.stand_ins
        ]
        self.view.merge_servers(microseconds(), records)

    def change(self, **changes: Any) -> None:
        """All routes change so."""
        self.configure(tuple([evolve(route, **changes) for route in self.routes]))

    def served_by(self) -> list[str]:
        return [request.server for request in self.script.requests]

    async def test_homes_that_come_while_a_body_is_read_bind(self) -> None:
        whole = post("/safe/x", body=b"0123456789", extra=["Expect: 100-continue"])
        client = await self.client()
        client.send(whole[:-5])
        await self.until_read(client)
        self.change(homes=(THERE,))
        client.send(whole[-5:])
        answer = await asyncio.wait_for(client.read(), PATIENCE)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.served_by(), ["s1"])

    async def until_read(self, client: Any) -> None:
        """The gateway has found the request's route: it asks for the body."""
        asked = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        self.assertIn(b"100 Continue", asked)

    async def test_a_request_that_is_turned_away_goes_to_no_region_that_is_no_home_by_now(self) -> None:
        async def turn_away_under_homes(request: Received) -> None:
            self.change(homes=(HERE,))
            await turn_away(request)

        self.play(turn_away_under_homes, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.served_by(), ["s0"])

    async def test_both_the_old_homes_and_the_new_bind(self) -> None:
        self.change(homes=(HERE,))

        async def turn_away_under_other_homes(request: Received) -> None:
            self.change(homes=(THERE,))
            await turn_away(request)

        self.play(turn_away_under_other_homes, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.served_by(), ["s0"])

    async def test_homes_that_are_lifted_bind_a_request_of_before(self) -> None:
        self.change(homes=(HERE,))

        async def turn_away_without_homes(request: Received) -> None:
            self.change(homes=())
            await turn_away(request)

        self.play(turn_away_without_homes, serve_ok)
        self.assertEqual((await self.ask(post("/safe/x"))).status, 503)
        self.assertEqual((await self.ask(post("/safe/x", "r2"))).status, 200)

    async def test_a_route_that_is_dropped_binds_its_requests_as_it_was(self) -> None:
        async def turn_away_and_drop(request: Received) -> None:
            self.configure((RESUMABLE,))
            await turn_away(request)

        self.play(turn_away_and_drop, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.served_by(), ["s0", "s1"])

    async def test_a_broken_stream_is_taken_up_in_no_region_that_is_no_home_by_now(self) -> None:
        async def break_under_homes(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.passed_on.wait()
            self.change(homes=(HERE,))
            request.reset()

        async def go_on(request: Received) -> None:
            request.write(stream_head(request.id, "stamp.2") + chunk(event(2)) + LAST_CHUNK)

        self.play(break_under_homes, go_on)
        answer = await self.ask(post("/resumable/x"))
        self.assertEqual((answer.body, answer.whole), (event(1), False))
        self.assertEqual(self.served_by(), ["s0"])

    async def test_fewer_attempts_hold_for_a_request_of_before(self) -> None:
        async def fail_with_fewer_attempts(request: Received) -> None:
            self.change(max_attempts=1)
            request.reset()

        self.play(fail_with_fewer_attempts, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.served_by(), ["s0"])

    async def test_a_choice_that_left_the_homes_would_be_counted(self) -> None:
        self.change(homes=(THERE,))
        with VIOLATIONS.apart(), patch.object(CallTraits, "permits", lambda *_: True):
            before = VIOLATIONS.violations().get(Invariant.SERVER_KEEPS_HOMES, 0)
            self.assertEqual((await self.ask(post("/safe/x"))).status, 200)
            self.assertEqual(VIOLATIONS.violations().get(Invariant.SERVER_KEEPS_HOMES), before + 1)
        self.assertEqual(self.served_by(), ["s0"])


class Regions:
    """The records of a pool with one server."""

    def __init__(self, region: str) -> None:
        self.server = ServerRecord("s0", SERVICE, "10.0.0.1:80", "za", 16, ServerState.READY, 1)
        self.region_of_all = region

    def record(self, number: int) -> ServerRecord | None:
        return self.server

    def region(self, record: ServerRecord) -> str:
        return self.region_of_all


class BeforeTheFirstByte(GatewayTest):
    """What is asked at the moment of writing, however long the connection took to come up."""

    def usable(self, region: str, route: Route, newest: Route | None = None) -> bool:
        upstream = ServiceUpstream(SystemView(), None, microseconds, lambda: 1, print)  # type: ignore[arg-type]
        upstream.records = Regions(region)
        return upstream.usable(0, "s0", CallTraits(route, newest=newest))

    async def test_the_homes_are_asked_again(self) -> None:
        homed = evolve(SAFE, homes=(HERE,))
        self.assertTrue(self.usable(HERE, homed))
        self.assertFalse(self.usable(THERE, homed))
        self.assertFalse(self.usable(THERE, SAFE, newest=homed))
        self.assertFalse(self.usable(THERE, homed, newest=SAFE))

    async def test_a_region_that_is_not_known_is_no_home(self) -> None:
        self.assertTrue(self.usable("", SAFE))
        self.assertFalse(self.usable("", evolve(SAFE, homes=(HERE,))))
