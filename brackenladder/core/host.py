"""Hosts a Balancer: owns the clock, the timers, the calls and their attempts, and makes no decision."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from brackenladder.core.call import Call, Directory, Failure, Messenger, Upstream
from brackenladder.core.clock import Clock
from brackenladder.interface import (
    NEVER_RAN,
    Actions,
    Effect,
    Events,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
)
from brackenladder.policy.balancer import Balancer

OK = Outcome.OK  # an enumeration's members are slow to look up, and this one is for every attempt
GUARD = 10_000  # microseconds after the deadline: a call that the module has left open is failed
GUARD_STEP = 5_000  # by which that may come later


class Host:
    """Implements `Actions` for the Balancer of one pool, and hands it all events.

    `module`: makes what decides; another one than the Balancer in experiments only.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        upstream: Upstream,
        log: Callable[[str], None],
        clock: Clock,
        module: Callable[[Settings, int, Actions], Events] = Balancer,
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.upstream = upstream
        self.log_line = log
        self.directory: Directory
        self.messenger: Messenger
        self.now = clock.now
        self.events: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.busy = False
        self.max_open = settings.max_open
        self.at = 0  # the time of the event that the module handles
        self.calls: dict[int, Call] = {}
        self.last_id = 0
        self.expired_count = 0
        self.guards: dict[int, list[int]] = {}  # calls by the step of time at which they must be over
        self.conclude_by = 1 << 62  # the time by which all that is taken must be concluded
        self.balancer = module(settings, seed, self)

    # ---- events ---------------------------------------------------------------------------------------

    def post(self, event: Callable[..., None], *args: Any) -> None:
        """Hands the module an event, after the one it is handling, if any."""
        self.post_at(0, event, args)

    def post_at(self, now: int, event: Callable[..., None], args: tuple[Any, ...]) -> None:
        """The same at a time that was just taken (0: it is to be taken)."""
        if self.busy:
            self.events.append((event, args))
            return
        self.busy = True
        try:
            while True:
                self.at = now or self.now()
                now = 0
                try:
                    event(self.at, *args)
                except Exception as e:  # one event's failure must not end the node or other calls
                    self.log_line(f"{event.__name__}: {type(e).__name__}: {e}")
                    if event in (self.balancer.request, self.balancer.outcome):
                        call = self.release(args[0])
                        if call is not None:
                            call.failed(Failure.FAULT)
                if not self.events:
                    break
                event, args = self.events.popleft()
        finally:
            self.busy = False

    def start(self) -> None:
        """The module begins to run."""
        self.post(self.balancer.start)

    def server_list(self, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """News of the servers, once the upstream has taken note of them."""
        self.post(self.balancer.server_list, kind, entries)

    def set_instances(self, number: int) -> None:
        """So many nodes share the servers: the module's settings say so from now on."""
        self.post(self.apply_instances, number)

    def apply_instances(self, now: int, number: int) -> None:
        if isinstance(self.balancer, Balancer):
            self.settings = self.balancer.settings = replace(self.balancer.settings, instances=number)
            for tenant, given in zip(self.balancer.tenants, self.settings.tenants, strict=True):
                tenant.rate = given.quota / number
            self.balancer.refill(now)

    def peer_message(self, peer: int, data: bytes) -> None:
        """A peer's message."""
        self.post(self.balancer.peer_message, peer, data)

    def full(self) -> bool:
        """Whether there is no room for a further call."""
        return len(self.calls) >= self.max_open

    def take(self, call: Call) -> None:
        """A call begins; its conclusion may come before this returns."""
        now = self.now()
        left = call.left
        if now + left > self.conclude_by:
            left = max(0, self.conclude_by - now)
        self.last_id += 1
        call.id = self.last_id
        call.accepted_at = now
        call.deadline = now + left
        self.calls[call.id] = call
        self.guard(call, now)
        self.post_at(now, self.balancer.request, (call.id, call.klass, call.tenant, left, call.repeat))

    def guard(self, call: Call, now: int) -> None:
        """Sees to it that the call is concluded a little after its deadline, whatever the module does.

        Calls that end at about one time share a timer, since nearly all are concluded long before it.
        """
        step = (call.deadline + GUARD) // GUARD_STEP + 1
        if step in self.guards:
            self.guards[step].append(call.id)
        else:
            self.guards[step] = [call.id]
            self.loop.call_later((step * GUARD_STEP - now) / 1e6, self.look, step)

    def look(self, step: int) -> None:
        """The guard's time has come for these calls."""
        for number in self.guards.pop(step):
            call = self.calls.get(number)
            if call is not None and call.open:
                self.expire(call)

    def client_left(self, call: Call) -> None:
        """The client has gone: nothing is owed."""
        if self.release(call.id) is not None:
            self.post(self.balancer.client_left, call.id)

    def expire(self, call: Call) -> None:
        """The guard: a call still open after its deadline. The module should have concluded it."""
        self.expired_count += 1
        self.log_line(f"guard: request {call.id} was still open at its deadline")
        if self.release(call.id) is not None:
            call.failed(Failure.EXPIRED)
        self.post(self.balancer.client_left, call.id)

    def release(self, number: int) -> Call | None:
        """Ends what is owed for a call; the call, if it was open."""
        call = self.calls.get(number)
        if call is None or not call.open:
            return None
        call.open = False
        if call.current_attempt is None:
            del self.calls[number]
        call.released()
        return call

    # ---- Actions --------------------------------------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the call's next attempt. What may not be sent ends as NOT_SENT, after this event."""
        call = self.calls.get(request)
        number = 0
        attempt = None
        if call is not None:
            number = call.attempts
            call.attempts += 1
            most = 1 if call.single_attempt else self.settings.max_attempts
            if call.open and call.current_attempt is None and number < most:
                began = self.at
                expires = began + timeout
                if expires > call.deadline:
                    expires = call.deadline

                def done(outcome: Outcome, answer: object, report: Sequence[float]) -> None:
                    self.ended(call, number, server, began, outcome, answer, report)

                attempt = self.upstream.attempt(server, call, expires, done)
        if call is None or attempt is None:
            self.post(self.balancer.outcome, request, number, server, Outcome.NOT_SENT, 0, False, ())
            return
        call.current_attempt = attempt
        attempt.start((expires - began) / 1e6 if expires > began else 0.0)

    def ended(
        self,
        call: Call,
        number: int,
        server: int,
        began: int,
        outcome: Outcome,
        answer: object,
        report: Sequence[float],
    ) -> None:
        """An attempt's end: an answer goes to the client at once, then the module hears of it."""
        call.current_attempt = None
        if outcome == OK:
            if self.release(call.id) is not None:
                call.served(answer)
        else:
            if outcome not in NEVER_RAN and not call.in_doubt:
                call.in_doubt = True
                self.limit_repeats(call, began)
            if call.single_attempt:
                self.release(call.id)
        final = not call.open
        if final and call.id in self.calls:
            del self.calls[call.id]
        now = self.now()
        what = (call.id, number, server, outcome, now - began, final, report)
        self.post_at(now, self.balancer.outcome, what)

    def limit_repeats(self, call: Call, began: int) -> None:
        """An attempt that began then may have run: its group remembers a keyed one for the class's window.

        Failure prevented: a repeat is decided within the window, waits for its connection, and is written
        when the first is forgotten.
        """
        if call.klass < len(self.settings.classes):
            settings = self.settings.classes[call.klass]
            if settings.effect == Effect.KEYED:
                call.write_by = began + settings.window

    def cancel(self, request: int, attempt: int) -> None:
        """Gives an attempt up; its outcome follows after this event."""
        call = self.calls.get(request)
        if call is not None and call.current_attempt is not None and attempt == call.attempts - 1:
            call.current_attempt.stop(Outcome.CANCELLED)

    def refuse(self, request: int, retry_after: int) -> None:
        """Concludes a call: a retry is harmless."""
        call = self.release(request)
        if call is not None:
            call.in_doubt = call.in_doubt or call.current_attempt is not None
            call.refused(retry_after)

    def fail(self, request: int) -> None:
        """Concludes a call: nothing is promised."""
        call = self.release(request)
        if call is not None:
            call.failed(Failure.GIVEN_UP)

    def probe(self, server: int) -> None:
        """Asks a server how it is."""
        began = self.now()

        def done(ok: bool, report: Sequence[float]) -> None:
            self.post(self.balancer.probed, server, ok, self.now() - began, report)

        self.upstream.probe(server, done)

    def set_timer(self, delay: int, token: int) -> None:
        """Hands `token` back after `delay`."""
        self.loop.call_later(max(0, delay) / 1e6, self.post, self.balancer.timer, token)

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a message to a peer, or to all."""
        self.messenger.tell(peer, data)

    def watch(self, on: bool) -> None:
        """Begins or ends the watch on the server list."""
        self.directory.watch(on)

    def fetch(self) -> None:
        """Asks for the whole server list."""
        self.directory.fetch()

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        self.upstream.close_idle(server)

    def log(self, text: str) -> None:
        """Writes a line to the log."""
        self.log_line(text)
