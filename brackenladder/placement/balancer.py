"""The balancer of a gateway's service: Balancer with prefix caches, regions and limits over all gateways.

From Balancer it uses the gradient limit, immediate refusals at the limit with a time to retry after, minRTT
passes, the small subset and ejection. Its additions are in the other modules of this package. A call counts
as in flight for the limit until its first event. The latency given to the limit excludes the round trip and
the prefill, so that a long prompt does not look like overload.
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
from brackenladder.placement.cost import CostModel, Job, new_job
from brackenladder.placement.in_flight import InFlight
from brackenladder.placement.intake import PrefixSeeding
from brackenladder.placement.limit import SlotFloorController
from brackenladder.placement.load import PRESSURE_TIME
from brackenladder.placement.regions import RegionTimes
from brackenladder.placement.silent_zones import SilentZones
from brackenladder.placement.site import ServiceSite
from brackenladder.placement.traits import CallTraits
from brackenladder.placement.unresponsive import MAX_SUSPECTED
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.ejection import EJECT_TIME
from brackenladder.policy.retry import Request
from brackenladder.policy.server import Server
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.shares.cold_share import ColdShare
from brackenladder.shares.retry_budget import RetryBudget

LEAST_LATENCY = 1_000  # microseconds: the lowest latency sample that is passed to the limit controller
MOST_RANK = 3  # highest rank; classes of rank r leave r times headroom() below the limit unused
SILENT_LEAST = 1_000_000  # least microseconds without any outcome after which a server can count as silent
TRY_PART = 0.5  # part of a call's remaining time that an attempt may take if it can be retried
MAX_UNSENT = 3  # most additional attempts of a call to replace attempts that were never sent

NEVER_SENT = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # outcomes of attempts that did not reach a server
TraitsOf = Callable[[int], CallTraits | None]


class PromptBalancer(Balancer):
    """A Balancer for LLM prompts. `traits_of` returns the present CallTraits of an open call by its id."""

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
        self.slot_controller = SlotFloorController(known.allowance, known.ceiling, self.rng, 0)
        self.controller = self.slot_controller
        self.site = site
        self.traits_of = traits_of
        self.cold = cold
        self.budget = budget
        self.costs = CostModel(site)
        self.chooser = Chooser(site, self.costs, self.rng)
        self.seeding = PrefixSeeding(site, self.costs, number_of(cold.gateway))
        self.regions = RegionTimes()
        self.zones = SilentZones()
        self.jobs: dict[int, Job] = {}
        self.in_flight = InFlight(site, self.costs, self.zones, announcer)
        self.adopted = AdoptedServers()

    # ---- events ---------------------------------------------------------------------------------------

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        super().server_list(now, kind, entries)
        listed = [server for server in self.servers.values() if server.in_list]
        self.site.update_regions(listed)
        self.seeding.set_servers(now, [server.id for server in listed])
        self.costs.loads.forget(set(self.servers))
        self.cold.forget(now)
        self.in_flight.forget_lost_streams(now)

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        """A new request. If it has `repeat` or excluded servers, it was sent before and counts as a retry."""
        traits = self.traits_of(request)
        if traits is None:
            self.actions.fail(request)
            return
        job = new_job(traits, {number_of(server) for server in traits.exclude})
        job.may_have_run = sum([number in self.site.locations for number in job.excluded])
        if repeat or job.excluded:
            job.arrived = 1
        else:
            self.budget.request(now)
        if 0 < self.site.kv_tokens < job.tokens or job.may_have_run >= traits.route.max_attempts:
            self.blocked += 1
            self.actions.refuse(request, self.settings.max_retry_after)
            return
        self.jobs[request] = job
        self.seeding.record_request(now, job)
        self.in_flight.report_unanswered_calls(now)
        self.slot_controller.free_slots = self.free_slots(now)
        super().request(now, request, klass, tenant, time_left, repeat)
        self.forget_job(request)

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
        placed = self.in_flight.attempts.get(request)
        job = self.jobs.get(request)
        if placed is not None and job is not None:
            if outcome in NEVER_SENT:
                self.record_unsent(job)
            else:
                job.arrived += 1
            job.may_have_run += outcome not in NEVER_RAN
            self.in_flight.record_outcome(now, placed, outcome, latency)
        super().outcome(now, request, attempt, server, outcome, latency, final, report)
        if placed is not None:
            self.in_flight.remove_attempt(request, placed)
        self.forget_job(request)

    def client_left(self, now: int, request: int) -> None:
        super().client_left(now, request)
        self.forget_job(request)

    def stream_ended(self, now: int, request: int) -> None:
        """Records the end of a stream, which frees its slot and cache memory at the server."""
        self.in_flight.stream_ended(now, request)

    def receive_prefix_notices(self, now: int, notices: Sequence[PrefixNotice]) -> None:
        """Takes in what other gateways report to be cached at servers of this service."""
        self.in_flight.apply_notices(now, notices)

    # ---- admission ------------------------------------------------------------------------------------

    def free_slots(self, now: int) -> float:
        """This gateway's share of the free slots; a server that has just rejected a call has none."""
        loads = self.costs.loads.servers
        slots = 0
        for number, location in self.site.locations.items():
            load = loads.get(number)
            if load is None or now - load.rejected_at >= PRESSURE_TIME:
                slots += location.slots
        return slots / self.site.gateways - len(self.in_flight.streams)

    def rank_classes(self, mean_rtt: Sequence[float]) -> None:
        """Ranks the classes by urgency, 0 the most urgent; higher ranks leave more room below the limit."""
        worths = sorted({c.worth for c in self.settings.classes}, reverse=True)
        self.rank = [min(MOST_RANK, worths.index(c.worth)) for c in self.settings.classes]

    # ---- attempts -------------------------------------------------------------------------------------

    def attempt(self, now: int, req: Request) -> None:
        """Chooses a server and sends the request there, or gives the final answer if there is none."""
        job = self.jobs[req.id]
        job.traits = self.traits_of(req.id) or job.traits
        harmless = req.ran_on is None or req.effect == Effect.SAFE
        choice = self.choose(now, req, job)
        if choice is None and harmless:
            self.refuse_without_server(req)
            return
        if choice is None or self.yields_to_urgent(now, req, choice):
            self.finish(req, refuse=harmless)
            return
        if job.arrived and not self.take_retry(now):
            self.finish(req, refuse=harmless)
            return
        self.start_attempt(now, req, job, choice)

    def refuse_without_server(self, req: Request) -> None:
        """Refuses the call as no server may get it now; the client should retry later, not at once."""
        del self.requests[req.id]
        self.blocked += 1
        aim = self.settings.classes[req.klass].aim
        self.actions.refuse(req.id, min(self.settings.max_retry_after, int(aim)))

    def start_attempt(self, now: int, req: Request, job: Job, choice: Choice) -> None:
        """Starts an attempt at the chosen server."""
        server = choice.server
        if choice.adopt:
            self.adopted.add(server)
            self.update_members(now)
        if self.is_cold(now, server):
            self.cold.take(now, server.id, self.site.gateways, self.site.gateway_names)
        if server.in_flight == 0:
            server.quiet_since = now
        server.in_flight += 1
        if not server.excluded:
            self.controller.track_in_flight(now, 1)
        req.current_server = server
        req.sent_at = now
        req.attempts += 1
        job.excluded.add(server.id)
        base_time = self.base_time(now, req, server)
        queue_time = self.costs.queue_time(now, server, job, base_time)
        self.in_flight.send(now, req.id, job, server.id, choice.uncached_tokens, queue_time)
        self.actions.send(req.id, server.id, self.attempt_timeout(now, req, job, choice))

    def take_retry(self, now: int) -> bool:
        """Takes a retry from this gateway's part of the budget: none before their number is known.

        Otherwise, if all processes start at once, each gateway assumes to be the only one, and together they
        spend the whole budget, or a cold server's whole share, once each.
        """
        return self.site.gateways_known and self.budget.spend(now, self.site.gateways)

    def attempt_timeout(self, now: int, req: Request, job: Job, choice: Choice) -> int:
        """The timeout of an attempt in microseconds; if a retry is possible, it leaves time for it."""
        left = req.useful_until - now
        more = job.may_have_run + 1 < job.traits.route.max_attempts and self.site.size() > 1
        if req.effect == Effect.SAFE and (more or choice.server.excluded):
            half = max(self.settings.tick, int(TRY_PART * left))
            overdue_at = self.in_flight.attempts[req.id].overdue_at
            if not self.site.parameters.quick_retry or not overdue_at:
                return half
            aim = self.settings.classes[req.klass].aim
            return min(half, max(overdue_at - now, int(TRY_PART * aim)))
        return left

    def base_time(self, now: int, req: Request, server: Server) -> float:
        """The expected microseconds of a call in the server's region, without queueing and prefill."""
        region = self.site.locations[server.id].region
        return self.controller.target[req.klass] * self.regions.ratio(now, region)

    def after_failure(self, now: int, req: Request, srv: Server | None, outcome: Outcome) -> None:
        """Retries if class, time, servers and budget allow it, else gives the final answer.

        A call that may have run is retried only if it may run twice, and at no more servers than its route
        allows. Counting rejected attempts, it may be sent to one server more than that; attempts that
        were never sent do not count.
        """
        req.record_failure(srv, outcome)
        job = self.jobs[req.id]
        most = job.traits.route.max_attempts
        if (
            req.repeatable(now, self.settings.classes[req.klass])
            and job.may_have_run < most
            and job.arrived <= most
            and job.unsent <= MAX_UNSENT
            and req.attempts < self.settings.max_attempts
            and now + self.mean_rtt[req.klass] < req.useful_until
        ):
            self.attempt(now, req)
            return
        self.finish(req, refuse=req.ran_on is None or req.effect == Effect.SAFE)

    def choose(self, now: int, req: Request, job: Job) -> Choice | None:
        """The server for an attempt: an ejected one whose trial is due, one to seed, or the cheapest one."""
        trial = self.due_trial(now, req, job)
        if trial is not None:
            return Choice(trial, 0.0, self.costs.uncached_tokens(now, trial, job, assigned=False))

        def base_time_at(server: Server) -> float:
            return self.base_time(now, req, server)

        def may_send(server: Server) -> bool:
            return self.may_take(now, server)

        def answers(server: Server) -> bool:
            return self.may_take(now, server) and not self.zones.silent(
                now, self.site.locations[server.id].zone
            )

        def usable(server: Server) -> bool:
            return self.chooser.usable(now, job, server, answers)

        def prepared(server: Server) -> bool:
            return not self.seeding.awaits_seeding(now, server, job) and answers(server)

        to_seed = self.seeding.server_to_seed(now, job, self.site.local, usable, base_time_at)
        if to_seed is not None:
            uncached = self.costs.uncached_tokens(now, to_seed, job, assigned=False)
            return Choice(to_seed, 0.0, uncached, adopt=not to_seed.member)
        suspected = self.suspected(now)
        if suspected:

            def trusted(server: Server) -> bool:
                return server.id not in suspected and prepared(server)

            choice = self.chooser.choose(now, job, base_time_at, trusted)
            if choice is not None:
                return choice
        return self.chooser.choose(now, job, base_time_at, prepared) or self.chooser.choose(
            now, job, base_time_at, may_send
        )

    def suspected(self, now: int) -> frozenset[int]:
        """Servers to avoid because calls there were unanswered; none if more than MAX_SUSPECTED of all."""
        least = self.site.parameters.doubt_weight
        if not least:
            return frozenset()
        suspected = self.in_flight.suspicions.suspected(now, least)
        return suspected if len(suspected) <= MAX_SUSPECTED * len(self.site.locations) else frozenset()

    def due_trial(self, now: int, req: Request, job: Job) -> Server | None:
        """An ejected server whose trial is due.

        A trial that has been due for EJECT_TIME may use any request. Otherwise an ejected server of a service
        without retryable requests never gets a trial.
        """
        if not self.ejected or now < self.next_trial:
            return None
        delay = 0 if req.effect == Effect.SAFE else EJECT_TIME
        near = any(self.chooser.allows(job, server) for server in self.site.local)

        def may_try(now: int, server: Server) -> bool:
            if now < server.trial_at + delay or not self.chooser.allows(job, server):
                return False
            remote = self.site.locations[server.id].region != self.site.region
            return not (near and remote) and not self.is_cold(now, server)

        return self.start_trial(now, may_try)

    def yields_to_urgent(self, now: int, req: Request, choice: Choice) -> bool:
        """Whether to refuse a less urgent call, at random, as the chosen server has just rejected a call."""
        rank = self.rank[req.klass]
        load = self.costs.loads.servers.get(choice.server.id)
        if rank == 0 or load is None:
            return False
        return self.rng.random() < load.rejection_pressure(now) * rank / (rank + 1)

    # ---- servers --------------------------------------------------------------------------------------

    def is_cold(self, now: int, server: Server) -> bool:
        """Whether the server is still warming up, so that this gateway may send it few calls only."""
        location = self.site.locations.get(server.id)
        return location is not None and self.site.cold_until(location.id) > now

    def may_take(self, now: int, server: Server) -> bool:
        """Whether the server answers, and is warm or may get one more call of this gateway while cold."""
        if self.eject_if_silent(now, server, min(self.mean_rtt)):
            return False
        if not self.is_cold(now, server):
            return True
        if not self.site.gateways_known and self.cold.bound is not None:
            return False
        return self.cold.allows(now, server.id, self.site.gateways, self.site.gateway_names)

    def eject_if_silent(self, now: int, srv: Server, least: float) -> bool:
        """Like Balancer, but a server may be silent for as long as the prefills in progress take."""
        load = self.costs.loads.servers.get(srv.id)
        prefill_time = self.costs.prefill.time(load.pending_prefill) if load is not None else 0.0
        if srv.in_flight and now - srv.quiet_since < SILENT_LEAST + prefill_time:
            return srv.ejected
        location = self.site.locations.get(srv.id)
        if srv.in_flight and location is not None:
            self.zones.unanswered(now, location.zone, srv.id)
        return super().eject_if_silent(now, srv, least)

    def select_members(self) -> None:
        """Selects as members this gateway's slice of the servers, and those that have its prompts cached."""
        super().select_members()
        self.adopted.add_to_members(self.members, self.servers)

    # ---- outcomes -------------------------------------------------------------------------------------

    def record_end(self, now: int, srv: Server, req: Request | None, outcome: Outcome, latency: int) -> None:
        """Like Balancer, but with the latency less the prefill and the round trip of the call."""
        placed = self.in_flight.attempts.get(req.id) if req is not None else None
        if placed is not None and req is not None:
            latency = max(LEAST_LATENCY, latency - int(placed.known_cost))
            location = self.site.locations.get(srv.id)
            if outcome in (Outcome.OK, Outcome.TIMEOUT) and location is not None:
                self.regions.record(now, location.region, latency / self.controller.target[req.klass])
        super().record_end(now, srv, req, outcome, latency)

    def record_unsent(self, job: Job) -> None:
        """Counts an attempt that did not reach its server, and gives back the retry that it took, if any."""
        job.unsent += 1
        if job.arrived:
            self.budget.give_back()

    def forget_job(self, request: int) -> None:
        """Drops the job of a call that is finished and has no attempt in flight."""
        if request not in self.requests and request not in self.in_flight.attempts:
            self.jobs.pop(request, None)
