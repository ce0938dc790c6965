"""The front that speaks HTTP: requests to calls, conclusions to answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from brackenladder.core.call import Call, Failure
from brackenladder.core.host import Host
from brackenladder.http.client_connections import ClientConnection, ClientConnections, HttpRequest
from brackenladder.interface import Effect
from brackenladder.operations.pause import Service
from brackenladder.sockets.listener import Address

FULL_RETRY_AFTER = 500_000  # after so long there may be room again for a client that found none
METHODS = {Effect.SAFE: b"GET", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}
Route = Callable[[int, int, bytes, bytes], Host]  # by class, tenant's number, target, tenant's name
STATUS = {Failure.GIVEN_UP: 502, Failure.EXPIRED: 504, Failure.FAULT: 500}


class HttpCall(Call):
    """A request, and the connection that its answer goes to."""

    __slots__ = ("front", "host", "name", "connection", "request")

    def __init__(
        self,
        front: HttpFront,
        host: Host,
        connection: ClientConnection,
        request: HttpRequest,
        klass: int,
        tenant: int,
        left: int,
        repeat: bool,
    ) -> None:
        super().__init__(klass, tenant, left, repeat)
        self.front = front
        self.host = host
        self.name = request.headers[b"x-call-id"]
        self.connection = connection
        self.request = request

    def released(self) -> None:
        front = self.front
        if front.by_connection.get(self.connection) is self:
            del front.by_connection[self.connection]
        if front.by_call_id.get(self.name) is self:
            del front.by_call_id[self.name]

    def served(self, answer: object) -> None:
        if self.connection.open_request is not self.request:
            return
        whole: Any = answer  # an Answer, as HTTP's upstream gives it
        kind = whole.content_type
        headers = b"Content-Type: %b\r\n" % kind if kind else b""
        if whole.relay is None:
            self.connection.answer(200, whole.body, headers)
        else:
            whole.relay.begin(self.connection, 200, headers, whole.body)

    def refused(self, retry_after: int) -> None:
        if self.connection.open_request is self.request:
            self.connection.answer(503, headers=retry_after_header(retry_after))

    def failed(self, why: Failure) -> None:
        if self.connection.open_request is self.request:
            self.connection.answer(STATUS[why])

    def gone(self) -> bool:
        if not self.connection.gone():
            return False
        self.connection.hang_up()
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
        self.clients: ClientConnections
        self.ready = ready
        # Looked up for every request: an enumeration's members are slow as keys.
        self.methods = [METHODS[traffic_class.effect] for traffic_class in host.settings.classes]
        self.keyed = [traffic_class.effect == Effect.KEYED for traffic_class in host.settings.classes]
        self.classes = {name.encode(): i for i, name in enumerate(classes)}
        self.paths = {b"/" + name: i for name, i in self.classes.items()}
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}
        self.unknown_tenant = len(tenants)  # the number of tenants that the settings do not name
        self.by_connection: dict[ClientConnection, HttpCall] = {}
        self.by_call_id: dict[bytes, HttpCall] = {}  # by X-Call-Id

    def start(self, address: Address) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        self.clients.start(address)

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down. An OSError if it is no such socket."""
        self.clients.adopt(number)

    def attend(self, service: Service) -> None:
        """An operator's pause."""
        self.clients.attend(service)

    async def drain(self) -> None:
        """Answers what was taken, and ends."""
        await self.clients.drain()

    def handle_request(self, connection: ClientConnection, request: HttpRequest) -> None:
        """A client's request, whole.

        Failure prevented: an exception here would close the connection with no answer.
        """
        try:
            self.accept(connection, request)
        except Exception as e:  # whatever it is, it is this request's failure alone
            self.log(f"request: {type(e).__name__}: {e}")
            if connection.open_request is request:
                # Failure prevented: the call lives on, and its end answers the connection's next request.
                self.client_left(connection)
                connection.answer(500)

    def accept(self, connection: ClientConnection, request: HttpRequest) -> None:
        """Checks a request and hands it to the core."""
        path = request.target.partition(b"?")[0]
        klass = self.paths.get(path)
        if klass is None and path[:1] == b"/":
            klass = self.classes.get(path[1:].partition(b"/")[0])
        if klass is None:
            if path != b"/ready":
                connection.answer(404)
            elif request.method != b"GET":
                connection.answer(405, headers=b"Allow: GET\r\n")
            else:
                connection.answer(200 if self.ready() and not self.clients.draining else 503)
            return
        if request.method != self.methods[klass]:
            connection.answer(405, headers=b"Allow: %b\r\n" % self.methods[klass])
            return
        headers = request.headers
        budget = headers.get(b"x-budget-ms") or b""
        keyed = not self.keyed[klass] or headers.get(b"idempotency-key")
        tenant = headers.get(b"x-caller", b"")
        name = headers.get(b"x-call-id")
        if not (name and keyed and (tenant or not self.tenants) and budget.isdigit() and len(budget) <= 9):
            connection.answer(400)
            return
        number = self.tenants.get(tenant, self.unknown_tenant)
        host = self.host if self.route is None else self.route(klass, number, request.target, tenant)
        if host.full():
            self.refuse_request(connection)
            return
        same_id = self.by_call_id.get(name)
        if same_id is not None and not same_id.gone():
            # Failure prevented: servers take the second one of an id for a mistake. Its errors, which no
            # server has made, eject servers and close the limit to everybody else.
            connection.answer(409)
            return
        repeat = b"x-again" in headers and headers[b"x-again"] == b"1"
        call = HttpCall(self, host, connection, request, klass, number, int(budget) * 1000, repeat)
        self.by_connection[connection] = self.by_call_id[name] = call
        host.take(call)

    def refuse_request(self, connection: ClientConnection) -> None:
        """Refuses a request for which the node itself has no room; the module never hears of it.

        Failure prevented: a client that is not told when to come back does so at once.
        """
        settings = self.host.settings
        connection.answer(
            503,
            headers=retry_after_header(
                min(FULL_RETRY_AFTER, settings.max_retry_after) if settings.retry_after else 0
            ),
        )

    def client_left(self, connection: ClientConnection) -> None:
        """A client closed its connection with its request open, or nobody owes it that call any more."""
        call = self.by_connection.get(connection)
        if call is not None:
            call.host.client_left(call)


def retry_after_header(wait: int) -> bytes:
    """The header that tells a client when to come back, if there is anything to tell."""
    return b"Retry-After: %.3f\r\n" % (wait / 1e6) if wait > 0 else b""
