"""The HTTP front: turns requests into calls of the core and their conclusions into responses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from brackenladder.core.call import Call, Failure
from brackenladder.core.host import Host
from brackenladder.http.client_connections import ClientConnection, ClientConnections, HttpRequest
from brackenladder.interface import Effect
from brackenladder.operations.pause import ServiceStage
from brackenladder.sockets.listener import Address

FULL_RETRY_AFTER = 500_000  # microseconds; suggested to clients that were refused because the node is full
METHODS = {Effect.SAFE: b"GET", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}
# Chooses the host of a pool by traffic class, tenant's number, target and tenant's name.
Route = Callable[[int, int, bytes, bytes], Host]
STATUS = {Failure.GIVEN_UP: 502, Failure.EXPIRED: 504, Failure.FAULT: 500}


class HttpCall(Call):
    """A request, and the connection that its response goes to."""

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
        whole: Any = answer  # an Answer, as the HTTP upstream passes it
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
    """Handles the requests of client connections. `ready` says whether the node is ready for traffic."""

    def __init__(
        self,
        host: Host,
        classes: Sequence[str],
        tenants: Sequence[str],
        ready: Callable[[], bool],
        log: Callable[[str], None],
    ) -> None:
        self.host = host
        self.route: Route | None = None  # chooses among several pools, if there are any
        self.log = log
        self.clients: ClientConnections
        self.ready = ready
        # Computed once, as looking up enum members for each request would be slow.
        self.methods = [METHODS[traffic_class.effect] for traffic_class in host.settings.classes]
        self.keyed = [traffic_class.effect == Effect.KEYED for traffic_class in host.settings.classes]
        self.classes = {name.encode(): i for i, name in enumerate(classes)}
        self.paths = {b"/" + name: i for name, i in self.classes.items()}
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}
        self.unknown_tenant = len(tenants)  # the number that stands for all tenants not named in the settings
        self.by_connection: dict[ClientConnection, HttpCall] = {}
        self.by_call_id: dict[bytes, HttpCall] = {}  # calls by X-Call-Id

    def start(self, address: Address) -> None:
        """Binds and listens. Raises OSError if the address can't be bound."""
        self.clients.start(address)

    def adopt(self, number: int) -> None:
        """Listens on an inherited socket. Raises OSError if it is not a listening socket."""
        self.clients.adopt(number)

    def set_service_stage(self, service: ServiceStage) -> None:
        """Applies the stage that an operator's pause of this node has reached."""
        self.clients.set_service_stage(service)

    async def drain(self) -> None:
        """Shuts down after answering the requests that were accepted."""
        await self.clients.drain()

    def handle_request(self, connection: ClientConnection, request: HttpRequest) -> None:
        """Handles a complete request, and answers 500 if an exception occurs.

        Otherwise an exception here would close the connection without a response.
        """
        try:
            self.accept(connection, request)
        except Exception as e:  # an exception of any kind affects only this request
            self.log(f"request: {type(e).__name__}: {e}")
            if connection.open_request is request:
                # If the call lived on, its result would be sent in response to the connection's next request.
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
            # Servers reject a second request with the same id as an error of the client. Counted as errors of
            # the servers, such responses would eject servers and lower the concurrency limit for all clients.
            connection.answer(409)
            return
        repeat = b"x-again" in headers and headers[b"x-again"] == b"1"
        call = HttpCall(self, host, connection, request, klass, number, int(budget) * 1000, repeat)
        self.by_connection[connection] = self.by_call_id[name] = call
        host.take(call)

    def refuse_request(self, connection: ClientConnection) -> None:
        """Refuses a request for which the node has no room, without asking the balancer.

        A client that gets no Retry-After retries at once.
        """
        settings = self.host.settings
        connection.answer(
            503,
            headers=retry_after_header(
                min(FULL_RETRY_AFTER, settings.max_retry_after) if settings.retry_after else 0
            ),
        )

    def client_left(self, connection: ClientConnection) -> None:
        """Ends the call of a connection whose client has disconnected or has been answered otherwise."""
        call = self.by_connection.get(connection)
        if call is not None:
            call.host.client_left(call)


def retry_after_header(wait: int) -> bytes:
    """The Retry-After header for this wait in microseconds; empty if there is none."""
    return b"Retry-After: %.3f\r\n" % (wait / 1e6) if wait > 0 else b""
