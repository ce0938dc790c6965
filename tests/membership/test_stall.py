"""A process that was stalled reads waiting input before it sends requests."""

from __future__ import annotations

from brackenladder.membership.stall import RESUME_GRACE, STALL_THRESHOLD, StallDetector


def test_a_stall_is_detected_before_the_next_beat_and_for_a_moment_after_it():
    detector = StallDetector(10.0)
    detector.beat(10.1)
    assert not detector.must_read_first(10.1 + STALL_THRESHOLD)  # late, but within the threshold
    resumed_at = 10.1 + 2 * STALL_THRESHOLD
    assert detector.must_read_first(resumed_at)  # the next beat has not happened yet
    detector.beat(resumed_at)
    assert detector.must_read_first(resumed_at + RESUME_GRACE / 2) and not detector.must_read_first(
        resumed_at + RESUME_GRACE
    )
    detector.beat(resumed_at + 0.1)
    assert not detector.must_read_first(resumed_at + 0.1)
