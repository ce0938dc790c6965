"""Messages and a recording handler shared by the transport tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, IntEnum

from attrs import define, field, frozen

from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Link

PATIENCE = 20.0  # seconds after which waiting for a condition fails


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
    """A message type that only newer nodes have."""

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
    """A handler that records all calls. `on_connected` and `on_received` may be set to send replies."""

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
        """Waits until the condition holds. It is checked after each recorded call."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


async def next_iteration() -> None:
    """Waits until all callbacks that are ready in the running loop have run."""
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    loop.call_soon(done.set_result, None)
    await done


async def at_most(awaitable: object) -> object:
    """Awaits with the tests' time limit."""
    return await asyncio.wait_for(awaitable, PATIENCE)  # type: ignore[arg-type]
