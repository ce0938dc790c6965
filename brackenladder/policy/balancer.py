"""Events in, actions out: the decisions of one node, put together from their rooms.

A call first passes the gradient controller: at the limit it is refused, or waits for a slot where the caller
is a server. Then two members of this copy's small subset are drawn at random, slow ones passed over as often
as they are slower, and the one with fewer of this copy's calls in flight, in expected time, takes it. It is
refused beyond the limit, beyond its tenant's share while the fleet is pressed, or when no attempt can be
made, and retried only where class, group, time and budget allow. docs/design.md tells what was kept of the
source, what was changed and why. Times are integer microseconds.
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
from .server import SMOOTH_ALL, Server, Speeds
from .slow_start import SlowStart
from .subset import Subset

NO_NEWS = (Outcome.CANCELLED, Outcome.NOT_SENT)  # ends that tell nothing of the server
# Looked up for every request, and an enumeration's members are slow to look up.
OK, RESET = Outcome.OK, Outcome.RESET
KEYED, UNSAFE = Effect.KEYED, Effect.UNSAFE
OUTLIER = 2.0  # a member so many times slower than the subset does not speak for it
FAILING = 0.15  # when more of the whole subset's calls are lost, failures count as overload
SILENT_FACTOR = 4  # a member is silent after this many mean round-trips without any outcome
PICK_TRIES = 10  # so many members may be passed over for being slow

TIMER_LIST, TIMER_HELD = 1, 2  # in a token's top byte
TOKEN_BITS = 56


class Balancer(Speeds, Subset, Ejection, SlowStart, LoadShedding, Retries):
    """One copy: the decisions of one node, from its own traffic alone.

    Each room is a base class that stands by itself: it decides from its own state and what it is given here.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        s = settings
        self.actions = actions
        self.rng = Random(seed)
        share = AIM_SHARE * (s.tiers - s.tier) / s.tiers
        Speeds.__init__(self, [c.aim * share / 2 for c in s.classes])
        Subset.__init__(self, s)
        Ejection.__init__(self, self.rng)
        SlowStart.__init__(self, s)
        LoadShedding.__init__(self, s, self.rng)
        Retries.__init__(self)
        self.controller = GradientController([int(c.aim * share) for c in s.classes], s.max_open, self.rng, 0)
        self.servers: dict[int, Server] = {}
        self.leaving: list[Server] = []  # not listed any more, until their last call has ended
        self.requests: dict[int, Request] = {}
        self.waiting: deque[Request] = deque()
        self.window_at = 0
        self.list_failures = 0
        self.blocked = 0  # rq_blocked
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
            # Only asked-for lists fail. Jittered back-off, well inside the longest silence allowed.
            self.list_failures += 1
            base = max(self.settings.tick, self.settings.list_ask_within // 20)
            delay = min(base << min(self.list_failures - 1, 3), max(base, self.settings.list_ask_within // 4))
            self.actions.set_timer(int(delay * (0.5 + self.rng.random())), TIMER_LIST << TOKEN_BITS)
            return
        if kind != ListKind.CACHED:
            self.list_failures = 0
        latest = {e.server: e for e in entries}  # an entry twice: the last holds
        if kind != ListKind.CHANGES:
            for server in self.servers.values():
                if server.in_list and server.id not in latest:
                    self.drop(server)
        for entry in latest.values():
            known = self.servers.get(entry.server)
            if entry.state != State.READY:
                if known is not None:
                    self.drop(known)
                continue
            if known is None:
                known = self.servers[entry.server] = self.newcomer(entry)
            elif known.ready_at != entry.ready_at:
                if known.ejected:
                    self.readmit(known)
                known.renew(entry)
            if known.in_list and known.zone != entry.zone:
                self.unlist(known)
            known.cell, known.zone = entry.cell, entry.zone
            if not known.in_list:
                self.enlist(known)
            known.share, known.part = entry.share, 1 / entry.pools
            self.weighted |= entry.share != 1
            self.chill(now, known, entry.ready_at)
        self.forget_gone()
        self.refill(now)

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        s = self.settings
        # Failure prevented: a request of an unknown class gets the retry rights of some other class.
        known = klass < len(s.classes)
        klass = min(klass, len(s.classes) - 1)
        c = s.classes[klass]
        useful = time_left
        if c.late_worth <= 0 and c.aim - 2 * s.tick < useful:
            # Late work is waste: an answer after the aim is worth nothing here, so nothing waits for it.
            useful = max(s.tick, c.aim - 2 * s.tick)
        r = Request(request, klass, c.effect if known else Effect.UNSAFE, now + useful)
        self.requests[request] = r
        ctl = self.controller
        self.earn(ctl.limit)
        if self.crowd(ctl.in_flight):
            self.refill(now)
        if s.tier == 0:
            # Trunk reservation: a class of lesser worth for its time leaves sqrt(limit) slots for
            # what is worth more, a tenant beyond its share twice that.
            over, clear = self.over_share(now, tenant)
            spare = self.rank[klass] + 2 * over
            if clear and self.rng.random() < self.shed or not ctl.admits(now, spare):
                self.blocked += 1
                self.finish(r, refuse=True)
                return
        elif not ctl.admits(now, 0):
            self.hold(now, r)
            return
        self.attempt(now, r)

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
        r = self.requests.get(request)
        if srv is not None and srv.in_flight > 0:
            self.settle(now, srv, r, outcome, latency)
        if r is not None and r.out is not None and attempt == r.attempts - 1:
            r.out = None
            if final or outcome == OK:
                del self.requests[request]
            elif r.begun:
                self.finish(r, refuse=False)
            else:
                self.after_failure(now, r, srv, outcome)
        if self.waiting:
            self.serve_waiting(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        r = self.requests.get(request)
        if r is not None:
            r.begun = True

    def client_left(self, now: int, request: int) -> None:
        r = self.requests.pop(request, None)
        if r is not None and r.out is not None and self.settings.cancel and not r.begun:
            self.actions.cancel(request, r.attempts - 1)

    def probed(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Not used: half-open trials are real calls."""

    def timer(self, now: int, token: int) -> None:
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_LIST:
            self.actions.watch(True)
        elif kind == TIMER_HELD:
            r = self.requests.get(value)
            if r is not None and r.held:
                r.held = False
                self.blocked += 1
                self.finish(r, refuse=True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, with the source's names where it has them."""
        c = self.controller
        return {
            "concurrency_limit": c.allowed(),
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

    def attempt(self, now: int, r: Request) -> None:
        """Sends the request to the server drawn for it, or answers it when there is none."""
        srv = self.draw(now, r)
        if srv is None:
            self.finish(r, refuse=r.ran_on is None)
            return
        timeout = r.useful_until - now
        if srv.aside and r.effect != UNSAFE:
            # A trial of an ejected server must not cost the request its whole time.
            timeout = min(timeout, max(self.settings.tick, int(SILENT_FACTOR * self.mean_rtt[r.klass])))
        if srv.in_flight == 0:
            srv.quiet_since = now
        srv.in_flight += 1
        if not srv.aside:
            self.controller.note(now, 1)
        if srv.cold_until <= now:
            self.warm_sent += 1
        r.out = srv
        r.sent_at = now
        r.attempts += 1
        self.actions.send(r.id, srv.id, timeout)

    def after_failure(self, now: int, r: Request, srv: Server | None, outcome: Outcome) -> None:
        """A further attempt where class, time, budget and attempt cap allow it; a final answer otherwise."""
        s = self.settings
        r.may_have_run(srv, outcome)
        if (
            r.repeatable(now, s.classes[r.klass])
            and r.attempts < s.max_attempts
            and now + self.mean_rtt[r.klass] < r.useful_until
            and self.spend(outcome)
        ):
            self.attempt(now, r)
            return
        self.finish(r, refuse=r.ran_on is None or r.effect == Effect.SAFE)

    def finish(self, r: Request, refuse: bool) -> None:
        """The one final answer. `refuse` only where a retry is known to do no harm."""
        del self.requests[r.id]
        s = self.settings
        if refuse:
            after = min(s.max_retry_after, int(s.classes[r.klass].aim / 8)) if s.retry_after else 0
            self.actions.refuse(r.id, after)
        else:
            self.actions.fail(r.id)

    def hold(self, now: int, r: Request) -> None:
        """Below the first tier a refusal wastes the work already sunk above: the call waits for a free slot.

        For up to half the time left, and as many calls as the limit.
        """
        if not self.able or len(self.waiting) >= self.controller.limit:
            self.blocked += 1
            self.finish(r, refuse=True)
            return
        r.held = True
        self.waiting.append(r)
        self.actions.set_timer(max(1, (r.useful_until - now) // 2), TIMER_HELD << TOKEN_BITS | r.id)

    def serve_waiting(self, now: int) -> None:
        waiting = self.waiting
        while waiting and (not waiting[0].held or self.controller.admits(now, 0)):
            r = waiting.popleft()
            if r.held and r.id in self.requests:
                r.held = False
                self.attempt(now, r)

    def settle(self, now: int, srv: Server, r: Request | None, outcome: Outcome, latency: int) -> None:
        """Books an attempt's end: in-flight, samples, the server's averages, ejection."""
        srv.in_flight -= 1
        ctl = self.controller
        if not srv.aside:
            ctl.note(now, -1)
        srv.quiet_since = now
        if srv.cold_until <= now and (outcome in NEVER_RAN or outcome == RESET):
            # Failure prevented: a server that turns most calls away, or resets them, restarts, and gets its
            # share of all that was sent to it, not of what it took: more than it can stand while it is cold.
            self.warm_sent -= 1
        if outcome in NO_NEWS:
            # Failure prevented: a client leaves during a trial, and no other trial ever follows.
            srv.trial_out = False
            return
        ok = outcome == OK
        if r is not None and (ok or outcome == TIMEOUT):
            klass = r.klass
            if srv.deviation.value < OUTLIER and not srv.ejected:
                ctl.sample(now, klass, latency)
            aimed = latency / ctl.target[klass]
            self.measure(srv, klass, latency)
            self.heard(srv.zone, aimed)
            self.press(aimed)
            if now - self.window_at >= WINDOW:
                self.each_window(now)
        bad = 0.0 if ok or outcome in (TIMEOUT, REJECTED) else 1.0
        self.count(srv, bad)
        # Failure prevented: a zone is gone, half of all connects fail, at no server's cost, and the limit is
        # closed to the other half, which could take more.
        if not srv.ejected and outcome not in (REJECTED, CONNECT_FAILED):
            ctl.lost += SMOOTH_ALL * ((0.0 if ok else 1.0) - ctl.lost)
            if bad and r is not None and ctl.lost > FAILING:
                # Failure prevented: the tiers below have lost servers, most calls sink work and come back as
                # errors, and errors that add no sample leave the limit where it was. Fewer of them tell
                # nothing of load (answers may come spoilt from servers at rest); a window's p90 takes two
                # in a dozen calls for overload, and halves the limit for all.
                ctl.failure(now, r.klass)
        if ok:
            srv.fails_in_row = 0
            if srv.ejected and (srv.trial_out or srv.silent):
                self.readmit(srv)
        else:
            found = self.judge(srv, outcome)
            if found is not None:
                self.eject(now, srv, silent=found[0], dead=found[1])
        srv.trial_out = False

    def each_window(self, now: int) -> None:
        """Slow bookkeeping, at most once a window: warm rate, class ranks, spill between zones."""
        span = now - self.window_at
        self.window_at = now
        self.count_warm(now, span, self.members, late=self.controller.sample_rtt > 1)
        self.rank_classes(self.mean_rtt)
        if self.zoned and self.near:
            self.lean()

    def drop(self, srv: Server) -> None:
        """The server drains or is gone: nothing new goes to it from now on."""
        if srv.in_list:
            self.unlist(srv)
            self.leaving.append(srv)
        if srv.ejected:
            self.readmit(srv)
        srv.member = False

    def forget_gone(self) -> None:
        leaving, self.leaving = self.leaving, []
        for srv in leaving:
            if srv.in_list or self.servers.get(srv.id) is not srv:
                continue
            if srv.in_flight:
                self.leaving.append(srv)
            else:
                del self.servers[srv.id]

    def refill(self, now: int) -> None:
        """Takes the members anew."""
        self.take_members()
        for srv in [e for e in self.ejected if not e.member]:
            self.readmit(srv)
        while self.ejected and not self.spare(len(self.members), dead=False, more=0):
            # Failure prevented: the list shrinks, and one server that works well takes all calls until it
            # is crowded, beside another that answers most of them.
            self.readmit(self.ejected[0])
        copies = self.settings.instances * len(self.members) / max(1, self.listed)
        self.controller.resize(len(self.members), copies)
        self.weigh(now)
        self.sort_members()

    def weigh(self, now: int) -> None:
        """Tells the controller what the listed servers can do, judged by the members."""
        if self.members:
            warmth = sum([self.warmth(now, m) for m in self.members if not m.dead])
            self.controller.weigh(self.listed * warmth / len(self.members))

    def sort_members(self) -> None:
        """Who may be drawn has changed, and so may which calls count for the limit."""
        self.controller.in_flight += self.sort_able()

    def eject(self, now: int, srv: Server, silent: bool, dead: bool = False) -> None:
        # Failure prevented: a drained server's last calls fail, it is ejected and later gets a trial call.
        if not srv.member or not srv.ejected and not self.spare(len(self.members), dead):
            return
        if not srv.ejected:
            self.actions.log(
                f"eject server={srv.id} silent={int(silent)} dead={int(dead)} fail_rate={srv.fail_rate:.2f}"
            )
        self.set_aside(now, srv, silent, dead)
        self.sort_members()
        if dead:
            self.weigh(now)

    def readmit(self, srv: Server) -> None:
        self.take_back(srv)
        self.actions.log(f"readmit server={srv.id}")
        self.sort_members()

    def is_silent(self, now: int, srv: Server, least: float) -> bool:
        """Ejects a member that holds calls and has answered none for several mean round-trips.

        One call alone may be a long one: it counts only after twice that time. `least`: mean round-trip.
        """
        if srv.in_flight and now - srv.quiet_since > SILENT_FACTOR * least:
            patience = SILENT_FACTOR * max(self.mean_rtt) * (2 if srv.in_flight == 1 else 1)
            if now - srv.quiet_since > patience:
                self.eject(now, srv, silent=True)
        return srv.ejected

    def draw(self, now: int, r: Request) -> Server | None:
        """Two random members; the one with less in flight takes the call."""
        effect = r.effect
        if r.ran_on is not None and effect == KEYED:
            return self.draw_in_group(now, r)
        if self.ejected and now >= self.next_trial and effect != UNSAFE:
            trial = self.trial(now, self.may_send)
            if trial is not None:
                return trial
        if self.zoned and self.near and self.rng.random() >= self.spill:
            srv = self.draw_two(now, self.near)
            if srv is not None:
                return srv
        return self.draw_two(now, self.able)

    def draw_two(self, now: int, pool: list[Server]) -> Server | None:
        n = len(pool)
        if n == 0:
            return None
        if n == 1:
            return pool[0] if self.may_send(now, pool[0]) else None
        mean = min(self.mean_rtt)
        for _ in range(3):
            a, slow_a = self.pick(now, pool, mean)
            # Two of the same, where weights count: without that, light ones get more than theirs.
            b, slow_b = self.pick(now, pool, mean, None if self.weighted else a)
            # Calls in flight, this one included, in expected time: the draw's measure. What an operator wants
            # one to have less of counts for more.
            if (b.in_flight * b.lack + 1) * slow_b < (a.in_flight * a.lack + 1) * slow_a:
                a, b = b, a
            b_silent = self.is_silent(now, b, mean)
            if not self.is_silent(now, a, mean) and self.may_send(now, a):
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
        """A random member but `other`, and its slowness. One slower than the mean is passed over as often.

        Failure prevented: of few members two slow ones are drawn together, and stay crowded by it.
        """
        while True:
            for _ in range(PICK_TRIES):
                srv = pool[int(self.rng.random() * len(pool))]
                if srv is other:
                    continue
                chance = self.rng.random()
                slowness = srv.slowness(now, mean)
                if chance * slowness * srv.lack < 1:
                    return srv, slowness
            if srv is not other:
                return srv, slowness

    def draw_in_group(self, now: int, r: Request) -> Server | None:
        """A keyed request that may have run goes only to the servers that would discard its repeat."""
        first, group = r.ran_on, self.settings.classes[r.klass].group
        assert first is not None
        pool = [
            m
            for _, m in sorted(self.servers.items())
            if m is not first and m.in_list and not m.aside and same_group(group, m, first)
        ]
        return self.draw_two(now, pool)
