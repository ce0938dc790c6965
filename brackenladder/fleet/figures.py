"""What a run comes to, in figures, from its events alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import numpy as np

from brackenladder.rehearsal.checker import Report
from brackenladder.rehearsal.events import Answered, Arrived, Sent
from brackenladder.rehearsal.runner import Result
from brackenladder.rehearsal.scenario import Scenario

# Name: what it is, and whether more is better.
FIGURES: Mapping[str, tuple[str, bool]] = {
    "goodput": ("share of first tries answered within their class's aim, by whichever try", True),
    "served": ("share of first tries answered at all", True),
    "refused": ("share of all tries that were refused", False),
    "failed": ("share of all tries that failed", False),
    "tries": ("tries for each first try", False),
    "attempts": ("attempts at servers for each first try", False),
    "p50_ms": ("median time of a served first try, from its arrival", False),
    "p99_ms": ("99th percentile of the same", False),
    "worst_second": ("goodput of the second with the least, of those with 20 first tries or more", True),
    "spread": ("work of the busiest server over the mean, by what it can do", False),
    "broken": ("breaks of rules", False),
}
LEAST_TRIES = 20  # in a second, for it to count as the worst


def figures_of(scenario: Scenario, result: Result, report: Report) -> dict[str, float]:
    """All of `FIGURES`; a share of nothing is 0."""
    sent: set[str] = set()
    answers: dict[str, Answered] = {}
    work: Counter[str] = Counter()
    arrived = 0
    for event in result.events:
        if isinstance(event, Sent):
            sent.add(event.id)
        elif isinstance(event, Answered):
            answers[event.id] = event
        elif isinstance(event, Arrived):
            arrived += 1
            work[event.server] += event.work
    first = len(result.plan.requests)
    times, seconds, good = [], Counter[int](), Counter[int]()
    for plan in result.plan.requests:
        seconds[plan.at // 1_000_000] += 1
        for number in range(scenario.clients.retries + 1):
            answer = answers.get(f"{(int(plan.id, 16) + number) & 0xFFFFFFFFFFFFFFFF:016x}")
            if answer is None or answer.status != 200:
                continue
            time = answer.t - result.begin - plan.at
            times.append(time)
            good[plan.at // 1_000_000] += time <= scenario.classes[plan.klass].aim_ms * 1000
            break
    statuses = Counter(a.status for a in answers.values())
    tries = max(1, len(sent))
    able = {s.id: s.cores * s.speed for s in result.plan.servers if s.born < 0}
    loads = [work[name] / size for name, size in able.items()]
    return {
        "goodput": sum(good.values()) / max(1, first),
        "served": len(times) / max(1, first),
        "refused": statuses[503] / tries,
        "failed": (tries - statuses[200] - statuses[503]) / tries,
        "tries": len(sent) / max(1, first),
        "attempts": arrived / max(1, first),
        "p50_ms": float(np.percentile(times, 50)) / 1000 if times else 0.0,
        "p99_ms": float(np.percentile(times, 99)) / 1000 if times else 0.0,
        "worst_second": min(
            (good[s] / count for s, count in seconds.items() if count >= LEAST_TRIES), default=0.0
        ),
        "spread": max(loads) * len(loads) / sum(loads) if sum(loads) else 0.0,
        "broken": float(sum(r.broken for r in report.rulings.values())),
    }
