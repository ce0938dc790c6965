"""Random legal event sequences and the rules that the actions must keep; determinism; size of the module."""

import re
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support import BASE, SEC, Recorder

from brackenladder.interface import (
    NEVER_RAN,
    ClassSettings,
    Effect,
    Group,
    ListKind,
    Outcome,
    ServerEntry,
    State,
    TenantSettings,
)
from brackenladder.policy.balancer import Balancer

ROOT = Path(__file__).parent.parent


def some_settings(rng: Random):
    classes = tuple(
        ClassSettings(
            Effect(rng.randrange(3)),
            aim=rng.choice([SEC // 2, SEC, 2 * SEC]),
            deadline=4 * SEC,
            worth=rng.choice([1, 8, 24]),
            late_worth=rng.choice([0, 0.3]),
            group=Group(rng.randrange(3)),
            window=rng.choice([SEC // 2, 3 * SEC]),
        )
        for _ in range(rng.randint(1, 3))
    )
    return replace(
        BASE,
        classes=classes,
        tenants=(TenantSettings(quota=20), TenantSettings()) if rng.random() < 0.5 else (),
        tier=rng.randrange(2),
        tiers=2,
        zone=rng.randrange(2),
        instances=rng.choice([1, 3]),
        max_attempts=rng.choice([1, 2, 4]),
        cancel=rng.random() < 0.5,
        retry_after=rng.random() < 0.5,
        list_on_request=rng.random() < 0.5,
        list_ask_within=10 * SEC,
    )


class World:
    """A host that plays legal events and checks every action.

    The rules: 1. each request gets one final answer in time. 2. What may have run is repeated only where that
    is harmless. 3. Nothing is sent to a server that drains or is gone. 4. A cold server is not overloaded.
    """

    def __init__(self, seed: int, steps: int) -> None:
        self.rng = rng = Random(seed)
        self.s = some_settings(rng)
        self.rec = Recorder()
        self.node = Balancer(self.s, seed, self.rec)
        self.now = 0
        self.listed: dict[int, State] = {}
        self.unsent_after: dict[int, int] = {}  # when a server was listed as not ready
        self.entries: dict[int, ServerEntry] = {}
        self.open: dict[int, dict] = {}
        self.closed: set[int] = set()
        self.out: list[dict] = []
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple] = []
        self.top_rate = 0.0
        self.cold_sends: dict[int, list[int]] = {}
        self.node.start(0)
        self.list_event(ListKind.CACHED)
        for i in range(steps):
            self.step(i)
        while self.out or self.open:
            before = len(self.out) + len(self.open) + len(self.timers)
            assert before, "a request was left without an answer"
            self.advance(SEC)

    def list_event(self, kind: ListKind) -> None:
        rng = self.rng
        names = rng.sample(range(1, 13), rng.randint(0, 8))
        entries = []
        for server in names:
            state = rng.choice([State.READY] * 4 + [State.DRAINING])
            if kind == ListKind.CHANGES and rng.random() < 0.2:
                state = State.GONE
            ready_at = self.now if rng.random() < 0.3 and kind != ListKind.CACHED else 0
            entries.append(ServerEntry(server, state, cell=server % 3, zone=server % 2, ready_at=ready_at))
        if kind != ListKind.CHANGES:
            for server in set(self.entries) - set(names):
                self.unsent_after.setdefault(server, self.now)
        for e in entries:
            self.entries[e.server] = e
            if e.state == State.READY:
                self.unsent_after.pop(e.server, None)
            else:
                self.unsent_after.setdefault(e.server, self.now)
        self.node.server_list(self.now, kind, entries)
        self.check()

    def step(self, i: int) -> None:
        rng = self.rng
        roll = rng.random()
        if roll < 0.5:
            left = rng.choice([SEC // 10, SEC, 4 * SEC])
            klass = rng.randrange(len(self.s.classes))
            self.open[i] = {"klass": klass, "until": self.now + left, "attempts": [], "ran": None}
            self.node.request(self.now, i, klass, rng.randrange(2), left, False)
            self.check()
        elif roll < 0.85 and self.out:
            a = self.out.pop(rng.randrange(len(self.out)))
            self.end(a, rng.choice(list(Outcome)))
        elif roll < 0.88 and self.open:
            request = rng.choice(sorted(self.open))
            del self.open[request]
            self.closed.add(request)
            self.node.client_left(self.now, request)
            self.check()
        elif roll < 0.92:
            self.list_event(rng.choice([ListKind.CHANGES, ListKind.FULL]))
        else:
            self.advance(rng.choice([1000, 20_000, 300_000]))

    def end(self, a: dict, outcome: Outcome) -> None:
        request, r = a["request"], self.open.get(a["request"])
        a["outcome"] = outcome
        final = r is None or outcome == Outcome.OK
        if outcome == Outcome.OK and r is not None:
            del self.open[request]
            self.closed.add(request)
        if r is not None and outcome not in NEVER_RAN and r["ran"] is None:
            r["ran"] = a
        self.node.outcome(
            self.now, request, a["attempt"], a["server"], outcome, self.now - a["at"], final, ()
        )
        self.check()

    def advance(self, span: int) -> None:
        target = self.now + span
        while True:
            due = [(a["until"], 0, j) for j, a in enumerate(self.out)]
            due += [(at, 1, j) for j, (at, _) in enumerate(self.timers)]
            if not due or min(due)[0] > target:
                break
            at, kind, j = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.end(self.out.pop(j), Outcome.TIMEOUT)
            else:
                self.node.timer(self.now, self.timers.pop(j)[1])
                self.check()
        self.now = target
        for r in self.open.values():
            assert r["until"] + self.s.tick >= self.now, "rule 1: no answer in time"

    def check(self) -> None:
        self.top_rate = max(self.top_rate, self.node.warm_rate)
        for action in self.rec.take():
            self.log.append((self.now, *action))
            name, *args = action
            assert name in {"send", "refuse", "fail", "cancel", "set_timer", "log", "watch"}
            if name == "set_timer":
                self.timers.append((self.now + args[0], args[1]))
            elif name == "cancel":
                assert self.s.cancel
            elif name == "send":
                self.sent(*args)
            elif name in ("refuse", "fail"):
                r = self.open.pop(args[0])  # rule 1: only an open request, once
                self.closed.add(args[0])
                assert self.now <= r["until"]
                if name == "refuse":
                    self.refused(r, *args)

    def refused(self, r: dict, request: int, retry_after: int) -> None:
        c = self.s.classes[r["klass"]]
        assert retry_after == 0 or (self.s.retry_after and retry_after <= self.s.max_retry_after)
        assert r["ran"] is None or c.effect == Effect.SAFE or (c.effect, c.group) == (Effect.KEYED, Group.ALL)
        assert not any(a["request"] == request for a in self.out)

    def sent(self, request: int, server: int, timeout: int) -> None:
        r = self.open[request]  # rule 1: nothing is sent after the final answer
        c = self.s.classes[r["klass"]]
        assert timeout > 0 and self.now + timeout <= r["until"]
        assert len(r["attempts"]) < self.s.max_attempts
        assert not any(a["request"] == request for a in self.out), "two attempts out at once"
        assert server in self.entries and server not in self.unsent_after, "rule 3"
        first = r["ran"]
        if first is not None:
            assert c.effect != Effect.UNSAFE, "rule 2"
            if c.effect == Effect.KEYED:
                assert self.now <= first["at"] + c.window
                if c.group == Group.CELL:
                    assert server % 3 == first["server"] % 3
                elif c.group == Group.ZONE:
                    assert server % 2 == first["server"] % 2
        ready_at = self.entries[server].ready_at
        if ready_at and self.now < ready_at + self.s.cold_time:
            # Rule 4, for one node: no more calls in any window than a warm member had at most.
            sends = self.cold_sends.setdefault(server, [])
            sends.append(self.now)
            recent = [t for t in sends if t > self.now - self.s.fall_time]
            assert len(recent) <= 2 + self.top_rate * self.s.fall_time / SEC, "rule 4"
        a = {"request": request, "server": server, "attempt": len(r["attempts"]), "at": self.now}
        a["until"] = self.now + timeout
        r["attempts"].append(a)
        self.out.append(a)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.integers(0, 2**32), st.integers(20, 250))
def test_the_four_rules_hold(seed, steps):
    World(seed, steps)


def never_answers(monkeypatch):
    monkeypatch.setattr(Balancer, "finish", lambda self, r, refuse: None)


def answers_twice(monkeypatch):
    finish = Balancer.finish

    def twice(self, r, refuse):
        finish(self, r, refuse)
        self.actions.fail(r.id)

    monkeypatch.setattr(Balancer, "finish", twice)


def repeats_anything(monkeypatch):
    monkeypatch.setattr(Balancer, "after_failure", lambda self, now, r, srv, outcome: self.attempt(now, r))


def refuses_what_may_have_run(monkeypatch):
    finish = Balancer.finish
    monkeypatch.setattr(Balancer, "finish", lambda self, r, refuse: finish(self, r, True))


def repeats_outside_the_group(monkeypatch):
    monkeypatch.setattr(Balancer, "draw_in_group", lambda self, now, r: self.draw_two(now, self.eligible))


def ignores_drains(monkeypatch):
    monkeypatch.setattr(Balancer, "remove_server", lambda self, srv: None)


def floods_cold_servers(monkeypatch):
    monkeypatch.setattr(Balancer, "may_send", lambda self, now, srv: True)


@pytest.mark.parametrize(
    "breach",
    [
        never_answers,
        answers_twice,
        repeats_anything,
        refuses_what_may_have_run,
        repeats_outside_the_group,
        ignores_drains,
        floods_cold_servers,
    ],
)
def test_a_broken_rule_is_caught(breach, monkeypatch):
    """The checks of World detect each kind of violation, so they are able to fail."""
    breach(monkeypatch)
    caught = 0
    for seed in range(40):
        try:
            World(seed, 200)
        except (AssertionError, KeyError):
            caught += 1
    assert caught > 0


def test_same_events_same_actions_under_any_hash_seed():
    program = (
        "import sys; sys.path[:0] = ['tests', '.']\n"
        "from test_properties import World\n"
        "print([World(seed, 200).log for seed in range(12)])"
    )
    outputs = set()
    for hash_seed in ("0", "1", "77"):
        result = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            cwd=ROOT,
            env={"PYTHONHASHSEED": hash_seed},
            timeout=120,
            check=True,
        )
        outputs.add(result.stdout)
    assert len(outputs) == 1 and len(outputs.pop()) > 10_000


def test_instances_are_independent_of_each_other():
    alone = [World(seed, 120).log for seed in range(6)]
    again = [World(seed, 120).log for seed in reversed(range(6))]
    assert alone == again[::-1]


POLICY = sorted((ROOT / "brackenladder" / "policy").glob("*.py"))


@pytest.mark.parametrize(
    "part", [*POLICY, ROOT / "brackenladder" / "interface.py"], ids=lambda path: path.stem
)
def test_the_policy_has_no_names_of_the_wire_format(part):
    text = part.read_text()
    for word in ("guarded", "single_shot", "policy_limits", "RELAY", "BOUNCE", "import os", "hash("):
        assert word not in text


def test_the_module_stays_small():
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert 300 <= sum(1 for line in lines if line.strip()) <= 1200
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == [str(path.relative_to(ROOT)) for path in POLICY]
    assert max(map(len, lines)) <= 110


def test_the_readme_s_example_runs():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python")[1].split("```")[0]
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, cwd=ROOT, timeout=60)
    assert result.stdout.startswith(b"send 1 to")


def test_the_on_call_page_names_what_exists():
    page = (ROOT / "docs" / "on-call.md").read_text()
    source = "".join(path.read_text() for path in POLICY)
    named = set(re.findall(r"`([a-z_]+)`", page))
    stats = World(1, 20).node.stats()
    unknown = {n for n in named if n not in stats and n not in {"eject", "readmit", "fail_rate"}}
    assert len(named & set(stats)) >= 10 and not unknown
    logged = re.findall(r'log\(\s*f"(\w+) ([a-z]+)=', source)
    assert set(logged) == {("eject", "server"), ("readmit", "server")}
    assert "eject server=" in page and "readmit server=" in page


def test_state_is_given_up_when_its_cause_is_gone():
    """Failure prevented: memory grows with finished requests, removed servers or old timers."""
    node, rec = World(3, 0).node, Recorder()
    node.actions = rec
    for i in range(3000):
        now = 10 * SEC + i * 50_000
        if i % 10 == 0:
            entries = [ServerEntry(i + j, zone=j % 2, cell=j % 3) for j in range(12)]
            node.server_list(now, ListKind.FULL, entries)
        node.request(now, i, 0, 0, 2 * SEC, False)
        for action in rec.take("send"):
            node.outcome(now + 20_000, i, 0, action[2], Outcome.OK, 20_000, True, ())
    assert not node.requests and not node.waiting and len(node.servers) <= 12
    assert node.controller.in_flight == 0 and len(node.ejected) <= len(node.members)
