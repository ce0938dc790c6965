"""What clients sent and saw, what servers ran, and what the gateways had been told, in one run."""

from __future__ import annotations

from enum import Enum, auto

from attrs import define, field

from brackenladder.simulation.exchange.site import Configuration, RouteTemplate

RECOVERY_TIME = 300_000  # microseconds after a fault in which its machine catches up


class RequestOutcome(Enum):
    """How a request has ended for its client."""

    OPEN = auto()
    ANSWERED = auto()  # by an answer that looks whole
    BROKEN = auto()  # in the middle of its answer
    CLOSED = auto()  # without any byte of an answer
    REFUSED = auto()  # no connection came up
    GIVEN_UP = auto()  # by the client, before any deadline
    UNANSWERED = auto()  # by the client, long after it


@define(eq=False)
class Request:
    """One try of a client. Times are microseconds of the run; 0: it did not come to that."""

    id: str
    route: RouteTemplate
    method: str
    target: str
    body: bytes
    gateway: int
    deadline_ms: int
    event_count: int  # of its stream, if it gets one
    started_at: int = 0
    sent_at: int = 0  # its last byte was sent
    first_byte_at: int = 0  # the first byte of its answer came
    ended_at: int = 0
    outcome: RequestOutcome = RequestOutcome.OPEN
    status: int = 0
    signature: str = ""  # of the server
    answer: bytes = b""
    gateway_start: int = 0  # which start of the gateway's process took the connection
    queued_behind: Request | None = None  # sent before it on its connection, and not answered yet then
    excused: bool = False  # something happened to its connection or its gateway that excuses delays and ends


@define(eq=False)
class Run:
    """A request at a server."""

    number: int
    request_id: str
    server: str
    service: str
    region: str
    zone: str
    arrived_at: int
    method: str
    target: str
    body: bytes
    deadline_ms: int
    gateway: int
    after_event: int = 0  # of a stream that is taken up
    early: bool = False  # the server has begun before the body was whole
    executed: bool = True  # False: the server has said that it did not run it
    status: int = 0
    answer: bytes = b""  # the body as the server made it
    complete: bool = False  # the server has sent all of it
    cut: bool = False  # the server has broken off
    crashed: bool = False  # its server has ended under it
    unframed: bool = False  # its answer has no length
    ended_at: int = 0

    @property
    def signature(self) -> str:
        """What its answer carries."""
        return f"run-{self.number}"


@define(eq=False)
class ConfigurationEvent:
    """Something that the gateways were told at a moment."""

    at: int
    configuration: Configuration


@define
class Disturbances:
    """The spans in which a machine was kept from its work. Times are microseconds of the run."""

    _spans: list[tuple[int, int]] = field(factory=list)
    _open: list[int] = field(factory=list)  # the beginnings of those that go on

    def begin(self, now: int) -> None:
        """A fault begins."""
        self._open.append(now)

    def end(self, now: int) -> None:
        """One has ended."""
        if self._open:
            self._spans.append((self._open.pop(), now + RECOVERY_TIME))

    def between(self, begin: int, end: int) -> bool:
        """Whether one was under way at any time between two moments."""
        spans = [*self._spans, *((since, end + 1) for since in self._open)]
        return any(since <= end and begin <= until for since, until in spans)


@define
class History:
    """All of it."""

    requests: dict[str, Request] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    configurations: list[ConfigurationEvent] = field(factory=list)

    def runs_of(self, request_id: str) -> list[Run]:
        """The runs of a request, in the order in which they arrived."""
        return [run for run in self.runs if run.request_id == request_id]

    def in_force(self, begin: int, end: int) -> list[Configuration]:
        """The configurations that gateways may have gone by between two moments."""
        found: list[Configuration] = []
        for told in self.configurations:
            if told.at > end:
                break
            if told.at <= begin:
                found = []
            found.append(told.configuration)
        return found
