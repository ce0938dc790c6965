"""The interfaces between the exchange, its calls, their attempts and the relay."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from aiohttp import web
from attrs import frozen

from brackenladder.catalog.configuration import Route
from brackenladder.gateway.answers import WholeAnswer
from brackenladder.gateway.failures import FailureLog
from brackenladder.gateway.open_answer import OpenAnswer
from brackenladder.gateway.promises import AttemptRecord, PromiseLog
from brackenladder.interface import Outcome
from brackenladder.registry.records import ServerRecord

Response = TypeVar("Response", bound=web.StreamResponse)


@frozen
class AttemptEnd:
    """How an attempt ended, and the response that it received."""

    outcome: Outcome
    answer: WholeAnswer | OpenAnswer | None = None


class RunnableAttempt(Protocol):
    """The interface of an attempt for its call, which runs it in the task of the client's request."""

    @property
    def record(self) -> ServerRecord:
        """The server that the attempt goes to."""

    @property
    def written(self) -> bool:
        """Whether the request was written to the server."""

    def ended_as(self, outcome: Outcome) -> AttemptRecord:
        """The attempt as a record, once it has ended with this outcome."""

    async def run(self) -> None:
        """Run the attempt; returns after its end has been reported."""

    def stop(self, outcome: Outcome) -> None:
        """Cancel the attempt, which then ends with this outcome."""

    def drop(self) -> None:
        """Discard the attempt before it has started."""


class ExchangeContext(Protocol):
    """The part of the gateway's shared state that relaying a response needs."""

    @property
    def now(self) -> Callable[[], int]:
        """The clock, in microseconds."""

    @property
    def failures(self) -> FailureLog:
        """Counts and logs failures."""

    @property
    def promises(self) -> PromiseLog:
        """Records what promises to clients rest on."""


class ClientExchange(Protocol):
    """The interface of a client's request for its calls, its attempts and the relay of its response."""

    @property
    def context(self) -> ExchangeContext:
        """The state shared by all requests of the gateway."""

    @property
    def request(self) -> web.BaseRequest:
        """The request as received."""

    @property
    def request_id(self) -> str:
        """The id that the client gave the request."""

    @property
    def method(self) -> str:
        """The HTTP method."""

    @property
    def route(self) -> Route:
        """The route that the request matched when it was read."""

    @property
    def client_deadline(self) -> int:
        """The end of the client's timeout, by the gateway's clock."""

    @property
    def max_silence(self) -> int:
        """The microseconds without an event after which the client gives up a stream."""

    def newest_route(self) -> Route | None:
        """The route that the request matches now; None if it is unchanged or was removed."""

    def may_be_sent_to(self, server_id: str) -> bool:
        """Whether the request may go to this server, given the attempts that the routes allow."""

    def sent_to(self, server_id: str) -> None:
        """Note that the request was written to a server."""

    def rejected_by(self, server_id: str) -> None:
        """Note that a server rejected the request without running it."""

    def compose(self, server_id: str, left_ms: int, last_event_id: int | None) -> bytes:
        """The request as it is sent to a server."""

    def may_resume(self) -> bool:
        """Whether this request's stream may be resumed at one more server."""

    def finished(self, response: Response) -> Response:
        """The response with the connection headers set for the client's connection."""
