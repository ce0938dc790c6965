"""Planted faults in snapshots and in the updates that gateways apply."""

from __future__ import annotations

from typing import Any

from brackenladder.consensus.command_parts import CommandAssembler
from brackenladder.consensus.leadership import Leadership
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.simulation.mutants.mutant import LOST_ORDER_RULES, Fault, Mutant, replaced


def _transfer_restarted() -> Fault:
    send_chunks = Leadership._send_chunks

    def restart_transfer(self: Leadership, now: int, replica_id: str, transfer: Any) -> None:
        snapshot = self._core.log.snapshot
        if snapshot is not None and snapshot.index > transfer.snapshot.index:
            self._begin_snapshot(now, self._progress[replica_id])
            transfer = self._progress[replica_id].transfer
        send_chunks(self, now, replica_id, transfer)

    return replaced(Leadership, _send_chunks=restart_transfer, oldest_transfer=lambda self: None)


def _snapshot_within_a_command() -> Fault:
    return replaced(CommandAssembler, between_commands=True)


def _older_revision_taken() -> Fault:
    catalog = Subscriber._handle_catalog

    def accept_older_catalog(self: Subscriber, now: int, source: Any, message: Any) -> Any:
        if message.revision < self.view.revision and message.document:
            self.view.revision = self._reader._revision = 0
        return catalog(self, now, source, message)

    return replaced(Subscriber, _handle_catalog=accept_older_catalog)


SNAPSHOTS_MUTANTS = (
    Mutant(
        name="transfer-begun-anew",
        description="each new snapshot restarts the transfer in progress",
        profile="snapshots",
        rules=frozenset({"behind", "no-recovery"}),
        plant=_transfer_restarted,
    ),
    Mutant(
        name="snapshot-within-command",
        description="a snapshot is taken between the parts of a large order",
        profile="large",
        rules=LOST_ORDER_RULES | {"no-recovery", "behind"},
        plant=_snapshot_within_a_command,
    ),
    Mutant(
        name="older-revision",
        description="a gateway accepts an older catalog after a reconnect",
        profile="isolation",
        rules=frozenset({"gateway-back", "config-late"}),
        plant=_older_revision_taken,
    ),
)
