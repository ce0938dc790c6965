"""Results of an experiment in one SQLite file; each run is added when it ends."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator

from brackenladder.fleet.experiment import Cell

VERSION = 2
APPLICATION = 0x6272616B  # the SQLite application_id that marks results files
SCHEMA = """
create table experiment (title text not null, digest text not null);
create table run (
    cell text not null,          -- JSON: [[key, value], ...]
    seed integer not null,
    figures text not null,       -- JSON: name to number
    series text not null,        -- JSON: name to a number for each second
    verdicts text not null,      -- JSON: rule to verdict
    seconds real not null,
    primary key (cell, seed)
);
"""


class ResultsError(Exception):
    """The results file is unusable; the text is one line."""


class Results:
    """A results file of one experiment; created if missing."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.db = sqlite3.connect(path, timeout=10)
            self.check()
        except sqlite3.Error as e:
            raise ResultsError(f"{path}: {e}") from None

    def check(self) -> None:
        """Creates the schema in an empty file; raises a ResultsError for another format or version."""
        tables = self.db.execute("select count(*) from sqlite_master").fetchone()[0]
        if not tables:
            with self.db:
                self.db.executescript(SCHEMA)
                self.db.execute(f"pragma application_id = {APPLICATION}")
                self.db.execute(f"pragma user_version = {VERSION}")
            return
        if self.db.execute("pragma application_id").fetchone()[0] != APPLICATION:
            raise ResultsError(f"{self.path}: not a file of results")
        version = self.db.execute("pragma user_version").fetchone()[0]
        if version != VERSION:
            raise ResultsError(f"{self.path}: results of version {version}, this is {VERSION}")

    def claim(self, title: str, digest: str) -> None:
        """Binds the file to an experiment; raises a ResultsError if it holds another one."""
        row = self.db.execute("select title, digest from experiment").fetchone()
        if row is None:
            with self.db:
                self.db.execute("insert into experiment values (?, ?)", (title, digest))
        elif row[1] != digest:
            raise ResultsError(f"{self.path}: holds another experiment, '{row[0]}'")

    def has(self, cell: Cell, seed: int) -> bool:
        found = self.db.execute("select 1 from run where cell = ? and seed = ?", (json.dumps(cell), seed))
        return found.fetchone() is not None

    def add(
        self,
        cell: Cell,
        seed: int,
        figures: dict[str, float],
        series: dict[str, list[float]],
        verdicts: dict[str, str],
        seconds: float,
    ) -> None:
        """Stores one run durably."""
        row = (json.dumps(cell), seed, *map(json.dumps, (figures, series, verdicts)), seconds)
        try:
            with self.db:
                self.db.execute("insert or replace into run values (?, ?, ?, ?, ?, ?)", row)
        except sqlite3.Error as e:
            raise ResultsError(f"{self.path}: {e}") from None

    def series(self) -> Iterator[tuple[Cell, dict[str, list[float]]]]:
        """Yields the per-second series of all runs, ordered by cell and seed."""
        for cell, series in self.db.execute("select cell, series from run order by cell, seed"):
            yield tuple((key, value) for key, value in json.loads(cell)), json.loads(series)

    def rows(self) -> Iterator[tuple[Cell, int, dict[str, float], dict[str, str]]]:
        """Yields the figures and verdicts of all runs, ordered by cell and seed."""
        for cell, seed, figures, verdicts in self.db.execute(
            "select cell, seed, figures, verdicts from run order by cell, seed"
        ):
            pairs = tuple((key, value) for key, value in json.loads(cell))
            yield pairs, seed, json.loads(figures), json.loads(verdicts)

    def close(self) -> None:
        self.db.close()
