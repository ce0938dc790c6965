"""The front that speaks MessagePack-RPC: requests and notifications to calls, conclusions to responses."""

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
from brackenladder.rpc.codec import NIL, PACK, Bounds, Message, Notification, Reader, Request, response
from brackenladder.rpc.methods import Method, Methods, Read
from brackenladder.sockets.listener import LINGER, AcceptedConnection, Address, Listener

FULL_ADVICE = 500_000  # microseconds after which there may be room again
STALLED = 2.0  # seconds without a byte read by the client, with its buffer full, after which it is closed
SETTLE = 0.2  # seconds in which a connection that was just used may bring a further call
NOT_RUN = "not served; it has not run, and may be sent again"
DOUBT = "not served; it may have run, and sending it again does no harm"
TEXTS = {
    Failure.GIVEN_UP: "not served; it may have run",
    Failure.EXPIRED: "not served in time; it may have run",
    Failure.FAULT: "a fault of the balancer; it may have run",
}


@dataclass(frozen=True)
class FrontLimits:
    """What one client may hold. `calls`: open calls; `unread`: bytes of answers that it has not taken."""

    bounds: Bounds
    calls: int
    unread: int
    connections: int


class ClientCall(RpcCall):
    """A call or a notification, and the connection that its answer goes to."""

    __slots__ = ("client",)

    def __init__(self, client: Client, msgid: int | None, name: str, raw: bytes, method: Method, read: Read):
        super().__init__(msgid, name, raw, method, read)
        self.client = client

    def released(self) -> None:
        if self.msgid is None:
            # Failure prevented: what waits behind notifications, which end with no answer, waits for ever.
            self.client.notified.discard(self)
            self.client.settle()
        elif self.client.calls.get(self.msgid) is self:
            del self.client.calls[self.msgid]

    def served(self, answer: object) -> None:
        reply = cast(Reply, answer)
        self.reply(reply.raw_error, reply.raw_result)

    def refused(self, retry_after: int) -> None:
        self.reply(PACK(["refused", max(0, retry_after) / 1e6, DOUBT if self.in_doubt else NOT_RUN]), NIL)

    def failed(self, why: Failure) -> None:
        self.reply(self.last_error or PACK(["failed", TEXTS[why]]), NIL)

    def gone(self) -> bool:
        if self.msgid is None or not self.client.gone():  # nobody has to wait for a notification's end
            return False
        self.client.hang_up()
        return True

    def reply(self, raw_error: bytes, raw_result: bytes) -> None:
        if self.msgid is not None:
            self.client.send(response(self.msgid, raw_error, raw_result))
            self.client.settle()


class Client(AcceptedConnection):
    """A client's connection: calls in any number within the bound, answers in any order."""

    HANGUP_EVENTS = 0  # one that only ends its sending gets its answers: a reset is told in any case

    def __init__(self, front: RpcFront) -> None:
        super().__init__(front.loop.time())
        self.front = front
        self.reader = Reader(front.limits.bounds)
        self.calls: dict[int, ClientCall] = {}  # open ones, by msgid
        self.notified: set[ClientCall] = set()
        self.ending = False  # nothing more is read; it is closed once all is answered
        self.full = False  # the client does not take its answers
        self.stall: asyncio.TimerHandle | None = None
        self.waiting: list[Message] = []  # read, with no room to take them

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=self.front.limits.unread)

    def is_busy(self) -> bool:
        return bool(self.calls or self.notified or self.waiting or self.ending)

    def has_partial_request(self) -> bool:
        return self.reader.waiting() > 0

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        self.last_active = self.front.loop.time()
        before = self.reader.waiting()
        messages = self.reader.feed(data)
        self.got_request = self.got_request or bool(messages)
        if messages or not before:
            self.request_since = self.last_active
        self.waiting += messages
        self.work()

    def work(self, waited: bool = False) -> None:
        """Takes what was read, as far as there is room; what is left waits, and nothing more is read.

        `waited`: it did not come just now, so its client may have left since, and nobody was told.
        """
        if waited and self.waiting and self.gone():
            self.hang_up()
            return
        while (
            self.waiting and len(self.calls) + len(self.notified) < self.front.limits.calls and not self.full
        ):
            self.front.message(self, self.waiting.pop(0))
        if self.waiting or self.full:
            self.transport.pause_reading()
        elif self.reader.broken:
            self.end(f"broken off: {self.reader.broken}")
        elif not self.transport.is_closing():
            self.transport.resume_reading()

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.last_active = self.front.loop.time()
            self.transport.write(data)

    def settle(self) -> None:
        """A call or a notification is over: room for what waits, or the end."""
        if self.waiting:
            self.front.loop.call_soon(self.work, True)
        elif self.ending and not self.calls:
            self.transport.close()

    def end(self, why: str) -> None:
        """Reads nothing more; closes once every call that was taken has its answer."""
        if not self.ending:
            self.ending = True
            if why:
                self.front.log(f"rpc client: {why}")
            self.transport.pause_reading()
            if not self.calls and not self.waiting:
                self.transport.close()

    def eof_received(self) -> bool:
        """The client sends no more; its answers still go out."""
        self.end("")
        return not self.transport.is_closing()

    def pause_writing(self) -> None:
        self.full = True
        self.transport.pause_reading()
        self.stall = self.front.loop.call_later(STALLED, self.transport.abort)

    def resume_writing(self) -> None:
        self.full = False
        if self.stall is not None:
            self.stall.cancel()
        self.work()

    def hang_up(self) -> None:
        """The client has gone: nothing is owed."""
        self.ending = True
        self.waiting.clear()
        for call in list(self.calls.values()):
            self.front.host.client_left(call)
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.stall is not None:
            self.stall.cancel()
        self.hang_up()
        self.front.listener.connection_ended(self)


