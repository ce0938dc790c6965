"""The adapter: hosts Balancer instances for the simulator, over its binary protocol on stdin and stdout.

It makes no decisions. A frame that cannot be decoded ends the process with status 2 and one line on stderr.
"""

from __future__ import annotations

import json
import sys
from struct import Struct
from struct import error as StructError
from typing import Any, BinaryIO

from brackenladder.interface import ListKind, Outcome, ServerEntry, Settings, State
from brackenladder.policy.balancer import Balancer
from brackenladder.settings import parse_settings

HEADER = Struct("<IIQ")
LENGTH = Struct("<I")
CREATE = Struct("<HQI")
DIRECTORY = Struct("<II")
ENTRY = Struct("<IHQHfBH")
TARGETS = Struct("<HBII")
ACCEPT = Struct("<HQQHBIIH")
CLIENT_LEFT = Struct("<HQ")
CHECK_RESULT = Struct("<HIHIB")
OPENED = Struct("<HQBII")
WAKE = Struct("<HQ")
SHUTDOWN = Struct("<H")
PEER_DATA = Struct("<HHH")
VERDICT = Struct("<HQBIIBHB")

RELAY = Struct("<BHQII")
BOUNCE = Struct("<BHQI")
END_FAILED = Struct("<BHQ")
WITHDRAW = Struct("<BHQB")
NOTIFY_ME = Struct("<BHIQ")
PROBE = Struct("<BHI")
RELEASE = Struct("<BHI")
NOTIFY = Struct("<BHHH")
JOURNAL_LINE = Struct("<BHH")
BAIL_OUT = Struct("<BHH")
LISTEN = Struct("<BHB")
QUERY_ALL = Struct("<BH")

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}
STATES = {0: State.GONE, 1: State.READY, 2: State.DRAINING}
REPEAT_FLAG = 2
LONGEST_TIMER = 4_260_000_000
EVERY_PEER = 0xFFFF


class WireError(Exception):
    """Input that is not a valid frame of the protocol."""


def read_settings(text: bytes) -> Settings:
    """Parses the settings of a CREATE event. A missing or invalid value raises ValueError with its key."""
    try:
        env = json.loads(text)
    except (ValueError, RecursionError) as e:
        raise WireError(f"settings are not JSON: {e}") from None
    return parse_settings(env)


class WireActions:
    """Encodes the actions of one Balancer instance into the reply to the current batch."""

    __slots__ = ("out", "node")

    def __init__(self, out: bytearray, node: int) -> None:
        self.out = out
        self.node = node

    def send(self, request: int, server: int, timeout: int) -> None:
        self.out += RELAY.pack(65, self.node, request, server, min(max(timeout, 1), 0xFFFFFFFF))

    def cancel(self, request: int, attempt: int) -> None:
        self.out += WITHDRAW.pack(68, self.node, request, attempt)

    def refuse(self, request: int, retry_after: int) -> None:
        self.out += BOUNCE.pack(66, self.node, request, min(max(retry_after, 0), 0xFFFFFFFF))

    def fail(self, request: int) -> None:
        self.out += END_FAILED.pack(67, self.node, request)

    def probe(self, server: int) -> None:
        self.out += PROBE.pack(70, self.node, server)

    def set_timer(self, delay: int, token: int) -> None:
        self.out += NOTIFY_ME.pack(69, self.node, min(max(delay, 0), LONGEST_TIMER), token)

    def tell(self, peer: int, data: bytes) -> None:
        self.out += NOTIFY.pack(72, self.node, EVERY_PEER if peer < 0 else peer, len(data)) + data

    def watch(self, on: bool) -> None:
        self.out += LISTEN.pack(75, self.node, on)

    def fetch(self) -> None:
        self.out += QUERY_ALL.pack(76, self.node)

    def close(self, server: int) -> None:
        self.out += RELEASE.pack(71, self.node, server)

    def log(self, text: str) -> None:
        data = text.encode()[:0xFFFF]
        self.out += JOURNAL_LINE.pack(73, self.node, len(data)) + data

    def fault(self, text: str) -> None:
        data = text.encode()[:0xFFFF]
        self.out += BAIL_OUT.pack(74, self.node, len(data)) + data


