"""The operator's orders, as they stand in the replicated log, and what becomes of them."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgpack
from attrs import field, frozen

from brackenladder.catalog.faults import Faults

MAX_BASE_VERSION = 2**63 - 1
UNFENCED = 2**62  # revision: no evacuation is newer, so the order takes effect in any case


class OrderDecodeError(ValueError):
    """The bytes are no order that this version of the program knows."""


class _Tag(IntEnum):
    REPLACE = 1
    UPDATE = 2
    BEGIN_EVACUATION = 3
    FINISH_EVACUATION = 4
    BEGIN_EVACUATION_FENCED = 5
    FINISH_EVACUATION_FENCED = 6


def _bounded(base: int) -> int:
    """No configuration has a version outside of these bounds, so the order meets a conflict all the same."""
    return min(max(base, -1), MAX_BASE_VERSION)


@frozen
class ReplaceConfiguration:
    """A whole configuration, made on top of the version `base` (0: the first)."""

    base: int = field(converter=_bounded)
    body: bytes


@frozen
class UpdateConfiguration:
    """Items to add, replace or remove, made on top of the version `base`."""

    base: int = field(converter=_bounded)
    body: bytes


@frozen
class BeginEvacuation:
    """Nothing more may be sent to the servers of a zone.

    It takes effect only if the zone has not been evacuated, or taken back, after the revision `seen`. The
    operator who sent it was still there when that revision was the newest.
    """

    zone: str
    seen_revision: int = UNFENCED


@frozen
class FinishEvacuation:
    """Servers of a zone may be sent to again; `seen` as in `BeginEvacuation`."""

    zone: str
    seen_revision: int = UNFENCED


ConfigurationOrder = ReplaceConfiguration | UpdateConfiguration
Order = ReplaceConfiguration | UpdateConfiguration | BeginEvacuation | FinishEvacuation


@frozen
class Accepted:
    """The order is in force, or was taken before. `version` is that of the order's configuration; after an
    order that is not a configuration, the current one (0: there is none)."""

    version: int


@frozen
class Invalid:
    """The order is refused for what it says."""

    faults: Faults


@frozen
class Conflict:
    """The order was made on top of another version than the current one (0: there is none)."""

    current: int


@frozen
class Outdated:
    """The zone was evacuated, or taken back, after what the order's operator is known to have been there for.

    Failure prevented: an order that was held up, and has been sent again and acknowledged meanwhile, undoes
    what was ordered after it.
    """


EvacuationOrder = BeginEvacuation | FinishEvacuation
Outcome = Accepted | Invalid | Conflict | Outdated


def encode_order(order: Order) -> bytes:
    """The bytes of an order for the log."""
    return msgpack.packb(_fields(order), unicode_errors="replace")  # type: ignore[no-any-return]


def _fields(order: Order) -> tuple[int | str | bytes, ...]:
    match order:
        case ReplaceConfiguration(base, body):
            return (_Tag.REPLACE.value, base, body)
        case UpdateConfiguration(base, body):
            return (_Tag.UPDATE.value, base, body)
        case BeginEvacuation(zone, seen_revision) if seen_revision == UNFENCED:
            return (_Tag.BEGIN_EVACUATION.value, zone)
        case FinishEvacuation(zone, seen_revision) if seen_revision == UNFENCED:
            return (_Tag.FINISH_EVACUATION.value, zone)
        case BeginEvacuation(zone, seen_revision):
            return (_Tag.BEGIN_EVACUATION_FENCED.value, zone, seen_revision)
        case FinishEvacuation(zone, seen_revision):
            return (_Tag.FINISH_EVACUATION_FENCED.value, zone, seen_revision)


def decode_order(data: bytes) -> Order:
    """The order that `encode_order` wrote. Raises OrderDecodeError for anything else."""
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
        case (_Tag.BEGIN_EVACUATION_FENCED, str(zone), int(seen_revision)):
            return BeginEvacuation(zone, seen_revision)
        case (_Tag.FINISH_EVACUATION_FENCED, str(zone), int(seen_revision)):
            return FinishEvacuation(zone, seen_revision)
    raise OrderDecodeError("no known order")
