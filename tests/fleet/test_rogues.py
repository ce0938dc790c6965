"""The rehearsal kit's rogues in virtual time, on the kit's own scenarios: each convicted by its rule alone.

What a module can do wrong is planted as a module; what the host or the front would do, in the model's own.
A module that answers late or never is answered for by the core's guard, which is a fault of the run.
"""

from __future__ import annotations

from itertools import count

import pytest
from rehearsal.cases import FAULTS, RIGHT, ROGUES

from brackenladder.core.call import Failure
from brackenladder.fleet.clients import RequestTry
from brackenladder.fleet.links import Exchange, Links
from brackenladder.fleet.model import play
from brackenladder.fleet.nodes import FleetCall
from brackenladder.fleet.rivals.base import BaselinePolicy
from brackenladder.interface import NEVER_RAN, Effect, ListKind, Outcome, State
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.events import Again, Answered
from brackenladder.rehearsal.report import terms_of


class Right(BaselinePolicy):
    """Each warm server in turn."""

    turn = 0

    def usable(self, now, member):
        ready_at = member.entry.ready_at
        return not ready_at or now > ready_at + self.settings.cold_time

    def pick(self, now, r, among):
        able = [m for m in among if self.usable(now, m)]
        self.turn += 1
        return able[self.turn % len(able)] if able else None


class Floods(Right):
    def pick(self, now, r, among):
        return max(among, key=lambda m: m.entry.ready_at)


class Drained(Right):
    def server_list(self, now, kind, entries):
        super().server_list(now, kind, [e for e in entries if e.state == State.READY])


class PeerDrains(Right):
    """Only the first node minds what discovery says of drains; it tells the others."""

    def server_list(self, now, kind, entries):
        gone = [e for e in entries if e.state != State.READY]
        if self.settings.index:
            entries = [e for e in entries if e.state == State.READY]
            kind = kind if kind == ListKind.FAILED or not self.members else ListKind.CHANGES
        else:
            for entry in gone:
                self.actions.tell(-1, entry.server.to_bytes(8, "big"))
        super().server_list(now, kind, entries)

    def peer_message(self, now, peer, data):
        self.members.pop(int.from_bytes(data, "big"), None)


class Retries(Right):
    def outcome(self, now, request, attempt, server, outcome, latency, final, report):
        r = self.requests.get(request)
        if r is not None and r.effect == Effect.UNSAFE and outcome == Outcome.RESET:
            outcome = Outcome.CONNECT_FAILED
        super().outcome(now, request, attempt, server, outcome, latency, final, report)


class Outside(Right):
    def among(self, r):
        if r.ran_on is None or r.effect != Effect.KEYED:
            return super().among(r)
        return [m for m in self.members.values() if m.entry.cell != r.ran_on.entry.cell]


class Window(Right):
    """A keyed repeat that waits until nobody remembers the first."""

    def outcome(self, now, request, attempt, server, outcome, latency, final, report):
        r = self.requests.get(request)
        if r is not None and not final and outcome not in NEVER_RAN and attempt == 0:
            self.all[server].in_flight -= 1
            r.ran_on, r.out = self.all[server], None
            self.actions.set_timer(1_800_000, request << 1 | 1)
            return
        super().outcome(now, request, attempt, server, outcome, latency, final, report)

    def timer(self, now, token):
        r = self.requests.get(token >> 1)
        if token & 1 and r is not None:
            self.attempt(now, r)
        elif not token:
            super().timer(now, token)


class Refuses(Right):
    def finish(self, r, refuse):
        super().finish(r, refuse or r.effect == Effect.UNSAFE)


class Loses(Right):
    def request(self, now, request, klass, tenant, time_left, repeat):
        if request % 5:
            super().request(now, request, klass, tenant, time_left, repeat)


class Crashes(Right):
    def request(self, now, request, klass, tenant, time_left, repeat):
        if request > 40:
            raise ValueError("no more")
        super().request(now, request, klass, tenant, time_left, repeat)


def judged(case, module=None):
    scenario = case.scenario
    result = play(scenario, case.seed, *([module] if module else []))
    report = check(result.events, terms_of(scenario))
    return report, result


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_this_builds_node_breaks_nothing(name):
    report, result = judged(FAULTS[name])
    assert report.breaks == () and not result.crashed and report.verdicts["lost"] == "held"


