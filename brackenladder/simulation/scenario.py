"""What a simulated run consists of, and what it has brought about."""

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
    """What a run consists of, beside its faults. Times are seconds."""

    site: Site = Site()
    operator_settings: OperatorSettings = OperatorSettings()
    server_lifetimes: ServerLifetimes = ServerLifetimes()
    operators: int = 2
    servers: int = 2
    fault_seconds: float = 40.0  # for which faults come
    catch_up: float = 4.0  # from the end of a machine's trouble until it counts again
    quiet_seconds: float = 0.0  # after the faults, while operators go on
    recovery_seconds: float = 30.0  # longest time until all is well again
    late_turns: float = 0.0  # share of the event loop's turns that begin late, with more in them


@define
class Coverage:
    """What a run has brought about."""

    faults: Counter[str] = field(factory=Counter)
    faults_by_role: Counter[str] = field(factory=Counter)  # a kind of fault and the role that it met
    fault_count: int = 0
    terms: set[int] = field(factory=set)
