"""Timeline of faults. Time bounds apply only while a machine was in contact with the control plane."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.soak.events import Event, Lagged, Trouble

CONTACT = round(DEFAULT_BOUNDS.contact_ms * 1000)  # bound of ContactMs in microseconds
LAG_SLACK = 100_000  # microseconds that an actor needs to process its backlog after it was not scheduled
RELOAD = "reload"
Span = tuple[int, int]


class FaultTimeline:
    """Faults and planned operations of a soak, by target."""

    def __init__(self, events: Iterable[Event], control: Iterable[str]) -> None:
        self._by_target: defaultdict[str, list[Span]] = defaultdict(list)
        self._unplanned: list[Span] = []
        self._lags: defaultdict[str, list[Span]] = defaultdict(list)
        for event in events:
            if isinstance(event, Trouble):
                self._add(event)
            elif isinstance(event, Lagged):
                self._lags[event.process].append((event.began, event.ended + LAG_SLACK))
        self._control_spans = [span for name in control for span in self._by_target[name]]

    def _add(self, trouble: Trouble) -> None:
        span = (trouble.began, trouble.ended)
        if not trouble.planned:
            self._unplanned.append(span)
        if trouble.kind != RELOAD:
            for target in trouble.targets:
                self._by_target[target].append(span)

    def in_contact(self, machine: str, at: int) -> bool:
        """Whether neither the machine nor any control node was disturbed in the last ContactMs."""
        return not _overlaps(self._by_target[machine], at - CONTACT, at) and not _overlaps(
            self._control_spans, at - CONTACT, at
        )

    def delayed(self, actor: str, at: int) -> bool:
        """Whether an actor may have recorded an event of this time late."""
        return _overlaps(self._by_target[actor], at - CONTACT, at) or _overlaps(self._lags[actor], at, at)

    def leaving(self, server: str, began: int, ended: int) -> bool:
        """Whether a server, in any incarnation, was leaving or had just returned in this period."""
        name = _server_name(server)
        return any(
            _overlaps(spans, began - CONTACT, ended)
            for target, spans in self._by_target.items()
            if _server_name(target) == name
        )

    def undisturbed(self, began: int, ended: int) -> bool:
        """Whether no unplanned fault was active from ContactMs before `began` until `ended`."""
        return not _overlaps(self._unplanned, began - CONTACT, ended)

    def lagged(self, actor: str, began: int, ended: int) -> bool:
        """Whether an actor's process was not scheduled at some time in this period."""
        return _overlaps(self._lags[actor], began, ended)


def _server_name(server: str) -> str:
    """The server's name without its incarnation number."""
    return server.partition(".")[0]


def _overlaps(spans: list[Span], began: int, ended: int) -> bool:
    return any(first <= ended and last >= began for first, last in spans)
