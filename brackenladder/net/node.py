"""One node: hosts a Balancer on sockets.

It maps names to numbers and sockets to outcomes, owns the clock, the timers, the requests and their
attempts, and makes no decision.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import fields, replace
from hashlib import blake2b
from math import inf
from time import monotonic_ns, time_ns
from typing import Any

from brackenladder.balance import Balancer
from brackenladder.http.callers import Caller, Callers, Message
from brackenladder.http.servers import Answer, Endpoint, Exchange, Pool
from brackenladder.interface import Effect, ListKind, Outcome, ServerEntry, State
from brackenladder.net.config import Config
from brackenladder.net.discovery import Discovery
from brackenladder.net.listing import Line, Listing
from brackenladder.net.log import LINES_A_SECOND, STRAYS_A_SECOND, Log
from brackenladder.net.peers import Peers

GUARD = 10_000  # after the deadline: a request that the module has left open is failed
KILL_AFTER = 3_700_000  # after SIGTERM a node has the longest deadline for its end, or so long
KILL_MARGIN = 300_000
FULL_ADVICE = 500_000  # after so long there may be room again for a client that found none
PUSH_RETRY = 0.1  # seconds before an agent that did not answer is asked again
# Headers that end at this hop or are written anew for the next.
HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade expect"
    b" content-length x-budget-ms".split()
)
KEPT = frozenset((b"host", b"x-call-id", b"idempotency-key"))  # go on, whatever `Connection` names
RELOADED = ("discovery", "filed_discovery", "peers", "peers_all")  # what a running node takes on
METHODS = {Effect.SAFE: b"GET", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}


class Open:
    """A request that has been taken and not answered, or whose attempt is still out."""

    __slots__ = ("id", "name", "caller", "message", "klass", "deadline", "attempts", "out", "guard")

    def __init__(self, number: int, caller: Caller, message: Message, klass: int, deadline: int) -> None:
        self.id = number
        self.name = message.headers[b"x-call-id"]
        self.caller: Caller | None = caller  # None once answered, or once the client has left
        self.message = message
        self.klass = klass
        self.deadline = deadline
        self.attempts = 0
        self.out: Exchange | None = None
        self.guard: asyncio.TimerHandle | None = None


class Node:
    """Implements `Actions` for its Balancer, and hands it all events."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.log_lines = Log(config.name, LINES_A_SECOND)
        # Apart, so that whoever sends garbage cannot use up the lines that tell of faults.
        strays = Log(config.name, STRAYS_A_SECOND)
        self.origin = time_ns() - monotonic_ns()
        self.events: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.busy = False
        self.requests: dict[int, Open] = {}
        self.by_caller: dict[Caller, Open] = {}
        self.by_name: dict[bytes, Open] = {}  # by X-Call-Id; those whose client waits
        self.last_id = 0
        self.guarded = 0
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}
        self.zones = {name: i for i, name in enumerate(config.zones)}
        self.kinds = {name: i for i, name in enumerate(config.kinds)}
        half = config.connections // 2
        self.pool = Pool(loop, half, config.connect_timeout, config.idle_time)
        self.callers = Callers(loop, config.connections - half, config.most_held, self)
        version = config.known.version if config.known else None
        self.discovery = Discovery(
            loop, config.discovery, version, config.settings.instances, self.told, strays
        )
        self.peers = Peers(config.peers, config.peers_all, self.heard, strays)
        self.balancer = Balancer(config.settings, config.seed, self)
        self.listed = False
        self.ends = 1 << 62  # the time by which all that is taken must be answered

    async def start(self) -> None:
        """Begins to serve. An OSError if an address cannot be had."""
        if self.config.settings.peers and self.config.peer_listen is not None:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        self.callers.start(self.config.listen)
        self.post(self.balancer.start)
        if self.config.known is not None:
            self.told(self.config.known)
        if not self.config.settings.list_on_request:
            self.discovery.watch(True)

    def reload(self, config: Config) -> None:
        """Takes on a new configuration: connections, requests and all that was learned stay.

        What only a start can take on is named in the log. `known` and `seed` are of use at a start only.
        """
        old, self.config = self.config, replace(self.config, **{f: getattr(config, f) for f in RELOADED})
        left = [
            f.name
            for f in fields(config)
            if f.name not in (*RELOADED, "known", "seed") and getattr(config, f.name) != getattr(old, f.name)
        ]
        if left:
            self.log_lines.line(f"reload: needs a restart: {', '.join(left)}")
        if config.discovery != old.discovery:
            self.discovery.move(config.discovery)
        self.peers.rename(config.peers, config.peers_all)
        self.log_lines.line(f"reload: discovery {config.discovery[0]}:{config.discovery[1]}")

    async def drain(self) -> None:
        """Answers what has been taken, and ends.

        Failure prevented: what is taken in the meantime is still open when the process is killed.
        """
        longest = max(c.deadline for c in self.config.settings.classes)
        self.ends = self.now() + min(longest, KILL_AFTER) - KILL_MARGIN
        await self.callers.drain()
        self.discovery.close()
        if self.guarded:
            self.log_lines.line(f"{self.guarded} requests were failed at their deadline by the guard")

    def now(self) -> int:
        """Unix time at the start plus what has passed since, in microseconds: it never goes back."""
        return (self.origin + monotonic_ns()) // 1000

    # ---- events ---------------------------------------------------------------------------------------

    def post(self, event: Callable[..., None], *args: Any) -> None:
        """Hands the module an event, after the one it is handling, if any."""
        self.events.append((event, args))
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                event, args = self.events.popleft()
                try:
                    event(self.now(), *args)
                except Exception as e:  # one event's failure must not end the node or other requests
                    self.log_lines.line(f"{event.__name__}: {type(e).__name__}: {e}")
                    if event in (self.balancer.request, self.balancer.outcome):
                        self.conclude(args[0], 500)
        finally:
            self.busy = False

    def told(self, listing: Listing | None) -> None:
        """News from discovery, or a call to it that failed."""
        if listing is None:
            if self.config.settings.list_on_request:
                self.post(self.balancer.server_list, ListKind.FAILED, ())
            else:
                self.loop.call_later(PUSH_RETRY, self.discovery.watch, True)
            return
        latest = {number_of(line.id): line for line in listing.lines}  # a server twice: the last holds
        endpoints = self.pool.endpoints
        if listing.kind != ListKind.CHANGES:
            for number, endpoint in endpoints.items():
                if number not in latest:
                    endpoint.retire()
        for number, line in latest.items():
            self.place(number, line)
        for number in [n for n, e in endpoints.items() if not e.ready and not e.busy]:
            del endpoints[number]
        self.listed = True
        entries = [self.entry(number, line) for number, line in latest.items()]
        self.post(self.balancer.server_list, listing.kind, entries)

    def place(self, number: int, line: Line) -> None:
        """Takes note of a server's address and state; connections to an old process are of no use."""
        endpoint = self.pool.endpoints.get(number)
        if line.state != State.READY:
            if endpoint is not None:
                endpoint.retire()
            return
        same = endpoint is not None and (endpoint.host, endpoint.port, endpoint.started) == (
            line.host,
            line.port,
            line.started,
        )
        if endpoint is None or not same:
            if endpoint is not None:
                endpoint.retire()
            endpoint = self.pool.endpoints[number] = Endpoint(line.host, line.port, line.started)
        endpoint.ready = True

    def entry(self, number: int, line: Line) -> ServerEntry:
        return ServerEntry(
            number,
            line.state,
            line.cell,
            self.zones.setdefault(line.zone, len(self.zones)),
            self.kinds.setdefault(line.kind, len(self.kinds)),
            line.weight,
            line.started,
        )

    def heard(self, peer: int, data: bytes) -> None:
        """A peer's message."""
        self.post(self.balancer.peer_message, peer, data)

    def message(self, caller: Caller, message: Message) -> None:
        """A client's request, whole.

        Failure prevented: an exception here would close the connection with no answer.
        """
        try:
            self.accept(caller, message)
        except Exception as e:  # whatever it is, it is this request's failure alone
            self.log_lines.line(f"request: {type(e).__name__}: {e}")
            caller.answer(500)

    def accept(self, caller: Caller, message: Message) -> None:
        """Checks a request and hands it to the module."""
        now = self.now()
        path = message.target.partition(b"?")[0]
        klass = self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None
        if klass is None:
            if path != b"/ready":
                caller.answer(404)
            elif message.method != b"GET":
                caller.answer(405, headers=b"Allow: GET\r\n")
            else:
                caller.answer(200 if self.listed and not self.callers.draining else 503)
            return
        effect = self.config.settings.classes[klass].effect
        if message.method != METHODS[effect]:
            caller.answer(405, headers=b"Allow: %b\r\n" % METHODS[effect])
            return
        budget = message.headers.get(b"x-budget-ms") or b""
        keyed = effect != Effect.KEYED or message.headers.get(b"idempotency-key")
        tenant = message.headers.get(b"x-caller")
        name = message.headers.get(b"x-call-id")
        if not (name and keyed and (tenant or not self.tenants) and budget.isdigit() and len(budget) <= 9):
            caller.answer(400)
            return
        if len(self.requests) >= self.config.settings.max_open:
            self.beyond(caller)
            return
        twin = self.by_name.get(name)
        if twin is not None and twin.caller is not None and not twin.caller.gone():
            # Failure prevented: servers take the second one of an id for a mistake. Its errors, which no
            # server has made, eject servers and close the limit to everybody else.
            caller.answer(409)
            return
        left = min(int(budget) * 1000, max(0, self.ends - now))
        self.last_id += 1
        request = self.by_name[name] = Open(self.last_id, caller, message, klass, now + left)
        self.requests[request.id] = self.by_caller[caller] = request
        request.guard = self.loop.call_later((left + GUARD) / 1e6, self.expire, request)
        repeat = message.headers.get(b"x-again") == b"1"
        number = self.tenants.get(tenant or b"", len(self.tenants))
        self.post(self.balancer.request, request.id, klass, number, left, repeat)

    def beyond(self, caller: Caller) -> None:
        """Refuses a request for which the node itself has no room; the module never hears of it.

        Failure prevented: a client that is not told when to come back does so at once.
        """
        s = self.config.settings
        caller.answer(503, headers=advice(min(FULL_ADVICE, s.max_retry_after) if s.retry_after else 0))

    def left(self, caller: Caller) -> None:
        """A client closed its connection with its request open."""
        request = self.by_caller.get(caller)
        if request is not None:
            self.release(request)
            self.post(self.balancer.client_left, request.id)

    def expire(self, request: Open) -> None:
        """The guard: a request still open after its deadline. The module should have answered it."""
        self.guarded += 1
        self.log_lines.line(f"guard: request {request.id} was still open at its deadline")
        self.conclude(request.id, 504)
        self.post(self.balancer.client_left, request.id)

    # ---- answers --------------------------------------------------------------------------------------

    def conclude(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Gives the client its one final answer."""
        request = self.requests.get(number)
        if request is not None and request.caller is not None:
            caller = request.caller
            self.release(request)
            caller.answer(status, body, headers)

    def release(self, request: Open) -> None:
        """Nothing more is owed to the client."""
        if request.caller is not None:
            del self.by_caller[request.caller]
            request.caller = None
            if self.by_name.get(request.name) is request:
                del self.by_name[request.name]
        if request.guard is not None:
            request.guard.cancel()
        if request.out is None:
            self.requests.pop(request.id, None)

    # ---- Actions --------------------------------------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt. What may not be sent ends as NOT_SENT, after this event."""
        r = self.requests.get(request)
        endpoint = self.pool.endpoints.get(server)
        number = r.attempts if r is not None else 0
        if r is not None:
            r.attempts += 1
        if (
            r is None
            or r.caller is None
            or r.out is not None
            or number >= self.config.settings.max_attempts
            or endpoint is None
            or not endpoint.ready
        ):
            self.post(self.balancer.outcome, request, number, server, Outcome.NOT_SENT, 0, False, ())
            return
        now = self.now()
        expires = min(now + timeout, r.deadline)

        def compose() -> bytes | None:
            left = expires - self.now()
            return head_of(r.message, left // 1000) if r.caller is not None and left > 0 else None

        def done(outcome: Outcome, answer: Answer | None) -> None:
            self.ended(r, number, server, now, outcome, answer)

        exchange = Exchange(self.pool, endpoint, compose, done)
        r.out = exchange
        exchange.start(max(0, expires - now) / 1e6)

    def ended(
        self, r: Open, number: int, server: int, began: int, outcome: Outcome, answer: Answer | None
    ) -> None:
        """An attempt's end: an answer goes to the client at once, then the module hears of it."""
        r.out = None
        report: tuple[float, ...] = ()
        if answer is not None:
            if self.config.inline_reports:
                report = self.report(answer.report)
            if outcome == Outcome.OK and r.caller is not None:
                kind = answer.content_type
                self.conclude(r.id, 200, answer.body, b"Content-Type: %b\r\n" % kind if kind else b"")
        final = r.caller is None
        if final:
            self.requests.pop(r.id, None)
        latency = self.now() - began
        self.post(self.balancer.outcome, r.id, number, server, outcome, latency, final, report)

    def cancel(self, request: int, attempt: int) -> None:
        """Gives an attempt up; its outcome follows after this event."""
        r = self.requests.get(request)
        if r is not None and r.out is not None and attempt == r.attempts - 1:
            r.out.stop(Outcome.CANCELLED)

    def refuse(self, request: int, retry_after: int) -> None:
        """Answers 503, with advice when to come back."""
        self.conclude(request, 503, headers=advice(retry_after))

    def fail(self, request: int) -> None:
        """Answers 502: nothing is promised."""
        self.conclude(request, 502)

    def probe(self, server: int) -> None:
        """Asks a server for its load report, or whether it is well where there are no reports."""
        endpoint = self.pool.endpoints.get(server)
        began = self.now()
        path = b"/status/load" if self.config.report_names else b"/health"

        def done(outcome: Outcome, answer: Answer | None) -> None:
            ok = answer is not None and answer.status == 200
            report = self.report(answer.body or answer.report) if answer is not None and ok else ()
            self.post(self.balancer.probed, server, ok, self.now() - began, report)

        if endpoint is None or not endpoint.ready:
            self.post(self.balancer.probed, server, False, 0, ())
            return
        request = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (path, endpoint.host.encode(), endpoint.port)
        Exchange(self.pool, endpoint, lambda: request, done).start(self.config.connect_timeout)

    def report(self, text: bytes) -> tuple[float, ...]:
        """A load report's values in the settings' order; nothing if one is missing or unreadable."""
        values = dict(pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(","))
        try:
            report = tuple(
                float(values[name] if name in values else values[plain])
                for name, plain in self.config.report_names
            )
        except (KeyError, ValueError):
            return ()
        return report if all(0 <= value < inf for value in report) else ()

    def set_timer(self, delay: int, token: int) -> None:
        """Hands `token` back after `delay`."""
        self.loop.call_later(max(0, delay) / 1e6, self.post, self.balancer.timer, token)

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a message to a peer, or to all."""
        self.peers.tell(peer, data)

    def watch(self, on: bool) -> None:
        """Begins or ends the watch on the server list."""
        self.discovery.watch(on)

    def fetch(self) -> None:
        """Asks for the whole server list."""
        self.discovery.fetch()

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is not None:
            endpoint.close_idle()

    def log(self, text: str) -> None:
        """Writes a line to the log."""
        self.log_lines.line(text)


def number_of(name: str) -> int:
    """A server's number: the same at every node, since all copies share one shuffle of the numbers."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")


def advice(wait: int) -> bytes:
    """The header that tells a client when to come back, if there is anything to tell."""
    return b"Retry-After: %.3f\r\n" % (wait / 1e6) if wait > 0 else b""


def hop_headers(message: Message) -> frozenset[bytes]:
    """The headers that end here: the usual ones and those that the client's `Connection` names."""
    if b"connection" not in message.headers:
        return HOP
    named = [value for key, _, value in message.lines if key == b"connection"]
    return HOP | {name.strip().lower() for name in b",".join(named).split(b",")} - KEPT


def head_of(message: Message, budget: int) -> bytes:
    """The request as it goes on to a server."""
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
    hop = hop_headers(message)
    lines += [b"%b: %b" % (name, value) for key, name, value in message.lines if key not in hop]
    lines.append(b"X-Budget-Ms: %d" % budget)
    if message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body
