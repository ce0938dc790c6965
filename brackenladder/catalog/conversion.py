"""Converts parsed documents to the model: fills in defaults and converts units."""

from __future__ import annotations

import math

from brackenladder.catalog.documents import EngineDocument, LimitsDocument, RouteDocument, ServiceDocument
from brackenladder.catalog.hosts import normalize_host
from brackenladder.catalog.model import (
    DEFAULT_HEALTH_PATH,
    DEFAULT_LIMITS,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_PRIORITY,
    EngineSpec,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
)

US_PER_S = 1_000_000


def _milliseconds(value: float) -> int:
    return math.ceil(value)


def _kind(name: str | None) -> RouteKind:
    """The route kind of this name; the most restrictive kind if the name is missing or unknown."""
    try:
        return RouteKind(name)
    except ValueError:
        return RouteKind.UNSAFE


def _split(item: RouteDocument) -> tuple[Target, ...]:
    if not item.traffic_split:
        return (Target(item.backend or "", 1.0),)
    return tuple([Target(part.backend, part.weight) for part in item.traffic_split if part.weight > 0])


def new_route(item: RouteDocument) -> Route:
    """The route that a valid document describes."""
    timeout = _milliseconds(item.timeout_ms)
    return Route(
        name=item.name,
        host=normalize_host(item.hostname),
        prefix=item.path_prefix,
        kind=_kind(item.kind),
        timeout_ms=timeout,
        target_latency_ms=_milliseconds(item.target_latency_ms) if item.target_latency_ms else timeout,
        priority=DEFAULT_PRIORITY if item.priority is None else item.priority,
        split=_split(item),
        max_attempts=max(item.max_attempts or 1, 1),
        sticky=bool(item.sticky),
        resumable=bool(item.resumable),
        gap_aim_ms=_milliseconds(item.gap_aim_ms or 0),
        homes=item.home_regions or (),
    )


def _engine(item: EngineDocument | None) -> EngineSpec | None:
    if item is None:
        return None
    return EngineSpec(
        slots=item.slots or 0,
        kv_tokens=item.kv_tokens or 0,
        stride=max(item.stride or 1, 1),
        models=tuple([model.name for model in item.models or ()]),
        kv_token_bytes=item.kv_token_bytes or 0,
        link_mbps=item.link_mbps or 0.0,
    )


def new_service(item: ServiceDocument) -> Service:
    """The service that a document describes."""
    return Service(
        name=item.name,
        health_path=item.health_path or DEFAULT_HEALTH_PATH,
        max_connections=item.max_connections or DEFAULT_MAX_CONNECTIONS,
        cold_start_us=round((item.cold_start_s or 0) * US_PER_S),
        cold_per_s=item.cold_per_s or 0.0,
        engine=_engine(item.engine),
    )


def new_limits(item: LimitsDocument | None) -> Limits:
    """The limits that a document describes; defaults for those that are missing or 0."""
    if item is None:
        return DEFAULT_LIMITS
    return Limits(
        max_header_bytes=item.max_header_bytes or DEFAULT_LIMITS.max_header_bytes,
        max_body_bytes=item.max_body_bytes or DEFAULT_LIMITS.max_body_bytes,
        header_timeout_ms=_milliseconds(item.header_timeout_ms or DEFAULT_LIMITS.header_timeout_ms),
        idle_timeout_ms=_milliseconds(item.idle_timeout_ms or DEFAULT_LIMITS.idle_timeout_ms),
    )
