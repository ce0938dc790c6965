"""The parameters of a simulated run, and what it has covered."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen

from brackenladder.simulation.machines import Site
from brackenladder.simulation.operators import OperatorSettings
from brackenladder.simulation.servers import ServerLifetimes
from brackenladder.simulation.virtual_loop import MICROSECONDS

SECOND = MICROSECONDS


@frozen
class Scenario:
    """The parameters of a run except its faults. Times are in seconds."""

    site: Site = Site()
    operator_settings: OperatorSettings = OperatorSettings()
    server_lifetimes: ServerLifetimes = ServerLifetimes()
    operators: int = 2
    servers: int = 2
    fault_seconds: float = 40.0  # time for which faults are injected
    catch_up: float = 4.0  # time from a machine's last fault until it counts as healthy again
    quiet_seconds: float = 0.0  # time without faults after that, in which operators go on
    recovery_seconds: float = 30.0  # longest time until the system has recovered
    late_turns: float = 0.0  # fraction of event loop turns that begin late and run more callbacks


@define
class Coverage:
    """Counts what has happened in a run."""

    faults: Counter[str] = field(factory=Counter)
    faults_by_role: Counter[str] = field(factory=Counter)  # number of faults, by fault and role of the node
    fault_count: int = 0
    terms: set[int] = field(factory=set)
