"""Half of 200 nodes dead for a minute during a deploy: the living number beside the configured one.

`.venv/bin/python benchmarks/living.py [SEEDS]`, in virtual time: the same seeds with `members` on and off.
For each the part of the requests served while half are dead, and how near the cold rule came to a break.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from statistics import median

import msgspec

sys.path.insert(0, str(Path(__file__).parents[1]))

from brackenladder.fleet.model import play  # noqa: E402
from brackenladder.rehearsal.checker import check  # noqa: E402
from brackenladder.rehearsal.events import Answered, Sent  # noqa: E402
from brackenladder.rehearsal.report import terms_of  # noqa: E402
from brackenladder.rehearsal.scenario import Scenario  # noqa: E402

DIES, BACK = 10.0, 70.0  # seconds
TABLE = {
    "title": "half dead",
    "length_s": 80.0,
    "nodes": 200,
    "zones": ["here"],
    "servers": {"count": 40, "pod": 4, "warm_s": 20.0, "cold_share": 0.15},
    "clients": {"rate": 480.0, "retries": 1, "notice_s": 1.0},
    "faults": [
        {"kind": "node-kill", "at_s": DIES, "for_s": BACK - DIES, "pick": 0.5},
        {"kind": "deploy", "at_s": 20.0, "for_s": 30.0, "pick": 0.5},
    ],
}


def played(seed: int, members: bool) -> tuple[float, float, str]:
    """The part served while half are dead, the cold rule's nearest approach, what broke."""
    scenario = msgspec.convert(TABLE | {"members": members}, Scenario)
    result = play(scenario, seed)
    report = check(result.events, terms_of(scenario))
    span = (result.begin + (DIES + 8) * 1e6, result.begin + BACK * 1e6)
    sent = {e.id for e in result.events if isinstance(e, Sent) and span[0] <= e.t < span[1]}
    served = sum(isinstance(e, Answered) and e.status == 200 and e.id in sent for e in result.events)
    broke = [rule for rule, verdict in report.verdicts.items() if verdict == "broke"]
    return served / len(sent), report.rulings["cold"].nearest, ", ".join(broke) or "nothing broke"


def main() -> None:
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 4))
    with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
        jobs = {(s, m): pool.submit(played, s, m) for s in seeds for m in (False, True)}
        gains = []
        for seed in seeds:
            off, on = jobs[seed, False].result(), jobs[seed, True].result()
            gains.append(on[0] - off[0])
            print(
                f"seed {seed}: served {off[0]:.4f} configured, {on[0]:.4f} living;"
                f" cold {off[1]:.2f}, {on[1]:.2f}; {off[2]}; {on[2]}",
                flush=True,
            )
    print(
        f"served, living less configured: median {median(gains):+.4f}, {min(gains):+.4f} to {max(gains):+.4f}"
    )


if __name__ == "__main__":
    main()
