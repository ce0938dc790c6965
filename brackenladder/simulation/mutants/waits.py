"""Planted faults in waits, such as a dropped cancellation."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.simulation.mutants.mutant import Fault, Mutant, replaced


def _cancellation_dropped() -> Fault:
    async def wait_for_leader_change(self: ConsensusHost, timeout: float) -> None:
        with suppress(TimeoutError):
            await asyncio.wait_for(self._leader_changed.wait(), timeout)

    return replaced(ConsensusHost, wait_for_leader_change=wait_for_leader_change)


WAITS_MUTANTS = (
    Mutant(
        name="cancellation-dropped",
        description="a wait for a leader change loses a cancellation that comes in the turn in which it ends",
        profile="turns",
        rules=frozenset({"call-held"}),
        plant=_cancellation_dropped,
    ),
)
