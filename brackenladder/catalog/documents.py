"""The operator's document item by item, as it is written: names, optional fields, units."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from brackenladder.catalog.structuring import Name, Number, PositiveNumber, Whole, named


@frozen
class TargetDocument:
    """One part of a route's traffic."""

    backend: Name = named("Backend")
    weight: Number = named("Weight")


@frozen
class RouteDocument:
    """One route. It has a `Backend` or a `TrafficSplit`; of both, a split that is not empty holds."""

    name: Name = named("Name")
    hostname: Name = named("Hostname")
    path_prefix: Name = named("PathPrefix")
    timeout_ms: PositiveNumber = named("TimeoutMs")
    kind: str | None = named("Kind", None)
    target_latency_ms: Number | None = named("TargetLatencyMs", None)
    priority: int | None = named("Priority", None)
    backend: str | None = named("Backend", None)
    traffic_split: tuple[TargetDocument, ...] | None = named("TrafficSplit", None)
    max_attempts: Whole | None = named("MaxAttempts", None)
    sticky: bool | None = named("Sticky", None)
    resumable: bool | None = named("Resumable", None)
    gap_aim_ms: Number | None = named("gap_aim_ms", None)
    home_regions: tuple[Name, ...] | None = named("HomeRegions", None)


@frozen
class ModelDocument:
    """One model that an engine serves."""

    name: Name = named("Name")


@frozen
class EngineDocument:
    """A model server's engine."""

    slots: Whole | None = named("Slots", None)
    kv_tokens: Whole | None = named("KvTokens", None)
    kv_token_bytes: Whole | None = named("KvTokenBytes", None)
    link_mbps: Number | None = named("LinkMbps", None)
    stride: Whole | None = named("stride", None)
    models: tuple[ModelDocument, ...] | None = named("Models", None)


@frozen
class ServiceDocument:
    """One service."""

    name: Name = named("Name")
    health_path: str | None = named("HealthPath", None)
    max_connections: Whole | None = named("MaxConnections", None)
    cold_start_s: Number | None = named("ColdStartS", None)
    cold_per_s: Number | None = named("ColdPerS", None)
    engine: EngineDocument | None = named("Engine", None)


@frozen
class LimitsDocument:
    """What clients may do."""

    max_header_bytes: Whole | None = named("MaxHeaderBytes", None)
    max_body_bytes: Whole | None = named("MaxBodyBytes", None)
    header_timeout_ms: Number | None = named("HeaderTimeoutMs", None)
    idle_timeout_ms: Number | None = named("IdleTimeoutMs", None)


@frozen
class ConfigurationDocument:
    """The whole. Its routes are read one by one."""

    version: Whole = named("Version")
    routes: tuple[Any, ...] = named("Routes")
    services: tuple[ServiceDocument, ...] = named("Services")
    limits: LimitsDocument | None = named("Limits", None)
