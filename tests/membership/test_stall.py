"""A process that stood still reads what is waiting before it sends."""

from __future__ import annotations

from brackenladder.membership.stall import STALLED, WARY, Stall


def test_a_stall_is_told_before_the_next_beat_and_for_a_moment_after_it():
    stall = Stall(10.0)
    stall.beat(10.1)
    assert not stall.wary(10.1 + STALLED)  # late, but within what a rule bears
    woken = 10.1 + 2 * STALLED
    assert stall.wary(woken)  # the beat itself has not come yet
    stall.beat(woken)
    assert stall.wary(woken + WARY / 2) and not stall.wary(woken + WARY)
    stall.beat(woken + 0.1)
    assert not stall.wary(woken + 0.1)
