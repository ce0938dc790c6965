"""An experiment: a scenario, a grid of varied values, and seeds. Pure: file text in, runs out.

title = "How many members?"
scenario = "rolling-deploy"          # a built-in scenario, or a file beside this one
seeds = 20                           # 1 to 20; or a list
[grid]                               # every combination is run with every seed
policy = ["module", "oracle"]
"module.SUBSET_MOST" = [12, 24]      # constants of the decision module, by name
"clients.rate" = [60, 110]           # keys of the scenario
checkout = ["", "../other"]          # another checkout of the decision module
"""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from itertools import product
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from brackenladder.fleet.model import too_large
from brackenladder.fleet.variants import MODULE_POLICY
from brackenladder.rehearsal.scenario import Scenario, find_contradiction, format_validation_error

LARGEST_FILE = 1 << 20  # size limit of an experiment file, in bytes
MAX_RUNS = 100_000
MAX_VALUES = 1000  # largest number of values of one grid key

Value = str | int | float | bool
Cell = tuple[tuple[str, Value], ...]  # key and value, in the file's order


class ExperimentError(Exception):
    """The experiment is invalid; the text is one line that names the file and key."""


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The content of an experiment file: a scenario, the values to vary in it, and the seeds."""

    title: str
    scenario: str
    seeds: (
        Annotated[int, Meta(ge=1, le=MAX_RUNS)]
        | Annotated[tuple[Annotated[int, Meta(ge=0)], ...], Meta(min_length=1, max_length=MAX_RUNS)]
    ) = 10
    grid: dict[str, Annotated[tuple[Value, ...], Meta(min_length=1, max_length=MAX_VALUES)]] = {}

    def all_seeds(self) -> list[int]:
        return list(range(1, self.seeds + 1)) if isinstance(self.seeds, int) else list(self.seeds)

    def cells(self) -> Iterator[Cell]:
        """Yields every combination of the grid."""
        for values in product(*self.grid.values()):
            yield tuple(zip(self.grid, values, strict=True))

    def runs(self) -> int:
        number = len(self.all_seeds())
        for values in self.grid.values():
            number *= len(values)
        return number


def parse(data: bytes, where: str) -> Experiment:
    """Parses an experiment from TOML; `where` names the file in errors."""
    try:
        table = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as e:
        raise ExperimentError(f"{where}: not TOML: {e}") from None
    try:
        experiment = msgspec.convert(flatten_grid(table), Experiment)
    except msgspec.ValidationError as e:
        raise ExperimentError(f"{where}: {format_validation_error(str(e))}") from None
    for key, values in experiment.grid.items():
        if len(set(map(repr, values))) < len(values):
            raise ExperimentError(f"{where}: grid.{key}: a value stands twice")
    if len(set(experiment.all_seeds())) < len(experiment.all_seeds()):
        raise ExperimentError(f"{where}: seeds: one stands twice")
    if experiment.runs() > MAX_RUNS:
        raise ExperimentError(f"{where}: grid: {experiment.runs()} runs, {MAX_RUNS} at most")
    return experiment


def flatten_grid(table: Mapping[str, Any]) -> dict[str, Any]:
    """Flattens the grid to dotted keys, so that `a.b = []` and `"a.b" = []` are equal."""
    grid: dict[str, Any] = {}

    def walk(prefix: str, node: Mapping[str, Any]) -> None:
        for key, value in node.items():
            if isinstance(value, dict):
                walk(f"{prefix}{key}.", value)
            else:
                grid[prefix + key] = value

    given = table.get("grid", {})
    if not isinstance(given, dict):
        return dict(table)
    walk("", given)
    return dict(table) | {"grid": grid}


class Run(msgspec.Struct, frozen=True):
    """A grid cell resolved to a scenario and a decision module."""

    scenario: Scenario
    policy: str
    checkout: str
    constants: dict[str, float]


def run_of(base: Scenario, cell: Cell, where: str) -> Run:
    """Resolves a cell; raises an ExperimentError that names the invalid key."""
    table = msgspec.to_builtins(base)
    policy, checkout, constants = MODULE_POLICY, "", {}
    for key, value in cell:
        if key == "policy":
            policy = str(value)
        elif key == "checkout":
            checkout = str(value)
        elif key.startswith("module."):
            if isinstance(value, bool | str):
                raise ExperimentError(f"{where}: grid.{key}: not a number")
            constants[key.removeprefix("module.")] = value
        else:
            set_key(table, key, value, where)
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as e:
        raise ExperimentError(f"{where}: grid.{format_validation_error(str(e))}") from None
    wrong = find_contradiction(scenario) or too_large(scenario)
    if wrong:
        raise ExperimentError(f"{where}: grid.{wrong}")
    return Run(scenario, policy, checkout, constants)


def set_key(table: dict[str, Any], key: str, value: Value, where: str) -> None:
    """Sets a dotted key of a scenario's table, such as `servers.count` or `faults.0.pick`."""
    node: Any = table
    *path, last = key.split(".")
    for part in path:
        if isinstance(node, list) and part.isdigit() and int(part) < len(node):
            node = node[int(part)]
        elif isinstance(node, dict) and part in node:
            node = node[part]
        else:
            raise ExperimentError(f"{where}: grid.{key}: the scenario has no '{part}'")
    if not isinstance(node, dict) or last not in node:
        raise ExperimentError(f"{where}: grid.{key}: the scenario has no '{last}'")
    node[last] = value


def digest_of(base: Scenario, modules: Iterable[bytes]) -> str:
    """Hash of the scenario and decision modules, so that a results file is not continued with others.

    `modules`: source texts of all decision modules in use.
    """
    digest = hashlib.sha256(msgspec.json.encode(base, order="deterministic"))
    for text in modules:
        digest.update(hashlib.sha256(text).digest())
    return digest.hexdigest()[:16]


def name_of(cell: Cell) -> str:
    """Formats a cell: `policy=oracle clients.rate=60`."""
    return " ".join(f"{key}={value}" for key, value in cell) or "all"
