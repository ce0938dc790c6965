"""The list passed to a successor, compared with a dictionary of everything received."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackenladder.interface import ListKind, State
from brackenladder.membership.latest_list import MAX_CHANGES, LatestList
from brackenladder.membership.listing import Line, Listing


def line(name: str, state: State) -> Line:
    return Line(name, "127.0.0.1", 1, "east", "std", 0, state, 1.0, 0)


LISTINGS = st.tuples(st.booleans(), st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from(State))))


@given(st.lists(LISTINGS, max_size=MAX_CHANGES + 8))
def test_it_has_every_received_server_except_those_gone(
    listings: list[tuple[bool, list[tuple[str, State]]]],
) -> None:
    latest = LatestList(Listing(ListKind.CACHED, 0, (line("a", State.READY),)))
    expected_states = {"a": State.READY}
    for version, (whole, states) in enumerate(listings, 1):
        lines = tuple(line(name, state) for name, state in dict(states).items())
        latest.apply(Listing(ListKind.FULL if whole else ListKind.CHANGES, version, lines))
        expected_states = ({} if whole else expected_states) | dict(states)
    expected = {name: state for name, state in expected_states.items() if state != State.GONE}
    merged = latest.merged()
    assert (merged.kind, merged.version) == (ListKind.CACHED, len(listings))
    assert {x.id: x.state for x in merged.lines} == expected
    assert len(latest.changes) <= MAX_CHANGES
