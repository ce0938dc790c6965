"""Determines from the operators' orders which configurations may be in force at a given time."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from brackenladder.catalog.orders import ReplaceConfiguration, UpdateConfiguration
from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.simulation.checks import check_history
from brackenladder.simulation.errors import Violation
from brackenladder.simulation.history import History, OrderRecord, Outcome, ReadRecord
from brackenladder.soak.configuration import RouteRule, rules_of
from brackenladder.soak.events import Ordered, ReadBack

CONFIG = round(DEFAULT_BOUNDS.config_ms * 1000)  # bound of ConfigMs in microseconds
Rules = dict[tuple[str, str], RouteRule]


@frozen
class Version:
    """A configuration that was submitted and not refused."""

    version: int
    invoked: int
    superseded: int | None  # time when a later version was acknowledged
    rules: Rules


class Versions:
    """All configurations that may have taken effect."""

    def __init__(self, orders: Iterable[Ordered]) -> None:
        sent = [one for one in orders if one.valid and one.outcome not in ("CONFLICT", "INVALID")]
        acknowledged = [one for one in sent if one.outcome == Outcome.ACKNOWLEDGED.name]
        self._versions = [
            Version(
                one.version,
                one.invoked,
                min((other.ended for other in acknowledged if other.version > one.version), default=None),
                rules_of(one.whole),
            )
            for one in sent
        ]

    def rules(self, route: tuple[str, str], since: int, until: int, in_contact: bool) -> list[RouteRule]:
        """The rules, one for each configuration that may apply to a request between `since` and `until`.

        A machine in contact applies a version within ConfigMs of its acknowledgement; one out of contact may
        still use any older version.
        """
        return [
            one.rules[route]
            for one in self._versions
            if one.invoked <= until
            and not (in_contact and one.superseded is not None and one.superseded + CONFIG < since)
        ]


def first_order_violation(orders: list[Ordered], reads: list[ReadBack]) -> Violation | None:
    """The first violation among orders and reads, or None."""
    numbered = {one.number: one for one in orders}
    history = History()
    for number in range(1, max(numbered, default=0) + 1):
        history.orders.append(_record(number, numbered.get(number)))
    history.reads.extend(
        ReadRecord(one.operator, one.invoked, one.ended, one.version, one.number, one.node, one.ended)
        for one in reads
    )
    try:
        check_history(history)
    except Violation as violation:
        return violation
    return None


def _record(number: int, order: Ordered | None) -> OrderRecord:
    """Converts an order to the type that the simulation's checks take; version 0 if it was never recorded."""
    if order is None:
        return OrderRecord(number, "", ReplaceConfiguration(0, b""), 0, 0)
    kind = UpdateConfiguration if order.update else ReplaceConfiguration
    outcome = Outcome[order.outcome]
    return OrderRecord(
        number,
        order.operator,
        kind(order.base, order.body.encode()),
        order.version,
        order.invoked,
        valid=order.valid,
        outcome=outcome,
        ended_at=None if outcome is Outcome.UNCLEAR else order.ended,
        reply_version=order.told_version,
    )
