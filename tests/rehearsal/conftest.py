"""Runs each case once, in the pytest worker that has all tests of the case."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest
from rehearsal.cases import CASES
from rehearsal.playing import play

from brackenladder.rehearsal.checker import Report
from brackenladder.rehearsal.runner import Result

ROGUES = {"": Path(__file__).with_name("rogue.py"), "rpc": Path(__file__).with_name("rogue_rpc.py")}

Played = tuple[Result, Report, Path]


@pytest.hookimpl(tryfirst=True)  # before pytest-xdist reads the marks
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Assigns all tests of a case to one worker."""
    for item in items:
        case = item.callspec.params.get("case") if hasattr(item, "callspec") else None
        if case is not None:
            item.add_marker(pytest.mark.xdist_group(str(case)))


class Runs:
    """Runs a case when its result is first needed, and keeps the result."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.played: dict[str, Played] = {}

    def __getitem__(self, name: str) -> Played:
        if name not in self.played:
            case = CASES[name]
            folder = self.folder / name
            folder.mkdir()
            command = ""
            if case.rogue is not None:
                transport, _, mode = case.rogue.rpartition(" ")
                command = f"{sys.executable} {ROGUES[transport]} {mode}"
            self.played[name] = (*play(case.scenario, folder, command, case.seed), folder)
        return self.played[name]


@pytest.fixture(scope="session")
def runs(tmp_path_factory: pytest.TempPathFactory) -> Runs:
    return Runs(tmp_path_factory.mktemp("runs"))
