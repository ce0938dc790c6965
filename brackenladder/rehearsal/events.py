"""The events that stand-ins and the runner record, and the journal files that hold them.

A journal has one event a line: a JSON array that begins with the event's name. Times are microseconds of the
machine's monotonic clock, which all processes share. A file may end in an incomplete line if its process was
killed; the lines before it are valid.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from time import monotonic_ns

import msgspec


def now() -> int:
    """The current time in microseconds, by the clock of the events."""
    return monotonic_ns() // 1000


class Event(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base of the events. `t`: when it was observed."""

    t: int


# ---- clients ------------------------------------------------------------------------------------------


class Sent(Event, frozen=True, tag="sent", gc=False):
    """The last byte of a request was handed to the kernel. `budget`: microseconds; `due`: planned time."""

    id: str
    node: str
    klass: int
    budget: int
    due: int
    reused: bool  # the connection had carried a request before


class Answered(Event, frozen=True, tag="answered", gc=False):
    """A complete answer arrived. `own`: false if its status is 200 but its body doesn't name this request."""

    id: str
    status: int
    own: bool
    retry_after: float  # seconds; 0: not given


class Broken(Event, frozen=True, tag="broken", gc=False):
    """The connection ended without a complete answer. `begun`: a part of one had come."""

    id: str
    begun: bool


class GaveUp(Event, frozen=True, tag="gave-up", gc=False):
    """The client closed the connection: after its timeout and a margin, or before that if `early`."""

    id: str
    early: bool


class Again(Event, frozen=True, tag="again", gc=False):
    """Bytes arrived for a request that was already answered, such as a second answer."""

    id: str


class Unreached(Event, frozen=True, tag="unreached", gc=False):
    """The client did not connect, or did not send the whole request, so the node has not accepted it."""

    id: str
    node: str


# ---- servers ------------------------------------------------------------------------------------------


class Up(Event, frozen=True, tag="up", gc=False):
    """A server's process begins to serve.

    `capacity`: standard cores when warm. `warm`: microseconds until it is warm; 0: at once. `share`: the part
    of its capacity that it starts with.
    """

    server: str
    pod: str
    started: int  # Unix time in milliseconds, as in the server list; 0: before the run
    capacity: float
    share: float
    warm: int


class Down(Event, frozen=True, tag="down", gc=False):
    """The server's process has ended."""

    server: str


class Arrived(Event, frozen=True, tag="arrived", gc=False):
    """The last byte of an attempt has come; `first`: when its first byte came.

    `queued`: it waited in the kernel's backlog of a server that did not accept, so its send time is unknown.
    """

    first: int
    server: str
    attempt: int  # number, unique in the run
    id: str
    work: int  # microseconds on a standard core
    queued: bool


class Partial(Event, frozen=True, tag="partial", gc=False):
    """An attempt's connection ended before its last byte had come, so it never ran."""

    server: str
    id: str


class Begun(Event, frozen=True, tag="begun", gc=False):
    """The first `bytes` bytes of an answer that is sent in parts were written."""

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
    """An attempt's connection ended before its answer was complete. `by`: node or server."""

    server: str
    attempt: int
    id: str
    by: str


# ---- discovery ----------------------------------------------------------------------------------------


class Asked(Event, frozen=True, tag="asked", gc=False):
    """A node's discovery call has come. `since`: the version it has, -1 to get the full list.

    `wait`: microseconds that it waits for changes.
    """

    node: str
    call: int
    since: int
    wait: int = 0


class Told(Event, frozen=True, tag="told", gc=False):
    """A discovery answer was written to a node. `servers`: (id, state, started_ms) of each line."""

    node: str
    call: int
    source: int  # number of the discovery service; each has its own versions
    version: int
    full: bool
    servers: tuple[tuple[str, str, int], ...]


class Untold(Event, frozen=True, tag="untold", gc=False):
    """A node's discovery call ended without an answer."""

    node: str
    call: int


class Hushed(Event, frozen=True, tag="hushed", gc=False):
    """A fault silenced an open discovery call: it stays open but is never answered."""

    node: str
    call: int


class Changed(Event, frozen=True, tag="changed", gc=False):
    """Discovery has learnt that a server is in state `state`."""

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
    """A node has become ready: it answered `GET /ready` with 200."""

    node: str


class NodeSignal(Event, frozen=True, tag="node-signal", gc=False):
    """A signal was sent to a node: kill, term, hup, stop or cont."""

    node: str
    signal: str


class NodeEnded(Event, frozen=True, tag="node-ended", gc=False):
    """A node's process has ended. `wanted`: after SIGKILL, or with status 0 after SIGTERM."""

    node: str
    code: int
    wanted: bool


class Said(Event, frozen=True, tag="said", gc=False):
    """A node reported that at the time `at` it changed its view of a member, or of itself."""

    at: int
    node: str
    about: str
    before: str
    after: str
    epoch: int
    incarnation: int
    reason: str


class Viewed(Event, frozen=True, tag="viewed", gc=False):
    """The state of each member as a node sees it, by member number; `own`: that of the node itself."""

    node: str
    own: str
    living: int
    states: tuple[str, ...]
    epochs: tuple[int, ...]


class Fault(Event, frozen=True, tag="fault", gc=False):
    """A fault began, which lasts until `end`."""

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
BUFFERED = 512  # events that are buffered before they are written


class Journal:
    """Appends events to a file. Buffered events are lost if the process is killed before `flush`."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self.buffer: list[Event] = []

    def add(self, event: Event) -> None:
        """Adds an event to the buffer; writes the buffer when it is full."""
        self.buffer.append(event)
        if len(self.buffer) >= BUFFERED:
            self.flush()

    def flush(self) -> None:
        """Writes the buffered events."""
        if self.buffer:
            waiting, self.buffer = self.buffer, []
            self.file.write(ENCODER.encode_lines(waiting))

    def close(self) -> None:
        """Writes the buffered events and closes the file."""
        self.flush()
        self.file.close()


class JournalError(Exception):
    """A journal is not readable; the text names file and line."""


def read(path: Path) -> Iterator[AnyEvent]:
    """A journal's events in the order written. An incomplete last line is skipped."""
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith(b"\n"):
                return
            try:
                yield DECODER.decode(line)
            except (msgspec.DecodeError, UnicodeDecodeError) as e:
                raise JournalError(f"{path.name}: line {number}: {e}") from None


def merged(paths: Iterable[Path]) -> list[AnyEvent]:
    """The events of all journals by time; those of the same time in the order of the files."""
    events = [event for path in paths for event in read(path)]
    events.sort(key=lambda event: event.t)
    return events
