"""When a machine was in touch, as the rules say it: so far bounds of time hold for it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.soak.events import Event, Lagged, Trouble

CONTACT = round(DEFAULT_BOUNDS.contact_ms * 1000)  # microseconds
LAG_SLACK = 100_000  # microseconds in which an actor that was held up works off what has waited
RELOAD = "reload"
Span = tuple[int, int]


class Troubles:
    """The troubles of a soak, by what they were done to."""

    def __init__(self, events: Iterable[Event], control: Iterable[str]) -> None:
        self._by_target: defaultdict[str, list[Span]] = defaultdict(list)
        self._unplanned: list[Span] = []
        self._lags: defaultdict[str, list[Span]] = defaultdict(list)
        for event in events:
            if isinstance(event, Trouble):
                self._add(event)
            elif isinstance(event, Lagged):
                self._lags[event.process].append((event.began, event.ended + LAG_SLACK))
        self._core = [span for name in control for span in self._by_target[name]]

    def _add(self, trouble: Trouble) -> None:
        span = (trouble.began, trouble.ended)
        if not trouble.planned:
            self._unplanned.append(span)
        if trouble.kind != RELOAD:
            for target in trouble.targets:
                self._by_target[target].append(span)

    def in_touch(self, machine: str, at: int) -> bool:
        """Whether neither the machine nor the core had trouble in the ContactMs before."""
        return not _meets(self._by_target[machine], at - CONTACT, at) and not _meets(
            self._core, at - CONTACT, at
        )

    def held_up(self, actor: str, at: int) -> bool:
        """Whether what an actor saw at this moment may have reached it earlier."""
        return _meets(self._by_target[actor], at - CONTACT, at) or _meets(self._lags[actor], at, at)

    def leaving(self, server: str, began: int, ended: int) -> bool:
        """Whether a server, in any incarnation, was being taken away or had just come back in this time."""
        name = _server_name(server)
        return any(
            _meets(spans, began - CONTACT, ended)
            for target, spans in self._by_target.items()
            if _server_name(target) == name
        )

    def calm(self, began: int, ended: int) -> bool:
        """Whether no unplanned trouble was there from ContactMs before `began` until `ended`."""
        return not _meets(self._unplanned, began - CONTACT, ended)

    def lagged(self, actor: str, began: int, ended: int) -> bool:
        """Whether an actor was held up by the machine in this time."""
        return _meets(self._lags[actor], began, ended)


def _server_name(server: str) -> str:
    """Without the number of the incarnation."""
    return server.partition(".")[0]


def _meets(spans: list[Span], began: int, ended: int) -> bool:
    return any(first <= ended and last >= began for first, last in spans)
