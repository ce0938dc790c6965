"""The model against sockets: `PYTHONPATH=. .venv/bin/python benchmarks/fleet_parity.py [SEEDS [AT_ONCE]]`.

Each shipped scenario that both play, with the same seed in both: outcomes as shares of all tries, attempts
for each first try, the median time of a served one, the verdicts. Says how far apart they are, as the mean
over seeds, and marks what is beyond 3 points, 5%, 15%, or another verdict. A run takes its scenario's length.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from brackenladder.fleet.figures import figures_of
from brackenladder.fleet.model import play
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.runner import Result, rehearse
from brackenladder.rehearsal.scenario import load

SCENARIOS = (
    "rolling-deploy",
    "cold-restart",
    "refuse",
    "late-list",
    "discovery-silent",
    "node-killed",
    "stall-mid-answer",
    "layered",
)
POINTS, ATTEMPTS, MEDIAN = 0.03, 0.05, 0.15


def on_sockets(name: str, seed: int) -> Result:
    with tempfile.TemporaryDirectory(prefix="parity-") as folder:
        return asyncio.run(rehearse(load(name), seed, "", Path(folder)))


def told(name: str, result: Result) -> tuple[dict[str, float], dict[str, str]]:
    scenario = load(name)
    report = check(result.events, terms_of(scenario))
    figures = figures_of(scenario, result, report)
    tries = max(1, sum(count for key, count in result.counts.items() if key != "sent"))
    shares = {key: result.counts[key] / tries for key in ("served", "refused", "failed", "unreached")}
    wanted = {key: figures[key] for key in ("attempts", "p50_ms")}
    return shares | wanted, {str(k): str(v) for k, v in report.verdicts.items()}


def compared(name: str, seeds: int, pool: ThreadPoolExecutor) -> str:
    real = list(pool.map(lambda seed: told(name, on_sockets(name, seed)), range(1, seeds + 1)))
    model = [told(name, play(load(name), seed)) for seed in range(1, seeds + 1)]
    parts = []
    for key in real[0][0]:
        a = sum(figures[key] for figures, _ in real) / seeds
        b = sum(figures[key] for figures, _ in model) / seeds
        if key in ("attempts", "p50_ms"):
            off = b / a - 1 if a else 0.0
            beyond = abs(off) > (ATTEMPTS if key == "attempts" else MEDIAN)
            text = f"{key} {a:.4g} {b:.4g} ({off:+.1%})"
        else:
            beyond = abs(b - a) > POINTS
            text = f"{key} {a:.3f} {b:.3f} ({100 * (b - a):+.1f})"
        parts.append(text + " BEYOND" * beyond)
    unlike = [
        f"seed {i + 1} {rule}: {x[1][rule]}, {y[1][rule]}"
        for i, (x, y) in enumerate(zip(real, model, strict=True))
        for rule in x[1]
        if x[1][rule] != y[1][rule]
    ]
    return f"{name}: sockets, model: {'; '.join(parts)}; verdicts {', '.join(unlike) or 'the same'}"


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 4
    with ThreadPoolExecutor(int(sys.argv[2]) if len(sys.argv) > 2 else 4) as pool:
        for name in SCENARIOS:
            print(compared(name, seeds, pool), flush=True)


if __name__ == "__main__":
    main()
