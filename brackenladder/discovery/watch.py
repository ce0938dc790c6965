"""Calls to discovery: the watch, renewed at once, and fetches of the whole list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import cast

import httptools

from brackenladder.membership.current_list import CurrentList, watch_wait_ms
from brackenladder.membership.listing import Listing, read_listing
from brackenladder.membership.stall import RESUME_GRACE, STALL_THRESHOLD
from brackenladder.membership.watch_retry import (
    ANSWER_TIMEOUT,
    BODY_TIMEOUT,
    FIRST_BYTE_TIMEOUT,
    MAX_PAUSE,
    READ_TIMEOUT,
    WatchRetry,
    jittered_wait_ms,
)

CONNECT_TIMEOUT = 1.0
LARGEST_ANSWER = 4 << 20

ListingCallback = Callable[[Listing | None], None]


class Call(asyncio.Protocol):
    """A connection to discovery, one call at a time. `told` gets each answer, and None once at failure."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        told: Callable[[Call, bytes | None], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.told = told
        self.transport: asyncio.Transport | None = None
        self.over = False
        self.silent = False  # it failed since nothing came in its time
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, path: str, first: float) -> None:
        """Makes a call, which must begin to be answered within `first` seconds.

        Then it has to go on: the platform counts a list as told 6 s after a watch fell silent, also one that
        fell silent half-way through its body, and by then a new call has to have been answered.
        """
        host = f"{self.address[0]}:{self.address[1]}"
        self.request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.first = first
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.complete = False
        if self.transport is None:
            self.limit(CONNECT_TIMEOUT)
            self.task = self.loop.create_task(self.connect())
        else:
            self.write()

    async def connect(self) -> None:
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self.fail()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # it came up as its time ran out
            self.hang_up()
        else:
            self.write()

    def write(self) -> None:
        self.limit(self.first)
        self.begun = False
        assert self.transport is not None
        self.transport.write(self.request)

    def limit(self, time: float) -> None:
        """The step that begins now has so many seconds."""
        if self.timer is not None:
            self.timer.cancel()
        self.due = self.loop.time() + time
        self.timer = self.loop.call_later(time, self.expire)

    def expire(self) -> None:
        """The time is over; a process that stood still meanwhile first reads what has come.

        Failure prevented: the answer waits in the socket, the call is given up unread, and requests go to a
        server that it withdraws.
        """
        if self.loop.time() - self.due > STALL_THRESHOLD:
            self.limit(RESUME_GRACE)
            return
        self.silent = True
        self.fail()

    def data_received(self, data: bytes) -> None:
        now = self.loop.time()
        if not self.begun:
            self.begun = True
            self.latest = now + BODY_TIMEOUT
        self.limit(max(0.0, min(READ_TIMEOUT, self.latest - now)))
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail()
            return
        if len(self.body) > LARGEST_ANSWER:
            self.fail()
        elif self.complete and not self.over:
            if self.parser.get_status_code() != 200:
                self.fail()
                return
            if not self.keep:
                self.hang_up()
            self.told(self, self.body)

    def on_body(self, body: bytes) -> None:
        if len(self.body) <= LARGEST_ANSWER:
            self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep = self.parser.should_keep_alive()  # known here only: the parser then starts afresh

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.transport = None
            self.fail()

    def hang_up(self) -> None:
        """Closes the connection; a further call opens a new one."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def fail(self) -> None:
        if not self.over:
            self.end()
            self.told(self, None)

    def end(self) -> None:
        """No more calls, and nothing more is told."""
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.hang_up()


class Discovery:
    """The list in hand begins with `known`; news goes to `told` before the watch is renewed.

    With none, nothing has been heard from this address: the watch begins with the whole list.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        known: Listing | None,
        nodes: int,
        told: ListingCallback,
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.in_hand = CurrentList(known, loop.time())
        self.wait = watch_wait_ms(nodes)
        self.most_pause = MAX_PAUSE
        self.told = told
        self.log = log
        self.random = Random()
        self.silence = WatchRetry()
        self.reopening: asyncio.TimerHandle | None = None
        self.watching: Call | None = None
        self.fetching: Call | None = None

    @property
    def version(self) -> int | None:
        """Of the list in hand."""
        return self.in_hand.version

    def watch(self, on: bool) -> None:
        """Begins or ends the watch. One that is on already stays."""
        if on and self.watching is None:
            self.forget_reopening()
            self.watching = Call(self.loop, self.address, self.on_watch_answer)
            self.renew(self.watching)
        elif not on:
            self.forget_reopening()
            if self.watching is not None:
                self.watching.end()
                self.watching = None

    def forget_reopening(self) -> None:
        if self.reopening is not None:
            self.reopening.cancel()
            self.reopening = None

    def change_address(self, address: tuple[str, int]) -> None:
        """Asks at another address from now on; whatever the old one may still say is not heard.

        Failure prevented: versions are numbered otherwise there, and a watch that goes on from the old
        number misses changes, or the new list is taken for an old one.
        """
        self.close()
        self.address = address
        self.silence = WatchRetry()  # what the old one left unanswered says nothing of the new one
        self.in_hand = self.in_hand.for_new_discovery(self.loop.time())
        self.watch(True)

    def renew(self, call: Call) -> None:
        if self.version is None:
            call.ask("/v1/endpoints", FIRST_BYTE_TIMEOUT)
            return
        wait = jittered_wait_ms(self.wait, self.random.random())
        first = wait / 1000 + ANSWER_TIMEOUT
        call.ask(f"/v1/endpoints?since={self.version}&timeout_ms={wait}", first)

    def on_watch_answer(self, call: Call, body: bytes | None) -> None:
        listing = self.read(body)
        if listing is None:
            # Ended before the failure is told, since the module may answer it with a new watch.
            call.end()
            self.watching = None
            pause = self.silence.failed(call.silent, self.random.random())
            if pause is None:
                self.told(None)
            elif pause > 0:
                self.reopening = self.loop.call_later(min(pause, self.most_pause), self.watch, True)
            else:
                self.watch(True)
            return
        self.silence.answered()
        self.told(listing)
        if self.watching is call:
            self.renew(call)

    def fetch(self) -> None:
        """Asks for the whole list, unless such a call is out already."""
        if self.fetching is None:
            self.fetching = Call(self.loop, self.address, self.on_fetch_answer)
            self.fetching.ask("/v1/endpoints", FIRST_BYTE_TIMEOUT)

    def on_fetch_answer(self, call: Call, body: bytes | None) -> None:
        call.end()
        self.fetching = None
        self.told(self.read(body))

    def read(self, body: bytes | None) -> Listing | None:
        """An answer's list, or None for a failed call and for one that cannot be used."""
        if body is None:
            return None
        try:
            listing = read_listing(json.loads(body))
        except (ValueError, RecursionError) as e:
            self.log(f"discovery: answer dropped: {e}")
            return None
        news = self.in_hand.accept(listing, self.loop.time())
        if news is None:
            self.log("discovery: answer dropped: changes of a list that is not known")
        return news

    def close(self) -> None:
        """Ends all calls."""
        self.forget_reopening()
        for call in (self.watching, self.fetching):
            if call is not None:
                call.end()
        self.watching = self.fetching = None
