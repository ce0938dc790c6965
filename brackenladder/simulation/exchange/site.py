"""The simulated deployment: addresses, zones, routes and the configurations applied in a run."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

SECOND = 1_000_000  # microseconds
HOST = "jobs.example"
CONTROL_NAME = "control-0"
CONTROL_IP = "10.0.0.1"
CONTROL_INNER = f"{CONTROL_IP}:7660"
CONTROL_OUTER = f"{CONTROL_IP}:8146"
FRONT_PORT = 8144
READY_PORT = 8140
SERVER_PORT = 8080
ZONES = {"north-1": "north", "north-2": "north", "south-1": "south"}
SERVICES = ("api", "other")
MISDIRECTED = 421  # the answer to a request that names another server
NOT_RUN_STATUSES = (503, MISDIRECTED, 429, 408)  # to a client they promise that its request has not run
HEADER_BYTES = 16_384
BODY_BYTES = 1_048_576


@frozen
class RouteTemplate:
    """The part of a route that does not change in a run. Times are in milliseconds."""

    name: str
    kind: str
    service: str = "api"
    max_attempts: int = 1
    resumable: bool = False
    timeout_ms: int = 1_500
    target_ms: int = 400
    gap_ms: int = 200

    @property
    def prefix(self) -> str:
        """The path prefix of the route's requests."""
        return f"/{self.name}/"

    @property
    def idempotent(self) -> bool:
        """Whether the route's requests may run more than once, in some configurations at least."""
        return self.kind == "safe" or self.resumable

    @property
    def streaming(self) -> bool:
        """Whether the route's answers are event streams."""
        return self.kind == "streaming"


ROUTES = (
    RouteTemplate("plain", "unsafe"),
    RouteTemplate("twice", "unsafe", max_attempts=3),
    RouteTemplate("safe", "safe", max_attempts=2),
    RouteTemplate("homed", "safe", max_attempts=2),
    RouteTemplate("stream", "streaming", timeout_ms=4_000),
    RouteTemplate("resumable", "streaming", max_attempts=3, resumable=True, timeout_ms=4_000),
    RouteTemplate("beside", "unsafe", service="other"),
)
HOMED = "homed"


@frozen
class Configuration:
    """A configuration of a run: the values that change between versions."""

    version: int
    homes: tuple[str, ...] = ()  # home regions of the route `HOMED`
    most_attempts: int = 2  # `MaxAttempts` of the route "safe"
    resumable: bool = True  # `Resumable` of the route "resumable"

    def attempts_of(self, route: RouteTemplate) -> int:
        """Returns `MaxAttempts` of a route."""
        return self.most_attempts if route.name == "safe" else route.max_attempts

    def resumes(self, route: RouteTemplate) -> bool:
        """Whether a route's streams may be resumed."""
        return route.resumable and self.resumable

    def document(self) -> bytes:
        """Returns the configuration document."""
        limits = {
            "MaxHeaderBytes": HEADER_BYTES,
            "MaxBodyBytes": BODY_BYTES,
            "HeaderTimeoutMs": 1_000,
            "IdleTimeoutMs": 5_000,
        }
        services = [
            {"Name": name, "HealthPath": "/healthz", "MaxConnections": 200, "Protocol": "h1", "Tls": False}
            for name in SERVICES
        ]
        routes = [self._route(route) for route in ROUTES]
        complete = {"Version": self.version, "Routes": routes, "Services": services, "Limits": limits}
        return json.dumps(complete).encode()

    def _route(self, route: RouteTemplate) -> dict[str, Any]:
        return {
            "Name": route.name,
            "Hostname": HOST,
            "PathPrefix": route.prefix,
            "Kind": route.kind,
            "TimeoutMs": route.timeout_ms,
            "TargetLatencyMs": route.target_ms,
            "gap_aim_ms": route.gap_ms,
            "Priority": 0,
            "Backend": route.service,
            "MaxAttempts": self.attempts_of(route),
            "Sticky": False,
            "Resumable": self.resumes(route),
            "HomeRegions": list(self.homes) if route.name == HOMED else [],
        }


def latency(origin: str, destination: str) -> int:
    """Returns the one-way latency in microseconds between two zones. `clients` are close to all zones."""
    if "clients" in (origin, destination):
        return 1_000
    if origin == destination:
        return 300
    return 900 if ZONES[origin] == ZONES[destination] else 15_000
