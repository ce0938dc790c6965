"""Changes of servers and evacuations during a request apply to its later attempts."""

from __future__ import annotations

from gateway.gateway_loopback import (
    LAST_CHUNK,
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

from brackenladder.registry.records import ServerRecord, ServerState

ZONES = {"s0": "za", "s1": "zb", "s2": "zb"}


class LaterAttempts(GatewayTest):
    servers = 3
    server_zones = ZONES
    routes = (SAFE, RESUMABLE)

    def end(self, server: str, state: ServerState) -> None:
        address = next(one.address for one in self.stand_ins if one.name == server)
        record = ServerRecord(server, SERVICE, address, ZONES[server], 16, state, 2)
        self.view.merge_servers(microseconds(), [record])

    def evacuate_other_zones(self, server: str) -> None:
        zones = frozenset(ZONES.values()) - {ZONES[server]}
        self.view.set_catalog(self.view.revision + 1, self.view.configuration, zones)

    async def test_a_rejected_request_goes_to_no_zone_evacuated_meanwhile(self) -> None:
        async def reject_and_evacuate(request: Received) -> None:
            self.evacuate_other_zones(request.server)
            await reject_request(request)

        self.play(reject_and_evacuate, serve_ok)
        await self.ask(post("/safe/x"))
        zones = {ZONES[request.server] for request in self.script.requests}
        self.assertEqual(len(zones), 1)

    async def test_a_broken_stream_is_resumed_in_no_zone_evacuated_meanwhile(self) -> None:
        async def break_and_evacuate(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(1)))
            await request.client_read.wait()
            self.evacuate_other_zones(request.server)
            request.reset()

        async def resume_stream(request: Received) -> None:
            request.write(stream_head(request.id, "stamp.2") + chunk(event(2)) + LAST_CHUNK)

        self.play(break_and_evacuate, resume_stream)
        await self.ask(post("/resumable/x"))
        zones = {ZONES[request.server] for request in self.script.requests}
        self.assertEqual(len(zones), 1)

    async def test_a_server_that_ran_the_request_and_is_gone_counts_as_an_attempt(self) -> None:
        async def reset_and_leave(request: Received) -> None:
            request.write(stream_head(request.id) + chunk(event(len(self.script.requests))))
            await request.client_read.wait()
            self.end(request.server, ServerState.GONE)
            request.reset()

        self.play(reset_and_leave)
        answer = await self.ask(post("/resumable/x"))
        self.assertFalse(answer.whole)
        self.assertEqual(len(self.script.requests), RESUMABLE.max_attempts)
