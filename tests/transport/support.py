"""Messages, recording handlers and stand-ins that the tests of the transport share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, IntEnum

from attrs import define, field, frozen

from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Link

PATIENCE = 20.0  # seconds after which a condition is taken to never come true


class Colour(IntEnum):
    RED = 1
    BLUE = 2


class Mood(Enum):
    CALM = "calm"
    TENSE = "tense"


@frozen
class Note:
    """A plain message."""

    number: int
    text: str = ""
    body: bytes = b""


@frozen
class Empty:
    """A message without fields."""


@frozen
class Novelty:
    """A message that only newer nodes know."""

    number: int = 0


def note_codec() -> Codec:
    codec = Codec()
    codec.register(1, Note)
    codec.register(2, Empty)
    return codec


def newer_codec() -> Codec:
    codec = note_codec()
    codec.register(3, Novelty)
    return codec


@define
class Recorder:
    """A handler that keeps all it is told; `on_received` and `on_connected` may answer."""

    links: list[Link] = field(factory=list)
    messages: list[object] = field(factory=list)
    reasons: list[LinkClosed] = field(factory=list)
    refusals: list[LinkClosed] = field(factory=list)
    calls: list[str] = field(factory=list)
    on_connected: Callable[[Link], None] | None = None
    on_received: Callable[[Link, object], None] | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)

    def connected(self, link: Link) -> None:
        self.links.append(link)
        self.calls.append("connected")
        if self.on_connected is not None:
            self.on_connected(link)
        self.changed.set()

    def received(self, link: Link, message: object) -> None:
        self.messages.append(message)
        self.calls.append("received")
        if self.on_received is not None:
            self.on_received(link, message)
        self.changed.set()

    def closed(self, link: Link, reason: LinkClosed) -> None:
        self.reasons.append(reason)
        self.calls.append("closed")
        self.changed.set()

    def refused(self, remote: str, reason: LinkClosed) -> None:
        self.refusals.append(reason)
        self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Returns when the condition holds; it is looked at whenever something was recorded."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


async def next_iteration() -> None:
    """Returns after all that waits in the running loop has had its turn."""
    loop = asyncio.get_running_loop()
    turn = loop.create_future()
    loop.call_soon(turn.set_result, None)
    await turn


async def at_most(awaitable: object) -> object:
    """Awaits with patience."""
    return await asyncio.wait_for(awaitable, PATIENCE)  # type: ignore[arg-type]
