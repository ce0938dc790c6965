"""Sample servers and gateways for the tests of registry and delivery."""

from __future__ import annotations

from brackenladder.registry.gateways import GatewayRecord, GatewayState
from brackenladder.registry.records import ServerRecord, ServerState

MS = 1000
SECOND = 1_000_000
SILENCE = 4_200 * MS


def server(
    server_id: str = "i-1",
    seq: int = 1,
    state: ServerState = ServerState.READY,
    cold_for: int = 0,
    remaining: int = -1,
    address: str = "10.0.0.1:8080",
    expired: bool = False,
) -> ServerRecord:
    return ServerRecord(
        id=server_id,
        service="llm",
        address=address,
        zone="hall-a",
        slots=64,
        state=state,
        seq=seq,
        software="v1",
        cold_for=cold_for,
        remaining=remaining,
        models=("m",),
        expired=expired,
    )


def draining(server_id: str = "i-1", seq: int = 1) -> ServerRecord:
    return server(server_id, seq, ServerState.DRAINING)


def deregistered(server_id: str = "i-1", seq: int = 1) -> ServerRecord:
    return server(server_id, seq, ServerState.GONE)


def expired(server_id: str = "i-1", seq: int = 1) -> ServerRecord:
    return server(server_id, seq, ServerState.GONE, expired=True)


def gateway(
    node: str = "front-1",
    seq: int = 1,
    state: GatewayState = GatewayState.READY,
    incarnation: int = 1,
    zone: str = "hall-a",
    region: str = "north",
) -> GatewayRecord:
    return GatewayRecord(
        node=node,
        front_address=f"{node}:8144",
        zone=zone,
        region=region,
        state=state,
        incarnation=incarnation,
        seq=seq,
    )
