"""The MessagePack-RPC front: turns requests and notifications into calls, and results into responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from brackenladder.core.call import Failure
from brackenladder.core.ending import handover
from brackenladder.core.host import Host
from brackenladder.operations.pause import ServiceStage
from brackenladder.rpc.call import Reply, RpcCall
from brackenladder.rpc.codec import (
    NIL,
    PACK,
    Message,
    MessageLimits,
    MessageReader,
    Notification,
    Request,
    response,
)
from brackenladder.rpc.methods import CallParameters, Method, Methods
from brackenladder.sockets.listener import LINGER, AcceptedConnection, Address, Listener

FULL_RETRY_AFTER = 500_000  # microseconds that a client is told to wait if too many calls are open
STALL_TIMEOUT = 2.0  # seconds after which the connection of a client that doesn't read is closed
SETTLE = 0.2  # seconds for which a connection counts as in use after its last bytes
HAS_NOT_RUN = "not served; it has not run, and may be sent again"
MAY_HAVE_RUN = "not served; it may have run, and sending it again does no harm"
FAILURE_TEXTS = {
    Failure.GIVEN_UP: "not served; it may have run",
    Failure.EXPIRED: "not served in time; it may have run",
    Failure.FAULT: "a fault of the balancer; it may have run",
}


@dataclass(frozen=True)
class FrontLimits:
    """Limits for RPC clients. Per client: `calls` open calls, `unread` bytes of responses not yet sent."""

    message_limits: MessageLimits
    calls: int
    unread: int
    connections: int


class ClientCall(RpcCall):
    """A call or a notification from `client`, the connection on which a call is answered."""

    __slots__ = ("client",)

    def __init__(
        self, client: Client, msgid: int | None, name: str, raw: bytes, method: Method, read: CallParameters
    ):
        super().__init__(msgid, name, raw, method, read)
        self.client = client

    def released(self) -> None:
        if self.msgid is None:
            # A notification has no response that would resume pending messages, so they are resumed here.
            self.client.notifications.discard(self)
            self.client.on_call_ended()
        elif self.client.calls.get(self.msgid) is self:
            del self.client.calls[self.msgid]

    def served(self, answer: object) -> None:
        reply = cast(Reply, answer)
        self.reply(reply.raw_error, reply.raw_result)

    def refused(self, retry_after: int) -> None:
        self.reply(
            PACK(["refused", max(0, retry_after) / 1e6, MAY_HAVE_RUN if self.in_doubt else HAS_NOT_RUN]), NIL
        )

    def failed(self, why: Failure) -> None:
        self.reply(self.last_error or PACK(["failed", FAILURE_TEXTS[why]]), NIL)

    def gone(self) -> bool:
        if self.msgid is None or not self.client.gone():  # a notification runs even after its client has left
            return False
        self.client.abandon()
        return True

    def reply(self, raw_error: bytes, raw_result: bytes) -> None:
        if self.msgid is not None:
            self.client.send(response(self.msgid, raw_error, raw_result))
            self.client.on_call_ended()


class Client(AcceptedConnection):
    """A client's connection. Several calls may be open, up to the limit, and responses come in any order."""

    HANGUP_EVENTS = 0  # a half-closed client still gets its responses; resets are reported in any case

    def __init__(self, front: RpcFront) -> None:
        super().__init__(front.loop.time())
        self.front = front
        self.reader = MessageReader(front.limits.message_limits)
        self.calls: dict[int, ClientCall] = {}  # open calls by msgid
        self.notifications: set[ClientCall] = set()
        self.ending = False  # reading has stopped; the connection closes once all calls are answered
        self.write_full = False  # the client reads its responses too slowly, so the write buffer is full
        self.stall_timer: asyncio.TimerHandle | None = None
        self.pending: list[Message] = []  # received but not processed yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=self.front.limits.unread)

    def is_busy(self) -> bool:
        return bool(self.calls or self.notifications or self.pending or self.ending)

    def has_partial_request(self) -> bool:
        return self.reader.buffered() > 0

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        self.last_active = self.front.loop.time()
        before = self.reader.buffered()
        messages = self.reader.feed(data)
        self.got_request = self.got_request or bool(messages)
        if messages or not before:
            self.request_since = self.last_active
        self.pending += messages
        self.process_pending()

    def process_pending(self, waited: bool = False) -> None:
        """Processes pending messages up to the limit of open calls. If some remain, reading is paused.

        `waited`: the messages have been pending for some time, so check first whether the client has
        disconnected, which goes unnoticed while reading is paused.
        """
        if waited and self.pending and self.gone():
            self.abandon()
            return
        while (
            self.pending
            and len(self.calls) + len(self.notifications) < self.front.limits.calls
            and not self.write_full
        ):
            self.front.message(self, self.pending.pop(0))
        if self.pending or self.write_full:
            self.transport.pause_reading()
        elif self.reader.error:
            self.end(f"malformed stream: {self.reader.error}")
        elif not self.transport.is_closing():
            self.transport.resume_reading()

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.last_active = self.front.loop.time()
            self.transport.write(data)

    def on_call_ended(self) -> None:
        """Processes pending messages after a call has ended, or closes the connection after the last one."""
        if self.pending:
            self.front.loop.call_soon(self.process_pending, True)
        elif self.ending and not self.calls:
            self.transport.close()

    def end(self, why: str) -> None:
        """Stops reading and closes the connection once all accepted calls are answered."""
        if not self.ending:
            self.ending = True
            if why:
                self.front.log(f"rpc client: {why}")
            self.transport.pause_reading()
            if not self.calls and not self.pending:
                self.transport.close()

    def eof_received(self) -> bool:
        """Handles a half-closed connection: the open calls are still answered."""
        self.end("")
        return not self.transport.is_closing()

    def pause_writing(self) -> None:
        self.write_full = True
        self.transport.pause_reading()
        self.stall_timer = self.front.loop.call_later(STALL_TIMEOUT, self.transport.abort)

    def resume_writing(self) -> None:
        self.write_full = False
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.process_pending()

    def abandon(self) -> None:
        """Drops the open calls, as the client has disconnected."""
        self.ending = True
        self.pending.clear()
        for call in list(self.calls.values()):
            self.front.host.client_left(call)
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.abandon()
        self.front.listener.connection_ended(self)


