"""The parts of the operator's configuration document, with its field names and units."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from brackenladder.catalog.structuring import (
    NonEmptyStr,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveFloat,
    named,
)


@frozen
class TargetDocument:
    """Names a service and the weight of its share of a route's traffic, as in the JSON configuration."""

    backend: NonEmptyStr = named("Backend")
    weight: NonNegativeFloat = named("Weight")


@frozen
class RouteDocument:
    """A route. It has a `Backend` or a `TrafficSplit`; a split that is not empty takes precedence."""

    name: NonEmptyStr = named("Name")
    hostname: NonEmptyStr = named("Hostname")
    path_prefix: NonEmptyStr = named("PathPrefix")
    timeout_ms: PositiveFloat = named("TimeoutMs")
    kind: str | None = named("Kind", None)
    target_latency_ms: NonNegativeFloat | None = named("TargetLatencyMs", None)
    priority: int | None = named("Priority", None)
    backend: str | None = named("Backend", None)
    traffic_split: tuple[TargetDocument, ...] | None = named("TrafficSplit", None)
    max_attempts: NonNegativeInt | None = named("MaxAttempts", None)
    sticky: bool | None = named("Sticky", None)
    resumable: bool | None = named("Resumable", None)
    gap_aim_ms: NonNegativeFloat | None = named("gap_aim_ms", None)
    home_regions: tuple[NonEmptyStr, ...] | None = named("HomeRegions", None)


@frozen
class ModelDocument:
    """A model that an engine serves."""

    name: NonEmptyStr = named("Name")


@frozen
class EngineDocument:
    """What an operator states about a model server's inference engine; None where a field is left out."""

    slots: NonNegativeInt | None = named("Slots", None)
    kv_tokens: NonNegativeInt | None = named("KvTokens", None)
    kv_token_bytes: NonNegativeInt | None = named("KvTokenBytes", None)
    link_mbps: NonNegativeFloat | None = named("LinkMbps", None)
    stride: NonNegativeInt | None = named("stride", None)
    models: tuple[ModelDocument, ...] | None = named("Models", None)


@frozen
class ServiceDocument:
    """The settings of a service as written in the JSON configuration; None where a field is left out."""

    name: NonEmptyStr = named("Name")
    health_path: str | None = named("HealthPath", None)
    max_connections: NonNegativeInt | None = named("MaxConnections", None)
    cold_start_s: NonNegativeFloat | None = named("ColdStartS", None)
    cold_per_s: NonNegativeFloat | None = named("ColdPerS", None)
    engine: EngineDocument | None = named("Engine", None)


@frozen
class LimitsDocument:
    """Limits on the requests and connections of clients."""

    max_header_bytes: NonNegativeInt | None = named("MaxHeaderBytes", None)
    max_body_bytes: NonNegativeInt | None = named("MaxBodyBytes", None)
    header_timeout_ms: NonNegativeFloat | None = named("HeaderTimeoutMs", None)
    idle_timeout_ms: NonNegativeFloat | None = named("IdleTimeoutMs", None)


@frozen
class ConfigurationDocument:
    """The whole document. Its routes are decoded separately, one by one."""

    version: NonNegativeInt = named("Version")
    routes: tuple[Any, ...] = named("Routes")
    services: tuple[ServiceDocument, ...] = named("Services")
    limits: LimitsDocument | None = named("Limits", None)
