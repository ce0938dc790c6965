"""Test helpers: a service's balancer with servers and gateways, and a clock that the test advances."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, evolve, field

from brackenladder.catalog.configuration import Configuration, EngineSpec, Route, RouteKind, Service, Target
from brackenladder.core.roster import number_of
from brackenladder.interface import ListKind, Outcome, ServerEntry, Settings
from brackenladder.placement.balancer import PromptBalancer
from brackenladder.placement.classes import CallShape, add_class, shape_of
from brackenladder.placement.parameters import DEFAULT_PARAMETERS, PlacementParameters
from brackenladder.placement.site import ServerLocation, ServiceSite
from brackenladder.placement.traits import CallTraits, PromptPart
from brackenladder.platform_settings import Platform, PortRange
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.shares.cold_share import ColdBound, ColdShare
from brackenladder.shares.retry_budget import BudgetBound, RetryBudget

MS = 1000
SECOND = 1_000_000
ZONES = {"north-1": "north", "north-2": "north", "south-1": "south", "isle-1": "isle"}
FIRST = CallShape(idempotent=False, aim=SECOND, timeout=10 * SECOND, priority=100)
BUDGET = BudgetBound(ratio=0.2, slack=54, window=10 * SECOND)
COLD = ColdBound(per_s=9.9, overshoot=1.5, slack=5)


def route(**changes: Any) -> Route:
    """A streaming route to the service `llm`."""
    base = Route(
        name="chat",
        host="example",
        prefix="/chat/",
        kind=RouteKind.STREAMING,
        timeout_ms=5000,
        target_latency_ms=800,
        priority=1,
        split=(Target("llm", 1.0),),
    )
    return evolve(base, **changes)


def traits(subject: str = "", own: str = "own", of: Route | None = None, **changes: Any) -> CallTraits:
    """A prompt of 5,000 tokens with two shared parts, or of 500 without any."""
    parts: tuple[PromptPart, ...] = ()
    if subject:
        parts = (PromptPart("head", 2000), PromptPart(subject, 2500), PromptPart(own, 500))
    tokens = sum(part.tokens for part in parts) or 500
    base = CallTraits(of or route(), parts, tokens, output_tokens=50, model="m")
    return evolve(base, **changes)


@define
class Sent:
    request: int
    server: str
    timeout: int


@define
class Refused:
    request: int
    retry_after: int


@define
class Failed:
    request: int


@define
class RecordingActions:
    """Records the actions of the balancer in order."""

    names: dict[int, str] = field(factory=dict)
    log_lines: list[str] = field(factory=list)
    asked: list[Sent | Refused | Failed] = field(factory=list)
    cancelled: list[int] = field(factory=list)

    def send(self, request: int, server: int, timeout: int) -> None:
        self.asked.append(Sent(request, self.names[server], timeout))

    def cancel(self, request: int, attempt: int) -> None:
        self.cancelled.append(request)

    def refuse(self, request: int, retry_after: int) -> None:
        self.asked.append(Refused(request, retry_after))

    def fail(self, request: int) -> None:
        self.asked.append(Failed(request))

    def probe(self, server: int) -> None:
        raise AssertionError("no probes")

    def set_timer(self, delay: int, token: int) -> None:
        raise AssertionError("no timers")

    def tell(self, peer: int, data: bytes) -> None:
        raise AssertionError("no messages")

    def watch(self, on: bool) -> None:
        raise AssertionError("no watch")

    def fetch(self) -> None:
        raise AssertionError("no fetch")

    def close(self, server: int) -> None:
        raise AssertionError("no closes")

    def log(self, text: str) -> None:
        self.log_lines.append(text)


class Stage:
    """The balancer of one gateway. `servers`: zone by server id."""

    def __init__(
        self,
        servers: dict[str, str],
        seed: int = 1,
        zone: str = "north-1",
        gateways: int = 1,
        name: str = "front-1",
        kv_tokens: int = 200_000,
        slots: int = 64,
        cold: ColdBound | None = None,
        budget: BudgetBound = BUDGET,
        parameters: PlacementParameters = DEFAULT_PARAMETERS,
    ) -> None:
        self.now = 10 * SECOND
        self.slots = slots
        self.actions = RecordingActions()
        self.open: dict[int, CallTraits] = {}
        self.cold_until: dict[str, int] = {}
        self.site = ServiceSite(
            zone,
            ZONES[zone],
            kv_tokens=kv_tokens,
            gateways=gateways,
            gateways_known=True,
            parameters=parameters,
        )
        self.site.cold_until = lambda server: self.cold_until.get(server, 0)
        settings = Settings(
            classes=(FIRST.settings(),),
            zone=sorted(ZONES).index(zone),
            index=number_of(name) % 65536,
            instances=gateways,
            max_attempts=8,
            cancel=True,
            retry_after=True,
            max_retry_after=SECOND,
            cross_zone_price=0.01,
        )
        self.budget = RetryBudget(budget)
        self.announcer = PrefixAnnouncer(lambda: None)
        self.module = PromptBalancer(
            settings,
            seed,
            self.actions,
            self.site,
            self.open.get,
            ColdShare(name, cold),
            self.budget,
            self.announcer,
        )
        self.caches: dict[str, set[tuple[str, ...]]] = {}
        self.shapes: dict[CallShape, int] = {}
        self.last = 0
        self.module.start(self.now)
        self.list(servers)

    def list(self, servers: dict[str, str], ends_at: dict[str, int] | None = None) -> None:
        """Sets the usable servers."""
        regions = sorted(set(ZONES.values()))
        self.site.locations = {}
        entries: list[ServerEntry] = []
        for server, zone in servers.items():
            number = number_of(server)
            self.actions.names[number] = server
            end = (ends_at or {}).get(server, 0)
            self.site.locations[number] = ServerLocation(server, zone, ZONES[zone], self.slots, end)
            kind = regions.index(ZONES[zone])
            entries.append(ServerEntry(number, zone=sorted(ZONES).index(zone), kind=kind))
        self.module.server_list(self.now, ListKind.FULL, entries)

    def ask(
        self, of: CallTraits | None = None, left: int = 5 * SECOND, repeat: bool = False
    ) -> Sent | Refused | Failed:
        """Sends a request to the balancer and returns the one action that follows."""
        of = of or traits()
        shape = shape_of(of)
        if shape not in self.shapes:
            self.shapes[shape] = len(self.module.settings.classes)
            add_class(self.module, shape.settings())
        self.last += 1
        self.open[self.last] = of
        before = len(self.actions.asked)
        self.module.request(self.now, self.last, self.shapes[shape], 0, left, repeat)
        (asked,) = self.actions.asked[before:]
        return asked

    def send(self, of: CallTraits | None = None, left: int = 5 * SECOND) -> Sent:
        """Sends a request, which must lead to an attempt."""
        asked = self.ask(of, left)
        assert isinstance(asked, Sent), asked
        return asked

    def end(
        self, sent: Sent, outcome: Outcome = Outcome.OK, latency: int = 50 * MS, attempt: int = 0
    ) -> Sent | Refused | Failed | None:
        """Ends an attempt and returns the action that follows, if any."""
        before = len(self.actions.asked)
        final = outcome == Outcome.OK
        server = number_of(sent.server)
        self.module.outcome(self.now, sent.request, attempt, server, outcome, latency, final, ())
        asked = self.actions.asked[before:]
        return asked[0] if asked else None

    def read(self, sent: Sent) -> int:
        """Time until the first event at an idle server with a prefix cache, at 40 tokens a millisecond."""
        cache = self.caches.setdefault(sent.server, set())
        time = 40 * MS
        chain: tuple[str, ...] = ()
        for part in self.open[sent.request].parts:
            chain = (*chain, part.id)
            if chain not in cache:
                time += part.tokens * MS // 40
            cache.add(chain)
        return time

    def serve(self, of: CallTraits | None = None, latency: int | None = None) -> Sent:
        """Sends a request and answers it, after `latency` or as an idle server would."""
        sent = self.send(of)
        latency = self.read(sent) if latency is None else latency
        self.now += latency
        self.end(sent, latency=latency)
        self.module.stream_ended(self.now, sent.request)
        return sent

    def numbers(self) -> list[int]:
        """The numbers of the servers."""
        return list(self.site.locations)

    def counts(self) -> dict[str, int]:
        """The number of requests sent to each server."""
        found: dict[str, int] = {}
        for asked in self.actions.asked:
            if isinstance(asked, Sent):
                found[asked.server] = found.get(asked.server, 0) + 1
        return found


def servers_in(zone: str, count: int) -> dict[str, str]:
    """`count` servers of a zone."""
    return {f"{zone}-server-{number}": zone for number in range(count)}


def a_platform(name: str = "front-1", zone: str = "north-1") -> Platform:
    """The settings of a gateway."""
    return Platform(
        node_name=name,
        role="gateway",
        machine_class="front",
        serves=("front",),
        ip="10.0.0.1",
        zone=zone,
        region=ZONES[zone],
        ports=PortRange(7000, 7015),
        zones=dict(ZONES),
    )


def a_configuration(version: int = 1, routes: Sequence[Route] = (), cold_per_s: float = 9.9) -> Configuration:
    """A configuration with the service `llm`."""
    engine = EngineSpec(slots=64, kv_tokens=200_000)
    service = Service("llm", cold_start_us=3 * SECOND, cold_per_s=cold_per_s, engine=engine)
    return Configuration(version, tuple(routes) or (route(),), (service,))


class Loop:
    """An event loop whose timers never fire."""

    def __init__(self) -> None:
        self.timers = 0

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        self.timers += 1
