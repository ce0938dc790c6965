"""What a rehearsal costs and what its stand-ins carry: `.venv/bin/python benchmarks/rehearsal.py [PART ...]`.

PART is deploy (time and memory of the rolling deploy), load (requests a second before a stand-in is late) or
checker (time for a million events); all three if none is given. Run it with the machine to itself.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import msgspec

from brackenladder.rehearsal.checker import ClassTerms, Terms, check
from brackenladder.rehearsal.events import Answered, AnyEvent, Arrived, NodeUp, Replied, Sent, Told, Up
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.runner import Result, rehearse
from brackenladder.rehearsal.scenario import Class, Clients, Rules, Scenario, Servers, load

RATES = (300, 600, 900, 1200, 1600, 2000, 2500)
SECONDS = 8.0
EVENTS = 1_000_000


def run(scenario: Scenario, seed: int = 1) -> Result:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(rehearse(scenario, seed, "", Path(folder)))


def deploy() -> None:
    begin = time.perf_counter()
    scenario = load("rolling-deploy")
    result = run(scenario)
    played = time.perf_counter() - begin
    report = check(result.events, terms_of(scenario))
    print(
        f"rolling deploy: {played:.1f} s in all for a schedule of {scenario.length_s:g} s,"
        f" largest process {result.memory_kb / 1024:.0f} MB, {result.counts['sent']} requests,"
        f" {len(result.events)} events, worst lag {report.lag / 1000:.1f} ms, {dict(report.verdicts)}"
    )


def carried() -> None:
    """Requests of 2 to 6 ms at 24 servers of four cores in three processes, through four nodes."""
    for rate in RATES:
        scenario = Scenario(
            title="load",
            length_s=SECONDS,
            nodes=4,
            servers=Servers(count=24, cores=4, pod=6, processes=3),
            clients=Clients(rate=float(rate), retries=0),
            classes=(
                Class(name="view", effect="safe", work_ms=(2, 6)),
                Class(name="invite", effect="unsafe", work_ms=(2, 6)),
                Class(name="offer", effect="keyed", work_ms=(2, 6)),
            ),
            rules=Rules(),
        )
        result = run(scenario)
        report = check(result.events, terms_of(scenario))
        sent = sum(type(e) is Sent for e in result.events)
        late = f"late: {report.late}" if report.lag > 50_000 else "in time"
        print(
            f"{rate} requests a second: {sent / SECONDS:.0f} sent, {result.counts['served']} served,"
            f" worst lag {report.lag / 1000:.1f} ms ({late}), {report.verdicts['lost']}"
        )


def checker() -> None:
    """A journal of a right system: four events a request, over 50 servers and 10 nodes."""
    rng = Random(1)
    events: list[AnyEvent] = [Up(0, f"s{i}", f"z/{i // 5}", 0, 2.0, 1.0, 0) for i in range(50)]
    events += [NodeUp(0, f"n{i}") for i in range(10)]
    events += [Up(1_000_000, f"c{i}", f"z/{i // 5}", 7, 2.0, 0.12, 24_000_000) for i in range(10)]
    names = [f"s{i}" for i in range(50)] + [f"c{i}" for i in range(10)]
    lines = tuple((name, "ready", 7 if name[0] == "c" else 0) for name in names)
    for second in range(0, 280, 4):
        events += [Told(second * 1_000_000 + 2, f"n{i}", second, 0, 1, True, lines) for i in range(10)]
    number = 0
    while len(events) < EVENTS:
        t = number * 1000
        name, server = f"{rng.getrandbits(64):016x}", rng.choice(names)
        events.append(Sent(t, name, f"n{number % 10}", number % 3, 2_000_000, t, True))
        events.append(Arrived(t + 300, t + 250, server, number, name, 3_000, False))
        events.append(Replied(t + 3_300, server, number, name, "served"))
        events.append(Answered(t + 3_500, name, 200, True, 0.0))
        number += 1
    events.sort(key=lambda e: e.t)
    terms = Terms(classes=(ClassTerms("safe"), ClassTerms("unsafe"), ClassTerms("keyed")))
    times = []
    for _ in range(3):
        begin = time.perf_counter()
        report = check(events, terms)
        times.append(time.perf_counter() - begin)
    print(
        f"checker: {len(events)} events in {sorted(times)[1]:.1f} s (median of 3: {times[0]:.1f},"
        f" {times[1]:.1f}, {times[2]:.1f}), {dict(report.verdicts)}"
    )
    data = msgspec.json.Encoder().encode_lines(events)
    print(f"the same as a journal: {len(data) / 1e6:.0f} MB")


PARTS = {"deploy": deploy, "load": carried, "checker": checker}

if __name__ == "__main__":
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()
