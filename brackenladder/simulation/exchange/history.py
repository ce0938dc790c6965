"""Records what clients sent and received, what servers ran and which configurations applied in a run."""

from __future__ import annotations

from enum import Enum, auto

from attrs import define, field, frozen

from brackenladder.simulation.exchange.site import Configuration, RouteTemplate

RECOVERY_TIME = 300_000  # microseconds that a machine needs to catch up after a fault


class RequestOutcome(Enum):
    """How a request ended for its client."""

    OPEN = auto()
    ANSWERED = auto()  # with a response that looks complete
    BROKEN = auto()  # connection lost in the middle of the response
    CLOSED = auto()  # connection lost before the first byte of the response
    REFUSED = auto()  # no connection could be opened
    GIVEN_UP = auto()  # the client gave up before any deadline
    UNANSWERED = auto()  # the client gave up long after the deadline


@frozen
class Refusal:
    """The end of an earlier try of a request, whose status promised that the request had not run."""

    status: int
    ended_at: int
    retried_at: int  # when the client sent the request again, with the same id


@define(eq=False)
class Request:
    """One request of a client. Times are microseconds since the start of the run; 0 if not reached.

    A client may send a refused request again with the same id. The fields then describe the latest try.
    """

    id: str
    route: RouteTemplate
    method: str
    target: str
    body: bytes
    gateway: int
    deadline_ms: int
    event_count: int  # number of events if it is answered by a stream
    started_at: int = 0
    sent_at: int = 0  # time at which its last byte was sent
    first_byte_at: int = 0  # time at which the first byte of its answer was received
    ended_at: int = 0
    outcome: RequestOutcome = RequestOutcome.OPEN
    status: int = 0
    signature: str = ""  # the server's response signature
    answer: bytes = b""
    gateway_start: int = 0  # number of the start of the gateway's process
    # The pipelined request before this one on the connection, if still unanswered when this one was sent.
    queued_behind: Request | None = None
    excused: bool = False  # a fault hit its connection, so that a late answer or none is allowed
    refusals: list[Refusal] = field(factory=list)  # of its earlier tries

    def begin_again(self, now: int, gateway: int) -> None:
        """Begins another try of a refused request, at a gateway."""
        self.refusals.append(Refusal(self.status, self.ended_at, now))
        self.gateway, self.started_at = gateway, now
        self.sent_at = self.first_byte_at = self.ended_at = self.status = 0
        self.outcome = RequestOutcome.OPEN
        self.signature, self.answer, self.queued_behind = "", b"", None


@define(eq=False)
class Run:
    """One execution of a request at a server."""

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
    after_event: int = 0  # id of the last event that the client had when the stream was resumed; 0: none
    early: bool = False  # the server began before it had the complete body
    executed: bool = True  # False: the server stated that it did not execute the request
    status: int = 0
    answer: bytes = b""  # the body that the server created
    complete: bool = False  # the server has sent all of the answer
    cut: bool = False  # the server broke off the answer, or a fault reset its connection
    crashed: bool = False  # the server crashed during the run
    leaving: bool = False  # the server that crashed had announced that it drains
    replaced_at: int = 0  # when the server's next incarnation started at the same address; 0: never
    unframed: bool = False  # the answer states no length and ends with the connection
    ended_at: int = 0

    @property
    def signature(self) -> str:
        """The signature in the response, which identifies the run."""
        return f"run-{self.number}"


@define(eq=False)
class ConfigurationEvent:
    """A configuration and the time at which it was sent to the gateways."""

    at: int
    configuration: Configuration


@define
class Disturbances:
    """The spans in which faults affected a machine. Times are microseconds since the start of the run."""

    _spans: list[tuple[int, int]] = field(factory=list)
    _open: list[int] = field(factory=list)  # start times of the faults that are active

    def begin(self, now: int) -> None:
        """Opens the interval of a fault, which lasts until the matching `end`."""
        self._open.append(now)

    def end(self, now: int) -> None:
        """Ends the fault that began last; its interval is prolonged by `RECOVERY_TIME`."""
        if self._open:
            self._spans.append((self._open.pop(), now + RECOVERY_TIME))

    def between(self, begin: int, end: int) -> bool:
        """Whether a fault was active at any time between two moments."""
        spans = [*self._spans, *((since, end + 1) for since in self._open)]
        return any(since <= end and begin <= until for since, until in spans)


@define
class History:
    """The clients' requests, their runs at servers and the configurations recorded in a run."""

    requests: dict[str, Request] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    configurations: list[ConfigurationEvent] = field(factory=list)

    def runs_of(self, request_id: str) -> list[Run]:
        """Returns the runs of a request in the order of their arrival."""
        return [run for run in self.runs if run.request_id == request_id]

    def in_force(self, begin: int, end: int) -> list[Configuration]:
        """Returns the configurations that gateways may have used between two moments."""
        found: list[Configuration] = []
        for event in self.configurations:
            if event.at > end:
                break
            if event.at <= begin:
                found = []
            found.append(event.configuration)
        return found
