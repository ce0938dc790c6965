"""The schedule search: generation, shrinking, the corpus, and that it finds a planted fault."""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenladder.cli.main import main
from brackenladder.fleet.schedule_search import Corpus, PlayedSchedule, minimal_break, play_schedule
from brackenladder.fleet.schedules import digest, mutate, random_schedule, reductions, shrink, to_scenario
from brackenladder.policy.balancer import Balancer
from brackenladder.rehearsal.scenario import ScenarioError

FOUND = Path(__file__).parent / "found"


@given(st.integers(0, 10**9))
@settings(max_examples=100, deadline=None)
def test_schedules_are_valid_and_reproducible_by_seed(seed):
    schedule = random_schedule(Random(seed))
    assert to_scenario(schedule) is not None and random_schedule(Random(seed)) == schedule
    before = repr(schedule)
    changed = [mutate(schedule, Random(seed + i)) for i in range(5)]
    assert repr(schedule) == before  # mutation works on a copy
    assert sum(to_scenario(c) is not None for c in changed) >= 1
    for less in reductions(schedule):
        assert less != schedule


@given(st.integers(0, 10**6))
@settings(max_examples=20, deadline=None)
def test_shrinking_ends_with_a_minimal_schedule(seed):
    """The property to keep here: a restart fault and at least three servers."""

    def shows(schedule):
        return schedule["servers"]["count"] >= 3 and any(f["kind"] == "restart" for f in schedule["faults"])

    schedule = random_schedule(Random(seed))
    schedule["faults"][0]["kind"] = "restart"
    schedule["servers"]["count"] = max(3, schedule["servers"]["count"])
    least, tried = shrink(schedule, shows)
    assert shows(least) and tried <= 300
    assert len(least["faults"]) == 1 and least["servers"]["count"] == 3 and least["nodes"] == 1


def floods(self, now, r):
    cold = [srv for srv in self.eligible if srv.cold_until > now]
    return cold[0] if cold and r.ran_on is None else DRAW(self, now, r)


DRAW = Balancer.draw


def test_a_planted_fault_is_found_and_shrunk(monkeypatch):
    """Scaled down: the first break among at most 200 schedules, shrunk in at most 40 steps."""
    monkeypatch.setattr("brackenladder.fleet.schedules.MAX_SHRINKS", 40)
    monkeypatch.setattr(Balancer, "draw", floods)
    rng = Random(1)
    found = next(
        j for j in (play_schedule(random_schedule(rng), "module") for _ in range(200)) if "cold" in j.broke
    )
    least = minimal_break(found.schedule, "cold", "module")
    assert "cold" in play_schedule(least.schedule, "module").broke
    assert len(least.schedule["faults"]) <= 2 and least.schedule["nodes"] <= found.schedule["nodes"]
    assert minimal_break(found.schedule, "cold", "module", until=0.0).schedule == found.schedule
    monkeypatch.undo()
    assert "cold" not in play_schedule(least.schedule, "module").broke


@pytest.mark.parametrize("path", sorted(FOUND.glob("*.toml")), ids=lambda p: p.stem)
def test_schedules_found_earlier_no_longer_break_a_rule(path):
    found = play_schedule(tomllib.loads(path.read_text()), "module")
    assert found.valid and found.broke == ()


def test_a_corpus_is_reloaded_and_keeps_the_nearest(tmp_path):
    corpus = Corpus(str(tmp_path / "hunt"))
    schedules = [random_schedule(Random(i)) for i in range(3)]
    corpus.save_nearest([PlayedSchedule(s, (), 0.5) for s in schedules])
    corpus.save("break-cold-x", schedules[0])
    assert sorted(map(digest, corpus.load())) == sorted(map(digest, [*schedules, schedules[0]]))
    corpus.save_nearest([PlayedSchedule(schedules[1], (), 0.9)])
    assert len(corpus.load()) == 2
    for text, wrong in (("{", "not TOML"), ('title = "x"', "not a schedule of a hunt")):
        (tmp_path / "hunt" / "near-bad.toml").write_text(text)
        with pytest.raises(ScenarioError, match=wrong):
            corpus.load()


def test_the_command_searches_and_continues_a_corpus(tmp_path, capsys):
    """Scaled down: one second, starting from the schedules in the corpus."""
    folder = tmp_path / "hunt"
    for i in range(3):
        Corpus(str(folder)).save(f"near-{i}", random_schedule(Random(i)))
    assert main(["hunt", "--for", "1", "--jobs", "1", "--corpus", str(folder), "--seed", "3"]) in (0, 1)
    assert int(capsys.readouterr().out.split(" schedules, ")[0].split()[-1]) >= 1
    (folder / "near-bad.toml").write_text("{")
    assert main(["hunt", "--for", "1", "--corpus", str(folder)]) == 2
    assert "near-bad.toml: not TOML" in capsys.readouterr().err
    (tmp_path / "file").write_text("")
    assert main(["hunt", "--for", "1", "--corpus", str(tmp_path / "file" / "x")]) == 2
