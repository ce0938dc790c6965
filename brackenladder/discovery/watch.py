"""Calls to discovery: a long-polling watch, which is renewed at once, and fetches of the full list."""

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
MAX_ANSWER_BYTES = 4 << 20

ListingCallback = Callable[[Listing | None], None]


class DiscoveryCall(asyncio.Protocol):
    """A connection to discovery, for one call at a time.

    `on_answer` is called with the body of each answer, and once with None after a failure.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_answer: Callable[[DiscoveryCall, bytes | None], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_answer = on_answer
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.timed_out = False  # the call failed because of a timeout
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, path: str, first_byte_timeout: float) -> None:
        """Sends a request; the answer must begin within `first_byte_timeout` seconds.

        Its body must then arrive in time too: the platform counts a list as delivered 6 s after a watch has
        fallen silent, even in the middle of a body, and by then a new call has to be answered.
        """
        host = f"{self.address[0]}:{self.address[1]}"
        self.request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.first_byte_timeout = first_byte_timeout
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.complete = False
        if self.transport is None:
            self.start_timeout(CONNECT_TIMEOUT)
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
        if self.ended:  # the connection was established just as its timeout expired
            self.hang_up()
        else:
            self.write()

    def write(self) -> None:
        self.start_timeout(self.first_byte_timeout)
        self.answer_started = False
        assert self.transport is not None
        self.transport.write(self.request)

    def start_timeout(self, time: float) -> None:
        """Starts a timeout of `time` seconds for the step that begins now, in place of the last step's."""
        if self.timer is not None:
            self.timer.cancel()
        self.deadline = self.loop.time() + time
        self.timer = self.loop.call_later(time, self.expire)

    def expire(self) -> None:
        """Handles a timeout; after a pause of this process, the socket is read first.

        Otherwise the call would be abandoned while its answer waits unread in the socket, and requests would
        go to a server that this answer withdraws.
        """
        if self.loop.time() - self.deadline > STALL_THRESHOLD:
            self.start_timeout(RESUME_GRACE)
            return
        self.timed_out = True
        self.fail()

    def data_received(self, data: bytes) -> None:
        now = self.loop.time()
        if not self.answer_started:
            self.answer_started = True
            self.body_deadline = now + BODY_TIMEOUT
        self.start_timeout(max(0.0, min(READ_TIMEOUT, self.body_deadline - now)))
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail()
            return
        if len(self.body) > MAX_ANSWER_BYTES:
            self.fail()
        elif self.complete and not self.ended:
            if self.parser.get_status_code() != 200:
                self.fail()
                return
            if not self.keep_alive:
                self.hang_up()
            self.on_answer(self, self.body)

    def on_body(self, body: bytes) -> None:
        if len(self.body) <= MAX_ANSWER_BYTES:
            self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        # This has to be read here, as the parser is reset afterwards.
        self.keep_alive = self.parser.should_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.transport = None
            self.fail()

    def hang_up(self) -> None:
        """Closes the connection; the next call opens a new one."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def fail(self) -> None:
        if not self.ended:
            self.end()
            self.on_answer(self, None)

    def end(self) -> None:
        """Ends the call; `on_answer` is not called any more."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.hang_up()


class Discovery:
    """Keeps the list of one discovery address up to date.

    `known` is the list to start from; without it, the watch begins with the full list. `on_listing` is called
    with each change before the watch is renewed, and with None when calls keep failing.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        known: Listing | None,
        nodes: int,
        on_listing: ListingCallback,
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.current_list = CurrentList(known, loop.time())
        self.wait = watch_wait_ms(nodes)
        self.max_pause = MAX_PAUSE
        self.on_listing = on_listing
        self.log = log
        self.random = Random()
        self.watch_retry = WatchRetry()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.watch_call: DiscoveryCall | None = None
        self.fetch_call: DiscoveryCall | None = None

    @property
    def version(self) -> int | None:
        """The version of the newest server list that was received, or None."""
        return self.current_list.version

    def watch(self, on: bool) -> None:
        """Starts or stops the watch. A running watch is left as it is."""
        if on and self.watch_call is None:
            self.cancel_retry()
            self.watch_call = DiscoveryCall(self.loop, self.address, self.on_watch_answer)
            self.send_watch(self.watch_call)
        elif not on:
            self.cancel_retry()
            if self.watch_call is not None:
                self.watch_call.end()
                self.watch_call = None

    def cancel_retry(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def change_address(self, address: tuple[str, int]) -> None:
        """Switches to another address; answers from the old one are ignored.

        The new address numbers its versions differently. A watch that continued from the old version would
        miss changes, or the new list would be taken for an old one.
        """
        self.close()
        self.address = address
        self.watch_retry = WatchRetry()  # failures of the old address say nothing about the new one
        self.current_list = self.current_list.for_new_discovery(self.loop.time())
        self.watch(True)

    def send_watch(self, call: DiscoveryCall) -> None:
        if self.version is None:
            call.ask("/v1/endpoints", FIRST_BYTE_TIMEOUT)
            return
        wait = jittered_wait_ms(self.wait, self.random.random())
        first_byte_timeout = wait / 1000 + ANSWER_TIMEOUT
        call.ask(f"/v1/endpoints?since={self.version}&timeout_ms={wait}", first_byte_timeout)

    def on_watch_answer(self, call: DiscoveryCall, body: bytes | None) -> None:
        listing = self.parse_answer(body)
        if listing is None:
            # The call is ended before its failure is reported, since on the report the Balancer may start a
            # new watch at once.
            call.end()
            self.watch_call = None
            pause = self.watch_retry.failed(call.timed_out, self.random.random())
            if pause is None:
                self.on_listing(None)
            elif pause > 0:
                self.retry_timer = self.loop.call_later(min(pause, self.max_pause), self.watch, True)
            else:
                self.watch(True)
            return
        self.watch_retry.answered()
        self.on_listing(listing)
        if self.watch_call is call:
            self.send_watch(call)

    def fetch(self) -> None:
        """Requests the full list, unless such a call is already open."""
        if self.fetch_call is None:
            self.fetch_call = DiscoveryCall(self.loop, self.address, self.on_fetch_answer)
            self.fetch_call.ask("/v1/endpoints", FIRST_BYTE_TIMEOUT)

    def on_fetch_answer(self, call: DiscoveryCall, body: bytes | None) -> None:
        call.end()
        self.fetch_call = None
        self.on_listing(self.parse_answer(body))

    def parse_answer(self, body: bytes | None) -> Listing | None:
        """Returns the changes in an answer; None if the call failed or the answer is not usable."""
        if body is None:
            return None
        try:
            listing = read_listing(json.loads(body))
        except (ValueError, RecursionError) as e:
            self.log(f"discovery: answer dropped: {e}")
            return None
        changes = self.current_list.accept(listing, self.loop.time())
        if changes is None:
            self.log("discovery: answer dropped: changes to an unknown list")
        return changes

    def close(self) -> None:
        """Ends all open calls to the discovery service."""
        self.cancel_retry()
        for call in (self.watch_call, self.fetch_call):
            if call is not None:
                call.end()
        self.watch_call = self.fetch_call = None
