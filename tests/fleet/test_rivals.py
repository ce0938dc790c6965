"""Baseline policies: they never repeat unsafe calls, and each works as described."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenladder.fleet.figures import figures_of
from brackenladder.fleet.model import play
from brackenladder.fleet.rivals import BASELINE_POLICIES
from brackenladder.fleet.rivals.base import KnownServer, OpenRequest
from brackenladder.fleet.rivals.envoy_like import EJECT_AFTER, MIN_RTT_CALLS, MIN_RTT_LIMIT, EnvoyLike
from brackenladder.fleet.variants import VariantError, policies, variant
from brackenladder.interface import ClassSettings, Effect, ListKind, Outcome, ServerEntry, Settings, State
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.scenario import load, parse

CLASSES = [
    ClassSettings(Effect.SAFE, aim=1_000_000, deadline=3_000_000, worth=1),
    ClassSettings(Effect.UNSAFE, aim=1_000_000, deadline=3_000_000, worth=1),
]


class Recorder:
    def __init__(self):
        self.done = []

    def __getattr__(self, name):
        return lambda *args: self.done.append((name, *args))


def start_policy(make, servers=4, **changes):
    recorder = Recorder()
    made = make(Settings(classes=CLASSES, **({"max_attempts": 3} | changes)), 1, recorder)
    made.start(0)
    made.server_list(0, ListKind.FULL, [ServerEntry(i) for i in range(servers)])
    return made, recorder


def run_and_check(policy, name, seed=1):
    scenario = load(name)
    result = play(scenario, seed, variant(policy, "", {}))
    report = check(result.events, terms_of(scenario))
    return figures_of(scenario, result, report), report.verdicts, result


@pytest.mark.parametrize("policy", BASELINE_POLICIES)
def test_a_baseline_policy_loses_and_repeats_no_call(policy):
    _, verdicts, result = run_and_check(policy, "rolling-deploy")
    assert not result.crashed
    assert {r: verdicts[r] for r in ("lost", "effect", "drain")} == dict.fromkeys(
        ("lost", "effect", "drain"), "held"
    )


def test_random_choice_overloads_cold_servers_and_the_oracle_does_not():
    assert run_and_check("random", "rolling-deploy")[1]["cold"] == "broke"
    assert run_and_check("oracle", "rolling-deploy")[1]["cold"] == "held"


def test_policies_that_see_the_true_state_serve_the_most():
    figures = {policy: run_and_check(policy, "rolling-deploy")[0] for policy in policies()}
    best = max(figures, key=lambda policy: figures[policy]["goodput"])
    assert best in ("oracle", "late") and figures["oracle"]["refused"] < figures["module"]["refused"]


def test_round_robin_is_even_and_least_of_two_balances():
    made, recorder = start_policy(BASELINE_POLICIES["round-robin"])
    for i in range(40):
        made.request(i, i, 0, 0, 1_000_000, False)
    assert Counter(server for _, _, server, _ in recorder.done) == dict.fromkeys(range(4), 10)
    made, recorder = start_policy(BASELINE_POLICIES["least-of-two"], servers=2)
    for i in range(200):
        made.request(i, i, 0, 0, 1_000_000, False)
    counts = Counter(server for _, _, server, _ in recorder.done)
    assert abs(counts[0] - counts[1]) <= 20  # random choice gives a standard deviation of 14


@given(
    st.sampled_from(["random", "cluster"]),
    st.lists(st.sampled_from(list(Outcome)), min_size=1, max_size=6),
    st.integers(0, 1),
)
@settings(max_examples=200, deadline=None)
def test_an_unsafe_call_that_may_have_run_is_never_sent_again(policy, outcomes, klass):
    made, recorder = start_policy(BASELINE_POLICIES[policy])
    made.request(0, 7, klass, 0, 3_000_000, False)
    may_have_run = False
    for number, outcome in enumerate(outcomes):
        sends = [d for d in recorder.done if d[0] == "send"]
        if len(sends) <= number or 7 not in made.requests:
            break
        made.outcome(1, 7, number, sends[-1][2], outcome, 1000, outcome == Outcome.OK, ())
        may_have_run = may_have_run or outcome > Outcome.NOT_SENT
        again = len([d for d in recorder.done if d[0] == "send"]) > number + 1
        refused = any(d[0] == "refuse" for d in recorder.done)
        if klass == 1 and may_have_run:
            assert not again and not refused
    finals = [d for d in recorder.done if d[0] in ("refuse", "fail")]
    assert len(finals) + (7 in made.requests) + (outcomes[len(sends) - 1] == Outcome.OK) >= 1
    assert len(finals) <= 1


def test_the_envoy_like_policy_limits_ejects_and_starts_slowly():
    made, recorder = start_policy(EnvoyLike, servers=20, cold_time=10_000_000)
    for i in range(MIN_RTT_LIMIT + 1):
        made.request(0, i, 0, 0, 1_000_000, False)
    assert [d[0] for d in recorder.done].count("refuse") == 1  # it is measuring the minimum round-trip time
    for i in range(MIN_RTT_LIMIT):
        made.outcome(1, i, 0, recorder.done[i][2], Outcome.OK, 1000, True, ())
    for _ in range(MIN_RTT_CALLS):
        made.sample(2, 10_000)
    assert not made.measuring and made.min_rtt == 10_000
    before = made.limit
    made.sample(200_000, 20_000)  # twice the round-trip time: half the limit plus headroom
    assert before * 0.5 < made.limit < before * 1.5
    bad = made.members[3]
    for _ in range(EJECT_AFTER):
        bad.in_flight = 1
        made.open += 1
        made.ended(300_000, None, bad, Outcome.ERROR, 1000)
    r = OpenRequest(99, 0, Effect.SAFE, 1_000_000)
    picked = {made.pick(300_001, r, list(made.members.values())).entry.server for _ in range(300)}
    assert 3 not in picked and len(picked) == 19
    cold = KnownServer(ServerEntry(50, ready_at=300_000), 300_000)
    assert made.weight(300_000, cold) == 0.1 and made.weight(5_300_000, cold) == 0.5
    assert made.weight(20_000_000, cold) == 1.0


def test_a_list_removes_servers_and_resets_restarted_ones():
    made, recorder = start_policy(BASELINE_POLICIES["round-robin"], servers=3)
    made.members[0].consecutive_failures = 4
    made.server_list(1, ListKind.CHANGES, [ServerEntry(0, ready_at=5), ServerEntry(1, State.DRAINING)])
    assert sorted(made.members) == [0, 2] and made.members[0].consecutive_failures == 0
    made.server_list(2, ListKind.FULL, [])
    made.request(3, 1, 0, 0, 1_000_000, False)
    assert recorder.done[-1][0] == "refuse"


@pytest.mark.parametrize(
    ("policy", "checkout", "constants", "text"),
    [
        ("best", "", {}, "policy: no 'best'"),
        ("random", "", {"X": 1}, "'random' has no checkout and no constants"),
        ("module", "", {"NO_SUCH": 1}, "module.NO_SUCH: the module has no number of that name"),
        ("module", "", {"OK": 1}, ""),
        ("module", "", {"percentile": 1}, "module.percentile: the module has no number"),
        ("module", "/nowhere", {}, "checkout: no /nowhere"),
    ],
)
def test_an_invalid_variant_is_named(policy, checkout, constants, text):
    if not text:
        assert variant(policy, checkout, constants) is not variant(policy, checkout, {})
        return
    with pytest.raises(VariantError, match=text):
        variant(policy, checkout, constants)


def test_a_changed_constant_affects_only_its_variant(tmp_path):
    from brackenladder.policy import subset as balance

    # SUBSET_MOST is used in its own module; WINDOW is imported by other modules too.
    made = variant("module", "", {"SUBSET_MOST": 2, "WINDOW": 1})
    assert made.wanted_size.__globals__["SUBSET_MOST"] == 2 and balance.SUBSET_MOST == 24
    assert (
        made.record_end.__globals__["WINDOW"]
        == 1
        == made.record_end.__globals__["GradientController"].close_window.__globals__["WINDOW"]
    )
    (tmp_path / "brackenladder").mkdir()
    (tmp_path / "brackenladder" / "balance.py").write_text("raise RuntimeError('no')")
    with pytest.raises(VariantError, match="RuntimeError: no"):
        variant("module", str(tmp_path), {})


def test_the_oracle_refuses_only_requests_that_would_be_late():
    """Scaled down: one server with one core, at twice its capacity."""
    text = (
        b'title = "x"\nlength_s = 10\nnodes = 1\nzones = ["a"]\n[servers]\ncount = 1\ncores = 1\n'
        b"speed = [1, 1]\n[clients]\nrate = 20\nretries = 0\nbudget = [1, 1]\n"
        b'[[classes]]\nname = "view"\neffect = "safe"\nwork_ms = [100, 100]\naim_ms = 1000\n'
    )
    scenario = parse(text, "x")
    result = play(scenario, 1, variant("oracle", "", {}))
    figures = figures_of(scenario, result, check(result.events, terms_of(scenario)))
    served = figures["goodput"] * len(result.plan.requests)
    assert served == figures["served"] * len(result.plan.requests)  # no answer is late
    assert 98 <= served <= 111  # ten a second, plus a queue of under one second at the end
