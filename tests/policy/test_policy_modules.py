"""Unit tests of the policy modules, with times set by the test. The limit is tested in test_controller.py."""

from __future__ import annotations

from random import Random

import pytest
from support import BASE, SEC

from brackenladder.interface import NEVER_RAN, Effect, Group, Outcome, ServerEntry, TenantSettings
from brackenladder.policy.ejection import DEAD_SHARE, EJECT_FAILS, EJECT_SHARE, EJECT_TIME, Ejection
from brackenladder.policy.load_shedding import SHED_LATE, LoadShedding
from brackenladder.policy.retry import LEAST_TOKENS, RETRY_RATIO, Request, Retries, same_group
from brackenladder.policy.server import Average, LatencyEstimates, Server
from brackenladder.policy.slow_start import COLD_PART, SlowStart
from brackenladder.policy.subset import SUBSET_LEAST, SUBSET_MOST, Subset

MS = 1000


def server(number: int = 1, **entry) -> Server:
    return Server(ServerEntry(number, **entry), Average(1.0, 3.0, 0.02))


# ---- slow start ---------------------------------------------------------------------------------------


def test_a_cold_server_gets_its_present_part_of_a_warm_member_s_rate():
    slow_start, cold = SlowStart(BASE), server()
    slow_start.warm_rate = 50.0
    slow_start.start_warming(10 * SEC, cold, 10 * SEC)
    shares = COLD_PART * BASE.fall_multiple
    assert slow_start.warmth(10 * SEC, cold) == BASE.cold_share
    assert slow_start.warmth(12 * SEC, cold) == pytest.approx((1 + BASE.cold_share) / 2)  # half warm
    sent = sum(slow_start.may_send(10 * SEC + i * MS, cold) for i in range(2000))
    mean = BASE.cold_share + 0.25 * (1 - BASE.cold_share)
    assert sent == pytest.approx(shares * 50 * 2 * mean, rel=0.06)
    assert slow_start.may_send(16 * SEC, cold) and slow_start.warmth(16 * SEC, cold) == 1


@pytest.mark.parametrize(("late", "rate"), [(False, 30.0), (True, 50.0)])
def test_late_answers_do_not_lower_the_measured_rate_of_a_warm_member(late, rate):
    slow_start, members = SlowStart(BASE), [server(i) for i in range(4)]
    members[3].cold_until = 99 * SEC  # cold members are not counted
    slow_start.warm_rate, slow_start.warm_sent = 50.0, 3 * 20
    slow_start.update_warm_rate(10 * SEC, 2 * SEC, members, late)
    assert slow_start.warm_rate == pytest.approx(10.0 if not late else rate) and slow_start.warm_sent == 0


def test_pools_with_the_same_cold_server_share_its_allowance():
    sent = []
    for part in (1.0, 0.5):
        slow_start, cold = SlowStart(BASE), server()
        slow_start.warm_rate, cold.pool_fraction = 50.0, part
        slow_start.start_warming(10 * SEC, cold, 10 * SEC)
        sent.append(sum(slow_start.may_send(10 * SEC + i * MS, cold) for i in range(3000)))
    assert sent[1] == pytest.approx(sent[0] / 2, rel=0.05)


# ---- ejection -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("outcome", "state", "cause"),
    [
        (Outcome.CONNECT_FAILED, {"fails_in_row": EJECT_FAILS - 1}, (False, True)),
        (Outcome.CONNECT_FAILED, {"fails_in_row": EJECT_FAILS - 2}, None),
        (Outcome.ERROR, {"fails_in_row": EJECT_FAILS - 1, "fail_rate": 0.5, "calls": 9}, (False, False)),
        (Outcome.ERROR, {"fails_in_row": EJECT_FAILS - 1, "fail_rate": 0.1}, None),  # the subset's rate
        (Outcome.TIMEOUT, {"fails_in_row": 9, "fail_rate": 1.0, "calls": 9}, None),
        (Outcome.TIMEOUT, {"ejected": True, "trial_in_flight": True, "silent": True}, (True, False)),
        (Outcome.ERROR, {"ejected": True, "trial_in_flight": True}, (False, False)),
        (Outcome.ERROR, {"ejected": True}, None),
    ],
)
def test_which_failures_eject_a_server(outcome, state, cause):
    ejection, srv = Ejection(Random(1)), server()
    ejection.fail_rate = 0.1
    for name, value in state.items():
        setattr(srv, name, value)
    assert ejection.ejection_cause(srv, outcome) == cause


def test_ejections_are_limited_and_the_ejection_time_doubles():
    ejection, members = Ejection(Random(1)), [server(i) for i in range(12)]
    ejected = []
    while ejection.can_eject(len(members), unreachable=False):
        ejected.append(members[len(ejected)])
        ejection.mark_ejected(0, ejected[-1], silent=False, unreachable=False)
    assert len(ejected) == int(EJECT_SHARE * 12)
    while ejection.can_eject(len(members), unreachable=True):
        ejection.mark_ejected(0, members[len(ejection.ejected)], silent=False, unreachable=True)
    assert len(ejection.ejected) == int(DEAD_SHARE * 12)
    first, *_ = ejected
    assert ejection.start_trial(0, lambda now, srv: True) is None
    now = max(srv.trial_at for srv in ejected)
    tried = ejection.start_trial(now, lambda now, srv: srv in ejected)
    assert tried in ejected and tried.trial_at == now + EJECT_TIME and tried.trial_in_flight
    ejection.mark_readmitted(first)
    assert first not in ejection.ejected and first.ejections == 0
    times = []
    for _ in range(6):
        ejection.mark_ejected(0, first, silent=False, unreachable=False)
        times.append(first.trial_at / EJECT_TIME)
    assert [int(t + 0.05) for t in times[:4]] == [1, 2, 4, 8] and times[5] <= 16 * 1.1


