"""The configurations that simulated operators send. A marker route carries the number of the order."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

MARKER = "/order-"
HOST = "jobs.example"
SERVICE = "api"
FILLER_ROUTES = 3  # number of routes besides the marker route


def replacement(order: int, version: int, size: int) -> bytes:
    """Returns a complete configuration of about `size` bytes."""
    padding = "x" * (size // FILLER_ROUTES)
    fillers = [_route(f"filler-{number}", f"/f{number}{padding}/") for number in range(FILLER_ROUTES)]
    routes = [_marker(order), *fillers]
    service = {
        "Name": SERVICE,
        "HealthPath": "/healthz",
        "MaxConnections": 10,
        "Protocol": "h1",
        "Tls": False,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1048576,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    document = {"Version": version, "Routes": routes, "Services": [service], "Limits": limits}
    return json.dumps(document).encode()


def update(order: int, version: int) -> bytes:
    """Returns an update that changes only the marker route."""
    return json.dumps({"Version": version, "Upsert": {"Routes": [_marker(order)]}}).encode()


def invalid(order: int, version: int) -> bytes:
    """Returns a configuration whose routes refer to a service that does not exist."""
    document = json.loads(replacement(order, version, 0))
    document["Services"] = []
    return json.dumps(document).encode()


def order_of(prefixes: Iterable[str]) -> int:
    """Returns the number of the order that made a configuration, or 0 without a marker route."""
    for prefix in prefixes:
        if prefix.startswith(MARKER):
            return int(prefix.removeprefix(MARKER).rstrip("/"))
    return 0


def read_back(document: bytes) -> tuple[int, int]:
    """Returns version and order number of a configuration that was read back, or zeros if there is none."""
    if not document:
        return (0, 0)
    content = json.loads(document)
    return (content["Version"], order_of(route["PathPrefix"] for route in content["Routes"]))


def _marker(order: int) -> dict[str, Any]:
    return _route("marker", f"{MARKER}{order}/")


def _route(name: str, prefix: str) -> dict[str, Any]:
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "Kind": "safe",
        "TimeoutMs": 1000,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Backend": SERVICE,
        "MaxAttempts": 2,
        "Sticky": False,
        "HomeRegions": [],
    }
