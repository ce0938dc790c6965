"""Scenario files: servers, network, clients, limits and scheduled faults. TOML, read into frozen structs.

Times in the file are seconds or, where the key says so, milliseconds.
"""

from __future__ import annotations

import re
import tomllib
from importlib.resources import files
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

LARGEST_FILE = 1 << 20  # size limit of a scenario file, in bytes
MOST_REQUESTS = 2_000_000  # limit of the requests in one run, computed as rate times length
MOST_NODES, MOST_SERVERS = 40, 200  # limits of a run with real processes on one machine

Effect = Literal["safe", "keyed", "unsafe"]
Group = Literal["all", "zone", "pod"]
Transport = Literal["http", "rpc"]
Rule = Literal["lost", "effect", "drain", "cold"]
Span = Annotated[tuple[Annotated[float, Meta(ge=0)], Annotated[float, Meta(ge=0)]], Meta()]  # from, to
Positive = Annotated[float, Meta(gt=0)]
AtLeastZero = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,31}$")]

ANSWER_FAULTS = (
    "stall",
    "stall-head",
    "stall-body",
    "drip",
    "reset-late",
    "reset-answer",
    "reject",
    "error",
)
DISCOVERY_FAULTS = ("half-list", "old-list", "silence")
DATAGRAM_FAULTS = ("datagrams-late", "datagrams-twice", "datagrams-swapped", "datagrams-lost")
# Faults of the datagrams between nodes, applied by the relay.
LINK_FAULTS = ("deaf", "mute", "cut-oneway", "cut-group")
NODE_FAULTS = (
    "node-kill",
    "node-term",
    "node-move",
    "node-pause",
    "node-stall",
    "silent-clients",
    "unheard",
    "silent-watch",
    *LINK_FAULTS,
)
PROCESS_FAULTS = ("node-kill", "node-term", "node-move", "node-pause", "node-stall")  # applied by the runner
MODEL_FAULTS = ("vanish", "cut", "slow")  # cannot be produced on loopback sockets

Kind = Literal[
    "stall",
    "stall-head",
    "stall-body",
    "drip",
    "reset-early",
    "reset-late",
    "reset-answer",
    "reject",
    "error",
    "closed",
    "backlog",
    "restart",
    "replace",
    "drain",
    "drain-answering",
    "deploy",
    "half-list",
    "old-list",
    "silence",
    "datagrams-late",
    "datagrams-twice",
    "datagrams-swapped",
    "datagrams-lost",
    "node-kill",
    "node-term",
    "node-move",
    "silent-clients",
    "unheard",
    "silent-watch",
    "node-pause",
    "node-stall",
    "deaf",
    "mute",
    "cut-oneway",
    "cut-group",
    "vanish",
    "cut",
    "slow",
]


