"""Stand-in for service discovery, with one address for each node, and a relay for datagrams between nodes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Any, cast

import httptools
import msgspec

from brackenladder.rehearsal.events import Asked, Changed, Datagram, Hushed, Told, Untold, now
from brackenladder.rehearsal.plan import MICRO, ServerPlan, Step, node_name
from brackenladder.rehearsal.scenario import DATAGRAM_FAULTS, DISCOVERY_FAULTS, LINK_FAULTS
from brackenladder.rehearsal.standins.process import Host, address_of, listener, report, reset

LONGEST_WAIT = 60.0  # seconds that a watch may wait
LARGEST_REQUEST = 16 << 10  # bytes of a call
LARGEST_DATAGRAM = 256
FIRST_VERSION = (41, 7001)  # first version of each discovery source; their numbers are independent
DELAY = (0.001, 0.010)  # seconds that a datagram takes, drawn from this range
LATE_DELAY = 0.5  # seconds that a late datagram takes
SWAPPED_DELAY = 0.05  # seconds that a datagram takes so that later ones overtake it


class Call(asyncio.Protocol):
    """A node's connection to a discovery source."""

    def __init__(self, source: Source, node: str) -> None:
        self.source = source
        self.node = node
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.bytes = 0
        self.call = 0
        self.since = -1
        self.timer: asyncio.TimerHandle | None = None
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        try:
            if self.bytes > LARGEST_REQUEST:
                raise httptools.HttpParserError
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            reset(self.transport)

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.bytes = 0
        path, _, query = self.url.decode("latin-1").partition("?")
        given = dict(pair.partition("=")[::2] for pair in query.split("&"))
        if path != "/v1/endpoints":
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        since, wait = given.get("since", "-1"), given.get("timeout_ms", "0")
        self.since = int(since) if since.isdigit() else -1
        self.call = next(self.source.network.calls)
        self.open = True
        time = min(int(wait) / 1000 if wait.isdigit() else 0.0, LONGEST_WAIT)
        self.source.host.journal.add(Asked(now(), self.node, self.call, self.since, round(time * MICRO)))
        if self.source.unanswered(self.node):
            return
        self.source.waiting.add(self)
        if self.since >= 0:
            self.timer = self.source.host.loop.call_later(time, self.source.answer, self, True)
        self.source.answer(self, self.since < 0)

    def connection_lost(self, exc: Exception | None) -> None:
        self.source.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.open:
            self.open = False
            self.source.host.journal.add(Untold(now(), self.node, self.call))


