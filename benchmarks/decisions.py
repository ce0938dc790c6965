"""Plays rows of a table of decisions: variants of the tree, each on the same days and seeds, by the bench.

    python benchmarks/decisions.py BENCH SITE --rows base,no-keeper --days quiet-1 --seeds 1,2,3 --trees DIR

A row is a list of replacements in a copy of this tree, so that what is switched off is off exactly, and no
switch stands in the program. Each play's journal entry is copied back. The table has, for each row and day,
the mean and the spread of the worth less prices over the seeds, and what it is made of.
"""

from __future__ import annotations

import argparse
import json
import shutil
import subprocess
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, stdev

from decision_rows import ROWS, Replacement

TREE = Path(__file__).resolve().parent.parent
PRICES = {
    "1,000 tokens of shared parts read again": "read",
    "GB between zones": "zones",
    "GB between regions": "regions",
    "new connections to servers": "new",
    "worth broken off early": "cut",
}


@dataclass(frozen=True)
class Play:
    """One day of one row."""

    row: str
    day: str
    seed: int


@dataclass(frozen=True)
class Figures:
    """What a play was worth. Prices are parts of the worth owed."""

    worth: float  # less prices
    parts: tuple[float, ...]
    prices: dict[str, float]
    late: int
    failed: int
    broken: tuple[str, ...]


def make_tree(row: str, trees: Path) -> Path:
    """A copy of this tree with a row's replacements; the bench wants a checkout of its own."""
    copy = trees / row
    if copy.exists():
        shutil.rmtree(copy)
    subprocess.run(["git", "clone", "-q", "--shared", str(TREE), str(copy)], check=True)
    listed = ["git", "ls-files", "-co", "--exclude-standard", "brackenladder", "deploy"]
    for name in subprocess.run(listed, cwd=TREE, check=True, capture_output=True, text=True).stdout.split():
        if (TREE / name).exists():
            (copy / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(TREE / name, copy / name)
    for replacement in ROWS[row]:
        replace(copy, replacement)
    if (TREE / "target").exists():
        shutil.copytree(TREE / "target", copy / "target")
        (copy / "target" / "deps" / ".complete").touch()
    return copy


def replace(copy: Path, replacement: Replacement) -> None:
    """Apply one replacement; its text must stand there exactly once."""
    path = copy / "brackenladder" / replacement.path
    text = path.read_text()
    if text.count(replacement.old) != 1:
        raise SystemExit(f"{replacement.path}: {text.count(replacement.old)} times {replacement.old!r}")
    path.write_text(text.replace(replacement.old, replacement.new))


def run(play: Play, copy: Path, options: argparse.Namespace) -> Figures | None:
    """Play a day; None if it gave no report."""
    report = copy / f"report-{play.day}-{play.seed}.json"
    command = [options.bench, "run", options.site, play.day, "--report", str(report), "--jobs", "1"]
    command += ["--no-cpu"] if options.no_cpu else []
    command += ["--small"] if options.small else []
    command += ["--until", options.until] if options.until else []
    command += ["--seed", str(play.seed)] if play.seed else []
    command += ["--why", f"{options.kind}: row {play.row}, {play.day}, seed {play.seed or 'of the day'}."]
    output = copy / f"output-{play.day}-{play.seed}.txt"
    with output.open("w") as file:
        subprocess.run(command, cwd=copy, stdout=file, stderr=subprocess.STDOUT, check=False)
    return read_report(report) if report.exists() else None


def read_report(path: Path) -> Figures:
    """The figures of a report."""
    report = json.loads(path.read_text())
    prices = {PRICES[name]: price for name, _, price in report["prices"] if name in PRICES}
    prices["all"] = sum([price for _, _, price in report["prices"]])
    counted = report["all"]
    parts = tuple(value for _, _, value in report["parts"])
    broken = tuple(report["breaks"]) + ((report["fault"],) if report["fault"] else ())
    return Figures(report["G"], parts, prices, counted["late"], counted["failed"], broken)


def line(row: str, day: str, seeds: int, plays: Sequence[Figures]) -> str:
    """A row of the table."""
    worths = [play.worth for play in plays]
    spread = stdev(worths) if len(worths) > 1 else 0.0
    cells = [row, day, f"{len(plays)}/{seeds}", f"{mean(worths):.4f}", f"{spread:.4f}"]
    cells += [f"{mean(part):.3f}" for part in zip(*[play.parts for play in plays], strict=True)]
    for price in ("all", *PRICES.values()):
        cells.append(f"{mean([play.prices.get(price, 0.0) for play in plays]):.4f}")
    cells += [f"{mean([play.late for play in plays]):.0f}", f"{mean([play.failed for play in plays]):.0f}"]
    cells.append("; ".join([name for play in plays for name in play.broken]) or "-")
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Play the rows and print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--rows", default="base")
    parser.add_argument("--days", default="quiet-1")
    parser.add_argument("--seeds", default="0", help="0: the day's own")
    parser.add_argument("--trees", type=Path, required=True, help="a folder for the copies")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--kind", default="Trial")
    parser.add_argument("--until", default="")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--no-cpu", action="store_true")
    options = parser.parse_args()
    options.bench = str(Path(options.bench).resolve())
    options.site = str(Path(options.site).resolve())
    rows = options.rows.split(",")
    days = options.days.split(",")
    seeds = [int(seed) for seed in options.seeds.split(",")]
    options.trees.mkdir(parents=True, exist_ok=True)
    copies = {row: make_tree(row, options.trees) for row in rows}
    plays = [Play(row, day, seed) for seed in seeds for day in days for row in rows]
    with ThreadPoolExecutor(options.jobs) as pool:
        figures = list(pool.map(lambda play: run(play, copies[play.row], options), plays))
    names = ["row", "day", "plays", "worth", "spread", "day", "windows", "class", "prices"]
    names += [*PRICES.values(), "late", "failed", "broken"]
    print("| " + " | ".join(names) + " |")
    for row in rows:
        for day in days:
            pairs = zip(plays, figures, strict=True)
            done = [found for play, found in pairs if found and (play.row, play.day) == (row, day)]
            if done:
                print(line(row, day, len(seeds), done))
    for copy in copies.values():
        for entry in (copy / "journal").glob("*.json"):
            if not (TREE / "journal" / entry.name).exists():
                shutil.copyfile(entry, TREE / "journal" / entry.name)


if __name__ == "__main__":
    main()
