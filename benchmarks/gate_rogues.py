"""Whether the gate convicts who breaks a rule: `.venv/bin/python benchmarks/gate_rogues.py [NODES] [JOBS]`.

The tests' rogues decide in every node of a standing day, each on the day that gives it the occasion. One line
a rogue: the rules that broke, how often, and whether its own was among them.
"""

from __future__ import annotations

import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[0:1] = [str(ROOT / "tests"), str(ROOT)]  # this folder has a `rehearsal` of its own

import pytest  # noqa: E402
from fleet import test_rogues as rogues  # noqa: E402

from brackenladder.fleet import discovery  # noqa: E402
from brackenladder.fleet.days import day_scenario  # noqa: E402
from brackenladder.fleet.links import Links  # noqa: E402
from brackenladder.fleet.model import play  # noqa: E402
from brackenladder.policy.balancer import Balancer  # noqa: E402
from brackenladder.rehearsal.checker import check  # noqa: E402
from brackenladder.rehearsal.report import terms_of  # noqa: E402

PLANTED = [
    # rogue, the day, the rule; "fault": the core's guard ends the run as one
    ("right", "join", ""),
    ("floods", "join", "cold"),
    ("drained", "roll", "drain"),
    ("retries", "split", "effect"),
    ("refuses", "split", "effect"),
    ("makes-up", "calm", "lost"),
    ("answers-twice", "calm", "lost"),
    ("loses", "calm", "fault"),
    ("waits-on", "join", "drain"),
]
MODULES = {
    "right": rogues.Correct,
    "floods": rogues.Floods,
    "drained": rogues.Drained,
    "retries": rogues.Retries,
    "refuses": rogues.Refuses,
    "loses": rogues.Loses,
    "waits-on": Balancer,
}
HOSTS = {"makes-up": rogues.makes_up, "answers-twice": rogues.answers_twice}


def played(name: str, kind: str, nodes: int) -> dict[str, int]:
    """How often each rule broke."""
    scenario = day_scenario(kind, 1, nodes)
    with pytest.MonkeyPatch.context() as patch:
        if name == "drained":  # the upstream sends nothing to who is not listed, whatever a module says
            patch.setattr(Links, "retire", lambda self, number: None)
        if name == "waits-on":  # gives a silent watch up as its time is over, and opens it a back-off later
            patch.setattr(discovery, "ANSWER_TIMEOUT", 2.0)
            patch.setattr(discovery.WatchRetry, "failed", lambda self, silent, chance: None)
        if name in HOSTS:
            HOSTS[name](patch)
        result = play(scenario, 1, MODULES.get(name, rogues.Correct))
    rulings = check(result.events, terms_of(scenario)).rulings
    return {str(rule): ruling.broken for rule, ruling in rulings.items() if ruling.broken} | (
        {"fault": len(result.crashed)} if result.crashed else {}
    )


def main() -> int:
    nodes = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    jobs = int(sys.argv[2]) if len(sys.argv) > 2 else None
    missed = 0
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        runs = [pool.submit(played, name, kind, nodes) for name, kind, _ in PLANTED]
        for (name, kind, rule), run in zip(PLANTED, runs, strict=True):
            broke = run.result()
            right = rule in broke if rule else not broke
            missed += not right
            print(f"{name:14s} {kind:6s} {broke or 'nothing broke'}{'' if right else '  NOT AS PLANTED'}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
