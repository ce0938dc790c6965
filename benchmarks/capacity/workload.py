"""Servers, configurations and platforms of a system of some size, always the same for the same size."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from attrs import define

from brackenladder.catalog.orders import ReplaceConfiguration, UpdateConfiguration, encode_order
from brackenladder.delivery.messages import Subscribe
from brackenladder.platform_settings import Listen, Platform, PortRange
from brackenladder.registry.gateways import GatewayState
from brackenladder.registry.records import ServerRecord, ServerState
from capacity.target import Size

MODELS = 4
FIRST_SEQ = 36_000  # of a server that has run for half a day
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


def opaque(word: str, number: int) -> str:
    """A name without a pattern, as real ones are to a compressor; always the same for a number."""
    return hashlib.blake2b(f"{word}{number}".encode(), digest_size=4).hexdigest()


def zone_name(number: int) -> str:
    """A zone's name, as long as real ones are."""
    return f"zone-{number:02d}-hall"


def zones_of(size: Size) -> dict[str, str]:
    """Region by zone: about two zones to a region."""
    return {zone_name(number): f"region-{number // 2:02d}" for number in range(size.zones)}


def service_name(model: int) -> str:
    """The service that serves a model."""
    return f"model{model}serve"


@define
class HollowServer:
    """A model server that does nothing but send heartbeats."""

    id: str
    service: str
    address: str
    zone: str
    state: str = "ready"
    seq: int = FIRST_SEQ

    def body(self) -> bytes:
        """The next heartbeat as it is sent."""
        self.seq += 1
        return (
            f'{{"Backend":"{self.service}","Address":"{self.address}","Zone":"{self.zone}","Version":"v1",'
            f'"Slots":64,"State":"{self.state}","ColdRemainingMs":0,"Stage":"both",'
            f'"Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Seq":{self.seq}}}'
        ).encode()


def hollow_server(number: int, size: Size) -> HollowServer:
    """One of the servers, by its number."""
    return HollowServer(
        id=f"i-{opaque('server', number)}",
        service=service_name(number % MODELS),
        address=f"10.{128 + number // 60_000}.{number // 250 % 250}.{number % 250 + 1}:8080",
        zone=zone_name(number % size.zones),
    )


def server_record(number: int, size: Size, seq: int = FIRST_SEQ) -> ServerRecord:
    """One of the servers as the registry knows it."""
    server = hollow_server(number, size)
    return ServerRecord(
        id=server.id,
        service=server.service,
        address=server.address,
        zone=server.zone,
        slots=64,
        state=ServerState.READY,
        seq=seq,
        software="v1",
        models=("m",),
    )


def presence(number: int, size: Size) -> Subscribe:
    """What one of the gateways says of itself."""
    zone = zone_name(number % size.zones)
    return Subscribe(
        node=f"front-{zone}-{number}",
        incarnation=1_764_651_600_000_000 + number,
        front_address=f"10.1.{number // 250}.{number % 250 + 1}:8144",
        zone=zone,
        region="region-00",
        state=GatewayState.READY,
        seq=number + 1,
    )


def route_document(number: int, timeout_ms: int = 5000) -> dict[str, Any]:
    """The route of one tenant to one model."""
    tenant, model = divmod(number, MODELS)
    homes = [f"region-{tenant % 21:02d}"] if tenant % 10 < 3 else []
    return {
        "Name": f"r-{opaque('route', number)}",
        "Hostname": f"{opaque('tenant', tenant)}.example",
        "PathPrefix": f"/{opaque('path', number)}/",
        "Kind": "streaming",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 660,
        "Priority": tenant % 3,
        "Backend": service_name(model),
        "MaxAttempts": 2,
        "Sticky": True,
        "Resumable": True,
        "gap_aim_ms": 400,
        "HomeRegions": homes,
    }


def service_document(model: int) -> dict[str, Any]:
    """The service of one model."""
    engine = {"Slots": 64, "KvTokens": 264034, "KvTokenBytes": 327680, "stride": 4, "Models": [{"Name": "m"}]}
    return {
        "Name": service_name(model),
        "HealthPath": "/healthz",
        "MaxConnections": 360,
        "Protocol": "h1",
        "Tls": False,
        "ColdStartS": 3.0,
        "ColdPerS": 9.9,
        "Engine": engine,
    }


def configuration_document(version: int, routes: int) -> bytes:
    """A whole configuration."""
    document = {
        "Version": version,
        "Routes": [route_document(number) for number in range(routes)],
        "Services": [service_document(model) for model in range(MODELS)],
        "Limits": LIMITS,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def replacing_order(version: int, routes: int) -> bytes:
    """The operator's first configuration."""
    return encode_order(ReplaceConfiguration(0, configuration_document(version, routes)))


def updating_order(base: int, version: int, route: int) -> bytes:
    """A change of one route."""
    changed = route_document(route, timeout_ms=5000 + version)
    body = {"Version": version, "Upsert": {"Routes": [changed]}, "Remove": {}}
    return encode_order(UpdateConfiguration(base, json.dumps(body, separators=(",", ":")).encode()))


def control_platform(number: int, size: Size, host_prefix: str, port: int, folder: str) -> Platform:
    """A control node's settings; `host_prefix` is the first three numbers of its loopback address."""
    ips = [f"{host_prefix}.{last + 1}" for last in range(size.control_nodes)]
    zone = zone_name(number % size.zones)
    return Platform(
        node_name=f"control-{number}",
        role="control",
        machine_class="core",
        serves=("control", "directory"),
        ip=ips[number],
        zone=zone,
        region=zones_of(size)[zone],
        ports=PortRange(port, port + 7),
        seeds=tuple(f"{ip}:{port + 8}" for ip in ips[:3]),
        bootstrap=True,
        data_dir=folder,
        heartbeat_ms=size.heartbeat_ms,
        zones=zones_of(size),
        listen=Listen(control=f"{ips[number]}:{port + 8}", directory=f"{ips[number]}:{port + 9}"),
    )
