"""Baseline policies to compare `policy/` with, by the same interface; they never repeat unsafe calls."""

from __future__ import annotations

from collections.abc import Callable

from brackenladder.fleet.rivals.base import BaselinePolicy
from brackenladder.fleet.rivals.envoy_like import EnvoyLike
from brackenladder.fleet.rivals.oracle import Oracle
from brackenladder.fleet.rivals.simple import LeastOfTwo, RandomChoice, RoundRobin
from brackenladder.fleet.rivals.stale_oracle import StaleOracle

BASELINE_POLICIES: dict[str, Callable[..., BaselinePolicy]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-of-two": LeastOfTwo,
    "cluster": EnvoyLike,
    "oracle": Oracle,
    "late": StaleOracle,
}
