"""The state machine of the replicated log: the current configuration and the evacuated zones.

Every replica applies the same orders in the same sequence and must arrive at the same outcomes and state.
Nothing here may therefore depend on clocks, randomness, the process or the iteration order of a set.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgpack
from attrs import evolve, frozen
from returns.result import Failure

from brackenladder.catalog.accepted_orders import AcceptedOrders, order_digest
from brackenladder.catalog.configuration import Configuration, ConfigurationParser
from brackenladder.catalog.faults import ConfigurationFault, FaultKind
from brackenladder.catalog.orders import (
    Accepted,
    BeginEvacuation,
    ConfigurationOrder,
    Conflict,
    EvacuationOrder,
    FinishEvacuation,
    Invalid,
    Order,
    OrderDecodeError,
    Outcome,
    Outdated,
    ReplaceConfiguration,
    UpdateConfiguration,
    decode_order,
)
from brackenladder.catalog.strict_json import canonical, compact, read_object
from brackenladder.catalog.update import VERSION, Document, empty_document, merge_update

NO_VERSION = 0
UNFENCED_SNAPSHOT_FORMAT = 1  # written by earlier program versions; has no `zone_indexes`
SNAPSHOT_FORMAT = 2


class SnapshotError(ValueError):
    """The bytes are not a catalog snapshot in a format that this version of the program supports."""


@frozen
class _Change:
    """The new configuration that an order results in, in the forms that the state holds."""

    configuration: Configuration
    content: Document
    document: bytes
    digest: bytes


@frozen
class _State:
    """The state that results from the log, without the digests of accepted orders."""

    revision: int = 0
    configuration: Configuration | None = None
    content: Document | None = None  # `document` in decoded form; never modified in place
    document: bytes = b""
    evacuated: frozenset[str] = frozenset()
    # Log index of each zone's last accepted evacuation order, whether or not it changed anything; sorted.
    zone_indexes: tuple[tuple[str, int], ...] = ()

    @property
    def version(self) -> int:
        return self.configuration.version if self.configuration is not None else NO_VERSION


class Catalog:
    """Applies orders to the state. The values that it returns are never changed by later orders."""

    def __init__(self) -> None:
        self._state = _State()
        self._accepted = AcceptedOrders()
        self._parser = ConfigurationParser()

    @property
    def revision(self) -> int:
        """The log index of the last change (0: none)."""
        return self._state.revision

    @property
    def document(self) -> bytes:
        """The current configuration as JSON, as operators read it back; empty if there is none."""
        return self._state.document

    @property
    def configuration(self) -> Configuration | None:
        """The current configuration."""
        return self._state.configuration

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones whose servers get no requests."""
        return self._state.evacuated

    @property
    def zone_indexes(self) -> Mapping[str, int]:
        """The log index of the last accepted evacuation order for each zone that had one."""
        return dict(self._state.zone_indexes)

    @property
    def evacuation_index(self) -> int:
        """The log index of the last accepted evacuation order (0: none)."""
        return max(self.zone_indexes.values(), default=0)

    def check(self, order: Order) -> Outcome:
        """The outcome that `apply` would have for the order now; changes nothing."""
        if isinstance(order, BeginEvacuation | FinishEvacuation):
            return Outdated() if self._is_outdated(order) else Accepted(self._state.version)
        decision = self._decide(order)
        return Accepted(decision.configuration.version) if isinstance(decision, _Change) else decision

    def apply(self, index: int, data: bytes) -> Outcome:
        """Applies the order of a log entry. Each entry must be passed once, in the sequence of the log."""
        try:
            order = decode_order(data)
        except OrderDecodeError as error:
            return Invalid((ConfigurationFault("", FaultKind.MALFORMED, str(error)),))
        if isinstance(order, BeginEvacuation | FinishEvacuation):
            return self._evacuate(index, order)
        decision = self._decide(order)
        if isinstance(decision, _Change):
            return self._change(index, decision)
        return decision

    def _evacuate(self, index: int, order: EvacuationOrder) -> Outcome:
        if self._is_outdated(order):
            return Outdated()
        zones = self._evacuated_by(order)
        changed = zones != self._state.evacuated
        indexes = {**self.zone_indexes, order.zone: index}
        self._state = evolve(
            self._state,
            revision=index if changed else self._state.revision,
            evacuated=zones,
            zone_indexes=tuple(sorted(indexes.items())),
        )
        return Accepted(self._state.version)

    def _is_outdated(self, order: EvacuationOrder) -> bool:
        """Whether the order would undo one for its zone that was accepted after the order's `seen_index`.

        That one may have changed nothing, but it was acknowledged after the late order had been given up.
        """
        accepted_at = self.zone_indexes.get(order.zone, 0)
        return accepted_at > order.seen_index and self._evacuated_by(order) != self._state.evacuated

    def _evacuated_by(self, order: EvacuationOrder) -> frozenset[str]:
        zones = self._state.evacuated
        return zones | {order.zone} if isinstance(order, BeginEvacuation) else zones - {order.zone}

    def _change(self, index: int, change: _Change) -> Accepted:
        self._accepted.add(change.digest)
        self._state = _State(
            revision=index,
            configuration=change.configuration,
            content=change.content,
            document=change.document,
            evacuated=self._state.evacuated,
            zone_indexes=self._state.zone_indexes,
        )
        return Accepted(change.configuration.version)

    def _decide(self, order: ConfigurationOrder) -> _Change | Outcome:
        read = read_object(order.body)
        if isinstance(read, Failure):
            return Invalid((read.failure(),))
        body = read.unwrap()
        digest = order_digest(order, canonical(body))
        if digest in self._accepted:
            return Accepted(int(body[VERSION]))
        if order.base != self._state.version:
            return Conflict(self._state.version)
        return self._decide_new(order, body, digest)

    def _decide_new(self, order: ConfigurationOrder, body: Document, digest: bytes) -> _Change | Invalid:
        content = body
        if isinstance(order, UpdateConfiguration):
            merged = merge_update(self._state.content or empty_document(), body)
            if isinstance(merged, Failure):
                return Invalid(merged.failure())
            content = merged.unwrap()
        parsed = self._parser.parse(content)
        if isinstance(parsed, Failure):
            return Invalid(parsed.failure())
        configuration = parsed.unwrap()
        if configuration.version <= self._state.version:
            return Invalid((self._stale(configuration.version),))
        document = order.body if isinstance(order, ReplaceConfiguration) else compact(content)
        return _Change(configuration, content, document, digest)

    def _stale(self, version: int) -> ConfigurationFault:
        detail = f"{version} is not above the current version {self._state.version}"
        return ConfigurationFault(VERSION, FaultKind.STALE_VERSION, detail)

    def snapshot(self) -> bytes:
        """The whole state as bytes; equal catalogs have equal snapshots."""
        state = self._state
        zones = sorted(state.evacuated)
        fields = (
            SNAPSHOT_FORMAT,
            state.revision,
            state.document,
            zones,
            self._accepted.pack(),
            state.zone_indexes,
        )
        return msgpack.packb(fields)  # type: ignore[no-any-return]

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot. Raises SnapshotError for bad data and changes nothing."""
        try:
            fields = msgpack.unpackb(data)
        except (ValueError, RecursionError, msgpack.UnpackException) as error:
            raise SnapshotError(str(error)) from None
        match fields:
            case [version, int(revision), bytes(document), list(zones), bytes(accepted)] if (
                version == UNFENCED_SNAPSHOT_FORMAT
            ):
                zone_indexes: object = []
            case [version, int(revision), bytes(document), list(zones), bytes(accepted), zone_indexes] if (
                version == SNAPSHOT_FORMAT
            ):
                pass
            case _:
                raise SnapshotError("unknown snapshot format")
        state = _State(
            revision=revision,
            evacuated=frozenset(zones),
            zone_indexes=_read_zone_indexes(zone_indexes),
        )
        self._state = self._with_document(state, document)
        self._accepted = AcceptedOrders(accepted)

    def _with_document(self, state: _State, document: bytes) -> _State:
        """The state with the configuration that the document describes."""
        if not document:
            return state
        content = read_object(document)
        if isinstance(content, Failure):
            raise SnapshotError(str(content.failure()))
        parsed = self._parser.parse(content.unwrap())
        if isinstance(parsed, Failure):
            raise SnapshotError("; ".join(str(fault) for fault in parsed.failure()))
        return evolve(state, configuration=parsed.unwrap(), content=content.unwrap(), document=document)


def _read_zone_indexes(fields: object) -> tuple[tuple[str, int], ...]:
    match fields:
        case list(pairs) if all(isinstance(pair, list) for pair in pairs):
            return tuple(sorted(_zone_index(pair) for pair in pairs))
    raise SnapshotError("the zone indexes are not a list of lists")


def _zone_index(pair: list[object]) -> tuple[str, int]:
    match pair:
        case [str(zone), int(index)]:
            return (zone, index)
    raise SnapshotError("a zone index is not a zone name and a number")
