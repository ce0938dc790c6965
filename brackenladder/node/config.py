"""Reads and checks a node's configuration: environment variables and the configuration file."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from brackenladder.interface import ListKind, Settings
from brackenladder.membership.listing import Listing, read_listing
from brackenladder.settings import COLUMNS, FieldReader, parse_settings

Address = tuple[str, int]

OPERATOR_SOCKETS = 20  # file descriptors for the operator listener, its connections and its files
RESERVED_SOCKETS = 32  # descriptors for the event loop, the listener, UDP, discovery, the standard streams
BULK_SHARE = 0.43  # share of the memory limit that large bodies may use
HELD_SHARE = 8  # client requests, without large bodies, may use 1/8 of the memory limit
MIN_CONNECTIONS = 8


class ConfigError(Exception):
    """The configuration can't be used. The text is one line."""


@dataclass(frozen=True)
class Config:
    """A node's configuration."""

    name: str
    listen: Address
    discovery: Address
    filed_discovery: object  # `discovery` as the file has it; the environment may override it
    seed: int
    connections: int  # file descriptors for connections to clients and servers together
    most_held: int  # limit in bytes of client requests in memory
    most_bulk: int  # limit in bytes of large bodies in memory, which don't count for `most_held`
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: Listing | None
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: float  # seconds to establish a connection to a server
    idle_time: float  # seconds after which a server closes an idle connection
    inline_reports: bool
    report_names: tuple[tuple[str, str], ...]  # load reports: (name in the settings, internal name)
    door: Address | None = None  # the address of the operator listener
    passed: int | None = None  # the descriptor of an inherited listening socket
    folder: str | None = None  # private directory shared by the old and the new process of a restart


def parse_address(text: object, what: str) -> Address:
    """Parses `host:port`. Raises a ConfigError that names `what` if the text has another form."""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536:
            return host, int(port)
    raise ConfigError(f"{what}: not an address of the form host:port")


def load(environ: Mapping[str, str], last: Config | None = None) -> Config:
    """Reads the file named by `LB_CONFIG`. `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` override its values.

    At a reload, `last` is the current configuration. The environment still has the values from the start, so
    it must not override a change of the discovery address in the file: a changed address in the file is used,
    otherwise the current address stays.
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
    address_in_file = table.get("discovery")
    for key in ("name", "listen", "discovery", "operator"):
        table[key] = environ.get(f"LB_{key.upper()}") or table.get(key)
    if last is not None and address_in_file:
        unchanged = address_in_file == last.filed_discovery
        table["discovery"] = f"{last.discovery[0]}:{last.discovery[1]}" if unchanged else address_in_file
    try:
        return replace(
            parse_table(table),
            filed_discovery=address_in_file,
            passed=parse_descriptor(environ.get("LB_PASSED_SOCKET")),
            folder=environ.get("TMPDIR") or None,
        )
    except ValueError as e:
        raise ConfigError(str(e)) from None


def parse_descriptor(text: str | None) -> int | None:
    """Parses the number of an inherited file descriptor. Returns None for an empty text."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ConfigError("LB_PASSED_SOCKET: not a descriptor")
    return int(text)


def parse_table(table: dict[str, Any]) -> Config:
    """Builds a Config from the decoded file. Raises ValueError or ConfigError for missing or bad values."""
    name, seed = table.get("name"), table.get("seed", "0")
    if not isinstance(name, str):
        raise ConfigError("name: missing")
    try:
        number = int(seed, 16)
    except (TypeError, ValueError):
        raise ConfigError("seed: not a hexadecimal number") from None
    fields = FieldReader(table)
    process_limits = fields.nested("limits", optional=True)
    sockets, memory = process_limits.integer("sockets", 1024), process_limits.integer("memory_mb", 128)
    operator_address = table.get("operator")
    reserved = RESERVED_SOCKETS + (OPERATOR_SOCKETS if operator_address else 0)
    if sockets < reserved + MIN_CONNECTIONS:
        raise ConfigError(f"limits.sockets: at least {reserved + MIN_CONNECTIONS} are needed")
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
        door=parse_address(operator_address, "operator") if operator_address else None,
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
