"""A scenario: what stands, what clients send, and what breaks when. TOML, read into frozen structs.

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

LARGEST_FILE = 1 << 20  # bytes of a scenario
MOST_REQUESTS = 2_000_000  # of one run: rate times length
MOST_NODES, MOST_SERVERS = 40, 200  # that are played by processes, on one machine

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
LINK_FAULTS = ("deaf", "mute", "cut-oneway", "cut-group")  # between nodes, at the relay
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
DONE_TO_PROCESSES = ("node-kill", "node-term", "node-move", "node-pause", "node-stall")  # by the runner
MODEL_FAULTS = ("vanish", "cut", "slow")  # that loopback sockets cannot play

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
    """A table of the file; a key that is not known is an error."""


class Choke(Table, frozen=True):
    """How a crowded server turns slow, and when it has rested (`fleet/choke.py`)."""

    at: Positive = 5.5  # times the root of its cores
    over_s: Positive = 2.0
    slower: Annotated[float, Meta(ge=1)] = 2.5
    rest_s: Positive = 3.5
    below: Annotated[float, Meta(gt=0, le=1)] = 0.32
    most_s: Positive = 30.0


class Servers(Table, frozen=True):
    """The servers at the start; they are spread over the zones in turn, and in each zone over pods."""

    count: Annotated[int, Meta(ge=1, le=10_000)] = 4
    pod: Annotated[int, Meta(ge=1)] = 2  # servers of one pod, which share the keys they have seen
    cores: Annotated[int, Meta(ge=1, le=64)] = 2
    speed: Span = (0.85, 1.1)  # of a core, against the standard one
    queue: Annotated[int, Meta(ge=0)] = 64  # requests that wait; beyond that they are turned away
    connections: Annotated[int, Meta(ge=1)] = 512
    idle_s: Positive = 5.0  # idle connections are closed after it
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.12
    warm_s: AtLeastZero = 24.0
    report_ms: Span = (330.0, 1500.0)  # how often load reports are refreshed
    processes: Annotated[int, Meta(ge=1, le=16)] = 1  # that host the servers
    falls: bool = False  # a cold one that is pushed over the rules' figures dies, and starts anew
    slow_queue: Annotated[int, Meta(ge=0)] = 0  # from so many waiting on it works slower; 0: it does not
    slow_speed: Annotated[float, Meta(gt=0, le=1)] = 0.5  # ...at this part of its speed, until none waits
    slots: Annotated[int, Meta(ge=0)] = (
        0  # requests in work, which free their core while they call; 0: none do
    )
    tier_work: tuple[Positive, ...] = ()  # of a class's work, in each tier; all of it in each if not given
    choke: Choke | None = None


class Discovery(Table, frozen=True):
    """The server list: `ask` (watches and fetches) or `push` (an agent that answers at once)."""

    how: Literal["ask", "push"] = "ask"
    late_ms: Span = (500.0, 1500.0)  # after a change, until discovery knows of it
    lines_per_s: AtLeastZero = 0.0  # that it can write, to all nodes together; 0: any number


class Network(Table, frozen=True):
    """One way between two machines, in the model."""

    near_ms: AtLeastZero = 0.1  # in one zone
    far_ms: AtLeastZero = 0.1  # between two


class Surge(Table, frozen=True):
    """A time in which more clients come, or fewer."""

    at_s: AtLeastZero
    for_s: Positive
    times: Positive


class Clients(Table, frozen=True):
    """Requests arrive at random times whatever the answers."""

    rate: Positive = 60.0  # first tries a second, at all nodes together
    retries: Annotated[int, Meta(ge=0, le=5)] = 2
    wait_ms: Span = (0.0, 200.0)  # before a retry, where the answer carries no advice
    budget: Span = (0.42, 1.0)  # a try's time, as a part of the class's deadline
    leave: Share = 0.0  # clients that leave before their time is over
    drop: Share = 0.02  # answers after which the client closes its connection
    body_bytes: Annotated[int, Meta(ge=0, le=65536)] = 200
    notice_s: AtLeastZero = 1.0  # until the front takes a dead node out
    hot: Share = 0.0  # of the requests that come to the first node, beside its equal part of the rest
    tenants: tuple[Positive, ...] = ()  # how often each comes, against the others; all alike if not given
    quotas: tuple[
        Positive, ...
    ] = ()  # requests a second of each; half as much again as its part if not given
    surges: tuple[Surge, ...] = ()


class Class(Table, frozen=True):
    """A class of request."""

    name: Name
    effect: Effect
    share: Positive = 1.0
    work_ms: Span = (20.0, 60.0)
    aim_ms: Positive = 1200.0
    deadline_ms: Positive = 3000.0
    group: Group = "pod"
    window_s: Positive = 10.0
    costly: Share = 0.0  # of its requests that take so many times their work
    costly_times: Positive = 10.0


CLASSES = (
    Class(name="view", effect="safe", share=0.46, work_ms=(82, 140), aim_ms=1200, deadline_ms=3000),
    Class(name="invite", effect="unsafe", share=0.34, work_ms=(90, 168), aim_ms=1500, deadline_ms=4000),
    Class(name="offer", effect="keyed", share=0.20, work_ms=(139, 258), aim_ms=2500, deadline_ms=6000),
)


class Limits(Table, frozen=True):
    """What a node is allowed."""

    attempts: Annotated[int, Meta(ge=1, le=9)] = 3
    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=16)] = 128
    connect_ms: Positive = 250.0
    event_us: AtLeastZero = 0.0  # of the node's one core, for each event, in the model
    line_us: AtLeastZero = 0.0  # and for each server that it knows, at each change of the list


class Rules(Table, frozen=True):
    """The rules' figures."""

    drain_ms: Positive = 250.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 3.0
    answer_ms: AtLeastZero = 20.0  # after the client's time in which an answer still counts
    slack_ms: Positive = 50.0  # on each limit of time, on sockets
    lag_ms: Positive = 50.0  # stand-ins that run later than this make the run not valid


