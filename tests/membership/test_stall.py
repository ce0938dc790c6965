"""A process that stood still reads what is waiting before it sends."""

from __future__ import annotations

from brackenladder.membership.stall import RESUME_GRACE, STALL_THRESHOLD, StallDetector


def test_a_stall_is_told_before_the_next_beat_and_for_a_moment_after_it():
    stall = StallDetector(10.0)
    stall.beat(10.1)
    assert not stall.must_read_first(10.1 + STALL_THRESHOLD)  # late, but within what a rule bears
    woken = 10.1 + 2 * STALL_THRESHOLD
    assert stall.must_read_first(woken)  # the beat itself has not come yet
    stall.beat(woken)
    assert stall.must_read_first(woken + RESUME_GRACE / 2) and not stall.must_read_first(woken + RESUME_GRACE)
    stall.beat(woken + 0.1)
    assert not stall.must_read_first(woken + 0.1)
