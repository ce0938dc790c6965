"""The checker on generated journals: correct ones pass, a single violation is found by its rule alone."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from rehearsal.histories import KEYED, MS, SAFE, SECOND, TERMS, UNSAFE, History

from brackenladder.rehearsal.checker import RULES, check
from brackenladder.rehearsal.events import Again

SERVERS = {"a": "east/0", "b": "east/0", "c": "west/1", "d": "west/1"}
NODES = ("n0", "n1")
POD = {name: [other for other, pod in SERVERS.items() if pod == SERVERS[name]] for name in SERVERS}


@st.composite
def requests(draw: st.DrawFn) -> dict[str, Any]:
    """A request as a correct node handles it: sequential attempts, retries as the class allows."""
    klass = draw(st.sampled_from((SAFE, UNSAFE, KEYED)))
    attempts: list[tuple[str, str, int]] = []  # server, how it ended, how long it took
    ran: str | None = None
    for _ in range(draw(st.integers(0, 3))):
        allowed = list(SERVERS) if ran is None or klass == SAFE else POD[ran]
        server = draw(st.sampled_from(allowed))
        how = draw(st.sampled_from(("served", "error", "rejected", "node", "server")))
        attempts.append((server, how, draw(st.integers(1, 80)) * MS))
        if how == "served":
            break
        if how != "rejected":
            ran = ran or server
            if klass == UNSAFE:
                break
    served = bool(attempts) and attempts[-1][1] == "served"
    refusable = klass == SAFE or ran is None
    status = 200 if served else draw(st.sampled_from((503, 502) if refusable else (502, 504)))
    return {
        "at": draw(st.integers(1_000, 9_000)) * MS,
        "klass": klass,
        "node": draw(st.sampled_from(NODES)),
        "attempts": attempts,
        "status": status,
        "leaves": draw(st.booleans()) and draw(st.booleans()),
    }


def journal(wanted: list[dict[str, Any]]) -> tuple[History, dict[str, int]]:
    """A history of these requests, and the time at which each was over."""
    h = History(nodes=len(NODES))
    for name, pod in SERVERS.items():
        h.server(name, pod)
    for node in NODES:
        for second in range(0, 60, 5):  # regular discovery calls
            h.told(second * SECOND + 5 * MS, 1, *((n, "ready", 0) for n in SERVERS), full=True, node=node)
    over: dict[str, int] = {}
    for i, r in enumerate(wanted):
        name, t = f"r{i}", r["at"]
        h.sent(t, name, r["klass"], node=r["node"])
        for server, how, took in r["attempts"]:
            t += 1 * MS
            h.attempt(t, name, server, t + took, how)
            t += took
        over[name] = t + MS
        if r["leaves"]:
            h.gave_up(t + MS, name, early=True)
        else:
            h.answer(t + MS, name, r["status"])
    return h, over


@given(st.lists(requests(), max_size=30))
@settings(max_examples=150, deadline=None)
def test_a_correct_history_breaks_nothing(wanted: list[dict[str, Any]]) -> None:
    report = check(journal(wanted)[0].sorted(), TERMS)
    assert report.breaks == ()
    assert report.rulings["lost"].chances == sum(not r["leaves"] for r in wanted)


@given(st.lists(requests(), min_size=1, max_size=20), st.data())
@settings(max_examples=200, deadline=None)
def test_a_violation_is_found_by_its_rule_alone(wanted: list[dict[str, Any]], data: st.DataObject) -> None:
    h, over = journal(wanted)
    name = data.draw(st.sampled_from(sorted(over)))
    request = wanted[int(name[1:])]
    faults = ["after", "drained"]
    if not request["leaves"]:
        faults += ["again", "silent"]
        if request["klass"] != SAFE and any(how != "rejected" for _, how, _ in request["attempts"]):
            faults.append("refused")
    if request["klass"] == UNSAFE and request["attempts"] and request["attempts"][-1][1] != "rejected":
        faults.append("repeat")
    if request["attempts"]:
        faults.append("overlap")
    fault = data.draw(st.sampled_from(faults))
    rule = "lost" if fault in ("after", "again", "silent") else "drain" if fault == "drained" else "effect"
    if fault == "after":
        # A separate safe request, so that the only violation is that it was over.
        h.sent(over[name] + 5 * MS, "x", SAFE)
        h.answer(over[name] + 6 * MS, "x", 502)
        h.attempt(over[name] + 6 * MS + TERMS.slack + 1, "x", "a", over[name] + 7 * MS + TERMS.slack)
    elif fault == "again":
        h.add(Again(over[name] + MS, name))
    elif fault == "silent":
        h.events = [
            e for e in h.events if not (type(e).__name__ == "Answered" and getattr(e, "id", "") == name)
        ]
        h.gave_up(request["at"] + 3 * SECOND, name)
    elif fault == "refused":
        h.events = [
            e for e in h.events if not (type(e).__name__ == "Answered" and getattr(e, "id", "") == name)
        ]
        h.answer(over[name], name, 503)
    elif fault == "repeat":
        h.attempt(over[name] - 500, name, "a", over[name])
    elif fault == "overlap":
        first = request["attempts"][0]
        start = request["at"] + MS
        if first[2] <= TERMS.slack + 2 * MS:  # an overlap would be within the slack: adds a longer request
            h.sent(20 * SECOND, "y", SAFE)
            h.attempt(20 * SECOND + MS, "y", "a", 20 * SECOND + 90 * MS)
            h.attempt(20 * SECOND + 2 * MS, "y", "b", 20 * SECOND + 80 * MS)
            h.answer(20 * SECOND + 91 * MS, "y")
        else:
            h.attempt(start + 1, "z", "b", start + first[2])
            h.sent(start, "z", SAFE)
            h.attempt(start + 2, "z", "c", start + first[2])
            h.answer(start + first[2] + MS, "z")
    else:
        h.told(30 * SECOND, 2, ("a", "draining", 0), node="n0")
        h.sent(31 * SECOND, "w", SAFE, node="n0")
        h.attempt(31 * SECOND + MS, "w", "a", 31 * SECOND + 2 * MS)
        h.answer(31 * SECOND + 3 * MS, "w")
    report = check(h.sorted(), TERMS)
    assert [r for r in RULES if report.verdicts[r] == "broke"] == [rule]
    assert report.rulings[rule].broken == 1


@given(st.lists(requests(), max_size=15), st.integers(0, 10_000))
@settings(max_examples=60, deadline=None)
def test_a_journal_that_is_cut_off_anywhere_can_be_checked(wanted: list[dict[str, Any]], cut: int) -> None:
    """The checker does not fail, and requests that are still open do not count as lost."""
    events = journal(wanted)[0].sorted()
    kept = events[: len(events) * cut // 10_000]
    report = check(kept, TERMS)
    assert not [f for f in report.breaks if f.rule == "lost"]


@given(st.lists(requests(), max_size=15))
@settings(max_examples=40, deadline=None)
def test_the_order_of_simultaneous_events_does_not_matter(wanted: list[dict[str, Any]]) -> None:
    h, _ = journal(wanted)
    forwards = check(sorted(h.events, key=lambda e: e.t), TERMS)
    h.events.reverse()
    assert check(sorted(h.events, key=lambda e: e.t), TERMS).verdicts == forwards.verdicts
