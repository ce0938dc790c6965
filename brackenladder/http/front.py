"""The front that speaks HTTP: requests to calls, conclusions to answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from brackenladder.core.call import Call, Failure
from brackenladder.core.host import Host
from brackenladder.http.callers import Caller, Callers, Message
from brackenladder.interface import Effect
from brackenladder.operations.pause import Service
from brackenladder.sockets.listener import Address

FULL_ADVICE = 500_000  # after so long there may be room again for a client that found none
METHODS = {Effect.SAFE: b"GET", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}
Route = Callable[[int, int, bytes, bytes], Host]  # by class, tenant's number, target, tenant's name
STATUS = {Failure.GIVEN_UP: 502, Failure.EXPIRED: 504, Failure.FAULT: 500}


class HttpCall(Call):
    """A request, and the connection that its answer goes to."""

    __slots__ = ("front", "host", "name", "caller", "message")

    def __init__(
        self,
        front: HttpFront,
        host: Host,
        caller: Caller,
        message: Message,
        klass: int,
        tenant: int,
        left: int,
        repeat: bool,
    ) -> None:
        super().__init__(klass, tenant, left, repeat)
        self.front = front
        self.host = host
        self.name = message.headers[b"x-call-id"]
        self.caller = caller
        self.message = message

    def released(self) -> None:
        front = self.front
        if front.by_caller.get(self.caller) is self:
            del front.by_caller[self.caller]
        if front.by_name.get(self.name) is self:
            del front.by_name[self.name]

    def served(self, answer: object) -> None:
        if self.caller.open is not self.message:
            return
        whole: Any = answer  # an Answer, as HTTP's upstream gives it
        kind = whole.content_type
        headers = b"Content-Type: %b\r\n" % kind if kind else b""
        if whole.relay is None:
            self.caller.answer(200, whole.body, headers)
        else:
            whole.relay.begin(self.caller, 200, headers, whole.body)

    def refused(self, retry_after: int) -> None:
        if self.caller.open is self.message:
            self.caller.answer(503, headers=advice(retry_after))

    def failed(self, why: Failure) -> None:
        if self.caller.open is self.message:
            self.caller.answer(STATUS[why])

    def gone(self) -> bool:
        if not self.caller.gone():
            return False
        self.caller.hang_up()
        return True


class HttpFront:
    """Takes what the callers' connections read, as their `Handler`. `ready`: whether the node may be used."""

    def __init__(
        self,
        host: Host,
        classes: Sequence[str],
        tenants: Sequence[str],
        ready: Callable[[], bool],
        log: Callable[[str], None],
    ) -> None:
        self.host = host
        self.route: Route | None = None  # to one of several pools
        self.log = log
        self.callers: Callers
        self.ready = ready
        # Looked up for every request: an enumeration's members are slow as keys.
        self.methods = [METHODS[c.effect] for c in host.settings.classes]
        self.keyed = [c.effect == Effect.KEYED for c in host.settings.classes]
        self.classes = {name.encode(): i for i, name in enumerate(classes)}
        self.paths = {b"/" + name: i for name, i in self.classes.items()}
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}
        self.strangers = len(tenants)  # the number of tenants that the settings do not name
        self.by_caller: dict[Caller, HttpCall] = {}
        self.by_name: dict[bytes, HttpCall] = {}  # by X-Call-Id

    def start(self, address: Address) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        self.callers.start(address)

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down. An OSError if it is no such socket."""
        self.callers.adopt(number)

    def attend(self, service: Service) -> None:
        """An operator's pause."""
        self.callers.attend(service)

    async def drain(self) -> None:
        """Answers what was taken, and ends."""
        await self.callers.drain()

    def message(self, caller: Caller, message: Message) -> None:
        """A client's request, whole.

        Failure prevented: an exception here would close the connection with no answer.
        """
        try:
            self.accept(caller, message)
        except Exception as e:  # whatever it is, it is this request's failure alone
            self.log(f"request: {type(e).__name__}: {e}")
            if caller.open is message:
                # Failure prevented: the call lives on, and its end answers the connection's next request.
                self.left(caller)
                caller.answer(500)

    def accept(self, caller: Caller, message: Message) -> None:
        """Checks a request and hands it to the core."""
        path = message.target.partition(b"?")[0]
        klass = self.paths.get(path)
        if klass is None and path[:1] == b"/":
            klass = self.classes.get(path[1:].partition(b"/")[0])
        if klass is None:
            if path != b"/ready":
                caller.answer(404)
            elif message.method != b"GET":
                caller.answer(405, headers=b"Allow: GET\r\n")
            else:
                caller.answer(200 if self.ready() and not self.callers.draining else 503)
            return
        if message.method != self.methods[klass]:
            caller.answer(405, headers=b"Allow: %b\r\n" % self.methods[klass])
            return
        headers = message.headers
        budget = headers.get(b"x-budget-ms") or b""
        keyed = not self.keyed[klass] or headers.get(b"idempotency-key")
        tenant = headers.get(b"x-caller", b"")
        name = headers.get(b"x-call-id")
        if not (name and keyed and (tenant or not self.tenants) and budget.isdigit() and len(budget) <= 9):
            caller.answer(400)
            return
        number = self.tenants.get(tenant, self.strangers)
        host = self.host if self.route is None else self.route(klass, number, message.target, tenant)
        if host.full():
            self.beyond(caller)
            return
        twin = self.by_name.get(name)
        if twin is not None and not twin.gone():
            # Failure prevented: servers take the second one of an id for a mistake. Its errors, which no
            # server has made, eject servers and close the limit to everybody else.
            caller.answer(409)
            return
        repeat = b"x-again" in headers and headers[b"x-again"] == b"1"
        call = HttpCall(self, host, caller, message, klass, number, int(budget) * 1000, repeat)
        self.by_caller[caller] = self.by_name[name] = call
        host.take(call)

    def beyond(self, caller: Caller) -> None:
        """Refuses a request for which the node itself has no room; the module never hears of it.

        Failure prevented: a client that is not told when to come back does so at once.
        """
        s = self.host.settings
        caller.answer(503, headers=advice(min(FULL_ADVICE, s.max_retry_after) if s.retry_after else 0))

    def left(self, caller: Caller) -> None:
        """A client closed its connection with its request open, or nobody owes it that call any more."""
        call = self.by_caller.get(caller)
        if call is not None:
            call.host.client_left(call)


def advice(wait: int) -> bytes:
    """The header that tells a client when to come back, if there is anything to tell."""
    return b"Retry-After: %.3f\r\n" % (wait / 1e6) if wait > 0 else b""
