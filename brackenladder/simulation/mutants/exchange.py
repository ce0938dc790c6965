"""Planted faults in how a gateway relays requests and answers between clients and servers."""

from __future__ import annotations

from collections import deque
from contextlib import ExitStack, contextmanager
from typing import Any

from attrs import evolve

from brackenladder.gateway import answers as answers_module
from brackenladder.gateway import exchange as exchange_module
from brackenladder.gateway import hints as hints_module
from brackenladder.gateway import upstream as upstream_module
from brackenladder.gateway.carried_ids import CarriedIds
from brackenladder.gateway.clients import ClientProtocol
from brackenladder.gateway.events import EventParser, split_events
from brackenladder.gateway.exchange import Exchange
from brackenladder.gateway.framing import AnswerFraming
from brackenladder.gateway.outcomes import outcome_of
from brackenladder.gateway.relay import Relay
from brackenladder.gateway.resume import EventOrder
from brackenladder.gateway.server import Gateway
from brackenladder.gateway.server_protocol import ServerProtocol
from brackenladder.gateway.upstream import ServerAttempt, ServiceUpstream
from brackenladder.interface import Outcome
from brackenladder.placement.traits import CallTraits
from brackenladder.simulation.mutants.mutant import Fault, Mutant, replaced

MISDIRECTED = 421
END_OF_LINE = b"\r\n"
END_OF_HEAD = END_OF_LINE * 2


def _any_answer_taken() -> Fault:
    """Neither the answer's request id nor data after the answer is checked."""
    parent: Any = ServerProtocol.__mro__[1]

    def feed_data(self: Any, data: Any, size: int = 0) -> None:
        if data[0].code >= 200:
            self._accepted = True
        parent.feed_data(self, data, size)

    return replaced(ServerProtocol, feed_data=feed_data)


def _unsafe_repeat() -> Fault:
    def return_true(self: Any, _server_id: str) -> bool:
        return True

    @contextmanager
    def plant() -> Any:
        with ExitStack() as stack:
            stack.enter_context(replaced(Exchange, may_be_sent_to=return_true))
            stack.enter_context(replaced(exchange_module, is_idempotent=lambda _route: True))
            stack.enter_context(replaced(ServerAttempt, _finish=_finished_as_never_run))
            yield

    return plant()


def _rest_counts_as_event() -> Fault:
    """An event that is incomplete at the end of a stream without a length is passed on as a whole one."""
    return replaced(EventParser, holds_partial_event=property(lambda self: False))


def _unstated_end_believed() -> Fault:
    """A body without a length is complete however its server ended."""

    async def never_crashed(self: Any, _server_id: str, _address: str) -> bool:
        return False

    return replaced(ServiceUpstream, seems_crashed=never_crashed)


_finish = ServerAttempt._finish


def _finished_as_never_run(self: Any, end: Any) -> None:
    """Reports an attempt that ended by a reset as never sent."""
    if end.outcome is Outcome.RESET:
        end = type(end)(Outcome.CONNECT_FAILED, None)
    _finish(self, end)


def _reset_counts_as_unsent() -> Fault:
    return replaced(ServerAttempt, _finish=_finished_as_never_run)


def _server_not_named() -> Fault:
    """The request does not name its server, so a connection to a former server at the address is used."""
    compose = Exchange.compose

    def compose_without_server(self: Any, server_id: str, left_ms: int, last_event_id: int | None) -> bytes:
        return compose(self, "", left_ms, last_event_id).replace(
            b"X-Brackenladder-Expected-Instance: \r\n", b""
        )

    return replaced(Exchange, compose=compose_without_server)


def _partial_stream_looks_complete() -> Fault:
    """A stream that breaks looks to the client as if it had ended normally."""
    return replaced(Relay, _abort_client=lambda self: None)


def _homes_forgotten() -> Fault:
    return replaced(CallTraits, permits=lambda self, _region: True)


def _attempts_unbounded() -> Fault:
    """Neither the gateway nor its pools limit the number of servers that a request is sent to."""
    original_init = CallTraits.__init__

    def init(self: Any, route: Any, *arguments: Any, **named: Any) -> None:
        original_init(self, evolve(route, max_attempts=9), *arguments, **named)

    @contextmanager
    def plant() -> Any:
        with replaced(CallTraits, __init__=init), replaced(Exchange, _has_attempts=lambda self: True):
            yield

    return plant()


def _promise_in_doubt() -> Fault:
    unserved = answers_module.unserved_answer

    def promise(ending: Any, _in_doubt: bool, timed_out: bool) -> Any:
        return unserved(ending, False, timed_out)

    return replaced(exchange_module, unserved_answer=promise)


def _client_forgotten() -> Fault:
    """Work for a client that has left is not cancelled."""
    lost = ClientProtocol.connection_lost

    def connection_lost(self: Any, exc: Any) -> None:
        if self._manager is not None:
            self._manager.handler_cancellation = False
        lost(self, exc)

    return replaced(ClientProtocol, connection_lost=connection_lost)


def _events_again() -> Fault:
    """The events of a resumed stream are not compared with those already sent to the client."""

    def pass_on(self: Any, data: bytes) -> bytes:
        events = _event_ids(data)
        if events:
            self.last_id = max(1, events[-1] - 1)
        return data

    return replaced(EventOrder, pass_on=pass_on)


def _event_ids(data: bytes) -> list[int]:
    """Returns the ids of complete events."""
    return [event.id for event in split_events(data) if event.id is not None]