class RpcFront:
    """The listener and its connections."""

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
        """Binds and listens. An OSError if the address cannot be had."""
        self.listener.start(address)

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down. An OSError if it is no such socket."""
        self.listener.adopt(number)

    def message(self, client: Client, message: Message) -> None:
        """A message that came whole. Whatever is wrong with it is told to its sender, who goes on."""
        if isinstance(message, Request):
            self.request(client, message)
        elif isinstance(message, Notification):
            self.notification(client, message)
        else:
            client.end("a response, which nobody waits for")

    def request(self, client: Client, message: Request) -> None:
        if message.msgid in client.calls:
            # The first call stands: its answer is the one that goes out under this msgid.
            self.log(f"rpc client: msgid {message.msgid} used again while its call is open")
            client.send(response(message.msgid, PACK(["failed", "this msgid has a call open"]), NIL))
            return
        method = self.methods.get(message.method)
        read = self.methods.read(method, message.params) if method is not None else ""
        if method is None or isinstance(read, str):
            text = read or f"no method '{message.method.encode(errors='replace').decode()}'"
            client.send(response(message.msgid, PACK(["refused", 0, text]), NIL))
            return
        if self.host.full() or self.service >= ServiceStage.REFUSING:
            s = self.host.settings
            wait = min(FULL_ADVICE, s.max_retry_after) / 1e6 if s.retry_after else 0
            text = "no room" if self.service < ServiceStage.REFUSING else "this node pauses"
            client.send(response(message.msgid, PACK(["refused", wait, text]), NIL))
            return
        call = ClientCall(client, message.msgid, message.method, message.raw, method, read)
        client.calls[message.msgid] = call
        self.host.take(call)

    def notification(self, client: Client, message: Notification) -> None:
        method = self.methods.get(message.method)
        read = self.methods.read(method, message.params) if method is not None else ""
        if method is None or isinstance(read, str) or not self.methods.may_notify(method):
            self.log(f"rpc client: notification {message.method!r} dropped: not allowed")
            return
        if self.host.full() or self.service >= ServiceStage.REFUSING:
            return
        call = ClientCall(client, None, message.method, message.raw, method, read)
        client.notified.add(call)
        self.host.take(call)

    def set_service_stage(self, service: ServiceStage) -> None:
        """An operator's pause."""
        self.service = service
        if service >= ServiceStage.REFUSING:
            self.close_idle(service >= ServiceStage.ENDING)

    def close_idle(self, all_of_them: bool) -> None:
        """Closes connections on which nothing is on its way; the others once what they brought is answered.

        Failure prevented: a connection is closed while a call is on its way, which gets no answer.
        """
        now = self.loop.time()
        for client in list(self.clients):
            if client.transport is None:
                continue
            if now - client.last_active > SETTLE and client.idle():
                client.transport.close()
            elif all_of_them:
                client.end("")

    async def drain(self) -> None:
        """Ends the service: what was taken is answered; connections serve further calls for a while."""
        stays = handover(self.host.settings.classes)

        def look(since: float) -> None:
            if since >= stays:
                self.close_idle(since >= stays + LINGER)

        await self.listener.drain(look)
