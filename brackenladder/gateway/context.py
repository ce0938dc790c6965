"""What the exchanges of one gateway share."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from brackenladder.gateway.failures import FailureLog
from brackenladder.gateway.pools import ServicePools
from brackenladder.gateway.start_gate import StartGate
from brackenladder.held_calls import HeldCalls


@define
class GatewayContext:
    """Shared by all requests of a gateway."""

    now: Callable[[], int]  # microseconds of the monotonic clock
    pools: ServicePools
    failures: FailureLog
    start_gate: StartGate
    held_calls: HeldCalls = field(factory=HeldCalls)
    draining: bool = False
    intake_closed: bool = False  # what is read from now on can't be served to its end
