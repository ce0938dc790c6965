"""Computes the summary figures of a run from its events."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import numpy as np

from brackenladder.rehearsal.checker import Report
from brackenladder.rehearsal.events import Answered, Arrived, Down, Sent, Up
from brackenladder.rehearsal.nodes import tenant_quotas
from brackenladder.rehearsal.runner import Result
from brackenladder.rehearsal.scenario import Scenario

# Name: description, and whether a higher value is better.
FIGURES: Mapping[str, tuple[str, bool]] = {
    "goodput": ("share of requests answered within their class's aim, on any try", True),
    "served": ("share of requests answered at all", True),
    "worth": (
        "share of the requested worth that was served; late answers and requests over quota count less",
        True,
    ),
    "refused": ("share of all tries that were refused", False),
    "failed": ("share of all tries that failed", False),
    "tries": ("tries per request", False),
    "attempts": ("attempts at servers per request", False),
    "p50_ms": ("median time from the arrival of a request to its answer", False),
    "p99_ms": ("99th percentile of that time", False),
    "worst_second": ("lowest goodput of a second with at least 20 requests", True),
    "recovery_s": (
        "seconds from the end of the last fault until goodput is back at 95%, or to the end of the run",
        False,
    ),
    "spread": ("work of the busiest server relative to the mean, per capacity", False),
    "broken": ("number of rule violations", False),
    "edges": ("cases between a rule's limit and its tolerance", False),
    "cold": ("highest load of a cold server relative to its limit", False),
}
SERIES = ("offered", "goodput", "worth", "refused", "attempts", "load")  # one value per second of the run
LATE_WORTH = 0.2  # worth of an answer later than its class's aim, as in the published settings
EXCESS_WORTH = 0.05  # worth of a request beyond its tenant's quota, as in the published settings
QUOTA_TIME = 5  # seconds over which a quota is averaged
WARM_UP = 5  # seconds at the start of a run left out of the mean before the faults
RECOVERY_WINDOW = 3  # seconds over which the goodput is averaged to decide whether it has recovered
RECOVERED_SHARE = 0.95  # recovered goodput, as a share of the mean before the faults
MIN_TRIES = 20  # seconds with fewer tries do not count in `worst_second`


def figures_of(scenario: Scenario, result: Result, report: Report) -> dict[str, float]:
    """Computes all of `FIGURES`; a share whose denominator is 0 is 0."""
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
    capacity_of = {s.id: s.cores * s.speed for s in result.plan.servers if s.born < 0}
    loads = [work[name] / size for name, size in capacity_of.items()]
    return {
        "goodput": sum(good.values()) / max(1, first),
        "served": len(times) / max(1, first),
        "worth": worths_of(scenario, result)["all"][0],
        "refused": statuses[503] / tries,
        "failed": (tries - statuses[200] - statuses[503]) / tries,
        "tries": len(sent) / max(1, first),
        "attempts": arrived / max(1, first),
        "p50_ms": float(np.percentile(times, 50)) / 1000 if times else 0.0,
        "p99_ms": float(np.percentile(times, 99)) / 1000 if times else 0.0,
        "worst_second": min(
            (good[s] / count for s, count in seconds.items() if count >= MIN_TRIES), default=0.0
        ),
        "recovery_s": recovery(
            scenario, [good[s] / max(1, seconds[s]) for s in range(max(seconds, default=0))]
        ),
        "spread": max(loads) * len(loads) / sum(loads) if sum(loads) else 0.0,
        "broken": float(sum(r.broken for r in report.rulings.values())),
        "edges": float(sum(r.edges for r in report.rulings.values())),
        "cold": report.rulings["cold"].nearest,
    }


def worths_of(scenario: Scenario, result: Result) -> dict[str, tuple[float, float]]:
    """Share of requested worth that was served, and weight in all requested worth: for 'all' and by class.

    Requests beyond a tenant's quota, averaged over QUOTA_TIME, count with EXCESS_WORTH on both sides.
    """
    answers = {event.id: event for event in result.events if isinstance(event, Answered)}
    asked: Counter[tuple[int, int]] = Counter()
    served: defaultdict[tuple[int, int], float] = defaultdict(float)
    values: list[tuple[int, tuple[int, int], float]] = []
    for plan in result.plan.requests:
        place = plan.tenant, plan.at // (QUOTA_TIME * 1_000_000)
        value = 0.0
        for number in range(scenario.clients.retries + 1):
            answer = answers.get(f"{(int(plan.id, 16) + number) & 0xFFFFFFFFFFFFFFFF:016x}")
            if answer is not None and answer.status == 200:
                late = answer.t - result.begin - plan.at > scenario.classes[plan.klass].aim_ms * 1000
                value = LATE_WORTH if late else 1.0
                break
        asked[place] += 1
        served[place] += value
        values.append((plan.klass, place, value))
    quotas = [quota * QUOTA_TIME for quota in tenant_quotas(scenario)]

    def scaled(worth: float, tenant: int) -> float:
        within = min(worth, quotas[tenant])
        return (within + EXCESS_WORTH * (worth - within)) / worth if worth else 0.0

    of_asked = {place: scaled(count, place[0]) for place, count in asked.items()}
    of_served = {place: scaled(worth, place[0]) for place, worth in served.items()}
    names = ["all", *(c.name for c in scenario.classes)]
    sums = {name: [0.0, 0.0] for name in names}
    for klass, place, value in values:
        for name in ("all", names[1 + klass]):
            sums[name][0] += value * of_served[place]
            sums[name][1] += of_asked[place]
    whole = max(1e-9, sums["all"][1])
    return {name: (got / max(1e-9, wanted), wanted / whole) for name, (got, wanted) in sums.items()}


def recovery(scenario: Scenario, goodput: Sequence[float]) -> float:
    """Seconds after the last fault until the mean goodput over RECOVERY_WINDOW is back at RECOVERED_SHARE.

    `goodput`: by second; it is compared with the mean before the first fault. Surges count as faults.
    Returns 0 if there are neither faults nor surges.
    """
    spans = [(fault.at_s, fault.at_s + fault.for_s) for fault in scenario.faults]
    spans += [(surge.at_s, surge.at_s + surge.for_s) for surge in scenario.clients.surges]
    if not spans or not goodput:
        return 0.0
    first, last = min(at for at, _ in spans), max(end for _, end in spans)
    before = goodput[min(WARM_UP, int(first)) : int(first)]
    wanted = RECOVERED_SHARE * sum(before) / len(before) if before else RECOVERED_SHARE
    for second in range(int(last), len(goodput) - RECOVERY_WINDOW + 1):
        if sum(goodput[second : second + RECOVERY_WINDOW]) / RECOVERY_WINDOW >= wanted:
            return float(max(0.0, second - last))
    return float(max(0.0, scenario.length_s - last))


def series_of(scenario: Scenario, result: Result) -> dict[str, list[float]]:
    """The time series named in `SERIES`, one value per second of the run, and the samples of the nodes.

    `offered` is the number of first tries. The next four are divided by it: `goodput` counts answers in
    time, `worth` also counts each late answer as a fifth, `refused` counts 503 answers, and `attempts`
    counts arrivals at servers. `load` is the load of the busiest server divided by the mean load.
    """
    length = -(-result.plan.length // 1_000_000)
    by_id = {}
    table = {name: np.zeros(length) for name in SERIES}
    most: list[Counter[str]] = [Counter() for _ in range(length)]
    capacity_of: dict[str, float] = {}  # capacity of each running server
    serving: list[dict[str, float]] = [{} for _ in range(length)]  # servers up in each second
    for plan in result.plan.requests:
        table["offered"][plan.at // 1_000_000] += 1
        for number in range(scenario.clients.retries + 1):
            by_id[f"{(int(plan.id, 16) + number) & 0xFFFFFFFFFFFFFFFF:016x}"] = plan
    passed = -1
    for event in result.events:
        second = (event.t - result.begin) // 1_000_000
        while passed < min(second, length - 1):
            passed += 1
            serving[passed] = dict(capacity_of)
        if isinstance(event, Up):
            capacity_of[event.server] = event.capacity
            serving[max(0, passed)][event.server] = event.capacity
        elif isinstance(event, Down):
            capacity_of.pop(event.server, None)
        elif isinstance(event, Answered):
            asked = by_id.get(event.id)
            if asked is None:
                continue
            if event.status == 503 and 0 <= second < length:
                table["refused"][second] += 1
            elif event.status == 200:
                in_time = event.t - result.begin - asked.at <= scenario.classes[asked.klass].aim_ms * 1000
                table["goodput"][asked.at // 1_000_000] += in_time
                table["worth"][asked.at // 1_000_000] += 1.0 if in_time else LATE_WORTH
        elif isinstance(event, Arrived) and 0 <= second < length:
            table["attempts"][second] += 1
            most[second][event.server] += event.work
    offered = np.maximum(1, table["offered"])
    for name in ("goodput", "worth", "refused", "attempts"):
        table[name] = table[name] / offered
    for second, work in enumerate(most):
        loads = [work[name] / size for name, size in serving[second].items()]
        table["load"][second] = max(loads) * len(loads) / sum(loads) if sum(loads) else 0.0
    rounded = {name: [round(float(x), 4) for x in values] for name, values in table.items()}
    return rounded | {name: [round(x, 3) for x in values] for name, values in result.samples.items()}
