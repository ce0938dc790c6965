"""The model's servers against queueing theory.

Scaled down: 150,000 customers and 5%, where benchmarks/fleet_theory.py takes a million and 2%.
"""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest

# Loaded by path: with `benchmarks` on sys.path its modules would hide the tests' packages.
PATH = Path(__file__).parents[2] / "benchmarks" / "fleet_theory.py"
SPEC = importlib.util.spec_from_file_location("fleet_theory", PATH)
assert SPEC is not None and SPEC.loader is not None
theory = sys.modules["fleet_theory"] = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(theory)


@pytest.mark.parametrize(("cores", "load"), [(1, 0.5), (2, 0.6)])
def test_waits_match_erlang_c_and_no_customer_is_lost(cores, load):
    figures = theory.off(cores, load, 150_000)
    assert figures["served"] == 0 and abs(figures["Little's law"]) < 1e-9
    assert abs(figures["mean wait"]) < 0.05 and abs(figures["99th percentile"]) < 0.05
