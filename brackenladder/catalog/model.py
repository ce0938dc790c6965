"""A checked configuration: what nodes act on. Durations are in the unit that each name tells."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

DEFAULT_PRIORITY = 5
DEFAULT_HEALTH_PATH = "/healthz"
DEFAULT_MAX_CONNECTIONS = 100


class RouteKind(Enum):
    """What may be done with a request of a route."""

    SAFE = "safe"  # may run more than once
    UNSAFE = "unsafe"  # at most once per try
    STREAMING = "streaming"  # answered by events; as `unsafe` unless it may be resumed


@frozen
class Target:
    """A service that gets a part of a route's traffic; `weight` is above 0."""

    service: str
    weight: float


@frozen
class Route:
    """One route. `split` has at least one target; without `homes` every region may serve it."""

    name: str
    host: str  # lower case, without a port
    prefix: str  # begins and ends with a slash
    kind: RouteKind
    timeout_ms: int
    target_latency_ms: int
    priority: int = DEFAULT_PRIORITY  # 0 is the highest
    split: tuple[Target, ...] = ()
    max_attempts: int = 1
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: int = 0  # the longest pause between events that is in time; 0: none was told
    homes: tuple[str, ...] = ()


@frozen
class EngineSpec:
    """A model server's engine; 0 where nothing was told."""

    slots: int = 0
    kv_tokens: int = 0
    stride: int = 1  # tokens in one event of a stream
    models: tuple[str, ...] = ()
    kv_token_bytes: int = 0
    link_mbps: float = 0.0


@frozen
class Service:
    """One service. A server of it is cold for `cold_start_us` after a start and then bears `cold_per_s`."""

    name: str
    health_path: str = DEFAULT_HEALTH_PATH
    max_connections: int = DEFAULT_MAX_CONNECTIONS  # to one server, from all callers combined
    cold_start_us: int = 0
    cold_per_s: float = 0.0  # 0: no bound was told
    engine: EngineSpec | None = None


@frozen
class Limits:
    """What clients may send, and how long they may take or sit idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


DEFAULT_LIMITS = Limits()


@frozen
class Configuration:
    """A whole configuration that has no fault."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = DEFAULT_LIMITS
