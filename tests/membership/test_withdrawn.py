"""Withdrawn servers are not brought back by older lists."""

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


def withdrawn_by(*listings: Listing) -> WithdrawnServers:
    withdrawn = WithdrawnServers()
    for listing in listings:
        assert withdrawn.filter_listing(listing, 0.0) is listing
    return withdrawn


def test_an_older_list_does_not_bring_back_a_draining_server() -> None:
    withdrawn = withdrawn_by(full(5, line("a"), line("b")), changes(6, line("a", State.DRAINING)))
    assert names(withdrawn.filter_listing(full(5, line("a"), line("b")), 1.0)) == ["b"]


def test_an_older_list_does_not_bring_back_a_server_missing_in_a_newer_full_list() -> None:
    withdrawn = withdrawn_by(full(5, line("a"), line("b")), full(6, line("b")))
    assert names(withdrawn.filter_listing(full(5, line("a"), line("b")), 1.0)) == ["b"]


def test_changes_of_a_lagging_replica_do_not_bring_back_a_server() -> None:
    withdrawn = withdrawn_by(full(5, line("a")), changes(8, line("a", State.GONE)))
    withdrawn.filter_listing(full(4, line("b")), 1.0)
    assert names(withdrawn.filter_listing(changes(6, line("a"), line("c")), 2.0)) == ["c"]


def test_a_newer_version_or_a_new_start_brings_a_server_back() -> None:
    withdrawn = withdrawn_by(full(5, line("a")), changes(6, line("a", State.DRAINING)))
    assert names(withdrawn.filter_listing(full(4, line("a", started=7)), 1.0)) == ["a"]
    assert names(withdrawn.filter_listing(changes(7, line("a")), 1.0)) == ["a"]
    assert names(withdrawn.filter_listing(full(4, line("a")), 1.0)) == ["a"]


def test_an_older_list_may_list_a_server_as_draining() -> None:
    withdrawn = withdrawn_by(full(5, line("a")), changes(6, line("a", State.DRAINING)))
    older = full(4, line("a", State.DRAINING))
    assert withdrawn.filter_listing(older, 1.0) is older


def test_a_discovery_with_restarted_versions_is_accepted_after_a_while() -> None:
    withdrawn = withdrawn_by(full(5, line("a")), changes(6, line("a", State.GONE)))
    assert names(withdrawn.filter_listing(full(1, line("a")), RETENTION - 0.001)) == []
    assert names(withdrawn.filter_listing(full(1, line("a")), RETENTION)) == ["a"]


def test_the_list_that_a_process_starts_with_is_considered() -> None:
    current = CurrentList(full(41, line("a", State.DRAINING), line("b")), 0.0)
    assert current.version == 41
    accepted = current.accept(full(40, line("a"), line("b")), 1.0)
    assert accepted and names(accepted) == ["b"]


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
    """Only ready servers are filtered out, and none from the newest list."""
    withdrawn, highest = WithdrawnServers(), 0
    for i, (whole, version, entries) in enumerate(given_):
        lines = [line(name, state, started) for name, state, started in entries]
        listing = (full if whole else changes)(version, *lines)
        accepted = withdrawn.filter_listing(listing, float(i))
        left_out = [x for x in listing.lines if x not in accepted.lines]
        assert [x for x in listing.lines if x in accepted.lines] == list(accepted.lines)
        assert all(x.state == State.READY for x in left_out)
        assert not left_out or version < highest
        highest = max(highest, version)
