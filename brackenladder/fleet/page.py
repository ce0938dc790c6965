"""Renders an experiment as one self-contained HTML page with SVG plots. No I/O."""

from __future__ import annotations

import io
from collections.abc import Iterable, Mapping, Sequence
from importlib.resources import files

import jinja2
import matplotlib
import numpy as np
from matplotlib.figure import Figure

from brackenladder.fleet.experiment import Cell, Experiment, Value, name_of
from brackenladder.fleet.figures import FIGURES

MAX_LINES = 8  # largest number of grid cells drawn in one plot
BAND = (10, 90)  # percentiles over the seeds
SIZE = (9.0, 2.6)  # width and height of a plot, in inches
SWEEP_FIGURES = ("goodput", "refused", "attempts", "p99_ms", "cold")  # figures plotted against a varied key
SERIES_PLOTS: Mapping[str, tuple[str, ...]] = {  # plots over time: title and series (median, low, high)
    "Goodput: share of first tries answered in time": ("goodput",),
    "Worth earned, of what was offered": ("worth",),
    "Attempts at servers for each first try": ("attempts",),
    "Tries refused for each first try": ("refused",),
    "Load of the busiest server over the mean": ("load",),
    "Limit: median over nodes, and 10th to 90th percentile": ("limit p50", "limit p10", "limit p90"),
    "In flight: median over nodes, and 10th to 90th percentile": (
        "in_flight p50",
        "in_flight p10",
        "in_flight p90",
    ),
    "Share of nodes in a minRTT pass": ("in pass",),
}

Row = tuple[Cell, int, dict[str, float], dict[str, str]]
RunSeries = tuple[Cell, dict[str, list[float]]]


def page(experiment: Experiment, rows: Sequence[Row], run_series: Iterable[RunSeries]) -> str:
    """Renders the page: figures and verdicts by cell, plots over time, plots over numeric grid keys."""
    environment = jinja2.Environment(autoescape=True, trim_blocks=True, lstrip_blocks=True)
    text = (files("brackenladder.fleet") / "page.html.j2").read_text()
    cells = [cell for cell in experiment.cells() if any(row[0] == cell for row in rows)]
    with matplotlib.rc_context({"svg.fonttype": "none", "svg.hashsalt": experiment.title, "font.size": 8}):
        return environment.from_string(text).render(
            title=experiment.title,
            scenario=experiment.scenario,
            figures={name: what for name, (what, _) in FIGURES.items()},
            cells=[(name_of(cell), table(rows, cell), verdicts(rows, cell)) for cell in cells],
            plots=list(by_second(cells, list(run_series))),
            sweeps=list(sweeps(experiment, rows)),
            most=MAX_LINES,
            left_out=max(0, len(cells) - MAX_LINES),
        )


def table(rows: Sequence[Row], cell: Cell) -> dict[str, tuple[float, float]]:
    """Mean and standard deviation of each figure over the seeds."""
    mine = [figures for found, _, figures, _ in rows if found == cell]
    return {name: (float(np.mean(v)), float(np.std(v))) for name in FIGURES if (v := [f[name] for f in mine])}


def verdicts(rows: Sequence[Row], cell: Cell) -> dict[str, dict[str, int]]:
    """For each rule the number of runs by verdict."""
    out: dict[str, dict[str, int]] = {}
    for found, _, _, told in rows:
        if found == cell:
            for rule, verdict in told.items():
                counts = out.setdefault(rule, {})
                counts[verdict] = counts.get(verdict, 0) + 1
    return out


def svg_of(figure: Figure) -> str:
    """Renders a figure as an SVG element; deterministic for the same data."""
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None}, bbox_inches="tight")
    return out.getvalue()[out.getvalue().index("<svg") :]


def by_second(cells: Sequence[Cell], run_series: Sequence[RunSeries]) -> Iterable[tuple[str, str]]:
    """Yields a plot over time for each entry of SERIES_PLOTS: mean over seeds, and a percentile band."""
    for title, (name, *band) in SERIES_PLOTS.items():
        figure = Figure(figsize=SIZE)
        axes = figure.add_subplot()
        shown = 0
        for cell in cells[:MAX_LINES]:
            mine = [found for at, found in run_series if at == cell and found.get(name)]
            if not mine:
                continue
            shown += 1
            middle = stacked(mine, name)
            seconds = np.arange(middle.shape[1])
            (line,) = axes.plot(seconds, middle.mean(axis=0), label=name_of(cell), linewidth=1)
            if band:
                low, high = (stacked(mine, key).mean(axis=0) for key in band)
            else:
                low, high = np.percentile(middle, BAND, axis=0)
            axes.fill_between(seconds, low, high, color=line.get_color(), alpha=0.15, linewidth=0)
        if not shown:
            continue
        axes.set_xlabel("second of the run")
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.3)
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
        yield title, svg_of(figure)


def stacked(run_series: Sequence[Mapping[str, Sequence[float]]], name: str) -> np.ndarray:
    """Array of one series by seed and second, cut to the shortest run."""
    length = min(len(course[name]) for course in run_series)
    return np.array([course[name][:length] for course in run_series], dtype=float)


def sweeps(experiment: Experiment, rows: Sequence[Row]) -> Iterable[tuple[str, str]]:
    """Yields a plot for each numeric grid key with several values, one line per combination of the rest."""
    for key, values in experiment.grid.items():
        if len(values) < 2 or not all(isinstance(v, int | float) and not isinstance(v, bool) for v in values):
            continue
        figure = Figure(figsize=(SIZE[0], 2.2 * len(SWEEP_FIGURES)))
        for place, name in enumerate(SWEEP_FIGURES):
            axes = figure.add_subplot(len(SWEEP_FIGURES), 1, place + 1)
            lines: dict[Cell, dict[Value, list[float]]] = {}
            for cell, _, figures, _ in rows:
                rest = tuple(pair for pair in cell if pair[0] != key)
                lines.setdefault(rest, {}).setdefault(dict(cell)[key], []).append(figures[name])
            for rest, points in list(lines.items())[:MAX_LINES]:
                xs = sorted(points, key=float)
                (line,) = axes.plot(
                    [float(x) for x in xs],
                    [np.mean(points[x]) for x in xs],
                    marker="o",
                    markersize=3,
                    label=name_of(rest),
                )
                low, high = zip(*(np.percentile(points[x], BAND) for x in xs), strict=True)
                axes.fill_between([float(x) for x in xs], low, high, color=line.get_color(), alpha=0.15)
            axes.set_ylabel(name)
            axes.grid(alpha=0.3)
            if not place:
                axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
        axes.set_xlabel(key)
        yield key, svg_of(figure)