class Source:
    """A discovery service: its versioned server list, and the calls that wait for changes."""

    def __init__(self, network: Network, number: int) -> None:
        self.network = network
        self.host = network.host
        self.number = number
        self.version = FIRST_VERSION[number]
        self.lines: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # the version in which each server's line last changed
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        # Fault `old-list`: the version and lines to return.
        self.old_list: tuple[int, list[dict[str, Any]]] | None = None
        self.left_out: set[str] | None = None  # fault `half-list`: server ids to omit
        self.waiting: set[Call] = set()
        self.snapshots: list[tuple[int, list[dict[str, Any]]]] = []

    def unanswered(self, node: str) -> bool:
        """Whether calls of a node get no answer now."""
        if (
            self.network.active_fault("silence") is not None
            or self.network.active_fault("unheard", target=node) is not None
        ):
            return True
        return self.number == 0 and node in self.network.moved

    def update(self, *lines: dict[str, Any]) -> None:
        """Sets the lines of servers under one new version."""
        self.snapshots.append((self.version, self.full_list()))
        self.version += 1
        for line in lines:
            self.lines[line["id"]] = line
            self.changed[line["id"]] = self.version
            self.host.journal.add(
                Changed(now(), self.number, self.version, line["id"], line["state"], line["started_ms"])
            )
        self.answer_waiting()

    def full_list(self) -> list[dict[str, Any]]:
        """All lines except those of servers that are gone."""
        return [line for line in self.lines.values() if line["state"] != "gone"]

    def answer_waiting(self) -> None:
        for call in list(self.waiting):
            self.answer(call, False)

    def answer(self, call: Call, must_answer: bool) -> None:
        """Answers a call if the list is newer than the caller's, or if the wait is over (`must_answer`)."""
        if not call.open or call not in self.waiting:
            return
        if self.old_list is not None:
            version, lines = self.old_list
            if call.since != version:
                self.write(call, version, True, lines)
            elif must_answer:
                self.write(call, version, False, [])
        elif (
            call.since < 0
            or call.since > self.version
            or (self.left_out is not None and call.since < self.version)
        ):
            lines = [
                line for line in self.full_list() if self.left_out is None or line["id"] not in self.left_out
            ]
            self.write(call, self.version, True, lines)
        elif call.since < self.version or must_answer:
            changed = [line for line in self.lines.values() if self.changed[line["id"]] > call.since]
            self.write(call, self.version, False, changed)

    def write(self, call: Call, version: int, full: bool, lines: list[dict[str, Any]]) -> None:
        body = msgspec.json.encode({"version": version, "full": full, "servers": lines})
        if call.timer is not None:
            call.timer.cancel()
        self.waiting.discard(call)
        call.open = False
        seen = tuple((line["id"], line["state"], line["started_ms"]) for line in lines)
        call.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )
        self.network.record_list(call.node, self.number, version, full, lines)
        # Recorded after the write, since the node cannot know of it earlier.
        self.host.journal.add(Told(now(), call.node, call.call, self.number, version, full, seen))

    # ---- faults ---------------------------------------------------------------------------------------

    def begin(self, step: Step) -> None:
        if step.kind == "half-list":
            rng = Random(f"half {self.host.brief.seed} {step.at}")
            names = sorted(line["id"] for line in self.full_list())
            self.left_out = set(rng.sample(names, len(names) // 2))
            self.version += 1
            self.answer_waiting()
        elif step.kind == "old-list":
            self.old_list = self.snapshots[0] if self.snapshots else (self.version, self.full_list())
            self.answer_waiting()

    def end(self, step: Step) -> None:
        if step.kind == "half-list" and self.left_out is not None:
            # Marks the omitted lines as changed, so that nodes that got the list without them receive them.
            self.version += 1
            for name in self.left_out:
                self.changed[name] = self.version
            self.left_out = None
            self.answer_waiting()
        elif step.kind == "old-list":
            self.old_list = None
            self.answer_waiting()


class Relay(asyncio.DatagramProtocol):
    """The address of a node that its peers use; forwards datagrams to the node."""

    def __init__(self, network: Network, node: int) -> None:
        self.network = network
        self.node = node  # -1: the address of all nodes
        self.transport: asyncio.DatagramTransport = cast(asyncio.DatagramTransport, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.network.relay_datagram(self.node, data, (addr[0], addr[1]))


@dataclass
class KnownList:
    """The server list that a node last received."""

    source: int
    version: int
    lines: dict[str, dict[str, Any]]


class Network:
    """The role `network`: two discovery sources (nodes may be moved to the second) and the relay."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.calls = count(1)
        self.moved: set[str] = set()
        self.sources = [Source(self, 0), Source(self, 1)]
        self.relays: dict[int, Relay] = {}
        self.rng = Random(f"network {host.brief.seed}")
        self.delays = Random(f"late {host.brief.seed}")
        self.peers: dict[tuple[str, int], int] = {}  # number of each node, by its own datagram address
        self.plans = {s.id: s for s in host.plan.servers}
        self.servers: list[asyncio.Server] = []
        self.last: dict[str, int] = {}
        self.known_lists: dict[str, KnownList] = {}  # the list that each node last received, by node

    async def open(self) -> dict[str, Any]:
        self.prepare()
        nodes = range(self.host.scenario.nodes)
        found: dict[str, Any] = {"discovery": [[], []], "peers": []}
        for source in self.sources:
            for node in nodes:
                sock = listener()
                name = node_name(node)
                self.servers.append(
                    await self.host.loop.create_server(lambda s=source, n=name: Call(s, n), sock=sock)  # type: ignore[misc]
                )
                found["discovery"][source.number].append(address_of(sock))
        for node in (*nodes, -1):
            relay = self.relays[node] = Relay(self, node)
            await self.host.loop.create_datagram_endpoint(lambda r=relay: r, local_addr=("127.0.0.1", 0))  # type: ignore[misc]
            host, port = relay.transport.get_extra_info("sockname")[:2]
            found["peers"].append(f"{host}:{port}")
        return found

    def order(self, order: dict[str, Any]) -> None:
        """Handles `moved` (a node now uses the second source) and `handed` (reports a node's last list)."""
        if "handed" in order:
            name = order["handed"]
            had = self.known_lists.get(name)
            lines = [] if had is None else [x for x in had.lines.values() if x["state"] != "gone"]
            report({"handed": name, "version": -1 if had is None else had.version, "servers": lines})
        if "moved" in order:
            name = order["moved"]
            self.moved.add(name)
            for call in [c for c in self.sources[0].waiting if c.node == name]:
                self.sources[0].waiting.discard(call)

    def record_list(
        self, node: str, source: int, version: int, full: bool, lines: list[dict[str, Any]]
    ) -> None:
        """Records an answer to a node. Older versions are ignored, as by the checker."""
        had = self.known_lists.get(node)
        if had is None or had.source != source:
            had = self.known_lists[node] = KnownList(source, -1, {} if had is None else had.lines)
        if version >= had.version:
            had.version = version
            had.lines = ({} if full else had.lines) | {line["id"]: line for line in lines}

    def prepare(self) -> None:
        """Sets up the initial server list and the nodes' datagram addresses from the runner's first order."""
        for source in self.sources:
            for plan in self.host.plan.servers:
                if plan.born < 0:
                    source.lines[plan.id] = self.line(plan, "ready", -1)
                    source.changed[plan.id] = source.version
                    self.host.journal.add(Changed(now(), source.number, source.version, plan.id, "ready", 0))
        for name, address in self.host.brief.address.items():
            kind, _, number = name.partition(" ")
            if kind == "datagrams":
                host, _, port = address.rpartition(":")
                self.peers[(host, int(port))] = int(number)

    def line(self, plan: ServerPlan, state: str, born: int) -> dict[str, Any]:
        return {
            "id": plan.id,
            "addr": self.host.brief.address[f"place {plan.place}"],
            "zone": plan.zone,
            "kind": "std",
            "cell": plan.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": self.host.started_ms(born),
        }

    def start(self) -> None:
        for plan in self.host.plan.servers:
            if plan.born >= 0:
                self.schedule_change(plan.born, plan, "ready", plan.born)
        for step in self.host.plan.steps:
            server = self.plans.get(step.target)
            if step.kind in ("restart", "replace"):
                assert server is not None
                self.schedule_change(step.at, server, "gone", server.born)
                if step.kind == "restart":
                    self.schedule_change(step.end, server, "ready", step.end)
            elif step.kind in ("drain", "drain-answering"):
                assert server is not None
                self.schedule_change(step.at, server, "draining", server.born, late=step.kind == "drain")
                self.schedule_change(step.end, server, "gone", server.born)
            elif step.kind in DISCOVERY_FAULTS:
                self.host.at(step.at, self.begin, step)
                self.host.at(step.end, self.end, step)
            elif step.kind in (*DATAGRAM_FAULTS, *LINK_FAULTS):
                self.host.at(step.at, self.host.note_fault, step)
            elif step.kind in ("unheard", "silent-watch"):
                self.host.at(step.at, self.silence_calls, step)

    def schedule_change(self, at: int, plan: ServerPlan, state: str, born: int, late: bool = True) -> None:
        """Schedules when discovery learns of a change: some time later, changes of a server in order."""
        low, high = self.host.scenario.discovery.late_ms
        time = at + (round(self.delays.uniform(low, high) * 1000) if late else 0)
        time = self.last[plan.id] = max(time, self.last.get(plan.id, 0) + 1)
        self.host.at(time, self.apply_change, self.line(plan, state, born))

    def apply_change(self, line: dict[str, Any]) -> None:
        for source in self.sources:
            source.update(line)

    def active_fault(self, *kinds: str, target: str = "") -> Step | None:
        """The active fault of one of these kinds, at `target` if given; None if there is none."""
        time = self.host.time()
        for step in self.host.plan.steps:
            if step.kind in kinds and step.at <= time < step.end and target in ("", step.target):
                return step
        return None

    def silence_calls(self, step: Step) -> None:
        """Leaves a node's open calls unanswered (faults `silent-watch` and `unheard`)."""
        self.host.note_fault(step)
        for source in self.sources:
            for call in [call for call in source.waiting if call.node == step.target]:
                source.waiting.discard(call)
                if step.kind == "silent-watch":
                    self.host.journal.add(Hushed(now(), call.node, call.call))

    def begin(self, step: Step) -> None:
        self.host.note_fault(step)
        for source in self.sources:
            source.begin(step)
            if step.kind == "silence":
                source.waiting.clear()

    def end(self, step: Step) -> None:
        for source in self.sources:
            source.end(step)

    # ---- datagrams ------------------------------------------------------------------------------------

    def relay_datagram(self, target: int, data: bytes, sender: tuple[str, int]) -> None:
        """Forwards a datagram to its target, or to all other nodes."""
        source = self.peers.get(sender)
        if source is None or len(data) > LARGEST_DATAGRAM:
            return
        for address, number in self.peers.items():
            if number != source and target in (-1, number):
                self.forward(source, number, address, data)

    def link_cut(self, source: int, number: int) -> bool:
        """Whether an active link fault blocks datagrams from node `source` to node `number`."""
        time, links = self.host.time(), set()
        for step in self.host.plan.steps:
            if step.kind in LINK_FAULTS and step.at <= time < step.end:
                links.add((step.kind, step.target))
        one, other = node_name(source), node_name(number)
        return (
            ("mute", one) in links
            or ("deaf", other) in links
            or (("cut-oneway", one) in links and number == (source + 1) % self.host.scenario.nodes)
            or (("cut-group", one) in links) != (("cut-group", other) in links)
        )

    def forward(self, source: int, number: int, address: tuple[str, int], data: bytes) -> None:
        time = self.host.time()
        fate, delays = "passed", [self.rng.uniform(*DELAY)]
        for step in self.host.plan.steps:
            on = step.kind in DATAGRAM_FAULTS and step.at <= time < step.end
            if not on or self.rng.random() >= step.share:
                continue
            fate = step.kind.removeprefix("datagrams-")
            if fate == "late":
                delays = [LATE_DELAY] * len(delays)
            elif fate == "twice":
                delays *= 2
            elif fate == "swapped":
                delays = [self.rng.choice((0.0, SWAPPED_DELAY)) for _ in delays]
            else:
                delays = []
        if self.link_cut(source, number):
            fate, delays = "cut", []
        self.host.journal.add(Datagram(now(), node_name(source), node_name(number), len(data), fate))
        for delay in delays:
            self.host.loop.call_later(delay, self.relays[source].transport.sendto, data, address)

    async def finish(self) -> None:
        for server in self.servers:
            server.close()
