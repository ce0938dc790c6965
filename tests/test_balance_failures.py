"""Servers and zones that fail, stop answering, slow down or are lost: ejection, spill and the limit."""

from random import Random

import pytest
from support import SEC, ask, balancer, end, load

from brackenladder.interface import (
    NEVER_RAN,
    ListKind,
    Outcome,
    ServerEntry,
)

MAY_HAVE_RUN = [o for o in Outcome if o not in NEVER_RAN and o != Outcome.OK]


def calls(node, rec, steps: int, failing: float, now: int = 0, gap: int = 10_000) -> tuple[int, float]:
    """Plays calls of 100 ms, up to ten in flight, of which a random share `failing` fails.

    Returns the time at the end and the lowest limit seen.
    """
    chance = Random(7)
    out: list = []
    least = node.controller.limit
    for _ in range(steps):
        now += gap
        action = ask(node, rec, now, now, 2)
        if action[0] == "send":
            out.append(action)
        if len(out) > 10 or action[0] != "send" and out:
            _, request, server, _ = out.pop(0)
            outcome = Outcome.RESET if chance.random() < failing else Outcome.OK
            end(node, rec, now, request, 0, server, outcome, 100_000)
        least = min(least, node.controller.limit)
    return now, least


def test_a_tenth_of_failing_calls_does_not_close_the_limit():
    """Failure prevented: errors that occur at any server alike halve the limit again and again.

    With few calls, two failures among a window's dozen set its p90.
    """
    node, rec = balancer(6, instances=6)
    now, _ = calls(node, rec, 1500, 0.0)
    limit = node.controller.limit
    _, least = calls(node, rec, 1400, 0.1, now, 70_000)
    assert least > 0.6 * limit  # the ceiling follows the usual calls in flight


def test_failures_of_the_whole_subset_lower_the_limit():
    """Failure prevented: a lower tier fails most calls, and the limit stays since errors add no samples."""
    node, rec = balancer(6, instances=6)
    now, _ = calls(node, rec, 1500, 0.0)
    usual = node.controller.usual
    assert usual > 8 and node.controller.effective_limit() > 12
    calls(node, rec, 1500, 1.0, now)
    assert node.controller.floor < usual and node.controller.limit < 0.7 * usual


def test_a_member_that_has_just_become_slow_is_chosen_less_before_its_calls_return():
    """Its averages still look good, but its calls have been in flight for longer than the mean."""
    node, rec = balancer(2)
    slow, quick = node.members
    slow.in_flight, slow.quiet_since = 1, 0
    quick.in_flight, quick.quiet_since = 2, 900_000
    assert load(slow, 300_000, 250_000.0) < load(quick, 1_000_000, 250_000.0)
    assert load(slow, 1_000_000, 250_000.0) > load(quick, 1_000_000, 250_000.0)


@pytest.mark.usefixtures("wide")
def test_calls_stay_in_their_zone_only_if_crossing_has_a_cost():
    """Failure prevented: calls that stay in a zone for no reason overload its servers."""
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]

    def near_share(price: float) -> float:
        node, rec = balancer(entries, cross_zone_price=price)
        now = near = 0
        for i in range(400):
            now += 20_000
            server = ask(node, rec, now, i)[2]
            near += server % 2
            end(node, rec, now, i, 0, server, Outcome.OK, 250_000)
        return near / 400

    assert near_share(0.04) > 0.7
    assert 0.35 < near_share(0.005) < 0.65


def test_calls_leave_an_overloaded_zone():
    """Failure prevented: one zone's servers are overloaded while another's are idle."""
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]
    node, rec = balancer(entries, cross_zone_price=0.04)
    now, far = 0, 0
    for i in range(2000):
        now += 10_000
        server = ask(node, rec, now, i, 2)[2]
        far += i >= 1000 and server % 2 == 0
        overloaded = i >= 500 and server % 2 == 1
        end(node, rec, now, i, 0, server, Outcome.OK, 800_000 if overloaded else 200_000)
    assert node.spill > 0.5 and far > 300


@pytest.mark.parametrize(("nodes", "least"), [(1, 5 / 6), (3, 0.5), (6, 0.0)])
def test_traffic_above_a_zone_s_part_of_the_servers_leaves_the_zone(nodes, least):
    """Failure prevented: a zone's only server gets all calls of the only node in the zone."""
    entries = [ServerEntry(i + 1, zone=min(i, 1)) for i in range(6)]
    node, rec = balancer(entries, cross_zone_price=0.04, instances=nodes)
    assert node.spill == pytest.approx(least)
    now = far = 0
    for i in range(600):
        now += 20_000
        server = ask(node, rec, now, i)[2]
        far += server != 1
        end(node, rec, now, i, 0, server, Outcome.OK, 250_000)
    assert far / 600 >= least * 5 / 6 - 0.05
    assert node.spill >= least


