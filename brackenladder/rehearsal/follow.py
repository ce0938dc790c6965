"""Traces a request through nodes and servers, from the events of a run.

A server that calls the next tier for a request uses an id that ends in a dot and the request's id, so the
request's id finds all calls that were made for it.
"""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.rehearsal.events import (
    Again,
    Answered,
    Arrived,
    Begun,
    Broken,
    Closed,
    Event,
    GaveUp,
    Partial,
    Replied,
    Sent,
    Unreached,
    Up,
)

SHOWN = 3  # number of requests that are traced if an outcome is given instead of an id
OUTCOMES = ("served", "refused", "failed", "broken", "given-up", "lost")
REFUSED = (429, 503)
MIN_ID_PREFIX = 4  # shortest prefix, in characters, by which a request id can be given


class FollowError(Exception):
    """No request matches; the text is one line."""


def outcomes(events: Sequence[Event]) -> dict[str, str]:
    """How each client's request ended, by id. `lost`: no end was recorded."""
    found: dict[str, str] = {}
    for event in events:
        match event:
            case Sent() if "." not in event.id:
                found[event.id] = "lost"
            case Answered() if event.id in found:
                served = "served" if event.status == 200 else "failed"
                found[event.id] = "refused" if event.status in REFUSED else served
            case Broken() if event.id in found:
                found[event.id] = "broken"
            case GaveUp() if event.id in found:
                found[event.id] = "given-up"
    return found


def select_requests(events: Sequence[Event], what: str) -> list[str]:
    """The ids that `what` selects: some requests of an outcome, spread over the run, or one by its id."""
    ends = outcomes(events)
    if what in OUTCOMES:
        ids = [name for name, end in ends.items() if end == what]
        if not ids:
            raise FollowError(f"no request ended as '{what}'")
        return [ids[i * len(ids) // SHOWN] for i in range(min(SHOWN, len(ids)))]
    ids = [name for name in ends if name == what or (len(what) >= MIN_ID_PREFIX and name.startswith(what))]
    if len(ids) != 1:
        raise FollowError(
            f"{len(ids)} requests have the id '{what}'; to select by outcome: {', '.join(OUTCOMES)}"
        )
    return ids


def describe_request(events: Sequence[Event], name: str) -> list[str]:
    """One line for each event of a request: time, time since it was sent, tier, description."""
    ends = "." + name
    up: dict[str, Up] = {}
    lines: list[str] = []
    began = 0
    for event in events:
        if isinstance(event, Up):
            up[event.server] = event
            continue
        event_id = getattr(event, "id", "")
        if event_id != name and not event_id.endswith(ends):
            continue
        if not began:
            began = event.t
        text = describe_event(event, up)
        if text:
            tier = event_id.count(".")
            since = (event.t - began) / 1000
            lines.append(f"{event.t / 1e6:10.6f} s {since:+9.1f} ms  tier {tier + 1}  {'  ' * tier}{text}")
    return lines


def describe_event(event: Event, up: dict[str, Up]) -> str:
    """A description of an event; empty if it isn't shown."""
    match event:
        case Sent():
            return f"sent to node {event.node}, class {event.klass}, {event.budget / 1000:.0f} ms left"
        case Unreached():
            return f"node {event.node} does not listen"
        case Arrived():
            since = up.get(event.server)
            cold = ""
            if since is not None and since.warm and event.t - since.t < since.warm:
                cold = f", cold for {(since.warm - event.t + since.t) / 1e6:.1f} s more"
            return f"at server {event.server}{cold}: {event.work / 1000:.0f} ms of work"
        case Partial():
            return f"server {event.server} did not get it whole"
        case Begun():
            return f"server {event.server} begins to answer"
        case Replied():
            return f"server {event.server}: {event.how}"
        case Closed():
            return f"its connection to server {event.server} was ended by the {event.by}"
        case Answered():
            advice = f"; retry after {event.retry_after:g} s" if event.retry_after else ""
            return f"answered {event.status}{'' if event.own else ', not with its own answer'}{advice}"
        case Broken():
            return "its connection ended without a complete answer"
        case GaveUp():
            return "the client left" if event.early else "the client's time was over"
        case Again():
            return "more bytes came on its connection after the answer"
    return ""
