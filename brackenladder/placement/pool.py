"""One service of one gateway: hosts its balancer and applies changes of the gateway's SystemView to it."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from random import Random

from brackenladder.catalog.configuration import Service
from brackenladder.core.call import Attempt, Call, Done, Failure, Probed, Upstream
from brackenladder.core.clock import Clock
from brackenladder.core.host import Host
from brackenladder.core.roster import number_of, numbered
from brackenladder.delivery.view import SystemView
from brackenladder.interface import Actions, ListKind, ServerEntry, Settings, State
from brackenladder.placement.balancer import PromptBalancer
from brackenladder.placement.classes import CallShape, ClassTable, add_class, shape_of
from brackenladder.placement.site import ServerLocation, ServiceSite
from brackenladder.placement.traits import CallTraits
from brackenladder.platform_settings import Platform
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.shares.cold_share import ColdBound, ColdShare
from brackenladder.shares.retry_budget import BudgetBound, RetryBudget

US_PER_S = 1_000_000
US_PER_MS = 1_000
# A Balancer needs a class when it is created. No route has the priority of this one, which ranks lowest.
FIRST_SHAPE = CallShape(idempotent=False, aim=US_PER_S, timeout=10 * US_PER_S, priority=100)
MAX_ATTEMPTS = 8  # attempts of a call, including those that were never sent
MAX_RETRY_AFTER = US_PER_S
ZONE_PRICE = 0.01  # the lowest cross-zone price at which the policy selects members in each zone
INDEXES = 1 << 16  # a gateway's index is a hash of its name, modulo this
BEATS_AFTER_RETURN = 2.5  # heartbeats after an evacuation until servers have reported whether they are cold


class PoolCall(Call):
    """A call for a service. A frontend derives its own class with the payload and the handling of answers.

    `repeat`: this gateway has sent the request to a server before, for example to resume a broken stream.
    Then its first attempt counts against the retry budget.
    """

    __slots__ = ("traits", "number_of_server")

    def __init__(self, traits: CallTraits, left: int, repeat: bool = False) -> None:
        super().__init__(klass=0, tenant=0, left=left, repeat=repeat)
        self.traits = traits
        self.number_of_server = 0  # number of the server of the latest attempt

    def current_traits(self) -> CallTraits:
        """The traits under the latest configuration; called before each attempt."""
        return self.traits


class _PoolUpstream:
    """Records the server of each attempt in its call."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        if isinstance(call, PoolCall):
            call.number_of_server = server
        return self.upstream.attempt(server, call, expires, done)

    def probe(self, server: int, done: Probed) -> None:
        self.upstream.probe(server, done)

    def close_idle(self, server: int) -> None:
        self.upstream.close_idle(server)


