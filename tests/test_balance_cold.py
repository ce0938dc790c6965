"""Cold servers: their share, its bucket, and what it is measured against."""

import pytest
from support import SEC, ask, balancer, end

from brackenladder.interface import (
    NEVER_RAN,
    ListKind,
    Outcome,
    ServerEntry,
    State,
)
from brackenladder.policy.slow_start import COLD_PART

MAY_HAVE_RUN = [o for o in Outcome if o not in NEVER_RAN and o != Outcome.OK]


def test_a_server_that_has_just_got_warm_takes_one_and_a_half_shares_while_the_window_reaches_back():
    """Failure prevented: the only warm one of a fleet in deploy is flooded in its first warm second."""
    node, rec = balancer(2)
    node.warm_rate = 10.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    warm, server = SEC + 4 * SEC, node.servers[1]
    taken = sum(node.may_send(warm + i * 1000, server) for i in range(999))  # the rule's window: a second
    assert 12 <= taken <= 16
    assert all(node.may_send(warm + SEC, server) for _ in range(100))


@pytest.mark.parametrize("copies", [1, 4, 60])
def test_a_cold_server_gets_its_share_from_all_copies_from_the_first_moment_and_no_more(copies):
    """Failure prevented: it stands idle until the buckets of all copies are full, then each sends a call."""
    nodes = [balancer(2, instances=copies, index=i)[0] for i in range(copies)]
    sent = []
    for node in nodes:
        node.warm_rate = 20 / copies  # a warm server takes 20 calls a second from all
        node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    for step in range(200):  # for 4 s, in which it gets warm, each has work for it all the time
        now = SEC + step * SEC // 50
        sent += [now for node in nodes if node.may_send(now, node.servers[1])]
    share = 20 * COLD_PART * nodes[0].settings.fall_multiple
    first = share * nodes[0].settings.cold_share  # calls in the first second, when it does not warm yet
    assert 0.7 * first - 1 <= sum(t < 2 * SEC for t in sent) <= 1.4 * first + 1
    windows = [(t, sum(t <= other < t + SEC for other in sent)) for t in sent]
    for t, calls in windows:
        warmth = nodes[0].warmth(min(t + SEC, 5 * SEC), nodes[0].servers[1])
        assert calls <= share * warmth * 1.2 + 2


@pytest.mark.parametrize(
    ("outcome", "counts"),
    [
        (Outcome.OK, True),
        (Outcome.ERROR, True),
        (Outcome.TIMEOUT, True),
        (Outcome.REJECTED, False),
        (Outcome.RESET, False),
        (Outcome.CONNECT_FAILED, False),
    ],
)
def test_a_cold_servers_share_is_of_what_warm_ones_took(outcome, counts):
    node, rec = balancer(1, max_attempts=1)
    for i in range(3):
        assert ask(node, rec, 1000, i)[0] == "send"
        end(node, rec, 2000, i, 0, 1, outcome)
    node.each_window(100_000)
    assert (node.warm_rate > 0) == counts


def test_what_is_turned_away_in_a_later_window_is_taken_off_in_full():
    """Failure prevented: bursts that a full queue turns away a window later raise a cold server's share."""
    node, rec = balancer(1, max_attempts=1)
    rates = []
    for turn in range(1, 40, 2):
        for i in range(3):
            assert ask(node, rec, turn * 100_000 - 1000, 3 * turn + i)[0] == "send"
        node.each_window(turn * 100_000)
        for i in range(3):
            end(node, rec, turn * 100_000 + 1000, 3 * turn + i, 0, 1, Outcome.REJECTED)
        node.each_window((turn + 1) * 100_000)
        rates.append(node.warm_rate)
    assert max(rates) < 1.0  # of 15 calls a second that were sent


def test_the_bucket_of_a_cold_server_starts_empty():
    """A call saved up while nobody watched would come on top of every other node's."""
    node, rec = balancer(2)
    node.warm_rate = 10.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    cold = node.servers[1]
    assert not node.may_send(SEC, cold)
    assert [node.may_send(SEC + 500_000, cold) for _ in range(3)] == [True, False, False]


@pytest.mark.parametrize("multiple, shares", [(0.0, 1.0), (1.2, 1.0), (2.5, 1.5), (3.0, 1.8)])
def test_a_cold_server_gets_a_stated_part_of_what_the_rule_allows(multiple, shares):
    node, _ = balancer(2, fall_multiple=multiple)
    node.warm_rate = 100.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    sent = sum(node.may_send(SEC + i * 1000, node.servers[1]) for i in range(1000))
    least = 100 * (0.4 + 0.6 / 4 / 2)  # from 0.4 on, for one second of the four that it takes to get warm
    assert sent == pytest.approx(shares * least, rel=0.08)  # a little runs over between two looks


