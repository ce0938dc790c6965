"""Room for large bodies, and slow requests, with times that the test moves."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.http.bulk import LARGEST_BODY, WAIT_FOR_ROOM, Claim, Room, next_step, too_slow


def test_room_is_given_in_the_order_of_asking():
    """Failure prevented: small bodies are let past a large one for ever."""
    room = Room(100)
    first, large, small = Claim(), Claim(), Claim()
    assert room.ask(first, 60, 0.0)
    assert not room.ask(large, 90, 1.0) and not room.ask(small, 10, 2.0)
    assert room.overdue(1.0 + WAIT_FOR_ROOM + 0.1) == [large]
    assert room.release(first) == [large, small] and room.used == 100
    assert room.release(small) == [] == room.release(large) and room.used == 0


def test_a_claim_that_gives_up_its_wait_frees_what_it_had():
    room = Room(100)
    growing, other = Claim(), Claim()
    assert room.ask(growing, 50, 0.0) and room.ask(other, 40, 0.0)
    assert not room.ask(growing, 80, 1.0)
    assert room.release(growing) == [] and room.used == 40 and not room.queue


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 120)), max_size=40))
def test_the_room_is_never_overdrawn_and_nobody_waits_for_nothing(steps):
    room, claims = Room(100), [Claim() for _ in range(6)]
    for at, (which, size) in enumerate(steps):
        claim = claims[which]
        if claim in room.queue or size == 0 or not room.possible(size) or size <= claim.given:
            room.release(claim)
        else:
            room.ask(claim, size, float(at))
        assert room.used == sum(c.given for c in claims) <= 100
        if room.queue:
            assert room.used + room.queue[0].asked - room.queue[0].given > 100


def test_what_can_never_fit_is_told_at_once():
    assert Room(100).possible(100) and not Room(100).possible(101)
    assert not Room(1 << 40).possible(LARGEST_BODY + 1)
    steps = [65536]
    while steps[-1] < LARGEST_BODY:
        steps.append(next_step(steps[-1]))
    assert steps[-1] == LARGEST_BODY and len(steps) < 10


@pytest.mark.parametrize(
    ("age", "headed", "body", "slow"),
    [
        (2.0, False, 0, False),
        (2.6, False, 100_000, True),  # of a head, what follows it does not count
        (2.6, True, 0, True),
        (3.0, True, 65_536, False),
        (4.0, True, 131_072, False),  # 64 kB a second after two seconds for the head
        (30.0, True, 131_072, True),
    ],
)
def test_a_request_must_keep_up_a_rate(age, headed, body, slow):
    assert too_slow(age, headed, body) == slow