class Host:
    """The Balancer instances of one process. They share only the numbered server lists of the protocol."""

    def __init__(self) -> None:
        self.out = bytearray()
        self.nodes: dict[int, Balancer] = {}
        self.server_lists: dict[int, list[ServerEntry]] = {}

    def batch(self, count: int, body: bytes, now: int) -> bytes:
        """Handles one batch of records and returns the framed reply."""
        self.out.clear()
        pos = 0
        for record in range(count):
            try:
                code = body[pos]
                reader = READERS[code]
            except IndexError:
                raise WireError(f"record {record}: batch ends early") from None
            except KeyError:
                raise WireError(f"record {record} at byte {pos}: unknown event code {body[pos]}") from None
            try:
                pos = reader(self, now, body, pos + 1)
            except StructError:
                raise WireError(f"record {record} at byte {pos}: event {code} is cut short") from None
        if pos != len(body):
            raise WireError(f"{len(body) - pos} bytes after the last record")
        return LENGTH.pack(len(self.out)) + self.out

    def forward(self, node: int, event: str, *args: Any) -> None:
        """Forwards an event to an instance; an exception there becomes a fault action of the protocol."""
        balancer = self.nodes.get(node)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as e:  # the protocol requires that every exception is reported to the simulator
            del self.nodes[node]
            WireActions(self.out, node).fault(f"{event}: {type(e).__name__}: {e}")

    def create(self, now: int, body: bytes, pos: int) -> int:
        node, seed, size = CREATE.unpack_from(body, pos)
        pos += CREATE.size
        text = take_bytes(body, pos, size)
        balancer = Balancer(read_settings(text), seed, WireActions(self.out, node))
        self.nodes[node] = balancer
        self.forward(node, "start", now)
        return pos + int(size)

    def directory(self, now: int, body: bytes, pos: int) -> int:
        list_number, count = DIRECTORY.unpack_from(body, pos)
        pos += DIRECTORY.size
        raw = take_bytes(body, pos, count * ENTRY.size)
        self.server_lists[list_number] = [
            ServerEntry(server, STATES.get(state, State.DRAINING), cell, zone, kind, weight, ready_at)
            for server, cell, ready_at, zone, weight, state, kind in ENTRY.iter_unpack(raw)
        ]
        return pos + int(count) * ENTRY.size

    def targets(self, now: int, body: bytes, pos: int) -> int:
        node, kind, _, list_number = TARGETS.unpack_from(body, pos)
        if kind > 3:
            raise WireError(f"unknown list kind {kind}")
        list_kind = (ListKind.CHANGES, ListKind.FULL, ListKind.CACHED, ListKind.FAILED)[kind]
        entries: list[ServerEntry] = []
        if list_kind != ListKind.FAILED:
            if list_number not in self.server_lists:
                raise WireError(f"list {list_number} was never sent")
            entries = self.server_lists[list_number]
        self.forward(node, "server_list", now, list_kind, entries)
        return pos + TARGETS.size

    def accept(self, now: int, body: bytes, pos: int) -> int:
        node, request, _, tenant, flags, time_left, _, klass = ACCEPT.unpack_from(body, pos)
        self.forward(node, "request", now, request, klass, tenant, time_left, bool(flags & REPEAT_FLAG))
        return pos + ACCEPT.size

    def client_left(self, now: int, body: bytes, pos: int) -> int:
        node, request = CLIENT_LEFT.unpack_from(body, pos)
        self.forward(node, "client_left", now, request)
        return pos + CLIENT_LEFT.size

    def check_result(self, now: int, body: bytes, pos: int) -> int:
        node, latency, status, server, n = CHECK_RESULT.unpack_from(body, pos)
        pos += CHECK_RESULT.size
        self.forward(node, "probed", now, server, status == 200, latency, floats(body, pos, n))
        return pos + 4 * int(n)

    def opened(self, now: int, body: bytes, pos: int) -> int:
        node, request, attempt, server, latency = OPENED.unpack_from(body, pos)
        self.forward(node, "response_started", now, request, attempt, server, latency)
        return pos + OPENED.size

    def wake(self, now: int, body: bytes, pos: int) -> int:
        node, token = WAKE.unpack_from(body, pos)
        self.forward(node, "timer", now, token)
        return pos + WAKE.size

    def shutdown(self, now: int, body: bytes, pos: int) -> int:
        (node,) = SHUTDOWN.unpack_from(body, pos)
        self.nodes.pop(node, None)
        return pos + SHUTDOWN.size

    def peer_data(self, now: int, body: bytes, pos: int) -> int:
        node, peer, size = PEER_DATA.unpack_from(body, pos)
        pos += PEER_DATA.size
        self.forward(node, "peer_message", now, peer, take_bytes(body, pos, size))
        return pos + int(size)

    def verdict(self, now: int, body: bytes, pos: int) -> int:
        node, request, attempt, latency, server, final, status, n = VERDICT.unpack_from(body, pos)
        pos += VERDICT.size
        self.forward(
            node,
            "outcome",
            now,
            request,
            attempt,
            server,
            OUTCOMES.get(status, Outcome.UNKNOWN),
            latency,
            bool(final),
            floats(body, pos, n) if n else (),
        )
        return pos + 4 * int(n)


READERS = {
    1: Host.directory,
    2: Host.wake,
    3: Host.accept,
    4: Host.peer_data,
    5: Host.check_result,
    6: Host.create,
    7: Host.targets,
    8: Host.verdict,
    9: Host.shutdown,
    10: Host.opened,
    11: Host.client_left,
}
FLOATS = [Struct(f"<{n}f") for n in range(256)]


def take_bytes(body: bytes, pos: int, size: int) -> bytes:
    if pos + size > len(body):
        raise StructError("cut short")
    return body[pos : pos + size]


def floats(body: bytes, pos: int, n: int) -> tuple[float, ...]:
    return FLOATS[n].unpack_from(body, pos)


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"{what}: input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reads batches and writes replies until the input ends."""
    host = Host()
    batch = 0
    while True:
        first = source.read(1)
        if not first:
            return
        where = f"batch {batch}"
        count, size, now = HEADER.unpack(first + read_exactly(source, HEADER.size - 1, where + " header"))
        if size < 8:
            raise WireError(f"{where} header: length {size} is too short")
        body = read_exactly(source, size - 8, where)
        try:
            reply = host.batch(count, body, now)
        except WireError as e:
            raise WireError(f"{where}: {e}") from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as e:
        print(f"brackenladder: {e}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
