"""Hosts a Balancer: owns the clock, the timers, the calls and their attempts. It makes no decisions."""

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

OK = Outcome.OK  # enum members are slow to look up, and this one is needed for every attempt
EXPIRY_DELAY = 10_000  # microseconds after its deadline when the host fails a call left open by the balancer
EXPIRY_STEP = 5_000  # microseconds: expiry times are rounded up to multiples, so that calls share timers


class Host:
    """Implements `Actions` for the Balancer of one pool, and passes all events to it.

    `module`: creates the balancer; a subclass or, in experiments, another implementation of `Events`.
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
        self.at = 0  # time of the event being handled
        self.calls: dict[int, Call] = {}
        self.last_id = 0
        self.expired_count = 0
        self.expiring: dict[int, list[int]] = {}  # ids of calls, by the time step of their deadline
        self.conclude_by = 1 << 62  # time by which all calls must be concluded
        self.balancer = module(settings, seed, self)

    # ---- events ---------------------------------------------------------------------------------------

    def post(self, event: Callable[..., None], *args: Any) -> None:
        """Passes an event to the balancer, after the one being handled, if any."""
        self.post_at(0, event, args)

    def post_at(self, now: int, event: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Like `post`. `now`: the time of the event; 0 if it still has to be read from the clock."""
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
                except Exception as e:  # a failure in one event must not affect the node or other calls
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
        """Posts the `start` event, on which the balancer requests the server list if it has to."""
        self.post(self.balancer.start)

    def server_list(self, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Passes a server list or its changes to the balancer; the upstream already has them."""
        self.post(self.balancer.server_list, kind, entries)

    def set_instances(self, number: int) -> None:
        """Sets the number of nodes that share the servers, in the settings of the balancer."""
        self.post(self.apply_instances, number)

    def apply_instances(self, now: int, number: int) -> None:
        if isinstance(self.balancer, Balancer):
            self.settings = self.balancer.settings = replace(self.balancer.settings, instances=number)
            for tenant, given in zip(self.balancer.tenants, self.settings.tenants, strict=True):
                tenant.rate = given.quota / number
            self.balancer.update_members(now)

    def peer_message(self, peer: int, data: bytes) -> None:
        """Passes a message from another node to the balancer."""
        self.post(self.balancer.peer_message, peer, data)

    def full(self) -> bool:
        """Whether no further call can be accepted, because `max_open` calls are open."""
        return len(self.calls) >= self.max_open

    def take(self, call: Call) -> None:
        """Starts a call; it may be concluded before this returns."""
        now = self.now()
        left = call.left
        if now + left > self.conclude_by:
            left = max(0, self.conclude_by - now)
        self.last_id += 1
        call.id = self.last_id
        call.accepted_at = now
        call.deadline = now + left
        self.calls[call.id] = call
        self.schedule_expiry(call, now)
        self.post_at(now, self.balancer.request, (call.id, call.klass, call.tenant, left, call.repeat))

    def schedule_expiry(self, call: Call, now: int) -> None:
        """Makes sure that the call is concluded shortly after its deadline, whatever the balancer does.

        Calls with nearly the same deadline share a timer, since few calls are still open at their deadline.
        """
        step = (call.deadline + EXPIRY_DELAY) // EXPIRY_STEP + 1
        if step in self.expiring:
            self.expiring[step].append(call.id)
        else:
            self.expiring[step] = [call.id]
            self.loop.call_later((step * EXPIRY_STEP - now) / 1e6, self.expire_step, step)

    def expire_step(self, step: int) -> None:
        """Fails the calls whose deadline lies in this time step and that are still open."""
        for number in self.expiring.pop(step):
            call = self.calls.get(number)
            if call is not None and call.open:
                self.expire(call)

    def client_left(self, call: Call) -> None:
        """Ends a call without a conclusion, because its client has disconnected."""
        if self.release(call.id) is not None:
            self.post(self.balancer.client_left, call.id)

    def expire(self, call: Call) -> None:
        """Fails a call that is still open after its deadline, which is an error of the balancer."""
        self.expired_count += 1
        self.log_line(f"guard: request {call.id} was still open at its deadline")
        if self.release(call.id) is not None:
            call.failed(Failure.EXPIRED)
        self.post(self.balancer.client_left, call.id)

    def release(self, number: int) -> Call | None:
        """Marks a call as ended, so that it is concluded only once; returns it if it was still open."""
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
        """Starts the next attempt of a call.

        If the attempt may not be sent, the balancer gets the outcome NOT_SENT after the present event.
        """
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
        """Handles the end of an attempt: passes an answer to the client, then the outcome to the balancer."""
        call.current_attempt = None
        if outcome == OK:
            if self.release(call.id) is not None:
                call.served(answer)
        else:
            if outcome not in NEVER_RAN and not call.in_doubt:
                call.in_doubt = True
                self.limit_retries(call, began)
            if call.single_attempt:
                self.release(call.id)
        final = not call.open
        if final and call.id in self.calls:
            del self.calls[call.id]
        now = self.now()
        event_args = (call.id, number, server, outcome, now - began, final, report)
        self.post_at(now, self.balancer.outcome, event_args)

    def limit_retries(self, call: Call, began: int) -> None:
        """Sets the time until which a retry of a keyed call that may have run can be written to a server.

        It is the end of the window of its class, in which servers discard repeats of the first attempt.

        Otherwise a retry that is started within the window and waits for a connection may be written after
        the servers have forgotten the first attempt.
        """
        if call.klass < len(self.settings.classes):
            settings = self.settings.classes[call.klass]
            if settings.effect == Effect.KEYED:
                call.write_by = began + settings.window

    def cancel(self, request: int, attempt: int) -> None:
        """Aborts an attempt; the balancer gets its outcome as a later event."""
        call = self.calls.get(request)
        if call is not None and call.current_attempt is not None and attempt == call.attempts - 1:
            call.current_attempt.stop(Outcome.CANCELLED)

    def refuse(self, request: int, retry_after: int) -> None:
        """Concludes a call as refused, which tells the client that a retry is safe."""
        call = self.release(request)
        if call is not None:
            call.in_doubt = call.in_doubt or call.current_attempt is not None
            call.refused(retry_after)

    def fail(self, request: int) -> None:
        """Concludes a call as failed, which tells the client that it may have had effects."""
        call = self.release(request)
        if call is not None:
            call.failed(Failure.GIVEN_UP)

    def probe(self, server: int) -> None:
        """Checks the health of a server."""
        began = self.now()

        def done(ok: bool, report: Sequence[float]) -> None:
            self.post(self.balancer.probed, server, ok, self.now() - began, report)

        self.upstream.probe(server, done)

    def set_timer(self, delay: int, token: int) -> None:
        """Sends a `timer` event with `token` to the balancer after `delay` microseconds."""
        self.loop.call_later(max(0, delay) / 1e6, self.post, self.balancer.timer, token)

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a message to a peer, or to all of them."""
        self.messenger.tell(peer, data)

    def watch(self, on: bool) -> None:
        """Subscribes to changes of the server list, or unsubscribes."""
        self.directory.watch(on)

    def fetch(self) -> None:
        """Requests the full server list."""
        self.directory.fetch()

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        self.upstream.close_idle(server)

    def log(self, text: str) -> None:
        """Writes a line to the log of the node."""
        self.log_line(text)
