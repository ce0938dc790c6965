"""What the successor of a process begins with, against a dictionary of everything that was told."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackenladder.interface import ListKind, State
from brackenladder.membership.latest_list import MAX_CHANGES, LatestList
from brackenladder.membership.listing import Line, Listing


def line(name: str, state: State) -> Line:
    return Line(name, "127.0.0.1", 1, "east", "std", 0, state, 1.0, 0)


NEWS = st.tuples(st.booleans(), st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from(State))))


@given(st.lists(NEWS, max_size=MAX_CHANGES + 8))
def test_it_is_all_that_was_told_less_who_is_gone(news: list[tuple[bool, list[tuple[str, State]]]]) -> None:
    kept = LatestList(Listing(ListKind.CACHED, 0, (line("a", State.READY),)))
    told = {"a": State.READY}
    for version, (whole, states) in enumerate(news, 1):
        lines = tuple(line(name, state) for name, state in dict(states).items())
        kept.apply(Listing(ListKind.FULL if whole else ListKind.CHANGES, version, lines))
        told = ({} if whole else told) | dict(states)
    left = {name: state for name, state in told.items() if state != State.GONE}
    found = kept.merged()
    assert (found.kind, found.version) == (ListKind.CACHED, len(news))
    assert {x.id: x.state for x in found.lines} == left
    assert len(kept.changes) <= MAX_CHANGES
