"""The Balancer: handles the events of one node and combines the decisions of the other modules.

A call is first checked against the limit of the gradient controller: at the limit it is refused, or queued
if the caller is itself a server. Then two members of this node's small subset are drawn at random, slow ones
less often, and the one with less of this node's work in flight, in expected time, takes the call. A call is
refused at the limit, over its tenant's quota while latency is high, or if no server can take it. It is
retried only if its class, the time left, the retry budget and, if keyed, its Group allow it. docs/design.md
says what was taken over from the published filter, what was changed and why. Times are microseconds.
"""

from collections import deque
from collections.abc import Sequence
from random import Random

from brackenladder.interface import (
    NEVER_RAN,
    Actions,
    Effect,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
)

from .ejection import CONNECT_FAILED, REJECTED, TIMEOUT, Ejection
from .limit import AIM_SHARE, WINDOW, GradientController
from .load_shedding import LoadShedding
from .retry import Request, Retries, same_group
from .server import SMOOTH_ALL, LatencyEstimates, Server
from .slow_start import SlowStart
from .subset import Subset

UNINFORMATIVE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # outcomes that say nothing about the server
# Module constants, because enum members are slow to look up and these are needed for every request.
OK, RESET = Outcome.OK, Outcome.RESET
KEYED, UNSAFE = Effect.KEYED, Effect.UNSAFE
OUTLIER = 2.0  # the limit ignores latencies of members this many times slower than their kind of machine
OVERLOAD_LOSS = 0.15  # if the subset fails a larger share of calls, failures count as overload
SILENT_FACTOR = 4  # a member with calls in flight is silent after this many mean round trips with no outcome
PICK_TRIES = 10  # a random draw rejects at most this many members for being slow

TIMER_LIST, TIMER_QUEUED = 1, 2  # kinds of timers, stored in the top byte of the token
TOKEN_BITS = 56


