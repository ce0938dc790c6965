"""The gradient controller, compared with windows computed by hand."""

from math import sqrt
from random import Random

import pytest

from brackenladder.policy.limit import (
    MIN_LIMIT,
    PASS_CALLS,
    WINDOW,
    WINDOW_SAMPLES,
    GradientController,
    percentile,
)


def controller(allowance: int = 100_000, members: int = 5, **state) -> GradientController:
    c = GradientController([allowance], 1000, Random(1), 0)
    c.resize(members, 1)
    for name, value in state.items():
        setattr(c, name, value)
    return c


def run_pass(c: GradientController, rtt: int, now: int) -> None:
    """Adds samples of one latency until the pass is over, the last one at the end of its time."""
    for _ in range(c.pass_count):
        c.sample(now, 0, rtt)
    c.sample(c.pass_until, 0, rtt)
    assert not c.in_pass


def after_pass(rtt: int = 100_000, allowance: int = 100_000, **state) -> GradientController:
    c = controller(allowance)
    run_pass(c, rtt, 1000)
    c.window_start = 1000
    for name, value in state.items():
        setattr(c, name, value)
    return c


def fill(c: GradientController, latency: int, start: int = 1000, samples: int = WINDOW_SAMPLES) -> None:
    for i in range(samples):
        c.sample(start + (i + 1) * WINDOW // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_the_controller_starts_with_a_pass_at_a_low_limit():
    c = controller(members=5)
    assert c.in_pass and c.effective_limit() == 5 * MIN_LIMIT
    assert controller(members=1).effective_limit() == MIN_LIMIT


def test_pass_sets_min_rtt_to_the_p90_of_its_calls():
    c = controller(members=5)
    calls = c.pass_count
    assert calls <= PASS_CALLS
    for i in range(calls):
        c.sample(c.pass_until if i == calls - 1 else 1000, 0, 1000 * (i + 1))
    assert not c.in_pass
    assert c.min_rtt[0] == 1000 * (calls * 9 // 10)


def test_a_pass_waits_for_long_calls():
    """Failure prevented: a pass that ends too early has seen only short calls, and min_rtt is too low."""
    c = controller(members=5)
    for _ in range(200):
        c.sample(c.pass_until - 1, 0, 1000)
    assert c.in_pass


def test_pass_ends_by_time_when_calls_are_few():
    c = controller()
    c.sample(10, 0, 500)
    c.sample(20, 0, 700)
    c.sample(c.pass_until + 3 * 10 * WINDOW, 0, 600)
    assert not c.in_pass and c.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # min_rtt 100 ms, buffer 25%, window p90 250 ms: gradient 0.5, limit 0.5 x 36 + 6 = 24
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    fill(c, 250_000)
    assert c.gradient == pytest.approx(0.5)
    assert c.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # p90 of 125 ms = min_rtt + B: gradient 1, limit 36 + 6
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(42.0)


def test_limit_is_bounded_by_the_calls_in_flight():
    c = after_pass(limit=100.0, in_flight=10, usual=10.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(2 * 10 + MIN_LIMIT)


def test_nodes_that_share_servers_share_floor_and_headroom():
    """Failure prevented: with a floor of three calls a node, hundreds of nodes overload every server."""
    c = after_pass(limit=4.0)
    c.resize(4, 36.0)
    assert c.floor == pytest.approx(4 * MIN_LIMIT / 36) and c.headroom() == pytest.approx(2 / 6)
    c.resize(24, 9.0)
    assert c.pass_limit == 2 * 24 * MIN_LIMIT / 9 < 24 * MIN_LIMIT / 3  # two floors, less than the root gives


@pytest.mark.parametrize(
    "copies, members, usual", [(1.0, 24, 0.0), (9.5, 24, 0.0), (9.5, 24, 15.0), (40.0, 24, 2.0)]
)
def test_the_limits_of_all_nodes_together_are_bounded_per_server(copies, members, usual):
    """Failure prevented: ten nodes with a single one's headroom: 28 calls a server, where 12 make it slow."""
    c = controller(members=members, usual=usual)
    c.limit = 0.0
    c.resize(members, copies)
    least = copies / members  # no bound of a node is below MIN_LIMIT calls
    assert c.limit * copies / members <= 2 * MIN_LIMIT
    assert c.pass_limit * copies / members <= max(2 * MIN_LIMIT, MIN_LIMIT * least)
    within = (2 * usual + MIN_LIMIT) * least
    assert c.max_limit() * copies / members <= max(
        within, 4.5 * MIN_LIMIT if copies == 1 else 3 * MIN_LIMIT, 4.5 * least
    )


def test_a_node_that_carries_many_calls_shares_its_headroom_with_fewer():
    """Failure prevented: busy nodes, which see their own load, grow too slowly with a shared headroom."""
    c = after_pass(limit=16.0, usual=8.0)
    c.resize(4, 9.0)
    assert c.sharing == 1 and c.headroom() == 4.0


@pytest.mark.parametrize(
    "capacity, limit, usual", [(8.0, 51.2, 32.0), (10.0, 100.0, 40.0), (12.0, 100.0, 40.0)]
)
def test_the_limit_falls_at_once_with_the_capacity_of_the_servers(capacity, limit, usual):
    """Failure prevented: half of a tier leaves, and the rest is overloaded before latency shows it."""
    c = after_pass(limit=100.0, usual=40.0)
    c.set_capacity(10.0)
    assert (c.limit, c.usual) == (100.0, 40.0)  # the first list is no change
    c.set_capacity(capacity)
    assert (c.limit, c.usual) == (pytest.approx(limit), pytest.approx(usual))


def test_a_small_shared_limit_is_compared_with_the_mean_of_calls_in_flight():
    """Two calls at once by chance are no overload if half a call is in flight on average."""
    c = after_pass(limit=1.5, in_flight=0)
    c.resize(4, 1000.0)
    for i in range(40):  # two calls at once for 100 ms of each 400 ms: a mean of a half
        c.track_in_flight(i * 400_000, 2)
        assert c.admits(i * 400_000 + 50_000, 0)
        c.track_in_flight(i * 400_000 + 100_000, -2)
    c.track_in_flight(20_000_000, 2)
    assert not c.admits(23_000_000, 0)
    alone = after_pass(limit=1.5, in_flight=0)
    alone.track_in_flight(0, 2)
    assert not alone.admits(50_000, 0)  # servers not shared: no averaging


def test_a_window_with_few_samples_changes_the_limit_in_proportion():
    """Failure prevented: at a call a second a window's percentile is one latency, which halves the limit."""
    c = after_pass(limit=16.0, in_flight=16, usual=8.0)
    c.sample(1000 + 10 * WINDOW, 0, 250_000)
    full = 0.5 * 16 + 4
    assert c.limit == pytest.approx(16 + (full - 16) / 8)


def test_the_buffer_extends_to_the_share_of_the_aim():
    # min_rtt + B = 500 ms: a p90 of 400 ms does not shrink the limit
    c = after_pass(allowance=500_000, limit=36.0, in_flight=30, usual=20.0)
    fill(c, 400_000)
    assert c.gradient == pytest.approx(1.25)


def test_an_empty_window_changes_nothing_and_one_with_few_samples_stays_open():
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    c.close_window(50 * WINDOW)
    assert c.limit == 36.0
    c.sample(WINDOW // 2, 0, 250_000)
    assert c.limit == 36.0
    c.sample(1000 + 10 * WINDOW, 0, 250_000)
    assert c.limit == pytest.approx(36 + (24 - 36) * 2 / 8)


def test_five_windows_at_the_floor_start_a_pass():
    c = after_pass(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if c.in_pass:
            break
        fill(c, 1_000_000, start)
        start += WINDOW
    assert c.in_pass and c.limit == c.floor


def test_windows_at_the_usual_calls_start_no_pass():
    """Failure prevented: overload lowers the limit to the usual calls, and a pass follows every time."""
    c = after_pass(limit=50.0, in_flight=40, usual=40.0)
    for i in range(20):
        fill(c, 1_000_000, 1000 + i * WINDOW)
    assert c.limit == pytest.approx(40.0) and not c.in_pass


def test_pass_recurs_after_a_jittered_interval_and_keeps_the_limit():
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    assert 60_000_000 <= c.next_pass - 1000 <= 66_000_000
    fill(c, 125_000, c.next_pass)
    assert c.in_pass and c.effective_limit() == 5 * MIN_LIMIT
    run_pass(c, 100_000, c.next_pass + 1)
    assert c.effective_limit() == pytest.approx(36 + (42 - 36) / 8)  # closed by one sample


def test_classes_count_relative_to_their_own_min_rtt():
    c = GradientController([10_000, 100_000], 1000, Random(1), 0)
    c.resize(5, 1)
    for i in range(c.pass_count + 1):
        c.sample(1000 if c.pass_count > 0 else c.pass_until, i % 2, 100_000 if i % 2 else 10_000)
    assert not c.in_pass
    c.window_start = 1000
    c.limit, c.in_flight = 36.0, 30
    for i in range(WINDOW_SAMPLES):
        c.sample(1000 + WINDOW, i % 2, 125_000 if i % 2 else 12_500)
    assert c.gradient == pytest.approx(1.0)


def test_the_limit_does_not_fall_below_the_calls_carried_within_target():
    """Failure prevented: all servers are slow for another reason than load, and the limit falls in vain."""
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    start = 1000
    for _ in range(300):
        fill(c, 125_000, start)
        start += WINDOW
        c.in_flight = 30
    assert c.usual > 28
    for _ in range(40):
        if c.in_pass:
            run_pass(c, 300_000, start)
            start = c.pass_until
        fill(c, 300_000, start)
        start += WINDOW
    assert c.limit == pytest.approx(c.usual)


def test_a_min_rtt_measured_under_load_does_not_raise_the_target_beyond_the_aim():
    c = after_pass(rtt=900_000, allowance=500_000)
    assert c.target[0] == 750_000


def test_after_a_start_usual_is_smoothed_over_two_round_trips_until_a_window_is_above_target():
    """Failure prevented: a node that starts under full traffic refuses half of it for seconds."""
    c = after_pass(allowance=200_000, limit=100.0, in_flight=80)
    fill(c, 100_000)  # a window of 100 ms, smoothed over 200 ms
    assert c.usual == pytest.approx(40.0)
    fill(c, 300_000, start=1000 + WINDOW)
    c.in_flight = 80
    fill(c, 100_000, start=1000 + 2 * WINDOW)  # now smoothed over 3 s
    assert c.usual == pytest.approx(40 + 40 / 30, rel=0.01)


def test_the_fast_smoothing_ends_when_the_limit_is_not_reached():
    c = after_pass(allowance=200_000, limit=100.0, in_flight=20)
    fill(c, 100_000)
    assert not c.ramping and c.usual == pytest.approx(10.0)


@pytest.mark.parametrize(("lost", "usual"), [(0.0, 40.0), (0.2, 40 * (1 - 1 / 120))])
def test_usual_falls_under_overload_only_while_calls_fail(lost, usual):
    """Servers that slow down under load recover with fewer calls; if calls are only late, that is no help."""
    c = after_pass(limit=40.0, in_flight=39, usual=40.0, lost=lost)
    fill(c, 1_000_000)
    assert c.usual == pytest.approx(usual)


def test_the_floor_falls_with_the_share_of_calls_that_succeed():
    """Failure prevented: a lower tier loses servers, and the calls carried before are far too many."""
    c = after_pass(limit=40.0, in_flight=39, usual=40.0, lost=0.5)
    fill(c, 1_000_000)
    assert c.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_usual_is_not_lowered_while_the_limit_is_reached():
    c = after_pass(limit=20.0, in_flight=19, usual=50.0)
    fill(c, 50_000)
    assert c.usual == 50.0
    c.in_flight = 2
    fill(c, 50_000, start=1000 + WINDOW)
    assert c.usual < 50.0


def test_one_sample_does_not_make_a_window():
    c = after_pass(limit=20.0, in_flight=5, usual=15.0)
    c.sample(1000 + WINDOW, 0, 10_000_000)
    assert c.limit == 20.0 and len(c.samples) == 1
