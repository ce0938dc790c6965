"""Checks at the end of a run that its orders and reads are linearizable."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from brackenladder.catalog.orders import (
    BeginEvacuation,
    FinishEvacuation,
    ReplaceConfiguration,
    UpdateConfiguration,
)
from brackenladder.simulation.errors import Violation
from brackenladder.simulation.history import History, OrderRecord, Outcome, ReadRecord

NO_VERSION = 0


def check_history(history: History) -> None:
    """Raises the first `Violation` found in the orders and reads."""
    configurations = [order for order in history.orders if order.version]
    _check_winners(configurations)
    _check_sequence(configurations)
    _check_chain(configurations)
    _check_refusals(configurations)
    for order in configurations:
        if order.acknowledged and not order.valid:
            raise Violation("invalid-acknowledged", f"order {order.number}")
    _check_reads(history)


def _base(order: OrderRecord) -> int:
    assert isinstance(order.order, ReplaceConfiguration | UpdateConfiguration)
    return order.order.base


def _check_winners(orders: Iterable[OrderRecord]) -> None:
    """Only one order may be acknowledged per base version, and only one per new version."""
    for name, key in (("base", _base), ("version", lambda order: order.version)):
        winners: dict[int, OrderRecord] = {}
        for order in orders:
            if not order.acknowledged:
                continue
            other = winners.setdefault(key(order), order)
            if other is not order and other.order != order.order:
                detail = f"orders {other.number} and {order.number} on {name} {key(order)}"
                raise Violation("two-winners", detail)


def _check_sequence(orders: list[OrderRecord]) -> None:
    """Versions must increase in the order of acknowledgements, and each reply must name its own version."""
    newest = NO_VERSION
    ends = sorted(
        (order for order in orders if order.acknowledged and order.ended_at is not None),
        key=lambda order: order.ended_at or 0,
    )
    for order in ends:
        if order.reply_version != order.version:
            raise Violation(
                "wrong-answer", f"order {order.number} for {order.version}: {order.reply_version}"
            )
    position = 0
    for order in sorted(ends, key=lambda order: order.invoked_at):
        while position < len(ends) and (ends[position].ended_at or 0) < order.invoked_at:
            newest = max(newest, ends[position].version)
            position += 1
        if order.version <= newest:
            raise Violation("order-lost", f"order {order.number} for {order.version} after {newest}")


def _check_refusals(orders: list[OrderRecord]) -> None:
    """A refusal for a conflict must report a version other than the order's base, and none older than an
    order acknowledged before.
    """
    settled = sorted(
        (order.ended_at, order.version)
        for order in orders
        if order.acknowledged and order.ended_at is not None
    )
    newest, position = NO_VERSION, 0
    for order in sorted(orders, key=lambda order: order.invoked_at):
        while position < len(settled) and settled[position][0] < order.invoked_at:
            newest = max(newest, settled[position][1])
            position += 1
        if order.outcome is Outcome.CONFLICT and (
            order.reply_version < newest or order.reply_version == _base(order)
        ):
            detail = (
                f"order {order.number} on {_base(order)}: {order.reply_version} is current, after {newest}"
            )
            raise Violation("wrong-refusal", detail)
        if order.outcome is Outcome.INVALID and order.valid and _base(order) > newest:
            raise Violation("wrong-refusal", f"order {order.number} is invalid, on base {_base(order)}")


def _check_chain(orders: list[OrderRecord]) -> None:
    """Every acknowledged order must be based on a version that is or may be in force."""
    possible = {NO_VERSION} | {order.version for order in orders if order.valid and not order.refused}
    winners = {order.version: order for order in orders if order.acknowledged}
    for order in winners.values():
        base = _base(order)
        if base not in possible:
            raise Violation("broken-chain", f"order {order.number} on base {base}")
        between = [version for version in winners if base < version < order.version]
        if between:
            raise Violation("order-lost", f"order {order.number} on {base} steps over {between}")


def _check_reads(history: History) -> None:
    """A read must be at least as new as every order acknowledged and every read completed before it began."""
    settled = [
        (order.ended_at, order.version, f"order {order.number}")
        for order in history.orders
        if order.version and order.acknowledged and order.ended_at is not None
    ]
    settled += [(read.ended_at, read.version, f"a read by {read.answered_by}") for read in history.reads]
    settled.sort()
    newest, source, position = NO_VERSION, "", 0
    for read in sorted(history.reads, key=lambda read: read.invoked_at):
        while position < len(settled) and settled[position][0] < read.invoked_at:
            if settled[position][1] > newest:
                newest, source = settled[position][1], settled[position][2]
            position += 1
        if read.version < newest:
            raise Violation("stale-read", f"{read} after {newest} of {source}")
        _check_read_content(history, read)


def _check_read_content(history: History, read: ReadRecord) -> None:
    order = history.order(read.order)
    if order is None:
        return
    if order.refused or not order.valid:
        raise Violation("refused-in-force", f"{read}")
    if order.version != read.version:
        raise Violation("wrong-content", f"{read} of order {order.number} for {order.version}")


def check_overtaken_evacuations(history: History) -> None:
    """No evacuation order may take effect after an opposite one that was sent later and acknowledged."""
    for (zone, index), seen in history.evacuations.items():
        evacuated = seen.evacuated
        orders = [order for order in _evacuation_orders(history, zone) if order.invoked_at <= seen.at]
        opposite = [
            order
            for order in orders
            if order.acknowledged and order.applied_index < index and _begins(order) != evacuated
        ]
        possible = [
            order
            for order in orders
            if _begins(order) == evacuated and not any(_sent_after(later, order) for later in opposite)
        ]
        if not possible:
            detail = f"zone {zone} at {index}: {evacuated}, after {[order.number for order in opposite][-2:]}"
            raise Violation("evacuation-undone", detail)


def _evacuation_orders(history: History, zone: str) -> list[OrderRecord]:
    return [
        order
        for order in history.orders
        if isinstance(order.order, BeginEvacuation | FinishEvacuation) and order.order.zone == zone
    ]


def _begins(order: OrderRecord) -> bool:
    return isinstance(order.order, BeginEvacuation)


def _sent_after(later: OrderRecord, order: OrderRecord) -> bool:
    done = order.last_sent_before
    return done is not None and done < later.invoked_at


def check_evacuations(history: History, evacuated: frozenset[str]) -> None:
    """Checks the zones evacuated at the end against the orders, treating each zone as a register."""
    by_zone: defaultdict[str, list[OrderRecord]] = defaultdict(list)
    for order in history.orders:
        if isinstance(order.order, BeginEvacuation | FinishEvacuation):
            by_zone[order.order.zone].append(order)
    for zone, orders in by_zone.items():
        if (zone in evacuated) not in _final_states(orders):
            final_orders = [
                (order.number, type(order.order).__name__, order.outcome.name) for order in orders[-4:]
            ]
            raise Violation("evacuation", f"zone {zone} is in {sorted(evacuated)} against {final_orders}")


def _final_states(orders: list[OrderRecord]) -> set[bool]:
    """Returns the possible final states of a zone.

    Any order may have been the last one unless an acknowledged order began after it had ended.
    """
    acknowledged = [order for order in orders if order.acknowledged]
    last = [
        order
        for order in orders
        if not any(_follows(later, order) for later in acknowledged if later is not order)
    ]
    states = {_begins(order) for order in last}
    return states if acknowledged else states | {False}


def _follows(later: OrderRecord, order: OrderRecord) -> bool:
    return order.acknowledged and order.ended_at is not None and order.ended_at < later.invoked_at
