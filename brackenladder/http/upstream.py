"""The HTTP upstream: sends attempts and probes, and reads outcomes and load reports from the responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from math import inf
from typing import Any

from brackenladder.core.call import Attempt, Call, Done, Probed
from brackenladder.http.client_connections import HttpRequest
from brackenladder.http.large_bodies import LARGE_BODY
from brackenladder.http.server_connection import Answer, Endpoint
from brackenladder.http.server_exchange import Exchange
from brackenladder.http.server_pool import ServerPool
from brackenladder.interface import ListKind, Outcome, State
from brackenladder.membership.listing import Line

# Headers that are hop-by-hop or written anew for the server.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade expect"
    b" content-length x-budget-ms".split()
)
# Forwarded even if `Connection` names them.
END_TO_END = frozenset((b"host", b"x-call-id", b"idempotency-key"))


class HttpUpstream:
    """The servers of a pool by number, with their addresses and connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        most: int,
        connect_timeout: float,
        idle_time: float,
        report_names: Sequence[tuple[str, str]],
        inline_reports: bool,
        now: Callable[[], int],
    ) -> None:
        self.pool = ServerPool(loop, most, connect_timeout, idle_time)
        self.connect_timeout = connect_timeout
        self.report_names = report_names
        self.read_inline_report = (lambda answer: self.report(answer.report)) if inline_reports else None
        self.now = now

    # ---- the server list ------------------------------------------------------------------------------

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Applies a server list or its changes, in which each server occurs once."""
        endpoints = self.pool.endpoints
        if kind != ListKind.CHANGES:
            for number, endpoint in endpoints.items():
                if number not in latest:
                    endpoint.retire()
        for number, line in latest.items():
            self.update_server(number, line)
        for number in [
            number
            for number, endpoint in endpoints.items()
            if not endpoint.ready and not endpoint.open_exchanges
        ]:
            del endpoints[number]

    def update_server(self, number: int, line: Line) -> None:
        """Applies a server's address and state; closes connections to the server's earlier processes."""
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

    # ---- Upstream -------------------------------------------------------------------------------------

    def attempt(self, server: int, call: Call, expires: int, done: Done) -> Attempt | None:
        """Returns an exchange that will send the call to a server; None if the server is not ready."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is None or not endpoint.ready:
            return None
        http_call: Any = call  # an HttpCall, as this pool is fed by the HTTP front
        request: HttpRequest = http_call.request

        def compose() -> Sequence[bytes] | None:
            now = self.now()
            return (
                head_of(request, (expires - now) // 1000)
                if now < expires and call.may_be_written(now)
                else None
            )

        return Exchange(self.pool, endpoint, compose, done, self.read_inline_report, accepts_relay=True)

    def probe(self, server: int, done: Probed) -> None:
        """Requests a server's load report, or its health where the settings name no report fields."""
        endpoint = self.pool.endpoints.get(server)
        path = b"/status/load" if self.report_names else b"/health"

        def ended(outcome: Outcome, answer: Answer | None, report: Sequence[float]) -> None:
            ok = answer is not None and answer.status == 200
            done(ok, self.report(answer.body or answer.report) if answer is not None and ok else ())

        if endpoint is None or not endpoint.ready:
            done(False, ())
            return
        request = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (path, endpoint.host.encode(), endpoint.port)
        Exchange(self.pool, endpoint, lambda: (request,), ended).start(self.connect_timeout)

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to a server."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is not None:
            endpoint.close_idle()

    def report(self, text: bytes) -> tuple[float, ...]:
        """The values of a load report, in the order of the settings; empty if one is missing or invalid."""
        values = dict(pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(","))
        try:
            report = tuple(
                float(values[name] if name in values else values[plain]) for name, plain in self.report_names
            )
        except (KeyError, ValueError):
            return ()
        return report if all(0 <= value < inf for value in report) else ()


def hop_headers(request: HttpRequest) -> frozenset[bytes]:
    """The headers that are not forwarded: hop-by-hop ones and those that `Connection` names."""
    named = [value for key, _, value in request.lines if key == b"connection"]
    return HOP_BY_HOP | {name.strip().lower() for name in b",".join(named).split(b",")} - END_TO_END


def head_of(request: HttpRequest, budget: int) -> Sequence[bytes]:
    """The bytes of the request to a server, in one piece unless its body is large."""
    hop = hop_headers(request) if b"connection" in request.headers else HOP_BY_HOP
    lines = [b"%b: %b" % (name, value) for key, name, value in request.lines if key not in hop]
    if request.length or request.method != b"GET":
        lines.append(b"Content-Length: %d" % request.length)
    small = request.length <= LARGE_BODY
    head = b"%b %b HTTP/1.1\r\n%b\r\nX-Budget-Ms: %d\r\n\r\n%b" % (
        request.method,
        request.target,
        b"\r\n".join(lines),
        budget,
        b"".join(request.parts) if small else b"",
    )
    return (head,) if small else (head, *request.parts)
