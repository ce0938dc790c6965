"""The event queue: order, cancelled events, and detection of endless loops."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenladder.fleet import queue as queues
from brackenladder.fleet.queue import Queue, Standstill


@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=40), st.integers(0, 60))
@settings(max_examples=200, deadline=None)
def test_events_run_by_time_and_then_in_insertion_order(asked, until):
    queue, seen = Queue(5), []
    timers = [queue.at(time, lambda i=i: seen.append((queue.now, i))) for i, (time, _) in enumerate(asked)]
    for timer, (_, cancelled) in zip(timers, asked, strict=True):
        if cancelled:
            timer.cancel()
    queue.run(until)
    due = [(max(5, time), i) for i, (time, cancelled) in enumerate(asked) if not cancelled]
    assert seen == sorted(event for event in due if event[0] <= until)
    assert queue.now == max(5, until)
    queue.run(100)
    assert seen == sorted(due)


def test_an_event_may_schedule_others_at_the_same_time():
    queue, seen = Queue(), []
    queue.after(7, lambda: queue.call_later(0, seen.append, "second") and seen.append("first"))
    queue.run(7)
    assert seen == ["first", "second"] and queue.now == 7


def test_an_endless_loop_at_one_instant_is_detected(monkeypatch):
    """Prevents a run that hangs because events trigger each other at one instant."""
    monkeypatch.setattr(queues, "MAX_EVENTS_PER_INSTANT", 1000)
    queue = Queue()

    def again() -> None:
        queue.after(0, again)

    for time in range(2000):  # as many events, but at different times
        queue.at(time, int)
    queue.run(2000)
    queue.at(3000, again)
    with pytest.raises(Standstill, match="time stands still at 3000 us after 1000 events: .*again"):
        queue.run(4000)
