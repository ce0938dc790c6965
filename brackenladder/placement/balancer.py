"""The decision module of a gateway's service: the Balancer, with prompts, regions, homes and shares in view.

What it keeps of the Balancer is the ordinary path: the gradient limit, a refusal at once at the limit with
advice when to come back, minRTT passes, the small subset, ejection. What it adds stands in the modules beside
it. A call is in flight, for the limit, until its first event; the latency that the limit is told leaves out
the way and what the unread tokens of the prompt cost, so that a long prompt is no overload.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brackenladder.core.roster import number_of
from brackenladder.interface import (
    NEVER_RAN,
    Actions,
    Effect,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
)
from brackenladder.placement.adoption import AdoptedServers
from brackenladder.placement.choice import Choice, Chooser
from brackenladder.placement.cost import CostModel, Job, job_of
from brackenladder.placement.in_flight import InFlight
from brackenladder.placement.intake import PrefixIntake
from brackenladder.placement.limit import PlacesController
from brackenladder.placement.load import PRESSED_TIME
from brackenladder.placement.regions import RegionTimes
from brackenladder.placement.silent_zones import SilentZones
from brackenladder.placement.site import ServiceSite
from brackenladder.placement.traits import CallTraits
from brackenladder.placement.unresponsive import MOST_DOUBTED
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.ejection import EJECT_TIME
from brackenladder.policy.retry import Request
from brackenladder.policy.server import Server
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.shares.cold_share import ColdShare
from brackenladder.shares.retry_budget import RetryBudget

LEAST_LATENCY = 1_000  # microseconds that the limit is told at least
MOST_RANK = 3  # headrooms below the limit at which the least urgent are refused
SILENT_LEAST = 1_000_000  # microseconds: a server is not silent sooner
TRY_PART = 0.5  # of the time left that the first try of a call which may be repeated gets
MOST_UNSENT = 3  # further attempts of a call after ones that were never sent

NEVER_SENT = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # these ends are no arrivals at a server
TraitsOf = Callable[[int], CallTraits | None]


class PromptBalancer(Balancer):
    """A Balancer that places prompts. `traits_of` gives the traits of an open call, as of now, by its id."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        actions: Actions,
        site: ServiceSite,
        traits_of: TraitsOf,
        cold: ColdShare,
        budget: RetryBudget,
        announcer: PrefixAnnouncer,
    ) -> None:
        Balancer.__init__(self, settings, seed, actions)
        known = self.controller
        self.places = PlacesController(known.allowance, known.ceiling, self.rng, 0)
        self.controller = self.places
        self.site = site
        self.traits_of = traits_of
        self.cold = cold
        self.budget = budget
        self.costs = CostModel(site)
        self.chooser = Chooser(site, self.costs, self.rng)
        self.intake = PrefixIntake(site, self.costs, number_of(cold.gateway))
        self.regions = RegionTimes()
        self.zones = SilentZones()
        self.jobs: dict[int, Job] = {}
        self.in_flight = InFlight(site, self.costs, self.zones, announcer)
        self.adopted = AdoptedServers()

    # ---- events ---------------------------------------------------------------------------------------

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        super().server_list(now, kind, entries)
        listed = [server for server in self.servers.values() if server.in_list]
        self.site.sort(listed)
        self.intake.listed(now, [server.id for server in listed])
        self.costs.loads.forget(set(self.servers))
        self.cold.forget(now)
        self.in_flight.forget_lost_streams(now)

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        """A request. `repeat`, or excluded servers: it was sent before, and takes from the budget."""
        traits = self.traits_of(request)
        if traits is None:
            self.actions.fail(request)
            return
        job = job_of(traits, {number_of(server) for server in traits.exclude})
        job.ran = sum([number in self.site.places for number in job.excluded])
        if repeat or job.excluded:
            job.arrived = 1
        else:
            self.budget.request(now)
        if 0 < self.site.kv_tokens < job.tokens or job.ran >= traits.route.max_attempts:
            self.blocked += 1
            self.actions.refuse(request, self.settings.max_retry_after)
            return
        self.jobs[request] = job
        self.intake.asked(now, job)
        self.in_flight.note_silent(now)
        self.places.places = self.free_places(now)
        super().request(now, request, klass, tenant, time_left, repeat)
        self.forget(request)

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        placed = self.in_flight.out.get(request)
        job = self.jobs.get(request)
        if placed is not None and job is not None:
            if outcome in NEVER_SENT:
                self.book_unsent(job)
            else:
                job.arrived += 1
            job.ran += outcome not in NEVER_RAN
            self.in_flight.book(now, placed, outcome, latency)
        super().outcome(now, request, attempt, server, outcome, latency, final, report)
        if placed is not None:
            self.in_flight.over(request, placed)
        self.forget(request)

    def client_left(self, now: int, request: int) -> None:
        super().client_left(now, request)
        self.forget(request)

    def stream_ended(self, now: int, request: int) -> None:
        """After a first event: the stream is over, its place and memory are free again."""
        self.in_flight.stream_ended(now, request)

    def receive_prefix_notices(self, now: int, notices: Sequence[PrefixNotice]) -> None:
        """Other gateways have sent prompts to servers of this service."""
        self.in_flight.apply_notices(now, notices)

    # ---- admission ------------------------------------------------------------------------------------

    def free_places(self, now: int) -> float:
        """This gateway's share of the free places; a server that has just turned a call away has none."""
        loads = self.costs.loads.servers
        slots = 0
        for number, place in self.site.places.items():
            load = loads.get(number)
            if load is None or now - load.rejected_at >= PRESSED_TIME:
                slots += place.slots
        return slots / self.site.gateways - len(self.in_flight.streams)

    def rank_classes(self, mean_rtt: Sequence[float]) -> None:
        """The more urgent a class, the lower its rank: the others leave room for it below the limit."""
        worths = sorted({c.worth for c in self.settings.classes}, reverse=True)
        self.rank = [min(MOST_RANK, worths.index(c.worth)) for c in self.settings.classes]

    # ---- attempts -------------------------------------------------------------------------------------

    def attempt(self, now: int, r: Request) -> None:
        """Sends the request to the server chosen for it, or answers it when there is none."""
        job = self.jobs[r.id]
        job.traits = self.traits_of(r.id) or job.traits
        harmless = r.ran_on is None or r.effect == Effect.SAFE
        choice = self.choose(now, r, job)
        if choice is None and harmless:
            self.refuse_for_lack(r)
            return
        if choice is None or self.gives_way(now, r, choice):
            self.finish(r, refuse=harmless)
            return
        if job.arrived and not self.may_repeat(now):
            self.finish(r, refuse=harmless)
            return
        self.go(now, r, job, choice)

    def refuse_for_lack(self, r: Request) -> None:
        """No server may take the call now: it is to come back when one may, not at once."""
        del self.requests[r.id]
        self.blocked += 1
        aim = self.settings.classes[r.klass].aim
        self.actions.refuse(r.id, min(self.settings.max_retry_after, int(aim)))

    def go(self, now: int, r: Request, job: Job, choice: Choice) -> None:
        """The attempt begins."""
        server = choice.server
        if choice.adopt:
            self.adopted.add(server)
            self.refill(now)
        if self.is_cold(now, server):
            self.cold.take(now, server.id, self.site.gateways, self.site.gateway_names)
        if server.in_flight == 0:
            server.quiet_since = now
        server.in_flight += 1
        if not server.aside:
            self.controller.note(now, 1)
        r.out = server
        r.sent_at = now
        r.attempts += 1
        job.excluded.add(server.id)
        own = self.own_time(now, r, server)
        waiting = self.costs.queue(now, server, job, own)
        self.in_flight.send(now, r.id, job, server.id, choice.unread, waiting)
        self.actions.send(r.id, server.id, self.time_for(now, r, job, choice))

    def may_repeat(self, now: int) -> bool:
        """Takes a repeat from this gateway's part of the budget; there is none until the part is known.

        Failure prevented: all processes start at once, each gateway takes itself for the only one, and all
        together spend the budget, or a cold server's share, as many times over.
        """
        return self.site.gateways_known and self.budget.spend(now, self.site.gateways)

    def time_for(self, now: int, r: Request, job: Job, choice: Choice) -> int:
        """How long an attempt may take. One that may be repeated elsewhere leaves time for that."""
        left = r.useful_until - now
        more = job.ran + 1 < job.traits.route.max_attempts and self.site.size() > 1
        if r.effect == Effect.SAFE and (more or choice.server.aside):
            half = max(self.settings.tick, int(TRY_PART * left))
            overdue_at = self.in_flight.out[r.id].overdue_at
            if not self.site.parameters.quick_retry or not overdue_at:
                return half
            aim = self.settings.classes[r.klass].aim
            return min(half, max(overdue_at - now, int(TRY_PART * aim)))
        return left

    def own_time(self, now: int, r: Request, server: Server) -> float:
        """What a call takes by itself, in microseconds, in the server's region."""
        region = self.site.places[server.id].region
        return self.controller.target[r.klass] * self.regions.ratio(now, region)

    def after_failure(self, now: int, r: Request, srv: Server | None, outcome: Outcome) -> None:
        """A further attempt where class, time, servers and budget allow it; a final answer otherwise.

        A call that may have run is repeated only if it may run again, and on no more servers than its route
        allows. One that was turned away may go to one server more, one that was never sent to any.
        """
        r.may_have_run(srv, outcome)
        job = self.jobs[r.id]
        most = job.traits.route.max_attempts
        if (
            r.repeatable(now, self.settings.classes[r.klass])
            and job.ran < most
            and job.arrived <= most
            and job.unsent <= MOST_UNSENT
            and r.attempts < self.settings.max_attempts
            and now + self.mean_rtt[r.klass] < r.useful_until
        ):
            self.attempt(now, r)
            return
        self.finish(r, refuse=r.ran_on is None or r.effect == Effect.SAFE)

    def choose(self, now: int, r: Request, job: Job) -> Choice | None:
        """The trial of a server that was set aside, or the cheaper of two draws."""
        trial = self.due_trial(now, r, job)
        if trial is not None:
            return Choice(trial, 0.0, self.costs.unread(now, trial, job, own_server=False))

        def base(server: Server) -> float:
            return self.own_time(now, r, server)

        def may_send(server: Server) -> bool:
            return self.may_take(now, server)

        def answers(server: Server) -> bool:
            return self.may_take(now, server) and not self.zones.silent(now, self.site.places[server.id].zone)

        def able(server: Server) -> bool:
            return self.chooser.usable(now, job, server, answers)

        def prepared(server: Server) -> bool:
            return not self.intake.awaits_carrier(now, server, job) and answers(server)

        carrier = self.intake.carrier_for(now, job, self.site.local, able, base)
        if carrier is not None:
            unread = self.costs.unread(now, carrier, job, own_server=False)
            return Choice(carrier, 0.0, unread, adopt=not carrier.member)
        doubted = self.doubted(now)
        if doubted:

            def trusted(server: Server) -> bool:
                return server.id not in doubted and prepared(server)

            choice = self.chooser.choose(now, job, base, trusted)
            if choice is not None:
                return choice
        return self.chooser.choose(now, job, base, prepared) or self.chooser.choose(now, job, base, may_send)

    def doubted(self, now: int) -> frozenset[int]:
        """Servers that had better get nothing for a moment; none where so many are that it tells nothing."""
        least = self.site.parameters.doubt_weight
        if not least:
            return frozenset()
        doubted = self.in_flight.doubts.doubted(now, least)
        return doubted if len(doubted) <= MOST_DOUBTED * len(self.site.places) else frozenset()

    def due_trial(self, now: int, r: Request, job: Job) -> Server | None:
        """An ejected server whose trial is due.

        Failure prevented: a service has no requests that may be repeated, and what was set aside stays
        so: after some time any request is a trial.
        """
        if not self.ejected or now < self.next_trial:
            return None
        patience = 0 if r.effect == Effect.SAFE else EJECT_TIME
        near = any(self.chooser.allows(job, server) for server in self.site.local)

        def may_try(now: int, server: Server) -> bool:
            if now < server.trial_at + patience or not self.chooser.allows(job, server):
                return False
            away = self.site.places[server.id].region != self.site.region
            return not (near and away) and not self.is_cold(now, server)

        return self.trial(now, may_try)

    def gives_way(self, now: int, r: Request, choice: Choice) -> bool:
        """Whether a less urgent call is refused since the best server has just turned calls away."""
        rank = self.rank[r.klass]
        load = self.costs.loads.servers.get(choice.server.id)
        if rank == 0 or load is None:
            return False
        return self.rng.random() < load.pressed(now) * rank / (rank + 1)

    # ---- servers --------------------------------------------------------------------------------------

    def is_cold(self, now: int, server: Server) -> bool:
        """Whether the server is cold and takes its share only."""
        place = self.site.places.get(server.id)
        return place is not None and self.site.cold_until(place.id) > now

    def may_take(self, now: int, server: Server) -> bool:
        """Whether the server answers, and whether it is warm or its cold share has room."""
        if self.is_silent(now, server, min(self.mean_rtt)):
            return False
        if not self.is_cold(now, server):
            return True
        if not self.site.gateways_known and self.cold.bound is not None:
            return False
        return self.cold.allows(now, server.id, self.site.gateways, self.site.gateway_names)

    def is_silent(self, now: int, srv: Server, least: float) -> bool:
        """As the Balancer has it, but what the server still reads is no silence."""
        load = self.costs.loads.servers.get(srv.id)
        reading = self.costs.prefill.time(load.unread) if load is not None else 0.0
        if srv.in_flight and now - srv.quiet_since < SILENT_LEAST + reading:
            return srv.ejected
        place = self.site.places.get(srv.id)
        if srv.in_flight and place is not None:
            self.zones.unanswered(now, place.zone, srv.id)
        return super().is_silent(now, srv, least)

    def take_members(self) -> None:
        """This copy's stretch of the shuffle, and the servers that keep its prompts."""
        super().take_members()
        self.adopted.join(self.members, self.servers)

    # ---- ends -----------------------------------------------------------------------------------------

    def settle(self, now: int, srv: Server, r: Request | None, outcome: Outcome, latency: int) -> None:
        """Books an attempt's end with its latency less what is known not to be load."""
        placed = self.in_flight.out.get(r.id) if r is not None else None
        if placed is not None and r is not None:
            latency = max(LEAST_LATENCY, latency - int(placed.known_cost))
            place = self.site.places.get(srv.id)
            if outcome in (Outcome.OK, Outcome.TIMEOUT) and place is not None:
                self.regions.heard(now, place.region, latency / self.controller.target[r.klass])
        super().settle(now, srv, r, outcome, latency)

    def book_unsent(self, job: Job) -> None:
        """The attempt never reached its server: what it took of the budget is given back."""
        job.unsent += 1
        if job.arrived:
            self.budget.give_back()

    def forget(self, request: int) -> None:
        """Drops the job of a call for which nothing is out and nothing is owed."""
        if request not in self.requests and request not in self.in_flight.out:
            self.jobs.pop(request, None)
