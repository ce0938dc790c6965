"""The events of a soak by request: tries, arrivals at servers and runs. Checks TWICE and REFUSED."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from itertools import zip_longest

from brackenladder.soak.configuration import IDEMPOTENT
from brackenladder.soak.events import Arrived, Event, Handled, Outcome, Tried
from brackenladder.soak.verdict import Rule, Verdict


class RequestIndex:
    """All tries in the order in which they began, and the tries, arrivals and runs of each request id."""

    def __init__(self, events: Sequence[Event]) -> None:
        tried = [event for event in events if isinstance(event, Tried)]
        handled = [event for event in events if isinstance(event, Handled)]
        self.tries = sorted(tried, key=lambda one: one.began)
        self.tries_of: defaultdict[str, list[Tried]] = defaultdict(list)
        self.arrivals: defaultdict[str, list[Arrived]] = defaultdict(list)
        self.runs: defaultdict[str, list[Handled]] = defaultdict(list)
        # By request and server: the status with which the server refused it; 0: it ran.
        self.refusals = {(one.request, one.server): one.refusal for one in handled}
        for one in self.tries:
            self.tries_of[one.request].append(one)
        for event in events:
            if isinstance(event, Arrived):
                self.arrivals[event.request].append(event)
        for event in handled:
            if not event.refusal:
                self.runs[event.request].append(event)

    def try_of(self, arrival: Arrived) -> Tried | None:
        """The try that an arrival belongs to: the latest one that had begun; None if no client sent it."""
        tries = self.tries_of.get(arrival.request, [])
        begun = [tried for tried in tries if tried.began <= arrival.at]
        return begun[-1] if begun else next(iter(tries), None)


def check_runs(requests: RequestIndex, verdict: Verdict) -> None:
    """TWICE and REFUSED: a non-idempotent request runs at most once, and no try runs that was refused.

    Tries of a request share its id. A run counts against the last refused try before it, unless a later
    try had begun by then; a refused try that runs even later shows in the number of runs.
    """
    for tries in requests.tries_of.values():
        if IDEMPOTENT[tries[0].host, tries[0].path]:
            continue
        verdict.checked[Rule.TWICE.value] += 1
        runs = requests.runs[tries[0].request]
        if len(runs) > 1:
            verdict.add(Rule.TWICE, tries[-1].ended, f"{describe(tries[-1])} ran {len(runs)} times")
        for tried, following in zip_longest(tries, tries[1:]):
            _check_refusal(tried, following, runs, verdict)


def describe(tried: Tried) -> str:
    """Describes a try, for the text of a violation."""
    return f"{tried.kind} request {tried.request} on {tried.host}{tried.path} from region {tried.region}"


def _check_refusal(tried: Tried, following: Tried | None, runs: Sequence[Handled], verdict: Verdict) -> None:
    if tried.outcome != Outcome.REFUSED:
        return
    verdict.checked[Rule.REFUSED.value] += 1
    if any(following is None or run.at < following.began for run in runs):
        detail = f"{describe(tried)} got {tried.status} from {tried.gateway} but ran"
        verdict.add(Rule.REFUSED, tried.ended, detail)
