"""What the parts of one request's way through the gateway know of one another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from aiohttp import web
from attrs import frozen

from brackenladder.catalog.configuration import Route
from brackenladder.gateway.answers import WholeAnswer
from brackenladder.gateway.failures import FailureLog
from brackenladder.gateway.open_answer import OpenAnswer
from brackenladder.interface import Outcome
from brackenladder.registry.records import ServerRecord

Response = TypeVar("Response", bound=web.StreamResponse)


@frozen
class AttemptEnd:
    """How an attempt ended, and the answer that it got."""

    outcome: Outcome
    answer: WholeAnswer | OpenAnswer | None = None


class RunnableAttempt(Protocol):
    """An attempt as the call sees it, which runs it in the task of the client's request."""

    @property
    def record(self) -> ServerRecord:
        """The server that it goes to."""

    @property
    def written(self) -> bool:
        """Whether any byte of the request was sent."""

    async def run(self) -> None:
        """Make the attempt; returns once its end has been told."""

    def stop(self, outcome: Outcome) -> None:
        """Give it up."""

    def drop(self) -> None:
        """Forget it before it has begun."""


class ExchangeContext(Protocol):
    """What all requests of a gateway share, as far as a relay needs it."""

    @property
    def now(self) -> Callable[[], int]:
        """The clock, in microseconds."""

    @property
    def failures(self) -> FailureLog:
        """Where failures are counted and logged."""


class ClientExchange(Protocol):
    """A client's request, as its calls, attempts and the relay of its answer see it."""

    @property
    def context(self) -> ExchangeContext:
        """What all requests of the gateway share."""

    @property
    def request(self) -> web.BaseRequest:
        """The request as it was read."""

    @property
    def request_id(self) -> str:
        """The id that the client gave."""

    @property
    def method(self) -> str:
        """The HTTP method."""

    @property
    def route(self) -> Route:
        """The route that the request takes."""

    @property
    def client_deadline(self) -> int:
        """The end of the client's patience, by the gateway's clock."""

    @property
    def max_silence(self) -> int:
        """The silence in microseconds after which the client gives a stream up."""

    def newest_route(self) -> Route | None:
        """The route that the request would take by now; None: the same one, or none any more."""

    def may_be_sent_to(self, server_id: str) -> bool:
        """Whether the routes that bind allow this server, beside those that may have run the request."""

    def sent_to(self, server_id: str) -> None:
        """The request was written to a server."""

    def rejected_by(self, server_id: str) -> None:
        """The server says that it has not run the request."""

    def compose(self, server_id: str, left_ms: int, last_event_id: int | None) -> bytes:
        """The request as a server gets it."""

    def may_resume(self) -> bool:
        """Whether one more server may take this request's stream up."""

    def finished(self, response: Response) -> Response:
        """The response, ready for the client's connection."""
