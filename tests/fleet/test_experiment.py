"""Experiments: the grid, the results file, and the statistics of comparisons."""

from __future__ import annotations

import json
import sqlite3

import numpy as np
import pytest

from brackenladder.cli.main import main
from brackenladder.fleet.compare import CompareError, difference, paired
from brackenladder.fleet.experiment import ExperimentError, digest_of, parse, run_of
from brackenladder.fleet.results import Results, ResultsError
from brackenladder.rehearsal.scenario import load

HEAD = 'title = "t"\nscenario = "cold-restart"\n'
SMALL = HEAD + 'seeds = 2\n[grid]\npolicy = ["random", "module"]\nclients.rate = [20.0]\n'


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("title", "e.toml: not TOML"),
        (HEAD + "more = 1", "e.toml: more: not a known key"),
        ('title = "t"', "e.toml: scenario: missing"),
        (HEAD + "seeds = 0", "e.toml: "),
        (HEAD + "seeds = [1, 1]", "e.toml: seeds: one stands twice"),
        (HEAD + "[grid]\npolicy = []", "e.toml: "),
        (HEAD + "grid = 1", "e.toml: grid: "),
        (HEAD + "[grid]\npolicy = ['a', 'a']", "e.toml: grid.policy: a value stands twice"),
        (HEAD + f"seeds = 1000\n[grid]\na={list(range(999))}", "e.toml: grid: 999000 runs, 100000 at most"),
        (HEAD + "[grid]\nclients.rates = [1]", "e.toml: grid.clients.rates: the scenario has no 'rates'"),
        (
            HEAD + "[grid]\nservants.count = [1]",
            "e.toml: grid.servants.count: the scenario has no 'servants'",
        ),
        (HEAD + "[grid]\nfaults.9.pick = [1]", "e.toml: grid.faults.9.pick: the scenario has no '9'"),
        (HEAD + "[grid]\nclients.rate = ['x']", "e.toml: grid.clients.rate: "),
        (HEAD + "[grid]\nclients.rate = [1e9]", "e.toml: grid.clients.rate: over 2000000 requests"),
        (HEAD + "[grid]\nmodule.SUBSET_MOST = ['x']", "e.toml: grid.module.SUBSET_MOST: not a number"),
    ],
)
def test_invalid_experiments_are_rejected_before_running(text, wrong):
    with pytest.raises(ExperimentError) as error:
        experiment = parse(text.encode(), "e.toml")
        for cell in experiment.cells():
            run_of(load(experiment.scenario), cell, "e.toml")
    assert str(error.value).startswith(wrong) and "\n" not in str(error.value)


def test_a_run_too_large_for_memory_is_rejected():
    with pytest.raises(ExperimentError, match="one run would take [0-9]+ GB"):
        run_of(load("cold-restart"), (("clients.rate", 1000.0), ("length_s", 1900.0)), "e.toml")


def test_a_cell_changes_the_scenario_and_the_policy():
    experiment = parse((SMALL + "module.SUBSET_MOST = [8]\nservers.speed = [1.5]\n").encode(), "e")
    with pytest.raises(ExperimentError, match="grid.servers.speed"):
        run_of(load("cold-restart"), next(experiment.cells()), "e")
    experiment = parse((SMALL + "module.SUBSET_MOST = [8]\nservers.count = [5, 6]\n").encode(), "e")
    runs = [run_of(load("cold-restart"), cell, "e") for cell in experiment.cells()]
    assert [(r.policy, r.scenario.servers.count) for r in runs] == [
        ("random", 5),
        ("random", 6),
        ("module", 5),
        ("module", 6),
    ]
    assert all(r.constants == {"SUBSET_MOST": 8} and r.scenario.clients.rate == 20 for r in runs)
    assert experiment.runs() == 8


def test_a_results_file_is_continued_for_its_own_experiment_only(tmp_path):
    path, cell = str(tmp_path / "r.sqlite"), (("policy", "random"), ("clients.rate", 20.0))
    first = Results(path)
    first.claim("t", "d1")
    first.add(cell, 3, {"goodput": 0.5}, {"load": [1.0]}, {"cold": "held"}, 1.0)
    first.close()
    again = Results(path)
    again.claim("t", "d1")
    assert again.has(cell, 3) and not again.has(cell, 4)
    assert list(again.rows()) == [(cell, 3, {"goodput": 0.5}, {"cold": "held"})]
    with pytest.raises(ResultsError, match="holds another experiment, 't'"):
        again.claim("t", "d2")
    again.db.execute("pragma user_version = 9")
    again.close()
    with pytest.raises(ResultsError, match="results of version 9, this is 2"):
        Results(path)
    other = sqlite3.connect(tmp_path / "o.sqlite")
    other.execute("create table x (y)")
    other.close()
    with pytest.raises(ResultsError, match="not a file of results"):
        Results(str(tmp_path / "o.sqlite"))
    (tmp_path / "t.sqlite").write_text("nonsense" * 1000)
    with pytest.raises(ResultsError, match="not a database"):
        Results(str(tmp_path / "t.sqlite"))


