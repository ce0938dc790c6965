"""All planted faults by name."""

from __future__ import annotations

from brackenladder.simulation.mutants.contact import CONTACT_MUTANTS
from brackenladder.simulation.mutants.exchange import EXCHANGE_MUTANTS
from brackenladder.simulation.mutants.mutant import Mutant
from brackenladder.simulation.mutants.orders import ORDERS_MUTANTS
from brackenladder.simulation.mutants.replicated_log import REPLICATED_LOG_MUTANTS
from brackenladder.simulation.mutants.snapshots import SNAPSHOTS_MUTANTS
from brackenladder.simulation.mutants.waits import WAITS_MUTANTS

MUTANTS: dict[str, Mutant] = {
    mutant.name: mutant
    for mutant in (
        *ORDERS_MUTANTS,
        *CONTACT_MUTANTS,
        *REPLICATED_LOG_MUTANTS,
        *SNAPSHOTS_MUTANTS,
        *WAITS_MUTANTS,
        *EXCHANGE_MUTANTS,
    )
}
