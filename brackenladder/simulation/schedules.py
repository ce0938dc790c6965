"""All profiles by name: those of control nodes and the one of the gateways' request exchange."""

from __future__ import annotations

from collections.abc import Callable

from brackenladder.simulation.exchange import run as exchange
from brackenladder.simulation.profiles import PROFILES
from brackenladder.simulation.run import RunResult, run

DESCRIPTIONS: dict[str, str] = {
    **{name: profile.description for name, profile in PROFILES.items()},
    exchange.NAME: exchange.DESCRIPTION,
}


def run_schedule(
    profile: str,
    seed: int,
    trace: Callable[[str], None] | None = None,
    skipped: frozenset[int] = frozenset(),
) -> RunResult:
    """Runs one schedule without the `skipped` faults. `trace` receives each log line."""
    if profile == exchange.NAME:
        return exchange.run_schedule(seed, trace, skipped)
    return run(PROFILES[profile], seed, trace=trace, skipped=skipped)
