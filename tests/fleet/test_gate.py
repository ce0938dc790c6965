"""The gate: server overload, generated days, the verdict and the command."""

from __future__ import annotations

import json

import pytest

from brackenladder.cli.main import main
from brackenladder.fleet.days import DAYS, TIERS, day_scenario
from brackenladder.fleet.figures import worths_of
from brackenladder.fleet.gate import LATE, PLAIN, PolicyRun, judge_day
from brackenladder.fleet.model import play
from brackenladder.fleet.overload import OverloadState
from brackenladder.rehearsal.plan import MICRO, plan_of
from brackenladder.rehearsal.scenario import Choke as ChokeTable
from brackenladder.rehearsal.scenario import load, parse

TABLE = ChokeTable(
    at=4.0, over_s=2.0, slower=2.5, rest_s=3.0, below=0.3, most_s=20.0
)  # with four cores: overloaded above 12


@pytest.mark.parametrize(
    "held, slow_at",
    [
        ([(0, 12)], None),  # exactly the threshold
        ([(0, 24)], 1.1),  # 24 for 1 s give a mean of 12 over 2 s
        ([(0, 24), (0.9, 0)], None),
        ([(0, 13)], 1.9),
    ],
)
def test_a_server_becomes_slow_by_its_mean_number_of_requests(held, slow_at):
    overload = OverloadState(TABLE, 4, 0)
    slow = None
    for tenth in range(60):
        level = [count for at, count in held if at * 10 <= tenth][-1]
        overload.observe(tenth * MICRO // 10, level, min(4, level))
        if overload.slow and slow is None:
            slow = tenth / 10
    assert slow == slow_at


@pytest.mark.parametrize("busy, rested_at", [(0, 6.1), (1, 6.8), (2, 21.2), (4, 21.2)])
def test_it_recovers_once_idle_or_after_its_time_and_is_not_overloaded_again(busy, rested_at):
    overload = OverloadState(TABLE, 4, 0)
    for tenth in range(40):
        overload.observe(tenth * MICRO // 10, 24, 4)
    assert overload.speed == 1 / TABLE.slower
    tenth = 40
    while overload.slow:
        overload.observe(tenth * MICRO // 10, 1, busy)
        tenth += 1
    assert tenth / 10 == pytest.approx(rested_at, abs=0.5) and overload.speed == 1
    for later in range(tenth, tenth + 60):
        overload.observe(later * MICRO // 10, 24, 4)
    assert overload.speed == 1


SLOTS = """title = "slots"
length_s = 3
nodes = 1
tiers = 2
zones = ["east"]
[servers]
count = 1
cores = 1
speed = [1, 1]
slots = 4
tier_work = [0.5, 1.0]
[clients]
rate = 10
retries = 0
"""


def test_with_slots_a_core_is_free_while_the_next_tier_works():
    """Work of 50 and 100 ms on one core each; holding the core during calls allows 6.7 requests a second."""
    text = SLOTS + "[[classes]]\nname = 'view'\neffect = 'safe'\nwork_ms = [100, 100]\n"
    served = {}
    for slots in ("0", "4"):
        result = play(parse(text.replace("slots = 4", f"slots = {slots}").encode(), "here"), 3)
        served[slots] = worths_of(parse(text.encode(), "here"), result)["all"][0]
    assert served["4"] > served["0"]


def test_a_fault_hits_its_targets_in_waves():
    text = "title = 'w'\nnodes = 20\nlength_s = 20\n[[faults]]\nkind = 'node-term'\nat_s = 2\npick = 'all'\n"
    steps = plan_of(parse((text + "waves = 4\nspread_s = 8\n").encode(), "here"), 1).steps
    assert [step.at / MICRO for step in steps] == [2.0] * 5 + [4.0] * 5 + [6.0] * 5 + [8.0] * 5
    assert len({step.target for step in steps}) == 20


@pytest.mark.parametrize("name", DAYS)
def test_days_are_reproducible_and_within_the_deployments_ranges(name):
    for seed in range(4):
        scenario = day_scenario(name, seed, 200)
        assert scenario == day_scenario(name, seed, 200) != day_scenario(name, seed + 1, 200)
        assert plan_of(scenario, seed).steps or name == "calm"
        with_nodes = scenario.nodes + (TIERS - 1) * scenario.servers.count
        assert 195 <= with_nodes <= 200 and 0.12 <= scenario.servers.cold_share <= 0.36
    with pytest.raises(ValueError, match="no day"):
        day_scenario("monday", 1, 200)
    with pytest.raises(ValueError, match="at the least"):
        day_scenario(name, 1, 3)


def run(share, *, weight=0.2, klass=None, broke="", faults=0):
    worths = {"all": (share, 1.0), "view": (share if klass is None else klass, weight)}
    verdicts = dict.fromkeys(("lost", "effect", "drain", "cold"), "held") | (
        {broke: "broke"} if broke else {}
    )
    return PolicyRun(worths, verdicts, 0.5, faults)


@pytest.mark.parametrize(
    "name, module, late, plain, wrong",
    [
        ("roll", run(0.41), run(0.8), None, ()),
        (
            "roll",
            run(0.39),
            run(0.8),
            None,
            ("served 0.390, 0.400 wanted", "class view served 0.390, 0.400 wanted"),
        ),
        ("calm", run(0.71), run(0.8), run(0.9), ()),
        ("calm", run(0.69), run(0.8), run(0.9), ("served 0.690, 0.700 wanted",)),
        ("calm", run(0.44), run(0.8), run(0.5), ("served 0.440, 0.450 wanted",)),
        ("roll", run(0.6, klass=0.3), run(0.8), None, ("class view served 0.300, 0.400 wanted",)),
        ("roll", run(0.6, klass=0.3, weight=0.04), run(0.8, weight=0.04), None, ()),
        ("roll", run(0.6, klass=0.1), run(0.8, klass=0.29), None, ()),
        ("herd", run(0.6, broke="cold", faults=2), run(0.8), None, ("cold broke", "2 nodes failed")),
    ],
)
def test_the_verdict_follows_the_gates_criteria(name, module, late, plain, wrong):
    assert judge_day(name, module, {LATE: late} | ({PLAIN: plain} if plain else {})).wrong == wrong


def test_the_command_passes_the_module_and_fails_a_policy_that_overloads_cold_servers(tmp_path, capsys):
    kept, told = str(tmp_path / "gate.sqlite"), tmp_path / "gate.json"
    asked = ["gate", "--seeds", "1", "--nodes", "24", "--day", "roll", "--jobs", "2", "--results", kept]
    assert main([*asked, "--json", str(told)]) == 0
    assert "GATE passed" in capsys.readouterr().out
    assert json.loads(told.read_bytes())[0]["played"]["verdicts"]["drain"] == "held"
    assert main([*asked, "--policy", "least-of-two"]) == 1
    assert "GATE failed: cold broke, standing-roll, seed 1" in capsys.readouterr().out
    for wrong in ("5-1", "x", "1-99999999"):
        assert main(["gate", "--seeds", wrong]) == 2
        assert capsys.readouterr().err.startswith("brackenladder: --seeds: ")


def test_written_days_equal_those_that_are_run(tmp_path):
    assert main(["gate", "--write", str(tmp_path), "--seeds", "1-3", "--nodes", "30"]) == 0
    for name in DAYS:
        for seed in (1, 2, 3):
            assert load(str(tmp_path / f"{name}-{seed}.toml")) == day_scenario(name, seed, 30)