class RpcFront:
    """Accepts client connections on a listener and keeps the open ones."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        methods: Methods,
        limits: FrontLimits,
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.host = host
        self.methods = methods
        self.limits = limits
        self.log = log
        self.service = ServiceStage.SERVING
        self.listener = Listener(loop, limits.connections, lambda: Client(self))

    @property
    def clients(self) -> set[Client]:
        return cast(set[Client], self.listener.connections)

    def start(self, address: Address) -> None:
        """Binds and listens. Raises OSError if the address can't be bound."""
        self.listener.start(address)

    def adopt(self, number: int) -> None:
        """Listens on an inherited socket. Raises OSError if it isn't a listening socket."""
        self.listener.adopt(number)

    def message(self, client: Client, message: Message) -> None:
        """Handles a complete message. An invalid request gets an error; the connection stays open."""
        if isinstance(message, Request):
            self.request(client, message)
        elif isinstance(message, Notification):
            self.notification(client, message)
        else:
            client.end("an unexpected response")

    def request(self, client: Client, message: Request) -> None:
        if message.msgid in client.calls:
            # The earlier call stays open, and the response sent with this msgid belongs to it.
            self.log(f"rpc client: msgid {message.msgid} used again while its call is open")
            client.send(response(message.msgid, PACK(["failed", "this msgid has a call open"]), NIL))
            return
        method = self.methods.get(message.method)
        parameters = self.methods.read_parameters(method, message.params) if method is not None else ""
        if method is None or isinstance(parameters, str):
            text = parameters or f"no method '{message.method.encode(errors='replace').decode()}'"
            client.send(response(message.msgid, PACK(["refused", 0, text]), NIL))
            return
        if self.host.full() or self.service >= ServiceStage.REFUSING:
            settings = self.host.settings
            wait = min(FULL_RETRY_AFTER, settings.max_retry_after) / 1e6 if settings.retry_after else 0
            text = "no room" if self.service < ServiceStage.REFUSING else "this node pauses"
            client.send(response(message.msgid, PACK(["refused", wait, text]), NIL))
            return
        call = ClientCall(client, message.msgid, message.method, message.raw, method, parameters)
        client.calls[message.msgid] = call
        self.host.take(call)

    def notification(self, client: Client, message: Notification) -> None:
        method = self.methods.get(message.method)
        parameters = self.methods.read_parameters(method, message.params) if method is not None else ""
        if method is None or isinstance(parameters, str) or not self.methods.may_notify(method):
            self.log(f"rpc client: notification {message.method!r} dropped: not allowed")
            return
        if self.host.full() or self.service >= ServiceStage.REFUSING:
            return
        call = ClientCall(client, None, message.method, message.raw, method, parameters)
        client.notifications.add(call)
        self.host.take(call)

    def set_service_stage(self, service: ServiceStage) -> None:
        """Applies the stage that an operator's pause has reached."""
        self.service = service
        if service >= ServiceStage.REFUSING:
            self.close_idle(service >= ServiceStage.ENDING)

    def close_idle(self, end_others: bool) -> None:
        """Closes the idle connections. With `end_others`, closes the others once their calls are answered.

        A recently used connection isn't idle: the client may have sent a call that would get no response.
        """
        now = self.loop.time()
        for client in list(self.clients):
            if client.transport is None:
                continue
            if now - client.last_active > SETTLE and client.idle():
                client.transport.close()
            elif end_others:
                client.end("")

    async def drain(self) -> None:
        """Shuts down after answering the accepted calls. Clients may send further calls for a while."""
        keep_open = handover(self.host.settings.classes)

        def close_connections(since: float) -> None:
            if since >= keep_open:
                self.close_idle(since >= keep_open + LINGER)

        await self.listener.drain(close_connections)
