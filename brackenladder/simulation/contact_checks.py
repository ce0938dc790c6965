"""Checks at the end of a run that no node answered long after it had lost contact with a majority."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.simulation.errors import Violation
from brackenladder.simulation.history import History
from brackenladder.simulation.isolation import Isolation
from brackenladder.simulation.machines import ControlMachine
from brackenladder.simulation.scenario import SECOND

# longest time without a majority for which a node still answers orders and reads
MAX_ISOLATED_ANSWER_TIME = SECOND // 2
# longest time without a majority for which a node still acknowledges to servers or sends first catalogs
MAX_ISOLATED_NOTICE_TIME = 2 * SECOND


def check_contact(history: History, isolation: Isolation, machines: Sequence[ControlMachine]) -> None:
    """Checks that no node sent an answer, acknowledgement or first catalog while isolated for too long."""
    for order in history.orders:
        if order.answered_by:
            _check_answer(
                isolation, "order-alone", order.answered_by, order.answered_at, MAX_ISOLATED_ANSWER_TIME
            )
    for read in history.reads:
        _check_answer(isolation, "read-alone", read.answered_by, read.answered_at, MAX_ISOLATED_ANSWER_TIME)
    for ack in history.acks:
        _check_answer(isolation, "ack-alone", ack.answered_by, ack.answered_at, MAX_ISOLATED_NOTICE_TIME)
    for view in history.views:
        if view.first:
            _check_answer(
                isolation,
                "catalog-alone",
                _name_at(machines, view.told_by),
                view.at,
                MAX_ISOLATED_NOTICE_TIME,
            )


def _check_answer(isolation: Isolation, rule: str, name: str, moment: int, bound: int) -> None:
    isolated = isolation.isolated_for(moment, name)
    if isolated > bound:
        raise Violation(rule, f"{name} at {moment / SECOND:.3f} s, alone for {isolated / SECOND:.3f} s")


def _name_at(machines: Sequence[ControlMachine], address: str) -> str:
    names = [machine.name for machine in machines if machine.inner_address == address]
    return names[0] if names else ""