def test_a_cold_servers_share_is_of_what_warm_ones_take():
    """A server that turned most calls away restarts, and gets its share of all that was sent to it."""
    node, rec = balancer(4, max_attempts=1)
    for i in range(20):
        server = ask(node, rec, i, i)[2]
        end(node, rec, i, i, 0, server, Outcome.REJECTED if i % 2 else Outcome.OK)
    assert node.warm_sent == 10


def test_cold_servers_in_place_of_warm_ones_lower_the_limit():
    entries = [ServerEntry(i) for i in range(8)]
    node, _ = balancer(entries)
    node.controller.limit = 30.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(8 + i, ready_at=SEC) for i in range(4)])
    assert node.controller.limit == 30.0  # more servers, whatever they can do
    gone = [ServerEntry(i, State.GONE) for i in range(4)]
    node.server_list(SEC, ListKind.CHANGES, gone)
    # Members are four of eight, cold at a share of 0.4 or warm: what all can do is estimated from them.
    cold = sum(m.cold_until > SEC for m in node.members)
    can = 8 * (len(node.members) - 0.6 * cold) / len(node.members)
    assert cold > 0 and node.controller.strength == pytest.approx(can)
    assert node.controller.limit < 30.0


@pytest.mark.parametrize(
    "ready_at, cold_time, warmth",
    [
        (SEC, 4 * SEC, 0.4),
        (9 * SEC, 4 * SEC, 0.4),
        (9 * SEC, 0, 0.4),
        (-SEC, 4 * SEC, 0.7),
        (-3 * SEC, 4 * SEC, 1.0),
    ],
)
def test_a_servers_warmth_lies_between_the_cold_share_and_one(ready_at, cold_time, warmth):
    node, _ = balancer(2, cold_time=cold_time)
    node.server_list(10 * SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=10 * SEC + ready_at)])
    assert node.warmth(11 * SEC, node.servers[1]) == pytest.approx(warmth)


@pytest.mark.parametrize("ratio, falls", [(0.9, True), (1.1, False)])
def test_a_cold_servers_share_does_not_fall_with_what_slowed_warm_ones_take(ratio, falls):
    """Six of ten servers are cold, the others slow down under the load, and nobody uses the cold ones."""
    node, _ = balancer(2)
    node.warm_rate = 10.0
    node.controller.sample_rtt = ratio
    for i in range(1, 20):
        node.each_window(i * 100_000)  # hardly anything is sent
    assert (node.warm_rate < 5) == falls and node.warm_rate <= 10
    node.warm_sent = 10  # 50 a second at each of two
    node.each_window(2 * SEC)
    assert node.warm_rate > (10 if not falls else 0)  # what they take in good time still counts


def test_a_trial_costs_the_request_little_and_is_never_an_unsafe_one():
    node, rec = balancer(4)
    node.eject(0, node.servers[1], silent=True)
    assert ask(node, rec, 5 * SEC, 1, klass=2)[2] != 1
    action = ask(node, rec, 5 * SEC, 2, klass=0, left=3 * SEC)
    assert action[2] == 1 and action[3] < 3 * SEC


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.NOT_SENT])
def test_a_trial_that_came_to_nothing_is_followed_by_another(outcome):
    """Failure prevented: a client leaves during a trial, and the server stays ejected for good."""
    node, rec = balancer(4)
    node.eject(0, node.servers[1], silent=True)
    assert ask(node, rec, 5 * SEC, 1)[2] == 1
    node.client_left(5 * SEC, 1)
    end(node, rec, 5 * SEC, 1, 0, 1, outcome)
    assert ask(node, rec, 10 * SEC, 2)[2] == 1


def test_unvisited_zones_are_taken_to_do_as_well_as_this_one_at_its_best():
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]
    node, rec = balancer(entries, cross_zone_price=0.04, instances=12)
    node.far_ratio, node.best_ratio, node.near_ratio = 5.0, 0.2, 0.6
    for i in range(1, 60):
        node.each_window(i * 100_000)
    assert node.far_ratio < 3.0 and node.spill > 0


@pytest.mark.usefixtures("wide")
def test_when_the_drawn_are_all_cold_another_member_serves():
    entries = [ServerEntry(i + 1, ready_at=SEC) for i in range(11)] + [ServerEntry(12)]
    node, rec = balancer(entries)
    assert {ask(node, rec, SEC + 1000 * i, i)[2] for i in range(20)} == {12}
