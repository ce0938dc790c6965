"""Resumes a broken stream at another server, within the same response to the client."""

from __future__ import annotations

from attrs import frozen

from brackenladder.gateway.calls import GatewayCall
from brackenladder.gateway.events import split_events
from brackenladder.gateway.open_answer import OpenAnswer

OK = 200


class EventOrder:
    """Drops events that were already forwarded, by their ascending ids, whichever server sends them."""

    def __init__(self) -> None:
        self.last_id: int | None = None  # the id of the last event that was forwarded

    def pass_on(self, data: bytes) -> bytes:
        """The events in `data` that are to be forwarded; those with an id up to `last_id` are dropped."""
        passed = []
        taken = 0
        for event in split_events(data):
            taken += len(event.raw)
            number = event.id
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            passed.append(event.raw)
        passed.append(data[taken:])
        return b"".join(passed)


@frozen
class Successor:
    """A stream that continues a broken one, and the call that occupies its server."""

    call: GatewayCall
    answer: OpenAnswer


async def resume(call: GatewayCall) -> Successor | None:
    """Request the rest of a stream; None if no server provides it."""
    conclusion = await call.drive()
    if isinstance(conclusion, OpenAnswer):
        if conclusion.streaming and conclusion.status == OK:
            return Successor(call, conclusion)
        conclusion.close()
    call.end_stream()
    return None
