"""Planted faults in what a control node answers without contact with a majority."""

from __future__ import annotations

from brackenladder.consensus.replica import Replica
from brackenladder.control_plane.orders import OrderService
from brackenladder.control_plane.restart_gate import RestartGate
from brackenladder.control_plane.soft_state import IN_TOUCH_AGE, SoftState
from brackenladder.simulation.mutants.mutant import Fault, Mutant, replaced


def _acknowledged_without_contact() -> Fault:
    return replaced(SoftState, _in_touch=lambda self: True)


def _drain_not_confirmed() -> Fault:
    async def at_once(self: OrderService) -> bool:
        return self._host.contact_age() <= IN_TOUCH_AGE

    return replaced(OrderService, reaches_quorum=at_once)


def _catalog_sent_without_contact() -> Fault:
    return replaced(SoftState, _may_publish_catalog=lambda self, now: True)


def _remembered_sent_without_confirmation() -> Fault:
    return replaced(RestartGate, confirms=lambda self, now, members, revision: True)


def _contact_when_read() -> Fault:
    def note(self: Replica, message: object) -> None:
        self._contact_at = self._now

    return replaced(Replica, _note_contact=note)


CONTACT_MUTANTS = (
    Mutant(
        name="acknowledged-alone",
        description="servers are acknowledged without contact with a majority",
        profile="isolation",
        rules=frozenset({"ack-alone"}),
        plant=_acknowledged_without_contact,
    ),
    Mutant(
        name="drain-not-confirmed",
        description="a drain is acknowledged if the node had contact a moment ago",
        profile="isolation",
        rules=frozenset({"drain-untold"}),
        plant=_drain_not_confirmed,
    ),
    Mutant(
        name="catalog-alone",
        description="a node without contact sends its catalog to starting gateways",
        profile="isolation",
        rules=frozenset({"catalog-alone"}),
        plant=_catalog_sent_without_contact,
    ),
    Mutant(
        name="remembered-alone",
        description="a catalog from before a restart is sent before a majority confirms it",
        profile="isolation",
        rules=frozenset({"catalog-alone"}),
        plant=_remembered_sent_without_confirmation,
    ),
    Mutant(
        name="contact-when-read",
        description="a leader's message counts as contact from when it is read, not sent",
        profile="isolation",
        rules=frozenset({"ack-alone", "catalog-alone"}),
        plant=_contact_when_read,
    ),
)
