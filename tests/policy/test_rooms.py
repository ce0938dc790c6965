"""Each room of the decision module by itself, with a clock of the test's own. The limit has its own file."""

from __future__ import annotations

from random import Random

import pytest
from support import BASE, SEC

from brackenladder.interface import NEVER_RAN, Effect, Group, Outcome, ServerEntry, TenantSettings
from brackenladder.policy.ejection import DEAD_SHARE, EJECT_FAILS, EJECT_SHARE, EJECT_TIME, Ejection
from brackenladder.policy.load_shedding import SHED_LATE, LoadShedding
from brackenladder.policy.retry import LEAST_TOKENS, RETRY_RATIO, Request, Retries, same_group
from brackenladder.policy.server import Average, Server, Speeds
from brackenladder.policy.slow_start import COLD_PART, SlowStart
from brackenladder.policy.subset import SUBSET_LEAST, SUBSET_MOST, Subset

MS = 1000


def server(number: int = 1, **entry) -> Server:
    return Server(ServerEntry(number, **entry), Average(1.0, 3.0, 0.02))


# ---- warming ------------------------------------------------------------------------------------------


def test_a_cold_server_warms_by_the_settings_and_gets_its_part_of_what_a_warm_one_takes():
    room, cold = SlowStart(BASE), server()
    room.warm_rate = 50.0
    room.chill(10 * SEC, cold, 10 * SEC)
    shares = COLD_PART * BASE.fall_multiple
    assert room.warmth(10 * SEC, cold) == BASE.cold_share
    assert room.warmth(12 * SEC, cold) == pytest.approx((1 + BASE.cold_share) / 2)  # of four seconds two
    taken = sum(room.may_send(10 * SEC + i * MS, cold) for i in range(2000))
    mean = BASE.cold_share + 0.25 * (1 - BASE.cold_share)
    assert taken == pytest.approx(shares * 50 * 2 * mean, rel=0.06)
    assert room.may_send(16 * SEC, cold) and room.warmth(16 * SEC, cold) == 1


@pytest.mark.parametrize(("late", "rate"), [(False, 30.0), (True, 50.0)])
def test_what_a_warm_one_takes_is_not_measured_down_while_answers_are_late(late, rate):
    room, members = SlowStart(BASE), [server(i) for i in range(4)]
    members[3].cold_until = 99 * SEC  # cold: it does not count
    room.warm_rate, room.warm_sent = 50.0, 3 * 20
    room.count_warm(10 * SEC, 2 * SEC, members, late)
    assert room.warm_rate == pytest.approx(10.0 if not late else rate) and room.warm_sent == 0


def test_pools_that_share_a_server_share_its_part_while_it_is_cold():
    taken = []
    for part in (1.0, 0.5):
        room, cold = SlowStart(BASE), server()
        room.warm_rate, cold.part = 50.0, part
        room.chill(10 * SEC, cold, 10 * SEC)
        taken.append(sum(room.may_send(10 * SEC + i * MS, cold) for i in range(3000)))
    assert taken[1] == pytest.approx(taken[0] / 2, rel=0.05)


# ---- ejection -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("outcome", "state", "verdict"),
    [
        (Outcome.CONNECT_FAILED, {"fails_in_row": EJECT_FAILS - 1}, (False, True)),
        (Outcome.CONNECT_FAILED, {"fails_in_row": EJECT_FAILS - 2}, None),
        (Outcome.ERROR, {"fails_in_row": EJECT_FAILS - 1, "fail_rate": 0.5, "calls": 9}, (False, False)),
        (Outcome.ERROR, {"fails_in_row": EJECT_FAILS - 1, "fail_rate": 0.1}, None),  # as bad as all
        (Outcome.TIMEOUT, {"fails_in_row": 9, "fail_rate": 1.0, "calls": 9}, None),
        (Outcome.TIMEOUT, {"ejected": True, "trial_out": True, "silent": True}, (True, False)),
        (Outcome.ERROR, {"ejected": True, "trial_out": True}, (False, False)),
        (Outcome.ERROR, {"ejected": True}, None),
    ],
)
def test_who_is_set_aside(outcome, state, verdict):
    room, srv = Ejection(Random(1)), server()
    room.fail_rate = 0.1
    for name, value in state.items():
        setattr(srv, name, value)
    assert room.judge(srv, outcome) == verdict


def test_a_trial_comes_later_each_time_and_so_many_may_be_away():
    room, members = Ejection(Random(1)), [server(i) for i in range(12)]
    away = []
    while room.spare(len(members), dead=False):
        away.append(members[len(away)])
        room.set_aside(0, away[-1], silent=False, dead=False)
    assert len(away) == int(EJECT_SHARE * 12)
    while room.spare(len(members), dead=True):
        room.set_aside(0, members[len(room.ejected)], silent=False, dead=True)
    assert len(room.ejected) == int(DEAD_SHARE * 12)
    first, *_ = away
    assert room.trial(0, lambda now, srv: True) is None
    now = max(srv.trial_at for srv in away)
    tried = room.trial(now, lambda now, srv: srv in away)
    assert tried in away and tried.trial_at == now + EJECT_TIME and tried.trial_out
    room.take_back(first)
    assert first not in room.ejected and first.ejections == 0
    times = []
    for _ in range(6):
        room.set_aside(0, first, silent=False, dead=False)
        times.append(first.trial_at / EJECT_TIME)
    assert [int(t + 0.05) for t in times[:4]] == [1, 2, 4, 8] and times[5] <= 16 * 1.1


