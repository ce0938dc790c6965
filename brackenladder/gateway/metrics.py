"""The gateway's metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from brackenladder.invariants import Invariant
from brackenladder.placement.decision_counters import DecisionCounters, DecisionSums

METRICS_PATH = "/-/metrics"
MICROSECONDS_PER_MILLISECOND = 1000
MICROSECONDS_PER_SECOND = 1e6


def metrics_text(
    by_service: Iterator[tuple[str, DecisionCounters]],
    promises: Iterator[str],
    violations: Mapping[Invariant, int],
) -> str:
    """The placement metrics of all services, the lines about promises, the violations of each invariant."""
    lines: list[str] = []
    for service, counters in by_service:
        for target, sums in counters.items():
            labels = f'service="{service}",target_ms="{target // MICROSECONDS_PER_MILLISECOND}"'
            lines += _lines(labels, sums)
    lines += promises
    for invariant in Invariant:
        count = violations.get(invariant, 0)
        lines.append(f'invariant_violations_total{{invariant="{invariant.value}"}} {count}')
    return "\n".join([*lines, ""])


def _lines(labels: str, sums: DecisionSums) -> Iterator[str]:
    yield f"placement_calls_total{{{labels}}} {sums.calls}"
    times = {
        "reading": sums.reading,
        "expected_queue": sums.expected_queue,
        "way": float(sums.round_trip),
        "first_event": float(sums.first_event),
    }
    for part, time in times.items():
        yield f'placement_seconds_total{{{labels},part="{part}"}} {time / MICROSECONDS_PER_SECOND:.3f}'
    for cause, count in sums.late.items():
        yield f'placement_late_total{{{labels},cause="{cause.value}"}} {count}'