def test_a_changed_module_is_another_experiment():
    base = load("cold-restart")
    assert digest_of(base, [b"a"]) == digest_of(base, [b"a"]) != digest_of(base, [b"b"])


@pytest.mark.parametrize(("shift", "seen"), [(0.0, False), (0.05, False), (1.0, True), (-1.0, True)])
def test_a_difference_is_significant_only_beyond_chance(shift, seen):
    rng = np.random.default_rng(5)
    noise = rng.normal(0, 0.5, (2, 40))
    noise -= noise.mean(axis=1, keepdims=True)
    d = difference(list(zip(noise[0], noise[1] + shift, strict=True)))
    assert d.significant == seen and d.low <= d.mean <= d.high and abs(d.mean - shift) < 1e-9


def test_the_false_positive_rate_is_near_its_level():
    """Scaled down: 300 comparisons without a real difference, of 20 pairs each."""
    rng = np.random.default_rng(11)
    wrong = sum(difference(list(rng.normal(0, 1, (20, 2)))).significant for _ in range(300))
    assert wrong / 300 < 0.11  # nominally 5%; a bootstrap of so few pairs exceeds it a little


def test_runs_are_paired_by_all_other_keys():
    rows = [
        ((("policy", p), ("rate", r)), seed, {"x": 10 * r + seed + (p == "b")}, {})
        for p in "ab"
        for r in (1, 2)
        for seed in range(3)
    ]
    pairs = paired(rows, "policy=a", "policy=b")
    assert len(pairs) == 6 and all(y["x"] - x["x"] == 1 for x, y in pairs)
    for a, b, text in (
        ("policy", "policy=b", "not of the form"),
        ("policy=a", "rate=1", "name different keys"),
        ("policy=z", "policy=a", "no run of it"),
        ("policy=a,rate=1", "policy=b,rate=1", "3 pairs, 5 at least"),
    ):
        with pytest.raises(CompareError, match=text):
            paired(rows, a, b)


def test_the_command_runs_continues_and_compares(tmp_path, capsys):
    """Scaled down: two policies on a small fleet for a few seconds."""
    file, out = tmp_path / "e.toml", tmp_path / "out.json"
    file.write_text(SMALL)
    assert main(["experiment", str(file), "--jobs", "2", "--json", str(out)]) == 0
    first = json.loads(out.read_text())
    assert len(first) == 4 and {r["seed"] for r in first} == {1, 2}
    file.write_text(SMALL.replace("seeds = 2", "seeds = 6"))
    assert main(["experiment", str(file), "--compare", "policy=random", "policy=random"]) == 0
    assert "no difference seen" in capsys.readouterr().out
    assert main(["experiment", str(file), "--json", str(out)]) == 0  # nothing is left to run
    assert json.loads(out.read_text())[:2] == first[:2]
    html = tmp_path / "page.html"
    assert main(["experiment", str(file), "--html", str(html)]) == 0
    page = html.read_text()
    assert page.count("<svg") >= 6
    assert not any(x in page for x in ("src=", "<script", "<link", 'href="http'))  # self-contained
    assert all(f"policy={policy}" in page for policy in ("random", "module")) and "held" in page
    for bad, text in (
        (["experiment", "/nowhere.toml"], "/nowhere.toml: No such file"),
        (["experiment", str(file), "--json", "/no/where.json"], "no such folder"),
        (["experiment", str(file), "--compare", "policy=x", "policy=random"], "'policy=x': no run of it"),
    ):
        assert main(bad) == 2
        err = capsys.readouterr().err
        assert text in err and err.count("\n") == 1


@pytest.mark.parametrize(
    ("goodput", "seconds"),
    [
        ([1.0] * 10 + [0.2] * 3 + [0.5] * 2 + [0.98] * 10, 3.0),  # recovers 3 s after the surge ends at 12
        ([1.0] * 10 + [0.2] * 3 + [0.9] * 12, 13.0),  # never recovers: counts to the end of the run
        ([0.5] * 10 + [0.2] * 2 + [0.5] * 13, 0.0),  # relative to the goodput before the surge
    ],
)
def test_recovery_is_measured_from_the_end_of_the_surge(goodput, seconds):
    from brackenladder.fleet.figures import recovery
    from brackenladder.rehearsal.scenario import parse as scenario

    text = 'title = "x"\nlength_s = 25\n[clients]\nsurges = [{at_s = 10, for_s = 2, times = 2.0}]\n'
    assert recovery(scenario(text.encode(), "x"), goodput) == seconds
