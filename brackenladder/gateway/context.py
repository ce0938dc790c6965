"""The state that all requests of one gateway share."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from brackenladder.gateway.failures import FailureLog
from brackenladder.gateway.pools import ServicePools
from brackenladder.gateway.promises import PromiseLog
from brackenladder.gateway.start_gate import StartGate
from brackenladder.held_calls import HeldCalls


@define
class GatewayContext:
    """The state that all requests of a gateway share."""

    now: Callable[[], int]  # the monotonic clock, in microseconds
    pools: ServicePools
    failures: FailureLog
    start_gate: StartGate
    promises: PromiseLog
    held_calls: HeldCalls = field(factory=HeldCalls)
    draining: bool = False
    # If True, requests read from now on are refused: there is no time left to serve them.
    intake_closed: bool = False
