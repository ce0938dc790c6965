"""Tracing single requests, in a run of the simulation model with two tiers."""

from __future__ import annotations

import pytest
from rehearsal.playing import small

from brackenladder.fleet.model import play
from brackenladder.rehearsal.events import Answered, Arrived, Sent
from brackenladder.rehearsal.follow import SHOWN, FollowError, describe_request, outcomes, select_requests

FAULT = {"kind": "reset-late", "at_s": 0.5, "for_s": 1.0, "share": 0.6, "pick": "all"}


@pytest.fixture(scope="module")
def events():
    return play(small(FAULT, tiers=2, clients={"rate": 60}), 1).events


def test_every_event_of_a_request_is_described_in_both_tiers(events):
    (name,) = select_requests(events, select_requests(events, "served")[0])
    lines = describe_request(events, name)
    mine = [e for e in events if getattr(e, "id", "").split(".")[-1] == name]
    assert len(lines) == len(mine) and "sent to node" in lines[0] and "answered 200" in lines[-1]
    for kind, text in ((Sent, "sent to node"), (Arrived, "at server"), (Answered, "answered ")):
        of_kind = [e for e in mine if isinstance(e, kind)]
        assert sum(text in line for line in lines) == len(of_kind)
    assert {line.split("tier ")[1][0] for line in lines} == {"1", "2"}


def test_requests_are_selected_by_outcome_and_no_match_is_an_error(events):
    ends = outcomes(events)
    assert len(ends) == sum(isinstance(e, Sent) and "." not in e.id for e in events)
    for name in select_requests(events, "failed"):
        assert ends[name] == "failed" and "answered 50" in describe_request(events, name)[-1]
    assert len(select_requests(events, "served")) == SHOWN
    for nobody in ("lost", "nosuchid", ""):
        with pytest.raises(FollowError):
            select_requests(events, nobody)
