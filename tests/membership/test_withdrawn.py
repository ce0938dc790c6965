"""What an older list may not undo, with a clock that the test moves."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackenladder.interface import ListKind, State
from brackenladder.membership.current_list import CurrentList
from brackenladder.membership.listing import Line, Listing
from brackenladder.membership.withdrawn import RETENTION, WithdrawnServers


def line(name: str, state: State = State.READY, started: int = 0) -> Line:
    return Line(name, "127.0.0.1", 1, "east", "std", 0, state, 1.0, started)


def full(version: int, *lines: Line) -> Listing:
    return Listing(ListKind.FULL, version, lines)


def changes(version: int, *lines: Line) -> Listing:
    return Listing(ListKind.CHANGES, version, lines)


def names(listing: Listing) -> list[str]:
    return [entry.id for entry in listing.lines]


def seen(*listings: Listing) -> WithdrawnServers:
    withdrawn = WithdrawnServers()
    for listing in listings:
        assert withdrawn.filter_listing(listing, 0.0) is listing
    return withdrawn


def test_an_older_list_does_not_bring_back_who_drains() -> None:
    withdrawn = seen(full(5, line("a"), line("b")), changes(6, line("a", State.DRAINING)))
    assert names(withdrawn.filter_listing(full(5, line("a"), line("b")), 1.0)) == ["b"]


def test_nor_who_was_left_out_of_a_newer_whole_list() -> None:
    withdrawn = seen(full(5, line("a"), line("b")), full(6, line("b")))
    assert names(withdrawn.filter_listing(full(5, line("a"), line("b")), 1.0)) == ["b"]


def test_nor_do_the_changes_of_a_replica_that_catches_up() -> None:
    withdrawn = seen(full(5, line("a")), changes(8, line("a", State.GONE)))
    withdrawn.filter_listing(full(4, line("b")), 1.0)
    assert names(withdrawn.filter_listing(changes(6, line("a"), line("c")), 2.0)) == ["c"]


def test_a_newer_version_and_a_new_start_bring_it_back() -> None:
    withdrawn = seen(full(5, line("a")), changes(6, line("a", State.DRAINING)))
    assert names(withdrawn.filter_listing(full(4, line("a", started=7)), 1.0)) == ["a"]
    assert names(withdrawn.filter_listing(changes(7, line("a")), 1.0)) == ["a"]
    assert names(withdrawn.filter_listing(full(4, line("a")), 1.0)) == ["a"]


def test_an_older_list_may_name_a_server_as_draining() -> None:
    withdrawn = seen(full(5, line("a")), changes(6, line("a", State.DRAINING)))
    older = full(4, line("a", State.DRAINING))
    assert withdrawn.filter_listing(older, 1.0) is older


def test_a_discovery_that_counts_anew_is_believed_in_the_end() -> None:
    withdrawn = seen(full(5, line("a")), changes(6, line("a", State.GONE)))
    assert names(withdrawn.filter_listing(full(1, line("a")), RETENTION - 0.001)) == []
    assert names(withdrawn.filter_listing(full(1, line("a")), RETENTION)) == ["a"]


def test_the_list_that_a_process_starts_with_counts() -> None:
    in_hand = CurrentList(full(41, line("a", State.DRAINING), line("b")), 0.0)
    assert in_hand.version == 41
    admitted = in_hand.accept(full(40, line("a"), line("b")), 1.0)
    assert admitted and names(admitted) == ["b"]


LISTINGS = st.lists(
    st.tuples(
        st.booleans(),
        st.integers(1, 6),
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from(list(State)), st.integers(0, 1)),
            max_size=4,
            unique_by=lambda entry: entry[0],
        ),
    ),
    max_size=12,
)


@given(LISTINGS)
def test_only_ready_lines_of_older_lists_are_ever_left_out(given_: list[tuple[bool, int, list]]) -> None:
    """What is let through is what came, less ready lines; and nothing is left out of the newest."""
    withdrawn, highest = WithdrawnServers(), 0
    for i, (whole, version, entries) in enumerate(given_):
        lines = [line(name, state, started) for name, state, started in entries]
        listing = (full if whole else changes)(version, *lines)
        admitted = withdrawn.filter_listing(listing, float(i))
        left_out = [x for x in listing.lines if x not in admitted.lines]
        assert [x for x in listing.lines if x in admitted.lines] == list(admitted.lines)
        assert all(x.state == State.READY for x in left_out)
        assert not left_out or version < highest
        highest = max(highest, version)
