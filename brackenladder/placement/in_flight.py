"""The calls of this gateway that are in progress, from sending them to the end of their streams."""

from __future__ import annotations

from collections.abc import Iterable

from brackenladder.catalog.configuration import RouteKind
from brackenladder.interface import Outcome
from brackenladder.placement.cost import CostModel, Job
from brackenladder.placement.decision_counters import DecisionCounters
from brackenladder.placement.load import PlacedCall
from brackenladder.placement.prefixes import ChainLink
from brackenladder.placement.silent_zones import UNANSWERED_CONNECT, SilentZones
from brackenladder.placement.site import ServiceSite
from brackenladder.placement.unresponsive import (
    LATE_WEIGHT,
    UNANSWERED_FACTOR,
    UNANSWERED_WEIGHT,
    FirstEventTime,
    SuspectedServers,
)
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotice

MICROSECONDS_PER_MILLISECOND = 1_000
MAX_STREAM_TIME = 600_000_000  # microseconds after which a stream without a reported end is dropped

UNINFORMATIVE = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.TIMEOUT)  # server may be down


class InFlight:
    """Tracks the load of each server, and queues notices about it for other gateways."""

    def __init__(
        self, site: ServiceSite, costs: CostModel, zones: SilentZones, announcer: PrefixAnnouncer
    ) -> None:
        self._site = site
        self._costs = costs
        self._zones = zones
        self._announcer = announcer
        self.first_event = FirstEventTime()
        self.suspicions = SuspectedServers()
        self.counters = DecisionCounters()
        self.attempts: dict[int, PlacedCall] = {}  # attempts without a first event, by request
        self.streams: dict[int, PlacedCall] = {}  # attempts that are streaming, by request

    def send(
        self, now: int, request: int, job: Job, server: int, uncached_tokens: float, queue_time: float
    ) -> None:
        """Records a call that is sent; `queue_time`: microseconds that it is expected to be queued."""
        location = self._site.locations[server]
        placed = PlacedCall(
            request=request,
            server=server,
            chain=job.chain,
            uncached_tokens=uncached_tokens,
            tokens=job.tokens,
            output_tokens=job.traits.output_tokens,
            streaming=job.traits.route.kind is RouteKind.STREAMING,
            reading_time=self._costs.prefill.time(uncached_tokens),
            round_trip=self._costs.round_trip(location),
            target=job.traits.route.target_latency_ms * MICROSECONDS_PER_MILLISECOND,
            expected_queue=queue_time,
        )
        if self.first_event.known:
            longest_wait = int(placed.known_cost + queue_time + self.first_event.longest)
            placed.overdue_at = now + longest_wait
            placed.unanswered_at = now + UNANSWERED_FACTOR * longest_wait
        self.attempts[request] = placed
        self._costs.loads.add(placed)
        self._announce(now, job, placed)

    def report_unanswered_calls(self, now: int) -> None:
        """Tells other gateways which servers have left calls of this gateway unanswered."""
        for placed in self.attempts.values():
            if 0 < placed.unanswered_at <= now:
                self._report(now, placed, UNANSWERED_WEIGHT)

    def _report(self, now: int, placed: PlacedCall, weight: int) -> None:
        """Reports a late or unanswered call, only once per call, here and to other gateways."""
        if placed.reported:
            return
        placed.reported = True
        self.suspicions.record_report(now, placed.server, weight)
        self._announcer.report_unanswered(placed.server, weight)

    def remove_attempt(self, request: int, placed: PlacedCall) -> None:
        """Removes an attempt that has ended or been answered, unless another one has replaced it."""
        if self.attempts.get(request) is placed:
            del self.attempts[request]

    def stream_ended(self, now: int, request: int) -> None:
        """Records the end of a stream, which frees its slot and cache memory at the server."""
        placed = self.streams.pop(request, None)
        if placed is None:
            placed = self.attempts.get(request)
            if placed is not None:
                placed.stream_over = True
            return
        self._costs.loads.remove(placed)
        self._costs.output.add(placed.output_tokens, now - placed.begun_at)

    def record_outcome(self, now: int, placed: PlacedCall, outcome: Outcome, latency: int) -> None:
        """Updates the loads after an attempt has ended or its first event has arrived."""
        loads = self._costs.loads
        load = loads.of(placed.server)
        location = self._site.locations.get(placed.server)
        if location is not None and outcome == Outcome.CONNECT_FAILED:
            self._zones.connect_failed(now, location.zone, placed.server, latency)
            if latency >= UNANSWERED_CONNECT:
                self._report(now, placed, UNANSWERED_WEIGHT)
        elif location is not None and outcome not in UNINFORMATIVE:
            self._zones.answered(location.zone)
        if outcome == Outcome.TIMEOUT and 0 < placed.overdue_at <= now:
            self._report(now, placed, LATE_WEIGHT)
        if outcome == Outcome.REJECTED:
            load.rejected_at = now
        if outcome == Outcome.OK:
            if placed.chain and location is not None:
                self._costs.prefill.add(placed.uncached_tokens, latency - self._costs.round_trip(location))
            self.counters.answered(placed, latency)
            if placed.streaming:
                self.first_event.add(latency - placed.known_cost)
            loads.first_event(placed, now, self._site.kv_tokens)
            if placed.streaming and not placed.stream_over:
                self.streams[placed.request] = placed
                return
        else:
            self.counters.unanswered(placed)
        loads.remove(placed)

    def apply_notices(self, now: int, notices: Iterable[PrefixNotice]) -> None:
        """Applies notices of other gateways about servers of this service to loads, caches and suspicions."""
        for notice in notices:
            sent_at = now - notice.age
            if notice.unanswered_weight:
                self.suspicions.record_report(sent_at, notice.server, notice.unanswered_weight)
                continue
            load = self._costs.loads.of(notice.server)
            load.add_remote_prefill(now, sent_at, self._costs.prefill.time(notice.uncached_tokens))
            if notice.keys:
                links = [ChainLink(*link) for link in zip(notice.keys, notice.tokens, strict=False)]
                load.cache.add(links, self._site.kv_tokens - load.tokens)
                self._costs.holders.record_use(sent_at, notice.keys[-1], notice.server)

    def forget_lost_streams(self, now: int) -> None:
        """Drops streams older than MAX_STREAM_TIME, whose end was probably lost."""
        for request, placed in list(self.streams.items()):
            if now - placed.begun_at > MAX_STREAM_TIME:
                del self.streams[request]
                self._costs.loads.remove(placed)

    def _announce(self, now: int, job: Job, placed: PlacedCall) -> None:
        """Records what the server will have cached, and queues a notice for other gateways if useful."""
        shared = job.chain[:-1]
        if shared:
            load = self._costs.loads.of(placed.server)
            load.cache.add(shared, self._site.kv_tokens - load.tokens)
            self._costs.holders.record_use(now, shared[-1].key, placed.server)
        keys = [link.key for link in shared]
        tokens = [link.tokens for link in shared]
        self._announcer.record_placement(now, placed.server, keys, tokens, int(placed.uncached_tokens))
