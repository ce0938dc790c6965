"""Operator calls, holds on servers and pauses, with explicit times."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing
from brackenladder.operations.calls import CallError, OperatorCall, parse_call
from brackenladder.operations.maintenance import HOLD_RETENTION_US, MAX_HOLDS, Hold, Maintenance, TooManyHolds
from brackenladder.operations.pause import Pause, ServiceStage


def line(name: str, state: State = State.READY, started: int = 0) -> Line:
    return Line(name, "127.0.0.1", 1, "east", "std", 0, state, 1.0, started)


def entries_after(maintenance: Maintenance, *lines: Line, kind: ListKind = ListKind.FULL) -> dict[str, Line]:
    return {entry.id: entry for entry in maintenance.process_listing(Listing(kind, 1, lines)).lines}


def maintenance_with_holds(*names: str, now: int = 10) -> Maintenance:
    maintenance = Maintenance()
    entries_after(maintenance, *(line(name) for name in "abc"))
    for name in names:
        maintenance.suspend(name, now)
    return maintenance


@pytest.mark.parametrize(
    ("text", "call"),
    [
        (b"STATUS", OperatorCall("STATUS")),
        (b" SUSPEND  s-1\r\n", OperatorCall("SUSPEND", "s-1")),
        (b"", "no call"),
        (b"status", "unknown call"),
        (b"PAUSE now", "PAUSE takes nothing"),
        (b"RESTORE", "RESTORE takes one server"),
        (b"SUSPEND a b", "SUSPEND takes one server"),
        (b"SUSPEND \xff", "not UTF-8"),
    ],
)
def test_a_line_is_parsed_or_its_error_reported(text, call):
    if isinstance(call, str):
        with pytest.raises(CallError, match=call):
            parse_call(text)
    else:
        assert parse_call(text) == call


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
def test_a_server_on_hold_drains_whatever_the_list_says(kind):
    maintenance = maintenance_with_holds("a")
    for reported in (line("a"), line("a", started=50)):
        assert entries_after(maintenance, reported, line("b"), kind=kind) == {
            "a": Line(*(vars(reported) | {"state": State.DRAINING}).values()),
            "b": line("b"),
        }
    assert entries_after(maintenance, line("a", State.GONE), kind=kind)["a"].state == State.GONE
    assert maintenance.is_known("a")  # the hold can be ended although the list no longer has the server


def test_one_restore_ends_a_repeated_hold_and_unknown_servers_are_ignored():
    maintenance = maintenance_with_holds("a")
    maintenance.suspend("a", 15)
    maintenance.restore("a", 20)
    assert maintenance.holds["a"] == Hold(10, 20) and not maintenance.is_held("a")
    maintenance.restore("b", 30)
    assert "b" not in maintenance.holds and maintenance.is_known("b") and not maintenance.is_known("z")


@pytest.mark.parametrize(
    ("started", "counts"),
    [(0, 20), (9, 20), (10, 10), (15, 15), (25, 25)],  # on hold from 10 to 20
)
def test_after_a_hold_a_server_counts_as_started_at_its_end(started, counts):
    """A restart may appear in the list late: the server must not get the load of a warm one until then."""
    maintenance = maintenance_with_holds("a")
    maintenance.restore("a", 20)
    assert entries_after(maintenance, line("a", started=started))["a"].started == counts
    (entry,) = maintenance.listing_for(["a", "gone"], 7).lines
    assert entry.state == State.READY and entry.started == counts


def test_holds_are_limited_and_expired_ones_dropped():
    maintenance = maintenance_with_holds(*(f"s{i}" for i in range(MAX_HOLDS)))
    with pytest.raises(TooManyHolds):
        maintenance.suspend("one more", 11)
    maintenance.suspend("s0", 11)  # already on hold
    maintenance.restore("s0", 12)
    maintenance.suspend("one more", 12 + HOLD_RETENTION_US)
    assert "s0" not in maintenance.holds


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12))
def test_processes_agree_after_any_calls(calls):
    """The process that is called and the process that reads the saved holds produce the same listing."""
    first, second = maintenance_with_holds(), maintenance_with_holds()
    for now, (name, hold) in enumerate(calls, 10):
        (first.suspend if hold else first.restore)(name, now)
        changed = second.replace_holds(first.holds)
        assert set(changed) <= {name}
    lines = [line(name, started=i * 5) for i, name in enumerate("abc")]
    assert entries_after(first, *lines) == entries_after(second, *lines)
    assert {name for name in "abc" if first.is_held(name)} == {
        name for name, hold in dict(calls).items() if hold
    }


def test_a_pause_goes_through_its_stages_and_a_second_call_does_not_restart_it():
    pause = Pause()
    assert pause.stage(5.0) == ServiceStage.SERVING
    pause.begin(10.0)
    pause.begin(11.0)
    steps = {
        10.0: ServiceStage.PAUSED,
        10.7: ServiceStage.CLOSING,
        11.9: ServiceStage.REFUSING,
        13.5: ServiceStage.ENDING,
    }
    assert {at: pause.stage(at) for at in steps} == steps
    pause.end()
    assert pause.stage(14.0) == ServiceStage.SERVING
