"""What the actors of a soak have done and seen: typed events, one JSON line each.

Times are microseconds of the machine's monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from time import monotonic_ns
from typing import Any, ClassVar, TextIO

from attrs import define, frozen
from cattrs import Converter

MICROSECONDS = 1_000_000
TYPE_FIELD = "Event"


def now() -> int:
    """Microseconds of the monotonic clock."""
    return monotonic_ns() // 1000


class Event:
    """What is written down; each kind is known by its name."""

    kinds: ClassVar[dict[str, type[Any]]] = {}

    def __init_subclass__(cls) -> None:
        Event.kinds[cls.__name__] = cls


Tell = Callable[[Event], None]  # writes down
Order = dict[str, Any]  # what the player tells an actor's process: `do`, and its details


@frozen
class Resolved(Event):
    """A directory has told a client where to go."""

    at: int
    region: str
    zone: str
    host: str
    directory: str
    addresses: tuple[str, ...]


@define
class Tried(Event):
    """One try of a client, written down at its end; each has an id of its own."""

    began: int
    request: str
    region: str  # of the client
    gateway: str  # "ip:port"
    host: str
    path: str
    kind: str  # of the route
    deadline_ms: int
    ended: int = 0
    read: int = 0  # the last byte of the request was sent; 0: it never was
    outcome: str = ""  # see `Outcome`
    status: int = 0
    detail: str = ""
    fresh: bool = True  # the first request on its connection


class Outcome:
    """How a try ends."""

    SERVED = "served"  # a whole answer of a server
    REFUSED = "refused"  # the promise that it has not run
    FAILED = "failed"  # another status
    UNREACHED = "unreached"  # no connection
    CLOSED = "closed"  # the connection ended before the whole answer, and the answer shows it
    OVERDUE = "overdue"  # the client's time was over
    MIXED = "mixed"  # an answer that is not the request's, or not whole though it looks so


@frozen
class Arrived(Event):
    """A request has reached a server."""

    at: int
    request: str
    server: str
    service: str
    zone: str
    path: str


@frozen
class Handled(Event):
    """A server has begun to work on a request, or says with a status that it does not run it."""

    at: int
    request: str
    server: str
    refusal: int = 0


@frozen
class LeaveAcknowledged(Event):
    """A server has been told that its drain, or its end, is known."""

    at: int
    server: str


@frozen
class Trouble(Event):
    """Something that was done to processes, from its beginning until it was over."""

    began: int
    ended: int
    kind: str
    targets: tuple[str, ...]  # names of processes or servers
    planned: bool


@frozen
class ProcessEnded(Event):
    """A process has ended. `fault`: why that is against the rules; empty if it was made to end."""

    at: int
    process: str
    status: int
    fault: str = ""


@frozen
class Ordered(Event):
    """An operator's configuration and what became of it; written down at its end."""

    number: int
    operator: str
    base: int
    version: int
    body: str  # the order as it was sent
    whole: str  # the configuration that it makes
    update: bool
    valid: bool
    invoked: int
    ended: int
    outcome: str  # name of the simulation's `Outcome`
    told_version: int
    repeat_status: int = 0  # an acknowledged order came again, and got this


@frozen
class ReadBack(Event):
    """A configuration that an operator has read."""

    operator: str
    invoked: int
    ended: int
    version: int
    number: int  # of the order that made it
    node: str
    final: bool = False  # after the last order


@frozen
class Evacuated(Event):
    """An operator's evacuation of a zone, or the end of one."""

    zone: str
    begin: bool
    invoked: int
    ended: int
    acknowledged: bool


@frozen
class Recovery(Event):
    """What came back after all troubles were healed; an empty `missing` is all of it."""

    healed: int
    ended: int
    missing: tuple[str, ...]


@frozen
class LogFault(Event):
    """A line of a process's log that must not be there."""

    process: str
    line: str


@frozen
class Lagged(Event):
    """An actor's own process did not run for a while: what it saw then was seen late."""

    began: int
    ended: int
    process: str


_CONVERTER = Converter()


def encode(event: Event) -> str:
    """One line."""
    return json.dumps({TYPE_FIELD: type(event).__name__} | _CONVERTER.unstructure(event))


def decode(line: str) -> Event:
    """The event of a line; a ValueError or KeyError if it is none."""
    table = json.loads(line)
    event: Event = _CONVERTER.structure(table, Event.kinds[table.pop(TYPE_FIELD)])
    return event


class Journal:
    """A file of events that one process writes."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("a")

    def add(self, event: Event) -> None:
        """Writes an event down."""
        self.file.write(encode(event) + "\n")


def read_journals(paths: Iterable[Path]) -> Iterator[Event]:
    """All events of these files."""
    for path in paths:
        with path.open() as lines:
            yield from (decode(line) for line in lines)
