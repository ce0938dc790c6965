"""One timer for all links of a transport: pings on quiet links, an end to silent ones."""

from __future__ import annotations

import asyncio
from typing import Protocol

from brackenladder.transport.link import LinkTiming

MICROSECONDS = 1_000_000
SLACK_DIVISOR = 4  # pings due within a quarter of `ping_every` are sent together


class WatchedLink(Protocol):
    """What the timer needs of a link. Times are those of the event loop, in seconds."""

    last_sent_at: float
    last_received_at: float
    grace_given: bool  # it has been given one more round since it was last heard

    def ping(self, now: float) -> None:
        """Sends a ping, unless other bytes wait to be sent already."""

    def on_silence_timeout(self) -> None:
        """Ends the link because nothing was heard."""


class Keepalive:
    """Watches links while there are any; with none no timer runs.

    When the timer itself is late, this process stood still: what has arrived meanwhile may not be read yet,
    so each silent link is given one more round, once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timing: LinkTiming) -> None:
        self._loop = loop
        self._ping_every = timing.ping_every / MICROSECONDS
        self._silence = timing.silence_timeout / MICROSECONDS
        self._slack = self._ping_every / SLACK_DIVISOR
        self._links: set[WatchedLink] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, link: WatchedLink) -> None:
        """Watches a link from now on."""
        self._links.add(link)
        if self._timer is None:
            self._arm(self._loop.time() + self._ping_every)

    def discard(self, link: WatchedLink) -> None:
        """The link is gone."""
        self._links.discard(link)
        if not self._links and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, when: float) -> None:
        self._timer = self._loop.call_at(when, self._tick, when)

    def _tick(self, due: float) -> None:
        self._timer = None
        now = self._loop.time()
        if now - due > self._slack:
            self._excuse(now)
        self._close_silent(now)
        self._ping_quiet(now)
        if self._links:
            self._arm(max(now + self._slack, self._next_due()))

    def _excuse(self, now: float) -> None:
        """The timer is late: links that would end now get until the next ping is due."""
        earliest = now - self._silence + self._ping_every
        for link in self._links:
            if link.last_received_at < earliest and not link.grace_given:
                link.grace_given = True
                link.last_received_at = earliest

    def _close_silent(self, now: float) -> None:
        limit = now - self._silence
        for link in [each for each in self._links if each.last_received_at <= limit]:
            link.on_silence_timeout()

    def _ping_quiet(self, now: float) -> None:
        limit = now - self._ping_every + self._slack
        for link in self._links:
            if link.last_sent_at <= limit:
                link.ping(now)

    def _next_due(self) -> float:
        """When the next link has to be pinged or closed."""
        ping = min(link.last_sent_at for link in self._links) + self._ping_every
        silence = min(link.last_received_at for link in self._links) + self._silence
        return min(ping, silence)
