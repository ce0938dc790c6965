"""Planted faults in a gateway's exchange: between its clients and the servers."""

from __future__ import annotations

from collections import deque
from contextlib import ExitStack, contextmanager
from typing import Any

from attrs import evolve

from brackenladder.gateway import answers as answers_module
from brackenladder.gateway import exchange as exchange_module
from brackenladder.gateway import hints as hints_module
from brackenladder.gateway.clients import ClientProtocol
from brackenladder.gateway.events import split_events
from brackenladder.gateway.exchange import Exchange
from brackenladder.gateway.relay import Relay
from brackenladder.gateway.resume import EventOrder
from brackenladder.gateway.server import Gateway
from brackenladder.gateway.server_protocol import ServerProtocol
from brackenladder.gateway.upstream import ServerAttempt
from brackenladder.interface import Outcome
from brackenladder.placement.traits import CallTraits
from brackenladder.simulation.mutants.mutant import Fault, Mutant, replaced


def _any_answer_taken() -> Fault:
    """The request's id is not looked for, nor what follows an answer."""
    parent: Any = ServerProtocol.__mro__[1]

    def feed_data(self: Any, data: Any, size: int = 0) -> None:
        if data[0].code >= 200:
            self._accepted = True
        parent.feed_data(self, data, size)

    return replaced(ServerProtocol, feed_data=feed_data)


def _unsafe_repeat() -> Fault:
    def always(self: Any, _server_id: str) -> bool:
        return True

    @contextmanager
    def plant() -> Any:
        with ExitStack() as stack:
            stack.enter_context(replaced(Exchange, may_be_sent_to=always))
            stack.enter_context(replaced(exchange_module, is_idempotent=lambda _route: True))
            stack.enter_context(replaced(ServerAttempt, _finish=_finished_as_never_run))
            yield

    return plant()


_finish = ServerAttempt._finish


def _finished_as_never_run(self: Any, end: Any) -> None:
    """A reset is taken for an attempt that was not sent."""
    if end.outcome is Outcome.RESET:
        end = type(end)(Outcome.CONNECT_FAILED, None)
    _finish(self, end)


def _reset_counts_as_unsent() -> Fault:
    return replaced(ServerAttempt, _finish=_finished_as_never_run)


def _former_incarnation() -> Fault:
    """The server is not named, and an idle connection of its predecessor at the address is used."""
    compose = Exchange.compose

    def unnamed(self: Any, server_id: str, left_ms: int, last_event_id: int | None) -> bytes:
        return compose(self, "", left_ms, last_event_id).replace(
            b"X-Brackenladder-Expected-Instance: \r\n", b""
        )

    return replaced(Exchange, compose=unnamed)


def _part_looks_whole() -> Fault:
    """A stream that breaks ends for its client as if that were its end."""
    return replaced(Relay, _abort_client=lambda self: None)


def _homes_forgotten() -> Fault:
    return replaced(CallTraits, permits=lambda self, _region: True)


def _attempts_unbounded() -> Fault:
    """Neither the gateway nor its pools bound the servers of a request."""
    known = CallTraits.__init__

    def init(self: Any, route: Any, *arguments: Any, **named: Any) -> None:
        known(self, evolve(route, max_attempts=9), *arguments, **named)

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
    """Nobody cancels what a client that has left was waiting for."""
    lost = ClientProtocol.connection_lost

    def connection_lost(self: Any, exc: Any) -> None:
        if self._manager is not None:
            self._manager.handler_cancellation = False
        lost(self, exc)

    return replaced(ClientProtocol, connection_lost=connection_lost)


def _events_again() -> Fault:
    """A successor's events are not compared with those that were passed on."""

    def pass_on(self: Any, data: bytes) -> bytes:
        events = _event_ids(data)
        if events:
            self.last_id = max(1, events[-1] - 1)
        return data

    return replaced(EventOrder, pass_on=pass_on)


def _event_ids(data: bytes) -> list[int]:
    """The ids of whole events."""
    return [event.id for event in split_events(data) if event.id is not None]


def _resumed_anyway() -> Fault:
    """Any stream is taken up at another server."""
    ordered = Relay.__init__

    def init(self: Any, *arguments: Any) -> None:
        ordered(self, *arguments)
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
    """Servers are told the client's whole time at each attempt."""
    compose = Exchange.compose

    def whole(self: Any, server_id: str, _left_ms: int, last_event_id: int | None) -> bytes:
        return compose(self, server_id, (self.client_deadline - self.began) // 1000, last_event_id)

    return replaced(Exchange, compose=whole)


def _turn_counts_as_arrival() -> Fault:
    """The time of a request begins when its turn comes on its connection."""

    def next_arrival(self: Any) -> float:
        self._arrivals = deque()
        return float(self._loop.time())

    return replaced(ClientProtocol, next_arrival=next_arrival)


def _cut_at_sigterm() -> Fault:
    """The orderly end waits for nobody."""

    async def drain(self: Any, _grace_s: float) -> None:
        self._listeners[0].close()
        self._clients.abort_all()

    return replaced(Gateway, drain=drain)


def _mutant(name: str, description: str, rules: set[str], plant: Any) -> Mutant:
    return Mutant(name=name, description=description, profile="exchange", rules=frozenset(rules), plant=plant)


EXCHANGE_MUTANTS = (
    _mutant(
        "any-answer-taken", "a second answer is taken for the next request's", {"mixed"}, _any_answer_taken
    ),
    _mutant("unsafe-repeat", "an unsafe request is sent again after a reset", {"twice"}, _unsafe_repeat),
    _mutant(
        "reset-counts-as-unsent",
        "an attempt that met a reset counts as one that was not sent",
        {"twice", "refused", "attempts"},
        _reset_counts_as_unsent,
    ),
    _mutant("server-not-named", "requests do not name their server", {"route"}, _former_incarnation),
    _mutant("part-looks-whole", "a broken stream ends as if it were whole", {"order"}, _part_looks_whole),
    _mutant("homes-forgotten", "homes are not heeded", {"home"}, _homes_forgotten),
    _mutant("attempts-unbounded", "MaxAttempts is not heeded", {"attempts"}, _attempts_unbounded),
    _mutant("promise-in-doubt", "what may have run is answered 503", {"refused"}, _promise_in_doubt),
    _mutant("client-forgotten", "work goes on for a client that has left", {"gone"}, _client_forgotten),
    _mutant("events-again", "a stream's events come twice", {"order"}, _events_again),
    _mutant("resumed-anyway", "any broken stream is taken up", {"twice", "order"}, _resumed_anyway),
    _mutant("whole-deadline", "servers are told more time than is left", {"deadline"}, _whole_deadline),
    _mutant(
        "turn-counts-as-arrival",
        "time spent behind another request does not count",
        {"deadline"},
        _turn_counts_as_arrival,
    ),
    _mutant("cut-at-sigterm", "SIGTERM breaks off what is open", {"lost"}, _cut_at_sigterm),
)
