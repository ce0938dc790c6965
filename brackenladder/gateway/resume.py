"""Taking up a broken stream at another server, inside the same answer."""

from __future__ import annotations

from attrs import frozen

from brackenladder.gateway.calls import GatewayCall
from brackenladder.gateway.events import split_events
from brackenladder.gateway.open_answer import OpenAnswer

OK = 200


class EventOrder:
    """Lets each event of a stream pass once, in the order of the ids, whichever server sends it."""

    def __init__(self) -> None:
        self.last_id: int | None = None  # of the events that were passed on

    def pass_on(self, data: bytes) -> bytes:
        """What of these events is to be passed on now; events with a known id are dropped."""
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
    """The server's stream that goes on, and the call that holds its place there."""

    call: GatewayCall
    answer: OpenAnswer


async def resume(call: GatewayCall) -> Successor | None:
    """Ask for the rest of a stream; None if no server gives it."""
    conclusion = await call.drive()
    if isinstance(conclusion, OpenAnswer):
        if conclusion.streaming and conclusion.status == OK:
            return Successor(call, conclusion)
        conclusion.close()
    call.end_stream()
    return None
