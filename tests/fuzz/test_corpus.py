"""Replays the fuzzer's corpus: inputs that once found a fault, and those with the most coverage."""

from __future__ import annotations

from pathlib import Path

import pytest
from fuzz.targets import CORPUS, TARGETS

CASES = sorted(path for path in Path(CORPUS).glob("*/*"))


@pytest.mark.parametrize("path", CASES, ids=lambda path: f"{path.parent.name}-{path.name}")
def test_corpus_case(path: Path) -> None:
    TARGETS[path.parent.name](path.read_bytes())


def test_each_target_has_cases() -> None:
    assert {path.parent.name for path in CASES} == set(TARGETS)
