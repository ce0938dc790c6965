"""What the stand-ins see, and the journal they write it to.

A journal is a file of JSON lines, one event a line: an array that begins with the event's name. Times are
microseconds of the machine's monotonic clock, which all processes share. Files may end in half a line
(a process that was killed); what is whole before it counts.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from time import monotonic_ns

import msgspec


def now() -> int:
    """Microseconds of the clock that all events carry."""
    return monotonic_ns() // 1000


class Event(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """`t`: when it was seen."""

    t: int


# ---- clients ------------------------------------------------------------------------------------------


class Sent(Event, frozen=True, tag="sent", gc=False):
    """A request's last byte was handed to the system. `budget`: microseconds; `due`: its planned time."""

    id: str
    node: str
    klass: int
    budget: int
    due: int
    reused: bool  # the connection had carried a request before


class Answered(Event, frozen=True, tag="answered", gc=False):
    """The last byte of a whole answer. `own`: the body is the one that a server made for this request."""

    id: str
    status: int
    own: bool
    retry_after: float  # seconds; 0 = no advice


class Broken(Event, frozen=True, tag="broken", gc=False):
    """The connection ended with no whole answer. `begun`: a part of one had come."""

    id: str
    begun: bool


class GaveUp(Event, frozen=True, tag="gave-up", gc=False):
    """The client closed the connection: its time and a margin were over, or (`early`) it left before."""

    id: str
    early: bool


class Again(Event, frozen=True, tag="again", gc=False):
    """Bytes that came on a connection whose request had had its answer."""

    id: str


class Unreached(Event, frozen=True, tag="unreached", gc=False):
    """No connection to the node: it has not taken the request."""

    id: str
    node: str


# ---- servers ------------------------------------------------------------------------------------------


class Up(Event, frozen=True, tag="up", gc=False):
    """A server's process serves.

    `capacity`: standard cores when warm. `warm`: microseconds until then; 0 = warm. `share`: the part of its
    capacity that it begins with.
    """

    server: str
    pod: str
    started: int  # milliseconds of Unix time, as in the list; 0 = long ago
    capacity: float
    share: float
    warm: int


class Down(Event, frozen=True, tag="down", gc=False):
    """The server's process has ended."""

    server: str


class Arrived(Event, frozen=True, tag="arrived", gc=False):
    """An attempt's last byte has come; `first`: when its first byte came.

    `queued`: it waited in the system for a server that did not look, so nobody knows when it was sent.
    """

    first: int
    server: str
    attempt: int  # counted by the process that hosts the server
    id: str
    work: int  # microseconds on a standard core
    queued: bool


class Partial(Event, frozen=True, tag="partial", gc=False):
    """An attempt whose connection ended before its last byte had come: it never ran."""

    server: str
    id: str


class Begun(Event, frozen=True, tag="begun", gc=False):
    """The first bytes of an answer that goes out in parts were written, `bytes` of them."""

    server: str
    attempt: int
    id: str
    bytes: int


class Replied(Event, frozen=True, tag="replied", gc=False):
    """The last byte of an attempt's answer was written. `how`: served, error, or rejected (never ran)."""

    server: str
    attempt: int
    id: str
    how: str


class Closed(Event, frozen=True, tag="closed", gc=False):
    """An attempt's connection ended before its whole answer. `by`: node or server."""

    server: str
    attempt: int
    id: str
    by: str


# ---- discovery ----------------------------------------------------------------------------------------


class Asked(Event, frozen=True, tag="asked", gc=False):
    """A node's call to discovery has come. `since`: the version it has, -1 for the whole list.

    `wait`: microseconds that it waits for news.
    """

    node: str
    call: int
    since: int
    wait: int = 0


class Told(Event, frozen=True, tag="told", gc=False):
    """An answer was written to a node. `servers`: (id, state, started_ms) of each line."""

    node: str
    call: int
    source: int  # which discovery: versions of one say nothing of another's
    version: int
    full: bool
    servers: tuple[tuple[str, str, int], ...]


