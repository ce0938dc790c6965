"""What a node is told at its start: the environment and the configuration file, checked."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from brackenladder.interface import ListKind, Settings
from brackenladder.membership.listing import Listing, read_listing
from brackenladder.settings import COLUMNS, FieldReader, parse_settings

Address = tuple[str, int]

DOOR_SOCKETS = 20  # the door's places, its listener, and files of its own
RESERVED_SOCKETS = 32  # the event loop's own, the listener, UDP, discovery, the standard streams
BULK_SHARE = 0.43  # of the memory may hold large bodies
HELD_SHARE = 8  # an eighth of the memory may hold clients' requests
LEAST_CONNECTIONS = 8


class ConfigError(Exception):
    """The node cannot start with what it was told; the text is one plain line."""


@dataclass(frozen=True)
class Config:
    """One node's configuration."""

    name: str
    listen: Address
    discovery: Address
    filed_discovery: object  # as it stands in the file, which the environment may override
    seed: int
    connections: int  # descriptors that clients and servers may use together
    most_held: int  # bytes of clients' requests that may be in memory
    most_bulk: int  # and of large bodies, counted apart
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: Listing | None
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: float  # seconds
    idle_time: float  # seconds after which a server closes an idle connection
    inline_reports: bool
    report_names: tuple[tuple[str, str], ...]  # a load report's values: the settings' word, the plain one
    door: Address | None = None  # where operators call
    passed: int | None = None  # the descriptor of a listening socket that was handed down
    folder: str | None = None  # private to the node's processes


def parse_address(text: object, what: str) -> Address:
    """`host:port` as a pair; a ConfigError that names `what` otherwise."""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536:
            return host, int(port)
    raise ConfigError(f"{what}: not an address of the form host:port")


def load(environ: Mapping[str, str], last: Config | None = None) -> Config:
    """Reads `LB_CONFIG`; `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` override what stands there.

    At a reload (`last` is the configuration in force) the environment is still that of the start: an
    address of discovery that has changed in the file holds, and one that has not leaves what is in force.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            table = json.loads(file.read())
    except OSError as e:
        raise ConfigError(f"LB_CONFIG: {e.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigError("LB_CONFIG: not JSON") from None
    if not isinstance(table, dict):
        raise ConfigError("LB_CONFIG: not an object")
    filed = table.get("discovery")
    for key in ("name", "listen", "discovery", "operator"):
        table[key] = environ.get(f"LB_{key.upper()}") or table.get(key)
    if last is not None and filed:
        same = filed == last.filed_discovery
        table["discovery"] = f"{last.discovery[0]}:{last.discovery[1]}" if same else filed
    try:
        return replace(
            parse_table(table),
            filed_discovery=filed,
            passed=parse_descriptor(environ.get("LB_PASSED_SOCKET")),
            folder=environ.get("TMPDIR") or None,
        )
    except ValueError as e:
        raise ConfigError(str(e)) from None


def parse_descriptor(text: str | None) -> int | None:
    """The number of a descriptor that was handed down, if one was."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ConfigError("LB_PASSED_SOCKET: not a descriptor")
    return int(text)


def parse_table(table: dict[str, Any]) -> Config:
    """A Config from the decoded file. What is missing or impossible is a ValueError or a ConfigError."""
    name, seed = table.get("name"), table.get("seed", "0")
    if not isinstance(name, str):
        raise ConfigError("name: missing")
    try:
        number = int(seed, 16)
    except (TypeError, ValueError):
        raise ConfigError("seed: not a hexadecimal number") from None
    fields = FieldReader(table)
    given = fields.nested("limits", optional=True)
    sockets, memory = given.integer("sockets", 1024), given.integer("memory_mb", 128)
    door = table.get("operator")
    reserved = RESERVED_SOCKETS + (DOOR_SOCKETS if door else 0)
    if sockets < reserved + LEAST_CONNECTIONS:
        raise ConfigError(f"limits.sockets: at least {reserved + LEAST_CONNECTIONS} are needed")
    peer_listen, peers_all = table.get("peer_listen"), table.get("peers_all")
    settings = fields.nested("settings")
    limits = settings.nested("policy_limits")
    report = settings.nested("report", optional=True)
    columns = [str(c) for c in report.items("columns")]
    known = table.get("known")
    return Config(
        name=name,
        listen=parse_address(table.get("listen"), "listen"),
        discovery=parse_address(table.get("discovery"), "discovery"),
        filed_discovery=table.get("discovery"),
        seed=number,
        connections=sockets - reserved,
        most_held=(memory << 20) // HELD_SHARE,
        most_bulk=int((memory << 20) * BULK_SHARE),
        peer_listen=parse_address(peer_listen, "peer_listen") if peer_listen else None,
        peers=tuple(parse_address(p, "peers") for p in fields.items("peers")),
        peers_all=parse_address(peers_all, "peers_all") if peers_all else None,
        known=read_listing(known, ListKind.CACHED) if known else None,
        door=parse_address(door, "operator") if door else None,
        settings=parse_settings(settings.table),
        classes=tuple(c.text("name") for c in settings.tables("classes")),
        tenants=tuple(t.text("name") for t in settings.tables("tenants", optional=True)),
        zones=tuple(str(z) for z in settings.items("dcs")),
        kinds=tuple(str(k) for k in settings.items("kinds")),
        connect_timeout=limits.integer("connect_timeout", 250_000) / 1e6,
        idle_time=limits.integer("conn_idle", 15_000_000) / 1e6,
        inline_reports=report.text("how", "off") == "inline",
        report_names=tuple((c, COLUMNS.get(c, c)) for c in columns),
    )
