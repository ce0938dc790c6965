"""The rehearsal's planted faults in virtual time, on its scenarios: each breaks only its own rule.

Faults of a decision module are planted as a policy; faults of the host or the clients, by patching the model.
For a module that answers late or never the core's guard answers, which counts as a fault of the run.
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


class Correct(BaselinePolicy):
    """A correct policy: sends to warm servers in turn."""

    turn = 0

    def usable(self, now, member):
        ready_at = member.entry.ready_at
        return not ready_at or now > ready_at + self.settings.cold_time

    def pick(self, now, r, among):
        able = [m for m in among if self.usable(now, m)]
        self.turn += 1
        return able[self.turn % len(able)] if able else None


class Floods(Correct):
    def pick(self, now, r, among):
        return max(among, key=lambda m: m.entry.ready_at)


class Drained(Correct):
    def server_list(self, now, kind, entries):
        super().server_list(now, kind, [e for e in entries if e.state == State.READY])


class PeerDrains(Correct):
    """Only the first node reads drains from discovery; it tells the others by peer messages."""

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


class Retries(Correct):
    def outcome(self, now, request, attempt, server, outcome, latency, final, report):
        r = self.requests.get(request)
        if r is not None and r.effect == Effect.UNSAFE and outcome == Outcome.RESET:
            outcome = Outcome.CONNECT_FAILED
        super().outcome(now, request, attempt, server, outcome, latency, final, report)


class Outside(Correct):
    def candidates(self, r):
        if r.ran_on is None or r.effect != Effect.KEYED:
            return super().candidates(r)
        return [m for m in self.members.values() if m.entry.cell != r.ran_on.entry.cell]


class Window(Correct):
    """Repeats a keyed call after its deduplication window."""

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


class Refuses(Correct):
    def finish(self, r, refuse):
        super().finish(r, refuse or r.effect == Effect.UNSAFE)


class Loses(Correct):
    def request(self, now, request, klass, tenant, time_left, repeat):
        if request % 5:
            super().request(now, request, klass, tenant, time_left, repeat)


class Crashes(Correct):
    def request(self, now, request, klass, tenant, time_left, repeat):
        if request > 40:
            raise ValueError("no more")
        super().request(now, request, klass, tenant, time_left, repeat)


def run_case(case, module=None):
    scenario = case.scenario
    result = play(scenario, case.seed, *([module] if module else []))
    report = check(result.events, terms_of(scenario))
    return report, result


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_the_real_module_breaks_no_rule(name):
    report, result = run_case(FAULTS[name])
    assert report.breaks == () and not result.crashed and report.verdicts["lost"] == "held"


@pytest.mark.parametrize("name", sorted(RIGHT))
def test_a_correct_policy_breaks_no_rule(name):
    report, result = run_case(RIGHT[name], PeerDrains if name == "right-peers" else Correct)
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
def test_a_faulty_policy_breaks_only_its_rule(name, module, rule, monkeypatch):
    if rule == "drain":  # otherwise the upstream sends nothing to unlisted servers, whatever a module decides
        monkeypatch.setattr(Links, "retire", lambda self, number: None)
    report, result = run_case(ROGUES[name], module)
    assert {f.rule for f in report.breaks} == ({rule} if rule else set())
    assert bool(result.crashed) == (not rule)


class Stray(Exchange):
    """An attempt that no policy asked for; it skips the model's own checks."""

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
    """Makes a further attempt some time after a call of one class was served."""

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
    """Makes the core's guard late."""
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
def test_a_faulty_host_breaks_its_rule(name, plant, rule, monkeypatch):
    plant(monkeypatch)
    report, _ = run_case(ROGUES[name], Correct)
    assert rule in {f.rule for f in report.breaks}