class Untold(Event, frozen=True, tag="untold", gc=False):
    """A call to discovery ended with no answer."""

    node: str
    call: int


class Hushed(Event, frozen=True, tag="hushed", gc=False):
    """A fault has made a call to discovery fall silent: it stays open, and is never answered."""

    node: str
    call: int


class Changed(Event, frozen=True, tag="changed", gc=False):
    """Discovery knows from now on that a server is `state`."""

    source: int
    version: int
    server: str
    state: str
    started: int


# ---- the network between nodes, nodes, stand-ins ------------------------------------------------------


class Datagram(Event, frozen=True, tag="datagram", gc=False):
    """A datagram from node to node. `fate`: passed, late, twice, swapped or lost."""

    source: str
    target: str
    size: int
    fate: str


class NodeUp(Event, frozen=True, tag="node-up", gc=False):
    """`GET /ready` was answered 200."""

    node: str


class NodeSignal(Event, frozen=True, tag="node-signal", gc=False):
    """A signal was sent to a node: kill, term, hup, stop or cont."""

    node: str
    signal: str


class NodeEnded(Event, frozen=True, tag="node-ended", gc=False):
    """A node's process has ended; `wanted`: after a kill or a SIGTERM (then with status 0)."""

    node: str
    code: int
    wanted: bool


class Said(Event, frozen=True, tag="said", gc=False):
    """A node has changed its mind about a member, or about itself, at the moment `at`."""

    at: int
    node: str
    about: str
    before: str
    after: str
    epoch: int
    incarnation: int
    reason: str


class Viewed(Event, frozen=True, tag="viewed", gc=False):
    """What a node says of all members, in the order of their numbers; `own`: of itself."""

    node: str
    own: str
    living: int
    states: tuple[str, ...]
    epochs: tuple[int, ...]


class Fault(Event, frozen=True, tag="fault", gc=False):
    """A fault began; it lasts until `end`."""

    end: int
    kind: str
    target: str


class Lag(Event, frozen=True, tag="lag", gc=False):
    """A stand-in found that it ran `lag` microseconds late."""

    who: str
    lag: int


AnyEvent = (
    Sent
    | Answered
    | Broken
    | GaveUp
    | Again
    | Unreached
    | Up
    | Down
    | Arrived
    | Partial
    | Begun
    | Replied
    | Closed
    | Asked
    | Told
    | Untold
    | Hushed
    | Changed
    | Datagram
    | Said
    | Viewed
    | NodeUp
    | NodeSignal
    | NodeEnded
    | Fault
    | Lag
)

DECODER = msgspec.json.Decoder(AnyEvent)
ENCODER = msgspec.json.Encoder()
BUFFERED = 512  # events that are kept back before they are written


class Journal:
    """Appends events to a file. What is buffered is lost with the process; `flush` loses nothing."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self.waiting: list[Event] = []

    def add(self, event: Event) -> None:
        """Notes an event."""
        self.waiting.append(event)
        if len(self.waiting) >= BUFFERED:
            self.flush()

    def flush(self) -> None:
        """Writes what is kept back."""
        if self.waiting:
            waiting, self.waiting = self.waiting, []
            self.file.write(ENCODER.encode_lines(waiting))

    def close(self) -> None:
        """Writes what is kept back, and ends."""
        self.flush()
        self.file.close()


class JournalError(Exception):
    """A journal that cannot be read; the text names file and line."""


def read(path: Path) -> Iterator[AnyEvent]:
    """A journal's events in the order written. Half a line at its end is passed over."""
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith(b"\n"):
                return
            try:
                yield DECODER.decode(line)
            except (msgspec.DecodeError, UnicodeDecodeError) as e:
                raise JournalError(f"{path.name}: line {number}: {e}") from None


def merged(paths: Iterable[Path]) -> list[AnyEvent]:
    """All journals' events by time; at one time in the order of the files."""
    events = [event for path in paths for event in read(path)]
    events.sort(key=lambda event: event.t)
    return events
