"""Slow start: the share of calls that a cold server gets, its token bucket and the rate it derives from."""

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


def test_a_server_that_has_just_warmed_up_gets_at_most_one_and_a_half_shares_per_window():
    """Failure prevented: in a rolling restart the only warm server is overloaded in its first warm second."""
    node, rec = balancer(2)
    node.warm_rate = 10.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    warm, server = SEC + 4 * SEC, node.servers[1]
    taken = sum(node.may_send(warm + i * 1000, server) for i in range(999))  # one window of fall_time
    assert 12 <= taken <= 16
    assert all(node.may_send(warm + SEC, server) for _ in range(100))


@pytest.mark.parametrize("nodes_total", [1, 4, 60])
def test_a_cold_server_gets_its_share_from_all_nodes_together_from_the_start(nodes_total):
    """Failure prevented: a cold server is idle until the buckets of all nodes fill and all send at once."""
    nodes = [balancer(2, instances=nodes_total, index=i)[0] for i in range(nodes_total)]
    sent = []
    for node in nodes:
        node.warm_rate = 20 / nodes_total  # a warm server takes 20 calls a second from all
        node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    for step in range(200):  # for the 4 s of its warm-up, every node sends whenever it may
        now = SEC + step * SEC // 50
        sent += [now for node in nodes if node.may_send(now, node.servers[1])]
    share = 20 * COLD_PART * nodes[0].settings.fall_multiple
    first = share * nodes[0].settings.cold_share  # calls in the first second, at the cold share
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
def test_only_calls_that_a_warm_server_accepted_count_for_the_warm_rate(outcome, counts):
    node, rec = balancer(1, max_attempts=1)
    for i in range(3):
        assert ask(node, rec, 1000, i)[0] == "send"
        end(node, rec, 2000, i, 0, 1, outcome)
    node.end_window(100_000)
    assert (node.warm_rate > 0) == counts


def test_calls_rejected_in_a_later_window_are_subtracted_in_full():
    """Failure prevented: bursts that are rejected one window after sending raise a cold server's share."""
    node, rec = balancer(1, max_attempts=1)
    rates = []
    for turn in range(1, 40, 2):
        for i in range(3):
            assert ask(node, rec, turn * 100_000 - 1000, 3 * turn + i)[0] == "send"
        node.end_window(turn * 100_000)
        for i in range(3):
            end(node, rec, turn * 100_000 + 1000, 3 * turn + i, 0, 1, Outcome.REJECTED)
        node.end_window((turn + 1) * 100_000)
        rates.append(node.warm_rate)
    assert max(rates) < 1.0  # although 15 calls a second were sent


def test_the_bucket_of_a_cold_server_starts_empty():
    """Failure prevented: every node sends a saved-up call to the cold server at once."""
    node, rec = balancer(2)
    node.warm_rate = 10.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    cold = node.servers[1]
    assert not node.may_send(SEC, cold)
    assert [node.may_send(SEC + 500_000, cold) for _ in range(3)] == [True, False, False]


@pytest.mark.parametrize("multiple, shares", [(0.0, 1.0), (1.2, 1.0), (2.5, 1.5), (3.0, 1.8)])
def test_a_cold_server_gets_a_fixed_part_of_the_allowed_multiple(multiple, shares):
    node, _ = balancer(2, fall_multiple=multiple)
    node.warm_rate = 100.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    sent = sum(node.may_send(SEC + i * 1000, node.servers[1]) for i in range(1000))
    least = 100 * (0.4 + 0.6 / 4 / 2)  # the first of four seconds, from 0.4 up
    assert sent == pytest.approx(shares * least, rel=0.08)  # the bucket overflows a little between two calls


def test_rejected_calls_do_not_count_for_the_warm_rate():
    """Failure prevented: a server that rejected most calls gets, after a restart, a share of all of them."""
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
    assert node.controller.limit == 30.0  # more servers never lower the limit
    gone = [ServerEntry(i, State.GONE) for i in range(4)]
    node.server_list(SEC, ListKind.CHANGES, gone)
    # Four of eight servers are members, each warm or at a cold share of 0.4; they give the total capacity.
    cold = sum(m.cold_until > SEC for m in node.members)
    capacity = 8 * (len(node.members) - 0.6 * cold) / len(node.members)
    assert cold > 0 and node.controller.capacity == pytest.approx(capacity)
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
def test_late_answers_of_warm_members_do_not_lower_a_cold_server_s_share(ratio, falls):
    """Failure prevented: the warm servers slow down under load, and the cold ones are left idle."""
    node, _ = balancer(2)
    node.warm_rate = 10.0
    node.controller.sample_rtt = ratio
    for i in range(1, 20):
        node.end_window(i * 100_000)  # hardly anything is sent
    assert (node.warm_rate < 5) == falls and node.warm_rate <= 10
    node.warm_sent = 10  # 50 calls a second at each of two members
    node.end_window(2 * SEC)
    assert node.warm_rate > (10 if not falls else 0)  # a higher rate still counts


def test_a_trial_has_a_short_timeout_and_is_never_an_unsafe_request():
    node, rec = balancer(4)
    node.eject(0, node.servers[1], silent=True)
    assert ask(node, rec, 5 * SEC, 1, klass=2)[2] != 1
    action = ask(node, rec, 5 * SEC, 2, klass=0, left=3 * SEC)
    assert action[2] == 1 and action[3] < 3 * SEC


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.NOT_SENT])
def test_a_trial_without_a_result_is_followed_by_another(outcome):
    """Failure prevented: a client disconnects during a trial, and the server stays ejected forever."""
    node, rec = balancer(4)
    node.eject(0, node.servers[1], silent=True)
    assert ask(node, rec, 5 * SEC, 1)[2] == 1
    node.client_left(5 * SEC, 1)
    end(node, rec, 5 * SEC, 1, 0, 1, outcome)
    assert ask(node, rec, 10 * SEC, 2)[2] == 1


def test_zones_without_calls_are_assumed_to_be_as_fast_as_this_one_at_its_best():
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]
    node, rec = balancer(entries, cross_zone_price=0.04, instances=12)
    node.far_ratio, node.best_ratio, node.near_ratio = 5.0, 0.2, 0.6
    for i in range(1, 60):
        node.end_window(i * 100_000)
    assert node.far_ratio < 3.0 and node.spill > 0


@pytest.mark.usefixtures("wide")
def test_another_member_serves_if_all_drawn_ones_are_cold():
    entries = [ServerEntry(i + 1, ready_at=SEC) for i in range(11)] + [ServerEntry(12)]
    node, rec = balancer(entries)
    assert {ask(node, rec, SEC + 1000 * i, i)[2] for i in range(20)} == {12}
