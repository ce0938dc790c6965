"""All rehearsals of the tests, a few at a time: each test waits for its own."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest
from rehearsal.cases import CASES, Case
from rehearsal.playing import play

from brackenladder.rehearsal.checker import Report
from brackenladder.rehearsal.runner import Result

AT_ONCE = 4
ROGUE = Path(__file__).with_name("rogue.py")

Played = tuple[Result, Report, Path]


class Runs:
    """Starts a case when it is first asked for, and those after it ahead of time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.pool = ThreadPoolExecutor(AT_ONCE)
        self.started: dict[str, Future[Played]] = {}

    def start(self, name: str, case: Case) -> None:
        self.started.setdefault(name, self.pool.submit(self.run, name, case))

    def run(self, name: str, case: Case) -> Played:
        folder = self.folder / name
        folder.mkdir()
        command = "" if case.rogue is None else f"{sys.executable} {ROGUE} {case.rogue}"
        return (*play(case.scenario, folder, command, case.seed), folder)

    def __getitem__(self, name: str) -> Played:
        self.start(name, CASES[name])
        return self.started[name].result()


@pytest.fixture(scope="session")
def runs(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Runs]:
    runs = Runs(tmp_path_factory.mktemp("runs"))
    wanted = {item.callspec.params.get("case") for item in request.session.items if hasattr(item, "callspec")}
    for name, case in CASES.items():
        if name in wanted:
            runs.start(name, case)
    yield runs
    runs.pool.shutdown(cancel_futures=True)
