"""The model of a validated configuration. The suffix of a name gives the unit of a duration."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

DEFAULT_PRIORITY = 5
DEFAULT_HEALTH_PATH = "/healthz"
DEFAULT_MAX_CONNECTIONS = 100


class RouteKind(Enum):
    """How a route's requests may be attempted."""

    SAFE = "safe"  # may be executed more than once
    UNSAFE = "unsafe"  # may be executed at most once per client request
    STREAMING = "streaming"  # answered by a stream of events; like `unsafe` unless `resumable`


@frozen
class Target:
    """A service that gets a share of a route's traffic; `weight` is greater than 0."""

    service: str
    weight: float


@frozen
class Route:
    """A route. `split` has at least one target. If `homes` is empty, every region may serve the route."""

    name: str
    host: str  # in lower case, without a port
    prefix: str  # begins and ends with a slash
    kind: RouteKind
    timeout_ms: int
    target_latency_ms: int
    priority: int = DEFAULT_PRIORITY  # 0 is the highest
    split: tuple[Target, ...] = ()
    max_attempts: int = 1
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: int = 0  # target for the longest pause between two events of a stream; 0: none
    homes: tuple[str, ...] = ()


@frozen
class EngineSpec:
    """What is known of a model server's inference engine: its slots, cache and link; 0 means unknown."""

    slots: int = 0
    kv_tokens: int = 0
    stride: int = 1  # number of tokens in each event of a stream
    models: tuple[str, ...] = ()
    kv_token_bytes: int = 0
    link_mbps: float = 0.0


@frozen
class Service:
    """The settings that apply to all servers of a service.

    A server is cold for `cold_start_us` after its start, and handles at most `cold_per_s` requests/s then.
    """

    name: str
    health_path: str = DEFAULT_HEALTH_PATH
    # Maximum number of connections to one server from all gateways together.
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    cold_start_us: int = 0
    cold_per_s: float = 0.0  # maximum number of requests per second to a cold server; 0: no limit
    engine: EngineSpec | None = None


@frozen
class Limits:
    """Limits on the size and duration of client requests and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


DEFAULT_LIMITS = Limits()


@frozen
class Configuration:
    """A complete, valid configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = DEFAULT_LIMITS