def _resumed_anyway() -> Fault:
    """Any broken stream is continued at another server."""
    original_init = Relay.__init__

    def init(self: Any, *arguments: Any) -> None:
        original_init(self, *arguments)
        self._tracks_order = arguments[2].streaming

    @contextmanager
    def plant() -> Any:
        with ExitStack() as stack:
            stack.enter_context(replaced(Relay, __init__=init))
            stack.enter_context(replaced(Exchange, may_resume=lambda self: True))
            stack.enter_context(replaced(Exchange, may_be_sent_to=lambda self, _server: True))
            stack.enter_context(replaced(hints_module, is_idempotent=lambda _route: True))
            yield

    return plant()


def _whole_deadline() -> Fault:
    """Each attempt tells the server the client's full time limit."""
    compose = Exchange.compose

    def compose_with_full_deadline(
        self: Any, server_id: str, _left_ms: int, last_event_id: int | None
    ) -> bytes:
        return compose(self, server_id, (self.client_deadline - self.began) // 1000, last_event_id)

    return replaced(Exchange, compose=compose_with_full_deadline)


def _turn_counts_as_arrival() -> Fault:
    """A pipelined request's time limits start when the request before it is answered, not on arrival."""

    def next_arrival(self: Any) -> float:
        self._arrivals = deque()
        return float(self._loop.time())

    return replaced(ClientProtocol, next_arrival=next_arrival)


def _cut_at_sigterm() -> Fault:
    """The shutdown does not wait for open requests."""

    async def drain(self: Any, _grace_s: float) -> None:
        self._listeners[0].close()
        self._clients.abort_all()

    return replaced(Gateway, drain=drain)


def _mutant(name: str, description: str, rules: set[str], plant: Any) -> Mutant:
    return Mutant(name=name, description=description, profile="exchange", rules=frozenset(rules), plant=plant)


def _id_comes_back() -> Fault:
    """A connection forgets the request ids that it has carried."""
    return replaced(CarriedIds, __contains__=lambda self, _request_id: False)


def _status_believed() -> Fault:
    """A 421 counts as a rejection without the header that says that the request has not run."""

    def outcome_by_status(status: int, headers: Any) -> Outcome:
        return Outcome.REJECTED if status == MISDIRECTED else outcome_of(status, headers)

    return replaced(upstream_module, outcome_of=outcome_by_status)


def _heads_joined() -> Fault:
    """The start of one response and the head of another are taken as one response."""
    read_head = AnswerFraming._read_head

    def read_any_head(self: Any, head: bytes) -> None:
        read_head(self, head)
        self.joined = False

    return replaced(AnswerFraming, _read_head=read_any_head)


def _check_writes_head() -> Fault:
    """The check for a stale connection writes a request's head but for its last line end."""

    def head_but_its_end(request: bytes) -> bytes:
        return request[: request.index(END_OF_HEAD) + len(END_OF_LINE)]

    return replaced(upstream_module, start_to_check=head_but_its_end)


EXCHANGE_MUTANTS = (
    _mutant(
        "any-answer-taken",
        "a second answer is taken as the answer to the next request",
        {"mixed"},
        _any_answer_taken,
    ),
    _mutant("unsafe-repeat", "an unsafe request is sent again after a reset", {"twice"}, _unsafe_repeat),
    _mutant(
        "reset-counts-as-unsent",
        "an attempt that ended in a reset counts as not sent",
        {"twice", "refused", "attempts"},
        _reset_counts_as_unsent,
    ),
    _mutant(
        "server-not-named", "requests do not name the server they are meant for", {"route"}, _server_not_named
    ),
    _mutant(
        "part-looks-whole",
        "a broken stream ends as if it were complete",
        {"order"},
        _partial_stream_looks_complete,
    ),
    _mutant("homes-forgotten", "the home regions of a route are ignored", {"home"}, _homes_forgotten),
    _mutant("attempts-unbounded", "MaxAttempts is ignored", {"attempts"}, _attempts_unbounded),
    _mutant(
        "promise-in-doubt", "a request that may have run is answered 503", {"refused"}, _promise_in_doubt
    ),
    _mutant(
        "client-forgotten", "work for a client that has left is not cancelled", {"gone"}, _client_forgotten
    ),
    _mutant(
        "rest-counts-as-event",
        "half an event at an end that nobody stated is passed on",
        {"order"},
        _rest_counts_as_event,
    ),
    _mutant(
        "unstated-end-believed",
        "the end of a body without a length is believed although its server crashed",
        {"order", "mixed"},
        _unstated_end_believed,
    ),
    _mutant("events-again", "events of a resumed stream are repeated", {"order"}, _events_again),
    _mutant("resumed-anyway", "any broken stream is resumed", {"twice", "order"}, _resumed_anyway),
    _mutant("whole-deadline", "servers are told more time than is left", {"deadline"}, _whole_deadline),
    _mutant(
        "turn-counts-as-arrival",
        "time spent waiting behind a pipelined request does not count",
        {"deadline"},
        _turn_counts_as_arrival,
    ),
    _mutant("cut-at-sigterm", "SIGTERM aborts open requests", {"lost"}, _cut_at_sigterm),
    _mutant(
        "id-comes-back",
        "a connection carries a request id twice",
        {"refused", "twice"},
        _id_comes_back,
    ),
    _mutant(
        "status-believed",
        "a 421 is a rejection without the header that says so",
        {"refused", "twice"},
        _status_believed,
    ),
    _mutant(
        "heads-joined",
        "the start of a response joined with another one is taken as an answer",
        {"refused", "twice", "mixed"},
        _heads_joined,
    ),
    _mutant(
        "check-writes-head",
        "the check for a stale connection writes a head, which a server takes for a request",
        {"refused", "twice", "attempts"},
        _check_writes_head,
    ),
)