# ---- what is refused first ----------------------------------------------------------------------------


def test_an_excess_is_told_from_a_copy_with_much_traffic():
    settings = BASE.__class__(
        **{
            **{f: getattr(BASE, f) for f in BASE.__dataclass_fields__},
            "tenants": [TenantSettings(10.0) for _ in range(3)],
        }
    )
    rates = {"one": (40, 8, 8), "all": (40, 40, 40)}
    clear = {}
    for name, rate in rates.items():
        room = LoadShedding(settings, Random(1))
        found = []
        for step in range(3000):  # 30 s
            for tenant, each in enumerate(rate):
                if step * each % 100 < each:
                    found.append((tenant, room.over_share(step * 10 * MS, tenant)[1]))
        mine = [over for tenant, over in found[len(found) // 2 :] if tenant == 0]
        clear[name] = sum(mine) / len(mine)
    assert clear["one"] > 0.5 and clear["all"] < 0.05
    assert room.over_share(0, 7) == (False, False)  # nobody of that number


def test_the_shed_part_follows_lateness_and_one_answer_counts_up_to_a_bound():
    room = LoadShedding(BASE, Random(1))
    for _ in range(200):
        room.press(0.2)
    assert room.shed == 0
    room.press(1.0)
    assert 0 < room.shed < 0.1
    late, later = LoadShedding(BASE, Random(1)), LoadShedding(BASE, Random(1))
    late.shed = later.shed = -1.0  # far from both ends
    late.press(SHED_LATE)
    later.press(1e9)
    assert late.shed == later.shed


# ---- repeats ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("effect", list(Effect))
def test_what_may_be_repeated(effect, outcome):
    c = BASE.classes[1]
    r = Request(1, 1, effect, 9 * SEC, sent_at=SEC)
    r.may_have_run(server(), outcome)
    ran = outcome not in NEVER_RAN
    for now, within in ((SEC + c.window - 1, True), (SEC + c.window, False)):
        allowed = not ran or effect == Effect.SAFE or (effect == Effect.KEYED and within)
        assert r.repeatable(now, c) == allowed


def test_the_budget_is_a_tenth_of_first_attempts():
    room = Retries()
    spent = sum(room.spend(Outcome.ERROR) for _ in range(10))
    assert spent == LEAST_TOKENS and room.spend(Outcome.CONNECT_FAILED)  # which costs none
    for _ in range(1000):
        room.earn(4.0)
    assert room.retry_tokens == LEAST_TOKENS  # no more is saved up
    for _ in range(10):
        assert not (room.retry_tokens < 1 and room.spend(Outcome.RESET))
        room.retry_tokens = 0.0
        room.earn(4.0)
        assert room.retry_tokens == RETRY_RATIO


@pytest.mark.parametrize(
    ("group", "same"), [(Group.ALL, (1, 1, 1)), (Group.ZONE, (0, 1, 0)), (Group.CELL, (1, 0, 0))]
)
def test_who_drops_the_other_s_repeat(group, same):
    one = server(1)
    one.cell, one.zone = 1, 1
    for (cell, zone), expected in zip(((1, 2), (2, 1), (2, 2)), same, strict=True):
        other = server(2)
        other.cell, other.zone = cell, zone
        assert same_group(group, one, other) == bool(expected)


# ---- members and zones --------------------------------------------------------------------------------


def test_members_are_this_copy_s_stretch_and_as_many_as_its_calls_want():
    room = Subset(BASE)
    for i in range(100):
        room.enlist(server(i))
    room.take_members()
    assert len(room.members) == SUBSET_LEAST and room.listed == 100
    assert not room.crowd(0)
    while not room.crowd(1000):
        pass
    room.flight = 1e6
    room.take_members()
    assert len(room.members) == SUBSET_MOST == sum(m.member for m in room.members)
    busy, *_ = room.members
    assert room.sort_able() == 0
    busy.in_flight, busy.ejected = 3, True
    assert room.sort_able() == -3 and busy not in room.able and busy.aside
    busy.ejected = False
    assert room.sort_able() == 3 and not busy.aside


def test_calls_leave_a_zone_that_is_slower_than_the_others():
    settings = BASE.__class__(
        **{**{f: getattr(BASE, f) for f in BASE.__dataclass_fields__}, "cross_zone_price": 0.05}
    )
    room = Subset(settings)
    room.spill_least = 0.1
    for near, far, more in ((0.9, 0.4, True), (0.4, 0.9, False)):
        for _ in range(400):
            room.heard(settings.zone, near)
            room.heard(settings.zone + 1, far)
            room.lean()
        assert room.spill == (1.0 if more else 0.1)


def test_speeds_are_learned_of_class_kind_and_server():
    room = Speeds([100.0 * MS])
    fast, slow = (room.newcomer(ServerEntry(i, kind=i)) for i in range(2))
    for _ in range(200):
        room.measure(fast, 0, 50 * MS)
        room.measure(slow, 0, 150 * MS)
    assert room.mean_rtt[0] == pytest.approx(100 * MS, rel=0.05)
    assert room.kinds[1].value / room.kinds[0].value == pytest.approx(3, rel=0.1)
    assert room.newcomer(ServerEntry(9, kind=1)).slowness(0, 1.0) == pytest.approx(1.5, rel=0.1)
