"""One timer for all links of a transport: sends pings on idle links and closes links that receive nothing."""

from __future__ import annotations

import asyncio
from typing import Protocol

from brackenladder.transport.link import LinkTiming

MICROSECONDS = 1_000_000
SLACK_DIVISOR = 4  # pings due within a quarter of `ping_every` are sent in one timer run


class WatchedLink(Protocol):
    """The interface of a link to the timer. Times are in seconds of the event loop's clock."""

    last_sent_at: float
    last_received_at: float
    grace_given: bool  # the silence limit has been extended since the link last received anything

    def ping(self, now: float) -> None:
        """Sends a ping unless other bytes are already waiting to be sent."""

    def on_silence_timeout(self) -> None:
        """Closes the link because nothing was received for too long."""


class Keepalive:
    """Watches links. The timer runs only while there are links.

    A timer that fires late means that this process was not running. Data that arrived in that time may still
    be unread, so the silence limit of each link that would now be closed is extended once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timing: LinkTiming) -> None:
        self._loop = loop
        self._ping_every = timing.ping_every / MICROSECONDS
        self._silence_timeout = timing.silence_timeout / MICROSECONDS
        self._slack = self._ping_every / SLACK_DIVISOR
        self._links: set[WatchedLink] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, link: WatchedLink) -> None:
        """Starts watching a link."""
        self._links.add(link)
        if self._timer is None:
            self._arm(self._loop.time() + self._ping_every)

    def discard(self, link: WatchedLink) -> None:
        """Stops watching a link."""
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
            self._extend_limits(now)
        self._close_silent(now)
        self._ping_quiet(now)
        if self._links:
            self._arm(max(now + self._slack, self._next_due()))

    def _extend_limits(self, now: float) -> None:
        """Gives links that would be closed now one more ping interval, once until new data arrives."""
        earliest = now - self._silence_timeout + self._ping_every
        for link in self._links:
            if link.last_received_at < earliest and not link.grace_given:
                link.grace_given = True
                link.last_received_at = earliest

    def _close_silent(self, now: float) -> None:
        limit = now - self._silence_timeout
        for link in [each for each in self._links if each.last_received_at <= limit]:
            link.on_silence_timeout()

    def _ping_quiet(self, now: float) -> None:
        limit = now - self._ping_every + self._slack
        for link in self._links:
            if link.last_sent_at <= limit:
                link.ping(now)

    def _next_due(self) -> float:
        """Returns the time at which the next link has to be pinged or closed."""
        ping_at = min(link.last_sent_at for link in self._links) + self._ping_every
        close_at = min(link.last_received_at for link in self._links) + self._silence_timeout
        return min(ping_at, close_at)
