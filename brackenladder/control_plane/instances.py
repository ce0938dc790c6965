"""Parsing of servers' heartbeats."""

from __future__ import annotations

import json

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.transport.address import parse_address
from brackenladder.transport.errors import AddressError

MICROSECONDS_PER_MILLISECOND = 1000
NOT_REPORTED = -1
MAX_NUMBER = 1 << 50  # exact in JSON, and fits 64 bits when converted to microseconds
STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


@frozen
class HeartbeatFault:
    """Names the invalid field in the body of a heartbeat."""

    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}"


def parse_heartbeat(server_id: str, body: bytes) -> Result[ServerRecord, HeartbeatFault]:
    """The server record that a heartbeat describes; unknown fields are ignored."""
    try:
        document = json.loads(body)
    except ValueError as error:
        return Failure(HeartbeatFault("body", str(error)))
    if not isinstance(document, dict):
        return Failure(HeartbeatFault("body", "not an object"))
    fields = _Fields(document)
    try:
        return Success(_record(server_id, fields))
    except _InvalidField as error:
        return Failure(error.fault)


def _record(server_id: str, fields: _Fields) -> ServerRecord:
    state = STATES.get(fields.text("State"))
    if state is None:
        raise _InvalidField("State", "neither ready nor draining")
    return ServerRecord(
        id=server_id,
        service=fields.text("Backend"),
        address=_checked_address(fields.text("Address")),
        zone=fields.text("Zone"),
        slots=fields.integer("Slots", 1),
        state=state,
        seq=fields.integer("Seq"),
        software=fields.text("Version", ""),
        cold_for=fields.milliseconds("ColdRemainingMs", 0),
        remaining=fields.milliseconds("RemainingMs", NOT_REPORTED),
        models=fields.names("Models"),
    )


def _checked_address(address: str) -> str:
    try:
        return str(parse_address(address))
    except AddressError:
        raise _InvalidField("Address", "not ip:port") from None


class _InvalidField(Exception):
    def __init__(self, field: str, problem: str) -> None:
        super().__init__(field, problem)
        self.fault = HeartbeatFault(field, problem)


class _Fields:
    """Typed access to a JSON object. A default makes a field optional."""

    def __init__(self, document: dict[str, object]) -> None:
        self._document = document

    def text(self, name: str, default: str | None = None) -> str:
        return _checked_text(name, self._document.get(name, default))

    def integer(self, name: str, default: int | None = None) -> int:
        value = _checked_number(name, self._document.get(name, default))
        if value != int(value):
            raise _InvalidField(name, "not a whole number")
        return int(value)

    def milliseconds(self, name: str, default: int) -> int:
        """A field in milliseconds, as microseconds; `default` if it is missing."""
        value = self._document.get(name)
        if value is None:
            return default
        return int(_checked_number(name, value) * MICROSECONDS_PER_MILLISECOND)

    def names(self, name: str) -> tuple[str, ...]:
        """The `Name` values in a list of objects."""
        value = self._document.get(name, [])
        if not isinstance(value, list):
            raise _InvalidField(name, "not a list")
        return tuple(
            _checked_text(name, item["Name"]) for item in value if isinstance(item, dict) and "Name" in item
        )


def _checked_number(name: str, value: object) -> int | float:
    """A number that can be encoded in messages to other nodes."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _InvalidField(name, "not a number")
    if not 0 <= value <= MAX_NUMBER:
        raise _InvalidField(name, "out of range")
    return value


def _checked_text(name: str, value: object) -> str:
    """A string that can be encoded in messages to other nodes."""
    if not isinstance(value, str):
        raise _InvalidField(name, "not a string")
    if not value.isascii() and any("\ud800" <= character <= "\udfff" for character in value):
        raise _InvalidField(name, "not Unicode")
    return value
