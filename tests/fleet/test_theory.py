"""The model's servers against queueing theory.

Scaled down: 150,000 customers and 5%, where benchmarks/fleet_theory.py takes a million and 2%.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.append(str(Path(__file__).parents[2] / "benchmarks"))

from fleet_theory import off  # noqa: E402


@pytest.mark.parametrize(("cores", "load"), [(1, 0.5), (2, 0.6)])
def test_waits_are_erlangs_and_nobody_is_lost(cores, load):
    figures = off(cores, load, 150_000)
    assert figures["served"] == 0 and abs(figures["Little's law"]) < 1e-9
    assert abs(figures["mean wait"]) < 0.05 and abs(figures["99th percentile"]) < 0.05
