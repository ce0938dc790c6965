"""The fuzzer's corpus, replayed: what it once found, and the cases that reach the most."""

from __future__ import annotations

from pathlib import Path

import pytest
from fuzz.targets import CORPUS, TARGETS

CASES = sorted(path for path in Path(CORPUS).glob("*/*"))


@pytest.mark.parametrize("path", CASES, ids=lambda path: f"{path.parent.name}-{path.name}")
def test_what_always_holds(path: Path) -> None:
    TARGETS[path.parent.name](path.read_bytes())


def test_each_target_has_cases() -> None:
    assert {path.parent.name for path in CASES} == set(TARGETS)