# ---- load shedding ------------------------------------------------------------------------------------


def test_a_tenant_over_quota_is_distinguished_from_a_node_with_much_traffic():
    settings = BASE.__class__(
        **{
            **{f: getattr(BASE, f) for f in BASE.__dataclass_fields__},
            "tenants": [TenantSettings(10.0) for _ in range(3)],
        }
    )
    rates = {"one": (40, 8, 8), "all": (40, 40, 40)}
    clear = {}
    for name, rate in rates.items():
        shedding = LoadShedding(settings, Random(1))
        found = []
        for step in range(3000):  # 30 s
            for tenant, each in enumerate(rate):
                if step * each % 100 < each:
                    found.append((tenant, shedding.over_share(step * 10 * MS, tenant)[1]))
        mine = [over for tenant, over in found[len(found) // 2 :] if tenant == 0]
        clear[name] = sum(mine) / len(mine)
    assert clear["one"] > 0.5 and clear["all"] < 0.05
    assert shedding.over_share(0, 7) == (False, False)  # no tenant has that number


def test_shedding_follows_latency_and_one_answer_has_a_bounded_effect():
    shedding = LoadShedding(BASE, Random(1))
    for _ in range(200):
        shedding.update_shed(0.2)
    assert shedding.shed == 0
    shedding.update_shed(1.0)
    assert 0 < shedding.shed < 0.1
    late, later = LoadShedding(BASE, Random(1)), LoadShedding(BASE, Random(1))
    late.shed = later.shed = -1.0  # so that no bound is reached
    late.update_shed(SHED_LATE)
    later.update_shed(1e9)
    assert late.shed == later.shed


# ---- retries ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("effect", list(Effect))
def test_which_failures_may_be_retried(effect, outcome):
    settings = BASE.classes[1]
    request = Request(1, 1, effect, 9 * SEC, sent_at=SEC)
    request.record_failure(server(), outcome)
    ran = outcome not in NEVER_RAN
    for now, within in ((SEC + settings.window - 1, True), (SEC + settings.window, False)):
        allowed = not ran or effect == Effect.SAFE or (effect == Effect.KEYED and within)
        assert request.repeatable(now, settings) == allowed


def test_the_retry_budget_is_a_tenth_of_first_attempts():
    retries = Retries()
    spent = sum(retries.spend(Outcome.ERROR) for _ in range(10))
    assert spent == LEAST_TOKENS and retries.spend(Outcome.CONNECT_FAILED)  # takes no token
    for _ in range(1000):
        retries.earn(4.0)
    assert retries.retry_tokens == LEAST_TOKENS  # the most that is saved up
    for _ in range(10):
        assert not (retries.retry_tokens < 1 and retries.spend(Outcome.RESET))
        retries.retry_tokens = 0.0
        retries.earn(4.0)
        assert retries.retry_tokens == RETRY_RATIO


@pytest.mark.parametrize(
    ("group", "same"), [(Group.ALL, (1, 1, 1)), (Group.ZONE, (0, 1, 0)), (Group.CELL, (1, 0, 0))]
)
def test_which_servers_discard_each_other_s_repeats(group, same):
    one = server(1)
    one.cell, one.zone = 1, 1
    for (cell, zone), expected in zip(((1, 2), (2, 1), (2, 2)), same, strict=True):
        other = server(2)
        other.cell, other.zone = cell, zone
        assert same_group(group, one, other) == bool(expected)


# ---- members and zones --------------------------------------------------------------------------------


def test_the_subset_grows_with_the_calls_in_flight_and_excludes_ejected_members():
    subset = Subset(BASE)
    for i in range(100):
        subset.insert(server(i))
    subset.select_members()
    assert len(subset.members) == SUBSET_LEAST and subset.listed == 100
    assert not subset.resize_needed(0)
    while not subset.resize_needed(1000):
        pass
    subset.mean_in_flight = 1e6
    subset.select_members()
    assert len(subset.members) == SUBSET_MOST == sum(m.member for m in subset.members)
    busy, *_ = subset.members
    assert subset.update_eligible_members() == 0
    busy.in_flight, busy.ejected = 3, True
    assert subset.update_eligible_members() == -3 and busy not in subset.eligible and busy.excluded
    busy.ejected = False
    assert subset.update_eligible_members() == 3 and not busy.excluded


def test_more_calls_leave_a_zone_that_is_slower_than_the_others():
    settings = BASE.__class__(
        **{**{f: getattr(BASE, f) for f in BASE.__dataclass_fields__}, "cross_zone_price": 0.05}
    )
    subset = Subset(settings)
    subset.spill_least = 0.1
    for near, far, more in ((0.9, 0.4, True), (0.4, 0.9, False)):
        for _ in range(400):
            subset.record_zone_ratio(settings.zone, near)
            subset.record_zone_ratio(settings.zone + 1, far)
            subset.adjust_spill()
        assert subset.spill == (1.0 if more else 0.1)


def test_latency_is_estimated_by_class_kind_and_server():
    estimates = LatencyEstimates([100.0 * MS])
    fast, slow = (estimates.new_server(ServerEntry(i, kind=i)) for i in range(2))
    for _ in range(200):
        estimates.record_latency(fast, 0, 50 * MS)
        estimates.record_latency(slow, 0, 150 * MS)
    assert estimates.mean_rtt[0] == pytest.approx(100 * MS, rel=0.05)
    assert estimates.kind_ratios[1].value / estimates.kind_ratios[0].value == pytest.approx(3, rel=0.1)
    assert estimates.new_server(ServerEntry(9, kind=1)).slowness(0, 1.0) == pytest.approx(1.5, rel=0.1)