@pytest.mark.parametrize("name", sorted(RIGHT))
def test_a_right_one_is_not_convicted(name):
    report, result = judged(RIGHT[name], PeerDrains if name == "right-peers" else Right)
    assert report.breaks == () and not result.crashed


@pytest.mark.parametrize(
    ("name", "module", "rule"),
    [
        ("floods", Floods, "cold"),
        ("drained", Drained, "drain"),
        ("peer-drains", PeerDrains, "drain"),
        ("retries", Retries, "effect"),
        ("outside", Outside, "effect"),
        ("window", Window, "effect"),
        ("refuses", Refuses, "effect"),
        ("loses", Loses, ""),
        ("crashes", Crashes, ""),
    ],
)
def test_a_module_with_one_fault_is_convicted_by_its_rule_alone(name, module, rule, monkeypatch):
    if rule == "drain":  # the upstream sends nothing to who is not listed, whatever a module says
        monkeypatch.setattr(Links, "retire", lambda self, number: None)
    report, result = judged(ROGUES[name], module)
    assert {f.rule for f in report.breaks} == ({rule} if rule else set())
    assert bool(result.crashed) == (not rule)


class Stray(Exchange):
    """An attempt that nobody asked for, which the model's own checks would not let out."""

    def send_request(self, link):
        self.link, link.exchange = link, self
        self.links.queue.after(self.endpoint.delay, self.endpoint.server.receive, link, self)


def stray(links, call, endpoint=None):
    endpoint = endpoint or next(iter(links.endpoints.values()))
    Stray(links, endpoint, call, links.queue.now + 2_500_000, lambda *end: None).start(2.5)


def overlaps(monkeypatch):
    def attempt(links, server, call, expires, done):
        made = ATTEMPT(links, server, call, expires, done)
        if call.klass == 0:
            for other in links.endpoints.values():
                if other is not made.endpoint:
                    stray(links, call, other)
        return made

    ATTEMPT = Links.attempt
    monkeypatch.setattr(Links, "attempt", attempt)


def after_it(monkeypatch, klass, delay):
    """A further attempt some time after a call of a class was served."""

    def attempt(links, server, call, expires, done):
        def ended(outcome, answer, report):
            done(outcome, answer, report)
            if outcome == Outcome.OK and call.klass == klass:
                links.queue.after(delay, stray, links, call)

        return ATTEMPT(links, server, call, expires, ended)

    ATTEMPT = Links.attempt
    monkeypatch.setattr(Links, "attempt", attempt)


def makes_up(monkeypatch):
    turns = count()
    monkeypatch.setattr(
        "brackenladder.fleet.clients.Answered",
        lambda t, name, status, own, advice: Answered(t, name, status, next(turns) % 5 > 0, advice),
    )


def answers_twice(monkeypatch):
    def answered(self, status, advice):
        ANSWERED(self, status, advice)
        self.clients.record(Again(self.clients.queue.now, self.name))

    ANSWERED = RequestTry.answer_arrived
    monkeypatch.setattr(RequestTry, "answer_arrived", answered)


def late(monkeypatch):
    """The guard itself is late."""
    monkeypatch.setattr("brackenladder.core.host.EXPIRY_DELAY", 2_600_000)
    monkeypatch.setattr(FleetCall, "served", lambda self, answer: None)
    monkeypatch.setattr(FleetCall, "refused", lambda self, after: None)
    monkeypatch.setattr(FleetCall, "failed", lambda self, why: None if why is Failure.GIVEN_UP else 0)


@pytest.mark.parametrize(
    ("name", "plant", "rule"),
    [
        ("overlap", overlaps, "effect"),
        ("twice", lambda m: after_it(m, 1, 1000), "effect"),
        ("after", lambda m: after_it(m, 0, 1_200_000), "lost"),
        ("makes-up", makes_up, "lost"),
        ("answers-twice", answers_twice, "lost"),
        ("late", late, "lost"),
    ],
)
def test_a_host_with_one_fault_is_convicted(name, plant, rule, monkeypatch):
    plant(monkeypatch)
    report, _ = judged(ROGUES[name], Right)
    assert rule in {f.rule for f in report.breaks}
