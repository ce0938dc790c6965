"""Handles the known failures in KNOWN-RED.txt, and defines fixtures used by several test files."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from known_red import KnownRedPlugin

from brackenladder.invariants import VIOLATIONS
from brackenladder.policy import subset as balance

ROOT = Path(__file__).parent.parent


# Hypothesis limits the wall-clock time of an example (200 ms) and of the generation (about a second). On a
# loaded machine these limits measure the machine. The longer limit still detects a hang.
settings.register_profile(
    "suite", deadline=timedelta(seconds=10), suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("suite")


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list of known failures."""
    config.pluginmanager.register(KnownRedPlugin(ROOT), "known-red")


@pytest.fixture
def wide(monkeypatch):
    """Makes the balancer use all servers of a small list."""
    monkeypatch.setattr(balance, "SUBSET_LEAST", 24)


@pytest.fixture(autouse=True)
def invariants_hold():
    """Fails each test during which an invariant is violated."""
    before = VIOLATIONS.violations()
    yield
    assert VIOLATIONS.violations() == before, "an invariant was broken"
