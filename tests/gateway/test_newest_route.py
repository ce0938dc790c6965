"""A configuration that arrives during a request: later attempts must respect the old and the new route."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar
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
    reject_request,
    serve_ok,
    stream_head,
)

from brackenladder.catalog.configuration import Route
from brackenladder.delivery.view import SystemView
from brackenladder.gateway.upstream import ServiceUpstream
from brackenladder.invariants import VIOLATIONS, Invariant
from brackenladder.placement.traits import CallTraits
from brackenladder.registry.records import ServerRecord, ServerState

HERE, THERE = "ra", "rb"  # regions; `s0` is in this gateway's region, `s1` in the other


class NewestRoute(GatewayTest):
    server_zones: ClassVar = {"s1": "zb"}
    routes = (SAFE, RESUMABLE)

    def list_servers(self, state: ServerState = ServerState.READY, seq: int = 1) -> None:
        self.platform = evolve(self.platform, zones={"za": HERE, "zb": THERE})
        super().list_servers(state, seq)

    def change(self, **changes: Any) -> None:
        """Change these fields of all routes."""
        self.configure(tuple([evolve(route, **changes) for route in self.routes]))

    def drain(self, name: str) -> None:
        """Report a server as draining."""
        record = next(record for record in self.view.servers.values() if record.id == name)
        self.view.merge_servers(
            microseconds(), [evolve(record, state=ServerState.DRAINING, seq=record.seq + 1)]
        )

    def served_by(self) -> list[str]:
        return [request.server for request in self.script.requests]

    async def test_homes_configured_while_a_body_is_read_apply(self) -> None:
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
        """Wait until the gateway has found the request's route, which it shows by asking for the body."""
        asked = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        self.assertIn(b"100 Continue", asked)

    async def test_a_rejected_request_stays_within_homes_configured_meanwhile(self) -> None:
        async def reject_under_homes(request: Received) -> None:
            self.change(homes=(HERE,))
            await reject_request(request)

        self.play(reject_under_homes, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.served_by(), ["s0"])

    async def test_both_the_old_and_the_new_homes_apply(self) -> None:
        self.change(homes=(HERE,))

        async def reject_under_other_homes(request: Received) -> None:
            self.change(homes=(THERE,))
            await reject_request(request)

        self.play(reject_under_other_homes, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.served_by(), ["s0"])

    async def test_removed_homes_still_apply_to_earlier_requests(self) -> None:
        self.change(homes=(HERE,))

        async def reject_without_homes(request: Received) -> None:
            self.change(homes=())
            await reject_request(request)

        self.play(reject_without_homes, serve_ok)
        self.assertEqual((await self.ask(post("/safe/x"))).status, 503)
        self.assertEqual((await self.ask(post("/safe/x", "r2"))).status, 200)

    async def test_a_removed_route_still_applies_to_its_requests(self) -> None:
        async def reject_and_drop(request: Received) -> None:
            self.configure((RESUMABLE,))
            await reject_request(request)

        self.play(reject_and_drop, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.served_by(), ["s0", "s1"])

    async def test_a_broken_stream_is_resumed_within_homes_configured_meanwhile(self) -> None:
        async def break_under_homes(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_read.wait()
            self.change(homes=(HERE,))
            request.reset()

        async def resume_stream(request: Received) -> None:
            request.write(stream_head(request.id, "stamp.2") + chunk(event(2)) + LAST_CHUNK)

        self.play(break_under_homes, resume_stream)
        answer = await self.ask(post("/resumable/x"))
        self.assertEqual((answer.body, answer.whole), (event(1), False))
        self.assertEqual(self.served_by(), ["s0"])

    async def test_a_lower_attempt_limit_applies_to_earlier_requests(self) -> None:
        async def fail_with_fewer_attempts(request: Received) -> None:
            self.change(max_attempts=1)
            request.reset()

        self.play(fail_with_fewer_attempts, serve_ok)
        answer = await self.ask(post("/safe/x"))
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.served_by(), ["s0"])

    async def test_a_server_outside_the_homes_violates_the_invariant(self) -> None:
        self.change(homes=(THERE,))
        self.drain("s1")  # so that the request goes to the server outside the homes
        with VIOLATIONS.restoring_counts(), patch.object(CallTraits, "permits", lambda *_: True):
            before = VIOLATIONS.violations().get(Invariant.SERVER_KEEPS_HOMES, 0)
            self.assertEqual((await self.ask(post("/safe/x"))).status, 200)
            self.assertEqual(VIOLATIONS.violations().get(Invariant.SERVER_KEEPS_HOMES), before + 1)
        self.assertEqual(self.served_by(), ["s0"])


class OneServer:
    """The server lookup of a pool with one server."""

    def __init__(self, region: str) -> None:
        self.server = ServerRecord("s0", SERVICE, "10.0.0.1:80", "za", 16, ServerState.READY, 1)
        self.region_of_all = region

    def record(self, number: int) -> ServerRecord | None:
        return self.server

    def region(self, record: ServerRecord) -> str:
        return self.region_of_all


class BeforeTheFirstByte(GatewayTest):
    """The check just before writing, as the connection may have taken long to open."""

    def usable(self, region: str, route: Route, newest: Route | None = None) -> bool:
        upstream = ServiceUpstream(SystemView(), None, microseconds, lambda: 1, print)  # type: ignore[arg-type]
        upstream.records = OneServer(region)
        return upstream.usable(0, "s0", CallTraits(route, newest=newest))

    async def test_the_homes_are_checked_again(self) -> None:
        homed = evolve(SAFE, homes=(HERE,))
        self.assertTrue(self.usable(HERE, homed))
        self.assertFalse(self.usable(THERE, homed))
        self.assertFalse(self.usable(THERE, SAFE, newest=homed))
        self.assertFalse(self.usable(THERE, homed, newest=SAFE))

    async def test_an_unknown_region_is_no_home(self) -> None:
        self.assertTrue(self.usable("", SAFE))
        self.assertFalse(self.usable("", evolve(SAFE, homes=(HERE,))))
