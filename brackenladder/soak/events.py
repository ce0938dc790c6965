"""Typed events that soak actors record, one JSON line each.

Times are microseconds of the monotonic clock, which all processes of a machine share.
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
    """Current time in microseconds of the monotonic clock."""
    return monotonic_ns() // 1000


class Event:
    """Base of all events; `kinds` maps each class name to its class."""

    kinds: ClassVar[dict[str, type[Any]]] = {}

    def __init_subclass__(cls) -> None:
        Event.kinds[cls.__name__] = cls


Record = Callable[[Event], None]  # writes an event to the journal
Order = dict[str, Any]  # what the soak runner tells an actor: `do` names it, the rest are arguments


@frozen
class Resolved(Event):
    """A directory answered a client's look-up with gateway addresses."""

    at: int
    region: str
    zone: str
    host: str
    directory: str
    addresses: tuple[str, ...]


@define
class Tried(Event):
    """One try of a client's request, recorded when it ends. A refused request is tried again with its id."""

    began: int
    request: str
    region: str  # region of the client
    gateway: str  # "ip:port"
    host: str
    path: str
    kind: str  # kind of the route
    deadline_ms: int
    ended: int = 0
    read: int = 0  # when the last byte of the request was sent; 0: never
    outcome: str = ""  # see `Outcome`
    status: int = 0
    detail: str = ""
    fresh: bool = True  # the first request on its connection


class Outcome:
    """How a request of a client ends."""

    SERVED = "served"  # complete answer of a server
    REFUSED = "refused"  # a status that guarantees that the request has not run
    FAILED = "failed"  # any other status
    UNREACHED = "unreached"  # no connection could be made
    CLOSED = "closed"  # connection ended within an answer that is visibly incomplete
    OVERDUE = "overdue"  # the request's deadline passed without a complete answer
    MIXED = "mixed"  # answer of another request, or incomplete but looking complete


@frozen
class Arrived(Event):
    """A request reached a server."""

    at: int
    request: str
    server: str
    service: str
    zone: str
    path: str


@frozen
class Handled(Event):
    """A server started to run a request, or refused it with the status `refusal`.

    A request that it ended without saying that it has not run counts as started.
    """

    at: int
    request: str
    server: str
    refusal: int = 0


@frozen
class LeaveAcknowledged(Event):
    """The control plane acknowledged a server's drain or deregistration."""

    at: int
    server: str


@frozen
class Trouble(Event):
    """A fault or planned operation on processes, from start to end."""

    began: int
    ended: int
    kind: str
    targets: tuple[str, ...]  # names of processes or servers
    planned: bool


@frozen
class ProcessEnded(Event):
    """A process exited. `fault`: why the exit violates the rules; empty if it was requested."""

    at: int
    process: str
    status: int
    fault: str = ""


@frozen
class Ordered(Event):
    """An operator's configuration order and its outcome, recorded when it ends."""

    number: int
    operator: str
    base: int
    version: int
    body: str  # request body of the order
    whole: str  # complete configuration that results, as JSON
    update: bool
    valid: bool
    invoked: int
    ended: int
    outcome: str  # name of a member of the simulation's enum `Outcome`
    told_version: int
    repeat_status: int = 0  # status of the repetition of an acknowledged order; 0: not repeated


@frozen
class ReadBack(Event):
    """A configuration that an operator read."""

    operator: str
    invoked: int
    ended: int
    version: int
    number: int  # number of the order that created this configuration
    node: str
    final: bool = False  # read after the last order


@frozen
class Evacuated(Event):
    """The start (`begin`) or end of an operator's evacuation of a zone."""

    zone: str
    begin: bool
    invoked: int
    ended: int
    acknowledged: bool


@frozen
class Recovery(Event):
    """State after all faults ended; `missing` lists what did not recover."""

    healed: int
    ended: int
    missing: tuple[str, ...]


@frozen
class LogFault(Event):
    """A forbidden line in a process's log."""

    process: str
    line: str


@frozen
class Lagged(Event):
    """The kernel did not schedule an actor's process for a while, so it recorded events late."""

    began: int
    ended: int
    process: str


_CONVERTER = Converter()


def encode(event: Event) -> str:
    """Encodes an event as one JSON line."""
    return json.dumps({TYPE_FIELD: type(event).__name__} | _CONVERTER.unstructure(event))


def decode(line: str) -> Event:
    """Decodes a line; raises ValueError or KeyError if it is not an event."""
    table = json.loads(line)
    event: Event = _CONVERTER.structure(table, Event.kinds[table.pop(TYPE_FIELD)])
    return event


class Journal:
    """Event file of one process."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("a")

    def add(self, event: Event) -> None:
        """Appends an event as one JSON line; it may stay in the file's buffer."""
        self.file.write(encode(event) + "\n")


def read_journals(paths: Iterable[Path]) -> Iterator[Event]:
    """Yields all events of the files."""
    for path in paths:
        with path.open() as lines:
            yield from (decode(line) for line in lines)