class FaultTable(Table, frozen=True):
    """A fault. `pick`: how many targets, a share of them (under 1), or all."""

    kind: Kind
    at_s: AtLeastZero
    for_s: AtLeastZero = 1.0
    pick: Annotated[float, Meta(gt=0)] | Literal["all"] = 1
    zone: str = ""  # targets of this zone only
    jitter_s: AtLeastZero = 0.0  # the seed moves the time later by up to so much
    share: Share = 1.0  # of the answers, lines or datagrams that the fault touches
    count: Annotated[int, Meta(ge=1, le=2000)] = 200  # connections of silent clients
    waves: Annotated[int, Meta(ge=1, le=1000)] = 1  # its targets are struck in so many groups...
    spread_s: AtLeastZero = 0.0  # ...over so long
    drain_s: Positive = 2.0  # how long a server of a deploy drains before it ends


class Scenario(Table, frozen=True):
    """The whole file."""

    title: str
    about: str = ""
    length_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0
    transport: Transport = "http"  # of clients and servers; rpc: the nodes' own HTTP side gets nothing to do
    nodes: Annotated[int, Meta(ge=1, le=2_000)] = 2
    members: bool = False  # the nodes know one another ([members] in their operator files)
    recovery: Literal["", "peers", "store"] = ""  # they ask one another at a start, and keep their state
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
    tries: tuple[Rule, ...] = ("lost", "effect", "drain", "cold")  # what it puts to the test, in any run
    faults: tuple[FaultTable, ...] = ()


# Keys by table that only the model plays.
MODEL_KEYS = {
    "": ("tiers",),
    "network": ("near_ms", "far_ms"),
    "servers": ("falls", "slow_queue", "slow_speed", "slots", "tier_work", "choke"),
    "discovery": ("lines_per_s",),
    "limits": ("event_us", "line_us"),
}


def too_large(s: Scenario) -> str:
    """Why a scenario is for the model only, as `key: what`; empty if it is not."""
    if s.nodes > MOST_NODES:
        return f"nodes: {s.nodes}, and sockets take {MOST_NODES}: play it with --in model"
    if s.servers.count > MOST_SERVERS:
        return f"servers.count: {s.servers.count}, and sockets take {MOST_SERVERS}: play it with --in model"
    return ""


def on_sockets(s: Scenario) -> tuple[Scenario, list[str]]:
    """What sockets can play of a scenario, and the keys and faults that they pass over."""
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
    """The names of the scenarios that come with the package."""
    folder = files("brackenladder.rehearsal") / "scenarios"
    return sorted(f.name.removesuffix(".toml") for f in folder.iterdir() if f.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or a file's. A ScenarioError if it cannot be used."""
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
    """A scenario from TOML; `where` names the file in errors."""
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
    """msgspec's message with the key first."""
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
    """What no single key shows to be wrong, as `key: what`; empty if nothing is."""
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
            return f"{key}: a name stands twice"
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
