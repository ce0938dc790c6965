"""Merging records in any order and any number of times gives the same view."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackenladder.cluster.view import Record, State, View, epoch_above, epoch_of

SIZE = 4
RECORDS = st.builds(Record, st.integers(0, 3), st.integers(0, 3), st.sampled_from(State))
RECORD_LISTS = st.lists(st.tuples(st.integers(0, SIZE - 1), RECORDS), max_size=12)


def merged(updates: list[tuple[int, Record]]) -> list[Record]:
    view = View(SIZE, 0)
    for number, record in updates:
        view.merge(number, record, 1)
    return view.records


@given(RECORD_LISTS, st.randoms(use_true_random=False))
def test_order_and_repeats_do_not_matter(updates, random):
    """The merge is commutative, associative and idempotent."""
    mixed = updates * 2
    random.shuffle(mixed)
    assert merged(mixed) == merged(updates)
    assert merged([*enumerate(merged(updates[:6])), *enumerate(merged(updates[6:]))]) == merged(updates)


@given(RECORDS, RECORDS)
def test_an_older_epoch_or_incarnation_never_wins(one, other):
    (after,) = merged([(0, one), (0, other)])[:1]
    assert after >= max(one, other) and (after.epoch, after.incarnation) >= (one.epoch, one.incarnation)


@given(st.integers(0, 2**32 - 1), st.integers(0, 2**24 - 1), st.integers(0, 2**24 - 1))
def test_the_next_process_of_a_node_gets_a_higher_epoch_for_any_clock(second, old, new):
    assert epoch_above(epoch_of(second, old), new) > epoch_of(second, old)


def test_a_new_incarnation_does_not_restart_a_state():
    view = View(1, 0)
    view.merge(0, Record(1, 0, State.ALIVE), 5)
    view.merge(0, Record(1, 1, State.ALIVE), 9)
    assert view.since == [5]
    assert view.merge(0, Record(1, 1, State.DEAD), 11) == Record(1, 1, State.ALIVE) and view.since == [11]
