"""The members' detector beside its rivals: `.venv/bin/python benchmarks/members.py [--quick]`.

In virtual time. A row for each fleet and detector: how long a killed node takes to be dead in all live views
(median, 99th of all views), false deaths for each node and hour (views that took a node for dead which was
there) under loss and under pauses of a quarter of the nodes, and bytes a second that a node sends.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import numpy

sys.path.insert(0, str(Path(__file__).parents[1]))

from brackenladder.fleet.detector_network import MICRO, DetectorFactory, DetectorNetwork, ProjectDetector  # noqa: E402
from brackenladder.fleet.rivals.detectors import HeartbeatDetector, PhiAccrualDetector, SwimDetector  # noqa: E402

KINDS: dict[str, DetectorFactory] = {
    "this": ProjectDetector,
    "SWIM 2002": SwimDetector,
    "heartbeats 3 s": HeartbeatDetector,
    "phi 8": PhiAccrualDetector,
}
SETTLE = 12.0  # seconds, at each start
DEATHS = 3  # killed one after the other
TROUBLES = ("loss 0.2", "loss 0.4", "pause 0.2", "pause 2", "pause 5", "pause 20")


def settled(kind: str, size: int, seed: int, loss: float = 0.0) -> DetectorNetwork:
    net = DetectorNetwork(size, seed, loss, make=KINDS[kind])
    net.start_all()
    net.run(SETTLE)
    return net


def deaths(kind: str, size: int, seed: int) -> tuple[list[float], int, float]:
    """Seconds until each live view knew, views that never did, bytes a second and node."""
    net = settled(kind, size, seed)
    before, at = sum(net.bytes), net.queue.now
    took: list[float] = []
    missed = 0
    for number in range(DEATHS):
        died = net.queue.now
        net.kill(number)
        net.run(8)
        known = net.detection_times(number)
        took += [(t - died) / MICRO for t in known if t >= died]
        missed += len(net.alive()) - len(known)
    rate = (sum(net.bytes) - before) / size / ((net.queue.now - at) / MICRO)
    return took, missed, rate


def falsely(kind: str, size: int, seed: int, trouble: str, seconds: float) -> float:
    """False deaths a node and hour. Who is paused for over 2 s may be taken for dead until it has woken."""
    what, _, figure = trouble.partition(" ")
    net = settled(kind, size, seed, float(figure) if what == "loss" else 0.0)
    start = net.queue.now
    asleep: list[tuple[int, int, int]] = []
    length = float(figure)
    every = max(10.0, length + 10)
    while net.queue.now - start < seconds * MICRO:
        if what == "pause":
            for number in net.rng.sample(range(size), size // 4):
                net.pause(number, round(length * MICRO))
                asleep.append((number, net.queue.now, net.queue.now + round(length * MICRO)))
        net.run(every)
    there = [
        (who, said)
        for who, said in net.log
        if said.at >= start
        and said.after == "dead"
        and said.number != who
        and not (length > 2 and any(n == said.number and a <= said.at <= b + MICRO / 2 for n, a, b in asleep))
    ]
    return len(there) / size / ((net.queue.now - start) / MICRO / 3600)


def main() -> None:
    quick = "--quick" in sys.argv
    sizes = [24, 306] if quick else [24, 306, 2000]
    jobs = 4 if quick else None
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        rows = []
        for size in sizes:
            for kind in KINDS:
                if size == 2000 and kind != "this":
                    continue  # all to all is 4 million datagrams a second
                seconds = 60.0 if size < 100 else 30.0
                troubles = TROUBLES if size <= 306 else ("loss 0.2", "pause 2")
                dead = pool.submit(deaths, kind, size, 1)
                false = {t: pool.submit(falsely, kind, size, 1, t, seconds) for t in troubles}
                rows.append((size, kind, dead, false))
        print("| nodes | detector | median, 99th, never | bytes/s |" + "".join(f" {t} |" for t in TROUBLES))
        print("| --- " * (4 + len(TROUBLES)) + "|")
        for size, kind, dead, false in rows:
            took, missed, rate = dead.result()
            known = f"-, -, {missed}"
            if took:
                known = f"{numpy.median(took):.2f}, {numpy.percentile(took, 99):.2f}, {missed}"
            cells = [f"{false[t].result():.1f}" if t in false else "not tried" for t in TROUBLES]
            print(f"| {size} | {kind} | {known} | {rate:.0f} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