def test_a_slow_member_is_chosen_less_often():
    """Failure prevented: with hardly any calls in flight a slow server gets as many calls as a fast one."""
    node, rec = balancer(4)
    now, hits = 0, 0
    for i in range(400):
        now += 400_000
        server = ask(node, rec, now, i)[2]
        hits += server == 1
        end(node, rec, now, i, 0, server, Outcome.OK, 300_000 if server == 1 else 100_000)
    assert hits < 60


def test_a_failing_member_is_chosen_less_before_it_is_ejected():
    node, rec = balancer(4)
    node.servers[1].fail_rate = 0.25
    node.servers[1].quiet_since = 0
    assert load(node.servers[1], 0, 100_000.0) == pytest.approx(3 * load(node.servers[2], 0, 100_000.0))


def test_the_latency_of_an_outlier_is_not_used_for_the_limit():
    node, rec = balancer(4)
    node.controller.end_pass(0)
    node.servers[1].latency_ratio.value = 3.0
    counts = []
    for i, server in enumerate((1, 2)):
        while ask(node, rec, 1000, 100 * server + i, 2)[2] != server:
            i += 1
        end(node, rec, 1000, 100 * server + i, 0, server, Outcome.OK, 100_000)
        counts.append(len(node.controller.samples))
    assert counts == [0, 1]


def test_an_ejected_server_does_not_count_for_its_zone_s_part():
    """Failure prevented: one of a zone's two servers fails, the other is overloaded beside an idle zone."""
    entries = [ServerEntry(i, zone=i % 2) for i in range(1, 5)]
    node, rec = balancer(entries, cross_zone_price=0.04, instances=2)
    assert node.spill == 0
    near = node.eligible_near[0]
    node.eject(0, near, silent=False)
    assert node.spill == pytest.approx(1 / 3)
    node.readmit(near)
    assert node.spill_least == 0


def test_a_shrinking_list_leaves_no_more_than_a_third_ejected():
    """Failure prevented: the only member that is not ejected gets all calls."""
    node, rec = balancer(4)
    node.eject(0, node.servers[1], silent=False)
    node.server_list(1, ListKind.FULL, [ServerEntry(i) for i in (1, 2, 3)])
    assert [srv.id for srv in node.ejected] == [1]
    node.server_list(2, ListKind.FULL, [ServerEntry(i) for i in (1, 2)])
    assert node.ejected == [] and len(node.eligible) == 2


@pytest.mark.usefixtures("wide")
def test_no_more_than_a_third_of_the_members_is_ejected():
    node, rec = balancer(9)
    for server in range(1, 10):
        node.eject(0, node.servers[server], silent=False)
    assert len(node.ejected) == 3


def test_a_lost_zone_gets_no_calls_and_does_not_lower_the_limit():
    """Half of the members refuse connections: none is an outlier, and their failures are no sign of load."""
    node, rec = balancer(4, max_attempts=4)
    lost = [m for m in node.members if m.id % 2]
    before = node.controller.capacity
    for i in range(800):
        now = 10_000 * i
        action = ask(node, rec, now, i)
        attempt = 0
        while action[0] == "send" and action[2] % 2:  # a failed connection takes no retry token
            node.retry_tokens = 0.0
            ((*action,),) = end(node, rec, now, i, attempt, action[2], Outcome.CONNECT_FAILED)
            attempt += 1
            assert node.retry_tokens == node.controller.lost == 0
            assert action[0] == "send" or attempt == 4
        if action[0] == "send":
            end(node, rec, now + 1000, i, attempt, action[2], Outcome.OK)
    assert all(m.unreachable for m in lost) and node.controller.capacity == pytest.approx(before / 2)
    node.server_list(9 * SEC, ListKind.CHANGES, [ServerEntry(2)])
    assert all(m.unreachable for m in lost)
    node.server_list(9 * SEC, ListKind.CHANGES, [ServerEntry(lost[0].id, ready_at=9 * SEC)])
    assert not lost[0].unreachable and lost[1].unreachable  # only the restarted server is readmitted


def test_not_all_members_are_ejected_as_unreachable():
    node, _ = balancer(4)
    for m in list(node.members):
        node.eject(0, m, silent=False, unreachable=True)
    assert sum(m.unreachable for m in node.members) == 3


def test_a_restarted_server_starts_without_old_measurements():
    node, rec = balancer(4)
    node.eject(0, node.servers[1], silent=False)
    node.servers[1].latency_ratio.value = 5.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC - 1)])
    assert not node.servers[1].ejected and node.servers[1].latency_ratio.value == 1.0
    assert node.servers[1].cold_until == SEC - 1 + 4 * SEC + SEC  # plus fall_time