class ServicePool:
    """The servers of one service, and the calls to them. The view has to take its times from `clock`."""

    def __init__(
        self,
        service: str,
        view: SystemView,
        platform: Platform,
        upstream: Upstream,
        loop: AbstractEventLoop,
        clock: Clock,
        random: Random,
        announcer: PrefixAnnouncer,
        log: Callable[[str], None],
    ) -> None:
        self.service = service
        self.view = view
        self.platform = platform
        self.clock = clock
        self.announcer = announcer
        self.classes = ClassTable(FIRST_SHAPE)
        self.site = ServiceSite(platform.zone, platform.region, cold_until=self.cold_until)
        self.cold = ColdShare(platform.node_name, None)
        self.budget = RetryBudget(_budget_bound(platform), clock.now())
        self.records: dict[int, ServerRecord] = {}
        self.zones = {name: number for number, name in enumerate(sorted(platform.zones))}
        self.region_numbers: dict[str, int] = {}
        self.listed: dict[int, ServerEntry] = {}  # the entries that the balancer has, by server number
        self.read_version = -1  # version of the service's servers in the view that was applied last
        self.evacuated = view.evacuated
        self.returned: dict[str, int] = {}  # until when servers may be cold, by zone evacuated before
        self.closed = False
        settings = _settings(platform, self.zones, self.region_numbers)
        seed = random.getrandbits(32)
        self.host = Host(settings, seed, loop, _PoolUpstream(upstream), log, clock, self._module)
        self.host.start()
        self.refresh()

    @property
    def balancer(self) -> PromptBalancer:
        """The balancer that chooses the server of each call of this service; `host` keeps it."""
        module = self.host.balancer
        assert isinstance(module, PromptBalancer)
        return module

    @property
    def idle(self) -> bool:
        """Whether there are no open calls and no running streams that may have to be resumed."""
        return not self.host.calls and not self.balancer.in_flight.streams

    def take(self, call: PoolCall) -> None:
        """Starts a call; it may be concluded before this returns."""
        call.klass = self._class_of(call.traits)
        call.left = min(call.left, call.traits.route.timeout_ms * US_PER_MS)
        self.host.take(call)

    def give_up(self) -> None:
        """Fails all open calls, as the gateway shuts down."""
        for call in tuple(self.host.calls.values()):
            self.host.client_left(call)
            call.failed(Failure.GIVEN_UP)

    def record(self, number: int) -> ServerRecord | None:
        """The server with this number, while it is listed or draining."""
        return self.records.get(number)

    def region(self, record: ServerRecord) -> str:
        """The region of a server; empty if it is unknown."""
        return self.platform.region_of(record.zone)

    def stream_ended(self, call: PoolCall) -> None:
        """Records the end of a call's stream after `served`: its slot and cache memory are free again."""
        self.host.post(self.balancer.stream_ended, call.id)

    def receive_prefix_notices(self, now: int, notices: Sequence[PrefixNotice]) -> None:
        """Takes in notices of other gateways, and ignores those about servers of other services."""
        own = [notice for notice in notices if notice.server in self.site.locations]
        if own:
            self.balancer.receive_prefix_notices(now, own)

    def refresh(self) -> None:
        """Applies changes of the view: configuration, servers, evacuations and number of gateways."""
        if self.closed:
            return
        evacuation_changed = self.evacuated != self.view.evacuated
        self._update_returned_zones()
        self._read_service()
        changed = self.view.by_service.changed_since(self.service, self.read_version)
        self.read_version = self.view.by_service.version(self.service)
        if evacuation_changed or changed is None:
            self._read_all()
        elif changed:
            self._read_changes(changed)
        self._share()

    def cold_until(self, server_id: str) -> int:
        """When a server will be warm. After an evacuation of its zone it may be cold before it says so."""
        until = self.view.cold_until(server_id)
        if self.returned:
            record = self.view.servers.get(server_id)
            if record is not None:
                until = max(until, self.returned.get(record.zone, 0))
        return until

    def close(self) -> None:
        """Stops following changes of the configuration and servers; open calls go on."""
        self.closed = True

    def _read_all(self) -> None:
        records = self.view.by_service.of(self.service).values()
        self.records = {number_of(record.id): record for record in records}
        usable = {number: r for number, r in self.records.items() if self._usable(r)}
        self.site.locations = {number: self._place(record) for number, record in usable.items()}
        entries = {number: self._entry(number, record) for number, record in sorted(usable.items())}
        if entries != self.listed:
            self.listed = entries
            self.host.server_list(ListKind.FULL, tuple(entries.values()))

    def _read_changes(self, server_ids: Iterable[str]) -> None:
        """Applies changes of some servers; its running time does not depend on the number of all servers."""
        known = self.view.by_service.of(self.service)
        changes = [self._read_one(number_of(server_id), known.get(server_id)) for server_id in server_ids]
        entries = tuple([entry for entry in changes if entry is not None])
        if entries:
            self.host.server_list(ListKind.CHANGES, entries)

    def _read_one(self, number: int, record: ServerRecord | None) -> ServerEntry | None:
        """Applies the state of one server; returns the entry for the balancer, None if it is unchanged."""
        if record is None:
            self.records.pop(number, None)
        else:
            self.records[number] = record
        if record is None or not self._usable(record):
            self.site.locations.pop(number, None)
            listed = self.listed.pop(number, None)
            return replace(listed, state=State.GONE) if listed is not None else None
        self.site.locations[number] = self._place(record)
        entry = self._entry(number, record)
        if self.listed.get(number) == entry:
            return None
        self.listed[number] = entry
        return entry

    def _module(self, settings: Settings, seed: int, actions: Actions) -> PromptBalancer:
        return PromptBalancer(
            settings, seed, actions, self.site, self._traits_of, self.cold, self.budget, self.announcer
        )

    def _traits_of(self, request: int) -> CallTraits | None:
        call = self.host.calls.get(request)
        return call.current_traits() if isinstance(call, PoolCall) else None

    def _class_of(self, traits: CallTraits) -> int:
        shape = shape_of(traits)
        number = self.classes.find(shape)
        if number is None:
            number = self.classes.add(shape)
            add_class(self.balancer, shape.settings())
            self.host.settings = self.balancer.settings
        return number

    def _usable(self, record: ServerRecord) -> bool:
        return record.state is ServerState.READY and record.zone not in self.view.evacuated

    def _place(self, record: ServerRecord) -> ServerLocation:
        region = self.region(record)
        return ServerLocation(record.id, record.zone, region, record.slots, self.view.ends_at(record.id))

    def _entry(self, number: int, record: ServerRecord) -> ServerEntry:
        zone = numbered(self.zones, record.zone)
        region = numbered(self.region_numbers, self.region(record))
        return ServerEntry(number, zone=zone, kind=region)

    def _share(self) -> None:
        self.site.gateways_known = self.view.gateways_known
        gateways = max(1, self.view.gateways)
        if gateways != self.site.gateways:
            self.site.gateways = gateways
            self.host.set_instances(gateways)

    def _update_returned_zones(self) -> None:
        now = self.clock.now()
        until = now + int(BEATS_AFTER_RETURN * self.platform.heartbeat_ms * US_PER_MS)
        self.returned = {zone: at for zone, at in self.returned.items() if at > now}
        for zone in self.evacuated - self.view.evacuated:
            self.returned[zone] = until
        self.evacuated = self.view.evacuated

    def _read_service(self) -> None:
        """Applies the configuration of the service; a removed service keeps its last configuration."""
        service = self._configured()
        if service is None:
            return
        again = int(self.platform.bounds.again_s * US_PER_S)
        self.site.reread_window = again or None  # 0 means no time limit: every repeated prefill has a price
        self.site.kv_tokens = service.engine.kv_tokens if service.engine is not None else 0
        bounds = self.platform.bounds
        bound = None
        if service.cold_per_s > 0:
            bound = ColdBound(service.cold_per_s, bounds.cold_overshoot, bounds.cold_slack)
        self.cold.bound = bound

    def _configured(self) -> Service | None:
        if self.view.configuration is None:
            return None
        for service in self.view.configuration.services:
            if service.name == self.service:
                return service
        return None


def _budget_bound(platform: Platform) -> BudgetBound:
    bounds = platform.bounds
    window = int(bounds.budget_window_s * US_PER_S)
    return BudgetBound(bounds.retry_budget_ratio, bounds.budget_slack, window)


def _settings(platform: Platform, zones: dict[str, int], regions: dict[str, int]) -> Settings:
    numbered(regions, platform.region)
    return Settings(
        classes=(FIRST_SHAPE.settings(),),
        zone=numbered(zones, platform.zone),
        index=number_of(platform.node_name) % INDEXES,
        max_attempts=MAX_ATTEMPTS,
        cancel=True,
        retry_after=True,
        max_retry_after=MAX_RETRY_AFTER,
        cross_zone_price=ZONE_PRICE,
    )
