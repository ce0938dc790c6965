"""Parsing and validation of the server list in discovery's format."""

from __future__ import annotations

from dataclasses import dataclass

from brackenladder.interface import ListKind, State
from brackenladder.settings import FieldReader

STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


@dataclass(frozen=True)
class Line:
    """One server in a list from discovery."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: State
    weight: float
    started: int  # Unix time in microseconds; 0: long ago


@dataclass(frozen=True)
class Listing:
    """A full server list or changes to one, with the resulting version."""

    kind: ListKind
    version: int
    lines: tuple[Line, ...]


def read_listing(table: object, kind: ListKind | None = None) -> Listing:
    """Parses a listing from decoded JSON. Without `kind` it has the kind that it states itself.

    Any defect raises a ValueError for the whole listing, and the caller keeps its current list. Skipping one
    bad line of a full list would remove a running server.
    """
    if not isinstance(table, dict):
        raise ValueError("list: not an object")
    fields = FieldReader(table, "list.")
    if kind is None:
        kind = ListKind.FULL if fields.flag("full") else ListKind.CHANGES
    lines = tuple(read_line(line) for line in fields.tables("servers"))
    return Listing(kind, fields.integer("version"), lines)


def read_line(line: FieldReader) -> Line:
    """Parses one server. An unknown state counts as draining, so that it gets no new requests."""
    host, _, port = line.text("addr").rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise line.invalid("addr")
    return Line(
        id=line.text("id"),
        host=host.strip("[]"),
        port=int(port),
        zone=line.text("zone", ""),
        kind=line.text("kind", ""),
        cell=line.integer("cell", 0),
        state=STATES.get(line.text("state"), State.DRAINING),
        weight=line.number("weight", 1.0),
        started=line.integer("started_ms", 0) * 1000,
    )
