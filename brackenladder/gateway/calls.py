"""Connects one client request to the core: its attempts run in the task of the request."""

from __future__ import annotations

import asyncio

from attrs import evolve

from brackenladder.core.call import Failure
from brackenladder.gateway.answers import Failed, Refused, WholeAnswer
from brackenladder.gateway.contracts import AttemptEnd, ClientExchange, RunnableAttempt
from brackenladder.gateway.open_answer import OpenAnswer
from brackenladder.gateway.promises import AttemptRecord
from brackenladder.interface import NEVER_RAN, Outcome
from brackenladder.placement.pool import PoolCall, ServicePool
from brackenladder.placement.traits import CallTraits

Answer = WholeAnswer | OpenAnswer
Conclusion = Answer | Refused | Failed


class GatewayCall(PoolCall):
    """One pass of a request through a service's pool: the request itself, or the resumption of its stream."""

    def __init__(
        self,
        exchange: ClientExchange,
        pool: ServicePool,
        traits: CallTraits,
        left: int,
        server_deadline: int,
        last_event_id: int | None = None,
    ) -> None:
        super().__init__(traits, left, repeat=last_event_id is not None)
        self.exchange = exchange
        self.pool = pool
        # By the gateway's clock; servers are told the time that is left until then.
        self.server_deadline = server_deadline
        self.last_event_id = last_event_id
        self.may_have_run = False
        self.timed_out = False  # whether the last attempt timed out
        self.ended_attempts: list[AttemptRecord] = []
        # A server's unsuccessful response, returned to the client if no other attempt succeeds.
        self.failure: WholeAnswer | None = None
        self._stream_over = False  # the pool was told that the response has ended
        self._pending: RunnableAttempt | None = None
        self._running: RunnableAttempt | None = None
        self._conclusion: Conclusion | None = None
        self._waiter: asyncio.Future[None] | None = None

    def current_traits(self) -> CallTraits:
        """The traits of the call, with the route that the current configuration gives the request."""
        newest = self.exchange.newest_route()
        if newest is not self.traits.newest:
            self.traits = evolve(self.traits, newest=newest)
        return self.traits

    # ---- Call -----------------------------------------------------------------------------------------

    def served(self, answer: object) -> None:
        """Accept the response as the result of the call."""
        assert isinstance(answer, WholeAnswer | OpenAnswer)
        self._conclude(answer)

    def refused(self, retry_after: int) -> None:
        """Conclude the call as refused, and cancel the attempts that are pending or running."""
        self._conclude(Refused(retry_after))

    def failed(self, why: Failure) -> None:
        """Conclude the call as failed, and cancel the attempts that are pending or running."""
        self._conclude(Failed(why))

    def gone(self) -> bool:
        """Whether the client's connection is closing; if so, the call is abandoned."""
        transport = self.exchange.request.transport
        if transport is not None and not transport.is_closing():
            return False
        self.abandon()
        return True

    # ---- attempts -------------------------------------------------------------------------------------

    def begin(self, attempt: RunnableAttempt) -> None:
        """Sets the attempt that is to be run next, and wakes the task that runs it."""
        self._pending = attempt
        self._wake()

    def attempt_ended(self, attempt: RunnableAttempt, end: AttemptEnd) -> None:
        """Record what an attempt's end says about the request, before the core is told.

        If the process was suspended, the call may have expired while a complete response waited in the
        socket. The call is then concluded without that response, but the request must still count as one that
        may have run.
        """
        ended = attempt.ended_as(end.outcome)
        self.ended_attempts.append(ended)
        self.exchange.context.promises.attempt_ended(ended)
        if end.outcome == Outcome.REJECTED:
            self.exchange.rejected_by(attempt.record.id)
        elif attempt.written and end.outcome not in NEVER_RAN:
            self.may_have_run = True
        self.timed_out = end.outcome == Outcome.TIMEOUT
        if isinstance(end.answer, WholeAnswer) and end.outcome in (Outcome.ERROR, Outcome.TIMEOUT):
            self.failure = end.answer

    def uses(self, answer: Answer | None) -> bool:
        """Whether the call uses this response, so that its connection must not be discarded."""
        return answer is not None and (answer is self._conclusion or isinstance(answer, WholeAnswer))

    def abandon(self) -> None:
        """Drop the call: the client has disconnected."""
        self.pool.host.client_left(self)
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.drop()

    def end_stream(self) -> None:
        """Tell the pool, once, that the response has ended and no longer occupies the server."""
        if not self._stream_over:
            self._stream_over = True
            self.pool.stream_ended(self)

    async def drive(self) -> Conclusion:
        """Hand the call to the pool and run its attempts until it is concluded."""
        self.pool.take(self)
        while True:
            attempt, self._pending = self._pending, None
            if attempt is not None:
                self._running = attempt
                await attempt.run()
                self._running = None
            elif self._conclusion is not None:
                return self._conclusion
            else:
                await self._wait()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        except asyncio.CancelledError:
            self.abandon()
            raise
        finally:
            self._waiter = None

    def _conclude(self, conclusion: Conclusion) -> None:
        self._conclusion = conclusion
        for attempt in (self._running, self._pending):
            if attempt is not None:
                attempt.stop(Outcome.CANCELLED)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
