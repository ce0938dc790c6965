"""Splits a `text/event-stream` body into events."""

from __future__ import annotations

import re

from attrs import frozen

LARGEST_EVENT = 4 * 1024 * 1024  # bytes in one event

_END = re.compile(rb"\n\r?\n")  # the blank line that ends an event
_LINE_ENDS = b"\r\n"
_END_LENGTH = 3  # bytes in the longest match of `_END`
_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?\n")


class EventTooLarge(Exception):
    """An event exceeds `LARGEST_EVENT`."""


@frozen
class Event:
    """One event, as received, including the blank line that ends it."""

    raw: bytes

    @property
    def id(self) -> int | None:
        """The event's numeric id; None if it has none."""
        match = _ID.search(self.raw)
        return int(match[1]) if match else None


class EventParser:
    """Splits a body that arrives in pieces; `rest` holds the incomplete event at its end."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed_whole(self, data: bytes) -> bytes:
        """Take more of the body; return the events that are now complete, as one byte string."""
        begin = max(0, len(self.rest) - _END_LENGTH)
        data = self.rest + data if self.rest else data
        last = 0
        for match in _END.finditer(data, begin):
            last = match.end()
        self._keep(data[last:])
        return data[:last]

    @property
    def holds_partial_event(self) -> bool:
        """Whether the bytes so far end within an event; line ends alone are no event."""
        return bool(self.rest.strip(_LINE_ENDS))

    def take_rest(self) -> bytes:
        """What follows the last complete event, at the end of the body."""
        rest, self.rest = self.rest, b""
        return rest

    def feed(self, data: bytes) -> list[Event]:
        """Take more of the body; return the events that are now complete, one by one."""
        return split_events(self.feed_whole(data))

    def _keep(self, rest: bytes) -> None:
        if len(rest) > LARGEST_EVENT:
            raise EventTooLarge
        self.rest = rest


def split_events(whole: bytes) -> list[Event]:
    """The events of a byte string that ends with a complete event."""
    events = []
    begin = 0
    for match in _END.finditer(whole):
        events.append(Event(whole[begin : match.end()]))
        begin = match.end()
    return events
