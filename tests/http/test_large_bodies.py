"""The memory budget for large bodies, and the rate limit of slow requests, with times that the test sets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.http.large_bodies import (
    BUDGET_WAIT,
    LARGEST_BODY,
    BodyBudget,
    BodyReservation,
    next_step,
    too_slow,
)


def test_reservations_are_granted_in_order():
    """Prevents that small bodies overtake a large one for ever."""
    budget = BodyBudget(100)
    first, large, small = BodyReservation(), BodyReservation(), BodyReservation()
    assert budget.request(first, 60, 0.0)
    assert not budget.request(large, 90, 1.0) and not budget.request(small, 10, 2.0)
    assert budget.overdue(1.0 + BUDGET_WAIT + 0.1) == [large]
    assert budget.release(first) == [large, small] and budget.used == 100
    assert budget.release(small) == [] == budget.release(large) and budget.used == 0


def test_a_reservation_released_while_it_waits_frees_its_memory():
    budget = BodyBudget(100)
    growing, other = BodyReservation(), BodyReservation()
    assert budget.request(growing, 50, 0.0) and budget.request(other, 40, 0.0)
    assert not budget.request(growing, 80, 1.0)
    assert budget.release(growing) == [] and budget.used == 40 and not budget.queue


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 120)), max_size=40))
def test_the_budget_is_never_exceeded_and_nobody_waits_needlessly(steps):
    budget, reservations = BodyBudget(100), [BodyReservation() for _ in range(6)]
    for at, (which, size) in enumerate(steps):
        reservation = reservations[which]
        if (
            reservation in budget.queue
            or size == 0
            or not budget.can_fit(size)
            or size <= reservation.granted_bytes
        ):
            budget.release(reservation)
        else:
            budget.request(reservation, size, float(at))
        assert budget.used == sum(reservation.granted_bytes for reservation in reservations) <= 100
        if budget.queue:
            assert budget.used + budget.queue[0].requested_bytes - budget.queue[0].granted_bytes > 100


def test_what_can_never_fit_is_known_at_once():
    assert BodyBudget(100).can_fit(100) and not BodyBudget(100).can_fit(101)
    assert not BodyBudget(1 << 40).can_fit(LARGEST_BODY + 1)
    steps = [65536]
    while steps[-1] < LARGEST_BODY:
        steps.append(next_step(steps[-1]))
    assert steps[-1] == LARGEST_BODY and len(steps) < 10


@pytest.mark.parametrize(
    ("age", "head_complete", "body_bytes", "slow"),
    [
        (2.0, False, 0, False),
        (2.6, False, 100_000, True),  # bytes received after an incomplete head do not count
        (2.6, True, 0, True),
        (3.0, True, 65_536, False),
        (4.0, True, 131_072, False),  # within 2.5 s for the head and 4 s for the body
        (30.0, True, 131_072, True),
    ],
)
def test_a_request_must_arrive_at_a_minimum_rate(age, head_complete, body_bytes, slow):
    assert too_slow(age, head_complete, body_bytes) == slow
