"""Compares two variants of an experiment over paired runs: mean difference and bootstrap interval."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import numpy as np

from brackenladder.fleet.experiment import Cell, Value

RESAMPLES = 4000
CONFIDENCE = 0.95
MIN_PAIRS = 5


class CompareError(Exception):
    """The variants cannot be compared; the text is one line."""


@dataclass(frozen=True)
class Difference:
    """Mean of B minus A over the pairs; `low` to `high` is its bootstrap confidence interval."""

    pairs: int
    a: float
    b: float
    mean: float
    low: float
    high: float

    @property
    def significant(self) -> bool:
        """Whether the interval excludes 0."""
        return self.low > 0 or self.high < 0


def parse_side(text: str) -> dict[str, str]:
    """Parses `key=value[,key=value]`, the grid values that select the runs of one variant."""
    pairs = [part.partition("=") for part in text.split(",")]
    if not all(key and sign for key, sign, _ in pairs):
        raise CompareError(f"'{text}': not of the form key=value[,key=value]")
    return {key: value for key, _, value in pairs}


def remaining_keys(cell: Cell, wanted: Mapping[str, str]) -> tuple[tuple[str, Value], ...] | None:
    """The cell's keys except the wanted ones; None if the cell does not have the wanted values."""
    values = dict(cell)
    if any(key not in values or str(values[key]) != value for key, value in wanted.items()):
        return None
    return tuple((key, value) for key, value in cell if key not in wanted)


def paired(
    rows: Iterable[tuple[Cell, int, dict[str, float], dict[str, str]]], a: str, b: str
) -> list[tuple[dict[str, float], dict[str, float]]]:
    """Pairs the figures of runs that are equal except for the selected keys."""
    sides: tuple[dict[object, dict[str, float]], ...] = ({}, {})
    wanted = (parse_side(a), parse_side(b))
    if set(wanted[0]) != set(wanted[1]):
        raise CompareError(f"'{a}' and '{b}' name different keys")
    for cell, seed, figures, _ in rows:
        for found, want in zip(sides, wanted, strict=True):
            rest = remaining_keys(cell, want)
            if rest is not None:
                found[rest, seed] = figures
    for text, found in zip((a, b), sides, strict=True):
        if not found:
            raise CompareError(f"'{text}': no run of it")
    pairs = [(sides[0][key], sides[1][key]) for key in sides[0] if key in sides[1]]
    if len(pairs) < MIN_PAIRS:
        raise CompareError(f"{len(pairs)} pairs, {MIN_PAIRS} at least")
    return pairs


def difference(pairs: list[tuple[float, float]]) -> Difference:
    """Computes the difference; deterministic, since the resampling uses a fixed seed."""
    table = np.array(pairs, dtype=float)
    differences = table[:, 1] - table[:, 0]
    rng = np.random.default_rng(len(pairs))
    means = np.sort(rng.choice(differences, (RESAMPLES, len(differences))).mean(axis=1))
    low, high = np.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    a, b = table.mean(axis=0)
    return Difference(len(pairs), float(a), float(b), float(differences.mean()), float(low), float(high))
