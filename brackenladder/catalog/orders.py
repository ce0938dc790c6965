"""The operator's orders, their encoding in the replicated log, and their outcomes."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgpack
from attrs import field, frozen

from brackenladder.catalog.faults import Faults

MAX_BASE_VERSION = 2**63 - 1
UNFENCED = 2**62  # a `seen_index` above every log index, with which an order always takes effect


class OrderDecodeError(ValueError):
    """The bytes are not an order that this version of the program supports."""


class _Tag(IntEnum):
    REPLACE = 1
    UPDATE = 2
    BEGIN_EVACUATION = 3
    FINISH_EVACUATION = 4
    BEGIN_EVACUATION_FENCED = 5
    FINISH_EVACUATION_FENCED = 6


def _bounded(base: int) -> int:
    """Clamps a base version to the encodable range. A base outside of it conflicts with every version."""
    return min(max(base, -1), MAX_BASE_VERSION)


@frozen
class ReplaceConfiguration:
    """Replaces the whole configuration, if the current version is `base` (0: there is none yet)."""

    base: int = field(converter=_bounded)
    body: bytes


@frozen
class UpdateConfiguration:
    """Adds, replaces or removes items of the configuration, if the current version is `base`."""

    base: int = field(converter=_bounded)
    body: bytes


@frozen
class BeginEvacuation:
    """Stops all requests to the servers of a zone.

    It takes effect only if no order for the zone was accepted after the log index `seen_index`, which was
    committed before the operator wrote the order.
    """

    zone: str
    seen_index: int = UNFENCED


@frozen
class FinishEvacuation:
    """Allows requests to the servers of a zone again; `seen_index` as in `BeginEvacuation`."""

    zone: str
    seen_index: int = UNFENCED


ConfigurationOrder = ReplaceConfiguration | UpdateConfiguration
Order = ReplaceConfiguration | UpdateConfiguration | BeginEvacuation | FinishEvacuation


@frozen
class Accepted:
    """The order was applied now or earlier.

    `version` is that of the order's configuration; for an evacuation order it is the current version
    (0: there is no configuration).
    """

    version: int


@frozen
class Invalid:
    """An operator's order is rejected because of its content."""

    faults: Faults


@frozen
class Conflict:
    """The base version of the order is not the current version (0: there is no configuration)."""

    current: int


@frozen
class Outdated:
    """The order is rejected: one that it would undo was accepted after the order's `seen_index`.

    Otherwise, if an order is delayed, and the operator repeats it, has it acknowledged and then gives the
    opposite order, the delayed copy arrives last and undoes the opposite order.
    """


EvacuationOrder = BeginEvacuation | FinishEvacuation
Outcome = Accepted | Invalid | Conflict | Outdated


def encode_order(order: Order) -> bytes:
    """The bytes of an operator's order, as the data of a log entry."""
    return msgpack.packb(_fields(order), unicode_errors="replace")  # type: ignore[no-any-return]


def _fields(order: Order) -> tuple[int | str | bytes, ...]:
    match order:
        case ReplaceConfiguration(base, body):
            return (_Tag.REPLACE.value, base, body)
        case UpdateConfiguration(base, body):
            return (_Tag.UPDATE.value, base, body)
        case BeginEvacuation(zone, seen_index) if seen_index == UNFENCED:
            return (_Tag.BEGIN_EVACUATION.value, zone)
        case FinishEvacuation(zone, seen_index) if seen_index == UNFENCED:
            return (_Tag.FINISH_EVACUATION.value, zone)
        case BeginEvacuation(zone, seen_index):
            return (_Tag.BEGIN_EVACUATION_FENCED.value, zone, seen_index)
        case FinishEvacuation(zone, seen_index):
            return (_Tag.FINISH_EVACUATION_FENCED.value, zone, seen_index)


def decode_order(data: bytes) -> Order:
    """Decodes an order encoded by `encode_order`. Raises OrderDecodeError for anything else."""
    try:
        fields = msgpack.unpackb(data, use_list=False)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        raise OrderDecodeError(str(error)) from None
    return _order(fields)


def _order(fields: Any) -> Order:
    match fields:
        case (_Tag.REPLACE, int(base), bytes(body)):
            return ReplaceConfiguration(base, body)
        case (_Tag.UPDATE, int(base), bytes(body)):
            return UpdateConfiguration(base, body)
        case (_Tag.BEGIN_EVACUATION, str(zone)):
            return BeginEvacuation(zone)
        case (_Tag.FINISH_EVACUATION, str(zone)):
            return FinishEvacuation(zone)
        case (_Tag.BEGIN_EVACUATION_FENCED, str(zone), int(seen_index)):
            return BeginEvacuation(zone, seen_index)
        case (_Tag.FINISH_EVACUATION_FENCED, str(zone), int(seen_index)):
            return FinishEvacuation(zone, seen_index)
    raise OrderDecodeError("unknown kind of order")
