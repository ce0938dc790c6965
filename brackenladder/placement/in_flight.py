"""The calls that this gateway has at servers, from their sending to the end of their streams."""

from __future__ import annotations

from collections.abc import Iterable

from brackenladder.catalog.configuration import RouteKind
from brackenladder.interface import Outcome
from brackenladder.placement.cost import CostModel, Job
from brackenladder.placement.decision_counters import DecisionCounters
from brackenladder.placement.load import Placed
from brackenladder.placement.prefixes import ChainLink
from brackenladder.placement.silent_zones import UNANSWERED_CONNECT, SilentZones
from brackenladder.placement.site import ServiceSite
from brackenladder.placement.unresponsive import (
    LATE_WEIGHT,
    SILENT_TIMES,
    UNANSWERED_WEIGHT,
    DoubtedServers,
    FirstEventTime,
)
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotice

MICROSECONDS_PER_MILLISECOND = 1_000
STREAM_MOST = 600_000_000  # microseconds after which a stream whose end was not told is forgotten

NO_ANSWER = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.TIMEOUT)  # these ends are no word of the server


class InFlight:
    """Books what each server is given and gives back, and has other gateways told of it."""

    def __init__(
        self, site: ServiceSite, costs: CostModel, zones: SilentZones, announcer: PrefixAnnouncer
    ) -> None:
        self._site = site
        self._costs = costs
        self._zones = zones
        self._announcer = announcer
        self.first_event = FirstEventTime()
        self.doubts = DoubtedServers()
        self.counters = DecisionCounters()
        self.out: dict[int, Placed] = {}  # attempts without a first event, by request
        self.streams: dict[int, Placed] = {}  # those that answer

    def send(self, now: int, request: int, job: Job, server: int, unread: float, waiting: float) -> None:
        """A call goes to a server that has to read so many tokens for it, after a wait of microseconds."""
        place = self._site.places[server]
        placed = Placed(
            request=request,
            server=server,
            chain=job.chain,
            unread=unread,
            tokens=job.tokens,
            output_tokens=job.traits.output_tokens,
            streams=job.traits.route.kind is RouteKind.STREAMING,
            reading_time=self._costs.prefill.time(unread),
            round_trip=self._costs.round_trip(place),
            target=job.traits.route.target_latency_ms * MICROSECONDS_PER_MILLISECOND,
            expected_queue=waiting,
        )
        if self.first_event.known:
            patience = int(placed.known_cost + waiting + self.first_event.longest)
            placed.overdue_at = now + patience
            placed.silent_at = now + SILENT_TIMES * patience
        self.out[request] = placed
        self._costs.loads.place(placed)
        self._announce(now, job, placed)

    def note_silent(self, now: int) -> None:
        """Has other gateways told of the servers at which calls are unanswered."""
        for placed in self.out.values():
            if 0 < placed.silent_at <= now:
                self._report(now, placed, UNANSWERED_WEIGHT)

    def _report(self, now: int, placed: Placed, weight: int) -> None:
        """A call is late, or unanswered; told once."""
        if placed.silent:
            return
        placed.silent = True
        self.doubts.reported(now, placed.server, weight)
        self._announcer.report_unanswered(placed.server, weight)

    def over(self, request: int, placed: Placed) -> None:
        """The attempt has ended, or answers; another one may be out for the request by now."""
        if self.out.get(request) is placed:
            del self.out[request]

    def stream_ended(self, now: int, request: int) -> None:
        """After a first event: the stream is over, its place and memory are free again."""
        placed = self.streams.pop(request, None)
        if placed is None:
            placed = self.out.get(request)
            if placed is not None:
                placed.over = True
            return
        self._costs.loads.end(placed)
        self._costs.output.add(placed.output_tokens, now - placed.begun_at)

    def book(self, now: int, placed: Placed, outcome: Outcome, latency: int) -> None:
        """Books the load of an attempt that has ended, or begun to answer."""
        loads = self._costs.loads
        load = loads.of(placed.server)
        place = self._site.places.get(placed.server)
        if place is not None and outcome == Outcome.CONNECT_FAILED:
            self._zones.connect_failed(now, place.zone, placed.server, latency)
            if latency >= UNANSWERED_CONNECT:
                self._report(now, placed, UNANSWERED_WEIGHT)
        elif place is not None and outcome not in NO_ANSWER:
            self._zones.answered(place.zone)
        if outcome == Outcome.TIMEOUT and 0 < placed.overdue_at <= now:
            self._report(now, placed, LATE_WEIGHT)
        if outcome == Outcome.REJECTED:
            load.rejected_at = now
        if outcome == Outcome.OK:
            if placed.chain and place is not None:
                self._costs.prefill.add(placed.unread, latency - self._costs.round_trip(place))
            self.counters.answered(placed, latency)
            if placed.streams:
                self.first_event.add(latency - placed.known_cost)
            loads.first_event(placed, now, self._site.kv_tokens)
            if placed.streams and not placed.over:
                self.streams[placed.request] = placed
                return
        else:
            self.counters.unanswered(placed)
        loads.end(placed)

    def apply_notices(self, now: int, notices: Iterable[PrefixNotice]) -> None:
        """Other gateways have sent prompts to servers of this service."""
        for notice in notices:
            sent_at = now - notice.age
            if notice.silent:
                self.doubts.reported(sent_at, notice.server, notice.silent)
                continue
            load = self._costs.loads.of(notice.server)
            load.read_for_others(now, sent_at, self._costs.prefill.time(notice.unread))
            if notice.keys:
                links = [ChainLink(*link) for link in zip(notice.keys, notice.tokens, strict=False)]
                load.kept.add(links, self._site.kv_tokens - load.tokens)
                self._costs.holders.used(sent_at, notice.keys[-1], notice.server)

    def forget_lost_streams(self, now: int) -> None:
        """Ends the streams whose end nobody has told."""
        for request, placed in list(self.streams.items()):
            if now - placed.begun_at > STREAM_MOST:
                del self.streams[request]
                self._costs.loads.end(placed)

    def _announce(self, now: int, job: Job, placed: Placed) -> None:
        """Notes what the server keeps from now on, and has other gateways told where it matters to them."""
        shared = job.chain[:-1]
        if shared:
            load = self._costs.loads.of(placed.server)
            load.kept.add(shared, self._site.kv_tokens - load.tokens)
            self._costs.holders.used(now, shared[-1].key, placed.server)
        keys = [link.key for link in shared]
        tokens = [link.tokens for link in shared]
        self._announcer.record_placement(now, placed.server, keys, tokens, int(placed.unread))