class Balancer(LatencyEstimates, Subset, Ejection, SlowStart, LoadShedding, Retries):
    """The decisions of one node, from its own traffic only.

    Each base class makes one kind of decision, from its own state and the arguments of its methods.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        s = settings
        self.actions = actions
        self.rng = Random(seed)
        share = AIM_SHARE * (s.tiers - s.tier) / s.tiers
        LatencyEstimates.__init__(self, [c.aim * share / 2 for c in s.classes])
        Subset.__init__(self, s)
        Ejection.__init__(self, self.rng)
        SlowStart.__init__(self, s)
        LoadShedding.__init__(self, s, self.rng)
        Retries.__init__(self)
        self.controller = GradientController([int(c.aim * share) for c in s.classes], s.max_open, self.rng, 0)
        self.servers: dict[int, Server] = {}
        self.draining: list[Server] = []  # no longer listed, kept until their last call has ended
        self.requests: dict[int, Request] = {}
        self.waiting: deque[Request] = deque()
        self.window_at = 0
        self.list_failures = 0
        self.blocked = 0  # requests refused by this node (statistic rq_blocked)
        self.rank_classes(self.mean_rtt)

    def start(self, now: int) -> None:
        self.controller.start_pass(now)
        self.window_at = now
        for t in self.tenants:
            t.at = now
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        if kind == ListKind.FAILED:
            # Only a requested list can fail. The next request is jittered and well within `list_ask_within`.
            self.list_failures += 1
            base = max(self.settings.tick, self.settings.list_ask_within // 20)
            delay = min(base << min(self.list_failures - 1, 3), max(base, self.settings.list_ask_within // 4))
            self.actions.set_timer(int(delay * (0.5 + self.rng.random())), TIMER_LIST << TOKEN_BITS)
            return
        if kind != ListKind.CACHED:
            self.list_failures = 0
        latest = {e.server: e for e in entries}  # the last entry if there are several
        if kind != ListKind.CHANGES:
            for server in self.servers.values():
                if server.in_list and server.id not in latest:
                    self.remove_server(server)
        for entry in latest.values():
            known = self.servers.get(entry.server)
            if entry.state != State.READY:
                if known is not None:
                    self.remove_server(known)
                continue
            if known is None:
                known = self.servers[entry.server] = self.new_server(entry)
            elif known.ready_at != entry.ready_at:
                if known.ejected:
                    self.readmit(known)
                known.renew(entry)
            if known.in_list and known.zone != entry.zone:
                self.remove(known)
            known.cell, known.zone = entry.cell, entry.zone
            if not known.in_list:
                self.insert(known)
            known.share, known.pool_fraction = entry.share, 1 / entry.pools
            self.weighted |= entry.share != 1
            self.start_warming(now, known, entry.ready_at)
        self.delete_drained()
        self.update_members(now)

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        s = self.settings
        # Otherwise a request of an unknown class would be retried by the rules of another class.
        known = klass < len(s.classes)
        klass = min(klass, len(s.classes) - 1)
        c = s.classes[klass]
        useful = time_left
        if c.late_worth <= 0 and c.aim - 2 * s.tick < useful:
            # An answer after its latency target (`aim`) has no worth here, so no attempt may run longer.
            useful = max(s.tick, c.aim - 2 * s.tick)
        req = Request(request, klass, c.effect if known else Effect.UNSAFE, now + useful)
        self.requests[request] = req
        ctl = self.controller
        self.earn(ctl.limit)
        if self.resize_needed(ctl.in_flight):
            self.update_members(now)
        if s.tier == 0:
            # Trunk reservation: classes of low worth leave one headroom (sqrt(limit)) free for the others;
            # tenants over quota leave two.
            over, clear = self.over_share(now, tenant)
            spare = self.rank[klass] + 2 * over
            if clear and self.rng.random() < self.shed or not ctl.admits(now, spare):
                self.blocked += 1
                self.finish(req, refuse=True)
                return
        elif not ctl.admits(now, 0):
            self.enqueue(now, req)
            return
        self.attempt(now, req)

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
        srv = self.servers.get(server)
        req = self.requests.get(request)
        if srv is not None and srv.in_flight > 0:
            self.record_end(now, srv, req, outcome, latency)
        if req is not None and req.current_server is not None and attempt == req.attempts - 1:
            req.current_server = None
            if final or outcome == OK:
                del self.requests[request]
            elif req.answering:
                self.finish(req, refuse=False)
            else:
                self.after_failure(now, req, srv, outcome)
        if self.waiting:
            self.dispatch_waiting(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        req = self.requests.get(request)
        if req is not None:
            req.answering = True

    def client_left(self, now: int, request: int) -> None:
        req = self.requests.pop(request, None)
        if req is not None and req.current_server is not None and self.settings.cancel and not req.answering:
            self.actions.cancel(request, req.attempts - 1)

    def probed(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Not used: trials of ejected servers are real calls."""

    def timer(self, now: int, token: int) -> None:
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_LIST:
            self.actions.watch(True)
        elif kind == TIMER_QUEUED:
            req = self.requests.get(value)
            if req is not None and req.queued:
                req.queued = False
                self.blocked += 1
                self.finish(req, refuse=True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic only."""

    def stats(self) -> dict[str, float]:
        """Statistics, by the names that the published filter (docs/design.md) uses, as far as it has them."""
        c = self.controller
        return {
            "concurrency_limit": c.effective_limit(),
            "gradient": c.gradient,
            "burst_queue_size": c.headroom(),
            "min_rtt_msecs": max(c.min_rtt) / 1000,
            "sample_rtt_ratio": c.sample_rtt,
            "rq_blocked": self.blocked,
            "min_rtt_calculation_active": float(c.in_pass),
            "in_flight": c.in_flight,
            "members": len(self.members),
            "ejected": len(self.ejected),
            "spill": self.spill,
            "shed": self.shed,
            "lost": c.lost,
        }

    def attempt(self, now: int, req: Request) -> None:
        """Draws a server and sends the request there, or gives the final answer if there is none."""
        srv = self.draw(now, req)
        if srv is None:
            self.finish(req, refuse=req.ran_on is None)
            return
        timeout = req.useful_until - now
        if srv.excluded and req.effect != UNSAFE:
            # The trial of an ejected server must leave time for an attempt at another server.
            timeout = min(timeout, max(self.settings.tick, int(SILENT_FACTOR * self.mean_rtt[req.klass])))
        if srv.in_flight == 0:
            srv.quiet_since = now
        srv.in_flight += 1
        if not srv.excluded:
            self.controller.track_in_flight(now, 1)
        if srv.cold_until <= now:
            self.warm_sent += 1
        req.current_server = srv
        req.sent_at = now
        req.attempts += 1
        self.actions.send(req.id, srv.id, timeout)

    def after_failure(self, now: int, req: Request, srv: Server | None, outcome: Outcome) -> None:
        """Retries if class, time, retry budget and attempt limit allow it, else gives the final answer."""
        s = self.settings
        req.record_failure(srv, outcome)
        if (
            req.repeatable(now, s.classes[req.klass])
            and req.attempts < s.max_attempts
            and now + self.mean_rtt[req.klass] < req.useful_until
            and self.spend(outcome)
        ):
            self.attempt(now, req)
            return
        self.finish(req, refuse=req.ran_on is None or req.effect == Effect.SAFE)

    def finish(self, req: Request, refuse: bool) -> None:
        """Gives the final answer: `refuse` only if a retry is known to be harmless, else `fail`."""
        del self.requests[req.id]
        s = self.settings
        if refuse:
            after = min(s.max_retry_after, int(s.classes[req.klass].aim / 8)) if s.retry_after else 0
            self.actions.refuse(req.id, after)
        else:
            self.actions.fail(req.id)

    def enqueue(self, now: int, req: Request) -> None:
        """Queues a call until the limit admits it, for up to half of its time left; up to `limit` calls wait.

        Below the first tier a refusal would waste the work that the tiers above have already done.
        """
        if not self.eligible or len(self.waiting) >= self.controller.limit:
            self.blocked += 1
            self.finish(req, refuse=True)
            return
        req.queued = True
        self.waiting.append(req)
        self.actions.set_timer(max(1, (req.useful_until - now) // 2), TIMER_QUEUED << TOKEN_BITS | req.id)

    def dispatch_waiting(self, now: int) -> None:
        waiting = self.waiting
        while waiting and (not waiting[0].queued or self.controller.admits(now, 0)):
            req = waiting.popleft()
            if req.queued and req.id in self.requests:
                req.queued = False
                self.attempt(now, req)

    def record_end(self, now: int, srv: Server, req: Request | None, outcome: Outcome, latency: int) -> None:
        """Updates calls in flight, latency samples, the server's averages and ejection after an attempt."""
        srv.in_flight -= 1
        ctl = self.controller
        if not srv.excluded:
            ctl.track_in_flight(now, -1)
        srv.quiet_since = now
        if srv.cold_until <= now and (outcome in NEVER_RAN or outcome == RESET):
            # Only calls that the server accepted count. Otherwise, if a server that rejects or resets most
            # calls restarts, its slow-start share, derived from all calls sent, overloads it.
            self.warm_sent -= 1
        if outcome in UNINFORMATIVE:
            # Otherwise no other trial ever starts if a client disconnects during one.
            srv.trial_in_flight = False
            return
        ok = outcome == OK
        if req is not None and (ok or outcome == TIMEOUT):
            klass = req.klass
            if srv.latency_ratio.value < OUTLIER and not srv.ejected:
                ctl.sample(now, klass, latency)
            ratio = latency / ctl.target[klass]
            self.record_latency(srv, klass, latency)
            self.record_zone_ratio(srv.zone, ratio)
            self.update_shed(ratio)
            if now - self.window_at >= WINDOW:
                self.end_window(now)
        failure = 0.0 if ok or outcome in (TIMEOUT, REJECTED) else 1.0
        self.record_result(srv, failure)
        # Otherwise, if a zone is lost, its failed connects, which are no load on any server, lower the limit
        # for the servers that are left.
        if not srv.ejected and outcome not in (REJECTED, CONNECT_FAILED):
            ctl.lost += SMOOTH_ALL * ((0.0 if ok else 1.0) - ctl.lost)
            if failure and req is not None and ctl.lost > OVERLOAD_LOSS:
                # Otherwise, if lower tiers have lost servers, most calls do work and then fail, and the limit
                # stays, since errors add no samples. Fewer errors are no sign of load (idle servers may
                # return them too), but two among a dozen calls would set a window's p90 and halve the limit.
                ctl.failure(now, req.klass)
        if ok:
            srv.fails_in_row = 0
            if srv.ejected and (srv.trial_in_flight or srv.silent):
                self.readmit(srv)
        else:
            cause = self.ejection_cause(srv, outcome)
            if cause is not None:
                self.eject(now, srv, silent=cause[0], unreachable=cause[1])
        srv.trial_in_flight = False

    def end_window(self, now: int) -> None:
        """Updates the rate of warm members, class ranks and the share of calls that leave the zone."""
        span = now - self.window_at
        self.window_at = now
        self.update_warm_rate(now, span, self.members, late=self.controller.sample_rtt > 1)
        self.rank_classes(self.mean_rtt)
        if self.zoned and self.eligible_near:
            self.adjust_spill()

    def remove_server(self, srv: Server) -> None:
        """Stops sending to a server that drains or is no longer listed."""
        if srv.in_list:
            self.remove(srv)
            self.draining.append(srv)
        if srv.ejected:
            self.readmit(srv)
        srv.member = False

    def delete_drained(self) -> None:
        draining, self.draining = self.draining, []
        for srv in draining:
            if srv.in_list or self.servers.get(srv.id) is not srv:
                continue
            if srv.in_flight:
                self.draining.append(srv)
            else:
                del self.servers[srv.id]

    def update_members(self, now: int) -> None:
        """Selects the members again; ends ejections that are no longer allowed and adapts the limit."""
        self.select_members()
        for srv in [e for e in self.ejected if not e.member]:
            self.readmit(srv)
        while self.ejected and not self.can_eject(len(self.members), unreachable=False, more=0):
            # Otherwise, if the list shrinks, one good server gets all calls and is overloaded, while an
            # ejected one could answer most calls.
            self.readmit(self.ejected[0])
        copies = self.settings.instances * len(self.members) / max(1, self.listed)
        self.controller.resize(len(self.members), copies)
        self.update_capacity(now)
        self.update_eligible()

    def update_capacity(self, now: int) -> None:
        """Sets the controller's capacity: that of all listed servers, extrapolated from the members."""
        if self.members:
            warmth = sum([self.warmth(now, m) for m in self.members if not m.unreachable])
            self.controller.set_capacity(self.listed * warmth / len(self.members))

    def update_eligible(self) -> None:
        """Updates the eligible members and the calls in flight that count against the limit."""
        self.controller.in_flight += self.update_eligible_members()

    def eject(self, now: int, srv: Server, silent: bool, unreachable: bool = False) -> None:
        # Otherwise, if a draining server's last calls fail, it is ejected and later gets a trial call.
        if not srv.member or not srv.ejected and not self.can_eject(len(self.members), unreachable):
            return
        if not srv.ejected:
            self.actions.log(
                f"eject server={srv.id} silent={int(silent)} dead={int(unreachable)} "
                f"fail_rate={srv.fail_rate:.2f}"
            )
        self.mark_ejected(now, srv, silent, unreachable)
        self.update_eligible()
        if unreachable:
            self.update_capacity(now)

    def readmit(self, srv: Server) -> None:
        self.mark_readmitted(srv)
        self.actions.log(f"readmit server={srv.id}")
        self.update_eligible()

    def eject_if_silent(self, now: int, srv: Server, least: float) -> bool:
        """Ejects a member that has calls but no outcome for several round trips; returns if it is ejected.

        A single call may be long, so it has twice that time. `least`: the lowest mean round trip of a class.
        """
        if srv.in_flight and now - srv.quiet_since > SILENT_FACTOR * least:
            longest = SILENT_FACTOR * max(self.mean_rtt) * (2 if srv.in_flight == 1 else 1)
            if now - srv.quiet_since > longest:
                self.eject(now, srv, silent=True)
        return srv.ejected

    def draw(self, now: int, req: Request) -> Server | None:
        """The server for an attempt: an ejected one whose trial is due, or the less loaded of two members."""
        effect = req.effect
        if req.ran_on is not None and effect == KEYED:
            return self.draw_in_group(now, req)
        if self.ejected and now >= self.next_trial and effect != UNSAFE:
            trial = self.start_trial(now, self.may_send)
            if trial is not None:
                return trial
        if self.zoned and self.eligible_near and self.rng.random() >= self.spill:
            srv = self.draw_two(now, self.eligible_near)
            if srv is not None:
                return srv
        return self.draw_two(now, self.eligible)

    def draw_two(self, now: int, pool: list[Server]) -> Server | None:
        n = len(pool)
        if n == 0:
            return None
        if n == 1:
            return pool[0] if self.may_send(now, pool[0]) else None
        mean = min(self.mean_rtt)
        for _ in range(3):
            a, slow_a = self.pick(now, pool, mean)
            # With weights, both may be the same server, else those of low weight get more than their share.
            b, slow_b = self.pick(now, pool, mean, None if self.weighted else a)
            # Compares the expected time for all calls in flight, including this one; calls count more at a
            # server that an operator gave a lower weight.
            if (b.in_flight * b.weight_penalty + 1) * slow_b < (a.in_flight * a.weight_penalty + 1) * slow_a:
                a, b = b, a
            b_silent = self.eject_if_silent(now, b, mean)
            if not self.eject_if_silent(now, a, mean) and self.may_send(now, a):
                return a
            if not b_silent and self.may_send(now, b):
                return b
        for a in pool:
            if not a.ejected and self.may_send(now, a):
                return a
        return None

    def pick(
        self, now: int, pool: list[Server], mean: float, other: Server | None = None
    ) -> tuple[Server, float]:
        """A random member other than `other`, and its slowness; slower ones are rejected more often.

        Otherwise, among few members, two slow ones are often drawn together and stay overloaded.
        """
        while True:
            for _ in range(PICK_TRIES):
                srv = pool[int(self.rng.random() * len(pool))]
                if srv is other:
                    continue
                chance = self.rng.random()
                slowness = srv.slowness(now, mean)
                if chance * slowness * srv.weight_penalty < 1:
                    return srv, slowness
            if srv is not other:
                return srv, slowness

    def draw_in_group(self, now: int, req: Request) -> Server | None:
        """For a keyed request that may have run: a server that would discard the repeat."""
        first, group = req.ran_on, self.settings.classes[req.klass].group
        assert first is not None
        pool = [
            m
            for _, m in sorted(self.servers.items())
            if m is not first and m.in_list and not m.excluded and same_group(group, m, first)
        ]
        return self.draw_two(now, pool)