class ScenarioError(Exception):
    """A scenario that cannot be used; the text is one line: file, key, what is wrong."""


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; an unknown key is an error."""


class Choke(Table, frozen=True):
    """When an overloaded server becomes slow, and when it recovers (see `fleet/choke.py`)."""

    at: Positive = 5.5  # requests in work, as a multiple of the square root of the cores
    over_s: Positive = 2.0
    slower: Annotated[float, Meta(ge=1)] = 2.5
    rest_s: Positive = 3.5
    below: Annotated[float, Meta(gt=0, le=1)] = 0.32
    most_s: Positive = 30.0


class Servers(Table, frozen=True):
    """The servers at the start; assigned to the zones in turn, and in each zone to pods."""

    count: Annotated[int, Meta(ge=1, le=10_000)] = 4
    pod: Annotated[int, Meta(ge=1)] = 2  # servers in a pod, which share the idempotency keys seen
    cores: Annotated[int, Meta(ge=1, le=64)] = 2
    speed: Span = (0.85, 1.1)  # range of a core's speed, relative to the standard core
    queue: Annotated[int, Meta(ge=0)] = 64  # requests that can wait; more are rejected
    connections: Annotated[int, Meta(ge=1)] = 512
    idle_s: Positive = 5.0  # idle time after which a server closes a connection
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.12
    warm_s: AtLeastZero = 24.0
    report_ms: Span = (330.0, 1500.0)  # interval at which load reports are refreshed
    processes: Annotated[int, Meta(ge=1, le=16)] = 1  # stand-in processes that host the servers
    falls: bool = False  # a cold server that is overloaded beyond `rules` crashes and starts again
    slow_queue: Annotated[int, Meta(ge=0)] = 0  # number of waiting requests that slows a server; 0: none
    slow_speed: Annotated[float, Meta(gt=0, le=1)] = 0.5  # factor on the speed, until no request waits
    slots: Annotated[int, Meta(ge=0)] = (
        0  # requests in work, which release their core while calling the next tier; 0: they hold it
    )
    tier_work: tuple[Positive, ...] = ()  # share of a class's work in each tier; empty: all of it in each
    choke: Choke | None = None


class Discovery(Table, frozen=True):
    """Service discovery: `ask` (nodes fetch and watch the list) or `push` (an agent that answers at once)."""

    how: Literal["ask", "push"] = "ask"
    late_ms: Span = (500.0, 1500.0)  # time from a change of a server until discovery knows of it
    lines_per_s: AtLeastZero = 0.0  # server lines that it can send to all nodes together; 0: unlimited


class Network(Table, frozen=True):
    """One-way delay between two machines; used by the simulation model only."""

    near_ms: AtLeastZero = 0.1  # delay within a zone
    far_ms: AtLeastZero = 0.1  # delay between zones


class Surge(Table, frozen=True):
    """An interval in which the request rate is multiplied by `times`."""

    at_s: AtLeastZero
    for_s: Positive
    times: Positive


class Clients(Table, frozen=True):
    """The clients; requests arrive at random times, independent of the answers (open loop)."""

    rate: Positive = 60.0  # first tries a second, over all nodes
    retries: Annotated[int, Meta(ge=0, le=5)] = 2
    wait_ms: Span = (0.0, 200.0)  # pause before a retry, if the answer has no Retry-After
    budget: Span = (0.42, 1.0)  # time for a try, as a share of the class's deadline
    leave: Share = 0.0  # share of clients that disconnect before their time is over
    drop: Share = 0.02  # share of answers after which the client closes the connection
    body_bytes: Annotated[int, Meta(ge=0, le=65536)] = 200
    notice_s: AtLeastZero = 1.0  # time from a node's end until clients stop using it
    hot: Share = 0.0  # share of requests that all go to the first node; the rest is spread evenly
    tenants: tuple[Positive, ...] = ()  # weight of each tenant's requests; empty: equal
    quotas: tuple[
        Positive, ...
    ] = ()  # requests a second for each tenant; empty: 1.5 times an equal share of `rate`
    surges: tuple[Surge, ...] = ()


class Class(Table, frozen=True):
    """A request class; `aim_ms` is its latency target."""

    name: Name
    effect: Effect
    share: Positive = 1.0
    work_ms: Span = (20.0, 60.0)
    aim_ms: Positive = 1200.0
    deadline_ms: Positive = 3000.0
    group: Group = "pod"
    window_s: Positive = 10.0
    costly: Share = 0.0  # share of its requests whose work is multiplied by `costly_times`
    costly_times: Positive = 10.0


CLASSES = (
    Class(name="view", effect="safe", share=0.46, work_ms=(82, 140), aim_ms=1200, deadline_ms=3000),
    Class(name="invite", effect="unsafe", share=0.34, work_ms=(90, 168), aim_ms=1500, deadline_ms=4000),
    Class(name="offer", effect="keyed", share=0.20, work_ms=(139, 258), aim_ms=2500, deadline_ms=6000),
)


class Limits(Table, frozen=True):
    """Limits of a node: attempts per request, sockets, memory, connect time and processor time."""

    attempts: Annotated[int, Meta(ge=1, le=9)] = 3
    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=16)] = 128
    connect_ms: Positive = 250.0
    event_us: AtLeastZero = 0.0  # core time of a node for each event; simulation model only
    line_us: AtLeastZero = 0.0  # additional core time for each known server at each change of the list


class Rules(Table, frozen=True):
    """Limits that the checker and the nodes use."""

    drain_ms: Positive = 250.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 3.0
    answer_ms: AtLeastZero = 20.0  # an answer this long after the client's deadline counts as in time
    slack_ms: Positive = 50.0  # added to each time limit, for delays on sockets
    lag_ms: Positive = 50.0  # a stand-in that runs later than this makes the run not valid


class FaultTable(Table, frozen=True):
    """A fault. `pick`: the number of targets, a share of them (below 1), or "all"."""

    kind: Kind
    at_s: AtLeastZero
    for_s: AtLeastZero = 1.0
    pick: Annotated[float, Meta(gt=0)] | Literal["all"] = 1
    zone: str = ""  # only targets of this zone
    jitter_s: AtLeastZero = 0.0  # largest random delay of the fault
    share: Share = 1.0  # share of the answers, lines or datagrams that the fault affects
    count: Annotated[int, Meta(ge=1, le=2000)] = 200  # connections that silent clients open
    waves: Annotated[int, Meta(ge=1, le=1000)] = 1  # groups that are hit one after another
    spread_s: AtLeastZero = 0.0  # time over which the waves are spread
    drain_s: Positive = 2.0  # in a deploy, how long a server drains before it stops


class Scenario(Table, frozen=True):
    """A scenario file: nodes, servers, clients, faults and limits of a rehearsal."""

    title: str
    about: str = ""
    length_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0
    transport: Transport = "http"  # rpc: MessagePack-RPC; the nodes' HTTP port is then unused
    nodes: Annotated[int, Meta(ge=1, le=2_000)] = 2
    members: bool = False  # the nodes run the membership protocol ([members] in their operator files)
    recovery: Literal["", "peers", "store"] = ""  # how nodes recover state at a start; store: also from disk
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=8)] = ("east", "west")
    tenants: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("acme", "brook")
    tiers: Annotated[int, Meta(ge=1, le=4)] = 1  # a server holds its core while it calls the next tier
    network: Network = Network()
    servers: Servers = Servers()
    discovery: Discovery = Discovery()
    clients: Clients = Clients()
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)] = CLASSES
    limits: Limits = Limits()
    rules: Rules = Rules()
    tries: tuple[Rule, ...] = ("lost", "effect", "drain", "cold")  # the rules that every run exercises
    faults: tuple[FaultTable, ...] = ()


# Keys by table that only the simulation model supports.
MODEL_KEYS = {
    "": ("tiers",),
    "network": ("near_ms", "far_ms"),
    "servers": ("falls", "slow_queue", "slow_speed", "slots", "tier_work", "choke"),
    "discovery": ("lines_per_s",),
    "limits": ("event_us", "line_us"),
}


def too_large(s: Scenario) -> str:
    """Why a scenario can only run in the simulation model, as `key: reason`; empty if sockets can run it."""
    if s.nodes > MOST_NODES:
        return f"nodes: {s.nodes}, but sockets allow {MOST_NODES}: run it with --in model"
    if s.servers.count > MOST_SERVERS:
        return f"servers.count: {s.servers.count}, but sockets allow {MOST_SERVERS}: run it with --in model"
    return ""


def on_sockets(s: Scenario) -> tuple[Scenario, list[str]]:
    """The scenario without what cannot run on sockets, and the names of the keys and faults removed."""
    plain, named = s, []
    defaults = Scenario(title="")
    for table, keys in MODEL_KEYS.items():
        mine = getattr(s, table) if table else s
        usual = getattr(defaults, table) if table else defaults
        given = [key for key in keys if getattr(mine, key) != getattr(usual, key)]
        if not given:
            continue
        named += [f"{table}.{key}".lstrip(".") for key in given]
        mine = msgspec.structs.replace(mine, **{key: getattr(usual, key) for key in given})
        plain = msgspec.structs.replace(plain, **{table: mine}) if table else mine
    kinds = sorted({fault.kind for fault in s.faults} & set(MODEL_FAULTS))
    named += [f"faults of kind '{kind}'" for kind in kinds]
    faults = tuple(fault for fault in s.faults if fault.kind not in MODEL_FAULTS)
    return msgspec.structs.replace(plain, faults=faults), named


def shipped() -> list[str]:
    """The names of the scenarios in the package."""
    folder = files("brackenladder.rehearsal") / "scenarios"
    return sorted(f.name.removesuffix(".toml") for f in folder.iterdir() if f.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """Loads a packaged scenario by name, or a file. Raises ScenarioError if it is not usable."""
    if name in shipped():
        where = f"{name}.toml"
        data = (files("brackenladder.rehearsal") / "scenarios" / where).read_bytes()
    else:
        if "/" not in name and not name.endswith(".toml"):
            raise ScenarioError(f"{name}: no scenario of this name; --list names them")
        where = name
        try:
            with open(Path(name), "rb") as file:
                data = file.read(LARGEST_FILE + 1)
        except OSError as e:
            raise ScenarioError(f"{name}: {e.strerror}") from None
        if len(data) > LARGEST_FILE:
            raise ScenarioError(f"{name}: over {LARGEST_FILE} bytes")
    return parse(data, where)


def parse(data: bytes, where: str) -> Scenario:
    """Parses a scenario; `where` names the file in error messages."""
    try:
        table = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as e:
        raise ScenarioError(f"{where}: not TOML: {e}") from None
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as e:
        raise ScenarioError(f"{where}: {format_validation_error(str(e))}") from None
    wrong = find_contradiction(scenario)
    if wrong:
        raise ScenarioError(f"{where}: {wrong}")
    return scenario


def format_validation_error(text: str) -> str:
    """Rewrites a message of msgspec so that it begins with the key."""
    what, _, place = text.partition(" - at `")
    key = re.sub(r"^\$\.?", "", place.rstrip("`"))
    unknown = re.fullmatch(r"Object contains unknown field `(.*)`", what)
    if unknown:
        return f"{key}.{unknown[1]}: not a known key".lstrip(".")
    missing = re.fullmatch(r"Object missing required field `(.*)`", what)
    if missing:
        return f"{key}.{missing[1]}: missing".lstrip(".")
    return f"{key}: {what}" if key else what


def find_contradiction(s: Scenario) -> str:
    """The first error that msgspec's checks of single keys miss, as `key: reason`; empty if there is none."""
    spans = {
        "servers.speed": s.servers.speed,
        "servers.report_ms": s.servers.report_ms,
        "discovery.late_ms": s.discovery.late_ms,
        "clients.wait_ms": s.clients.wait_ms,
        "clients.budget": s.clients.budget,
    } | {f"classes[{i}].work_ms": c.work_ms for i, c in enumerate(s.classes)}
    for key, (low, high) in spans.items():
        if low > high:
            return f"{key}: the first is above the second"
    if s.servers.speed[0] <= 0:
        return "servers.speed: must be above 0"
    if s.clients.budget[0] <= 0 or s.clients.budget[1] > 1:
        return "clients.budget: a part of the deadline, above 0 and at most 1"
    for key, given in (("tenants", s.clients.tenants), ("quotas", s.clients.quotas)):
        if len(given) not in (0, len(s.tenants)):
            return f"clients.{key}: {len(given)} figures for {len(s.tenants)} tenants"
    if s.recovery and not s.members:
        return "recovery: needs members = true"
    if len(s.servers.tier_work) not in (0, s.tiers):
        return f"servers.tier_work: {len(s.servers.tier_work)} figures for {s.tiers} tiers"
    most = s.clients.rate
    for i, surge in enumerate(s.clients.surges):
        if surge.at_s >= s.length_s:
            return f"clients.surges[{i}].at_s: not before the end at {s.length_s:g} s"
        most *= max(1.0, surge.times)
    if most * s.length_s > MOST_REQUESTS:
        return f"clients.rate: over {MOST_REQUESTS} requests in the run"
    for key, names in (
        ("classes", [c.name for c in s.classes]),
        ("zones", list(s.zones)),
        ("tenants", list(s.tenants)),
    ):
        if len(set(names)) < len(names):
            return f"{key}: duplicate name"
    for i, fault in enumerate(s.faults):
        if s.transport == "rpc" and fault.kind in DATAGRAM_FAULTS:
            return f"faults[{i}].kind: there are no datagrams between nodes over rpc"
    if "ready" in [c.name for c in s.classes]:
        return "classes: 'ready' is the path of the node's own check"
    for i, fault in enumerate(s.faults):
        if fault.zone and fault.zone not in s.zones:
            return f"faults[{i}].zone: no zone '{fault.zone}'"
        if fault.at_s + fault.jitter_s + fault.spread_s >= s.length_s:
            return f"faults[{i}].at_s: not before the end at {s.length_s:g} s"
        if fault.pick != "all" and fault.pick > 1 and fault.pick != int(fault.pick):
            return f"faults[{i}].pick: a whole number, a share under 1, or 'all'"
    return ""
