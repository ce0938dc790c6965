"""Scenario files: what is accepted, and a one-line error for each invalid key or file."""

from __future__ import annotations

from pathlib import Path

import pytest

from brackenladder.rehearsal.plan import plan_of
from brackenladder.rehearsal.scenario import LARGEST_FILE, ScenarioError, load, parse, shipped

GOOD = 'title = "t"\nlength_s = 4\n'


def wrong(text: str) -> str:
    with pytest.raises(ScenarioError) as e:
        parse(text.encode(), "f.toml")
    assert "\n" not in str(e.value)
    return str(e.value)


@pytest.mark.parametrize("name", shipped())
def test_every_shipped_scenario_has_a_plan_for_every_seed(name: str) -> None:
    for seed in range(1, 31):
        plan = plan_of(load(name), seed)
        assert plan.requests and plan.steps


def test_the_documented_scenarios_exist() -> None:
    promised = (
        "rolling-deploy stall-mid-answer cold-restart refuse late-list peer-lost-at-drain node-killed"
        " node-restart discovery-silent silent-clients layered members"
    )
    assert set(promised.split()) <= set(shipped())
    deploy = load("rolling-deploy")
    assert (deploy.nodes, deploy.servers.count, len(deploy.zones)) == (2, 12, 2)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "f.toml: title: missing"),
        ("title = 1", "f.toml: title: Expected `str`, got `int`"),
        ('title = "', "f.toml: not TOML: "),
        (GOOD + "lenght = 3", "f.toml: lenght: not a known key"),
        (GOOD + "nodes = 0", "f.toml: nodes: Expected `int` >= 1"),
        (GOOD + "[servers]\ncuont = 3", "f.toml: servers.cuont: not a known key"),
        (GOOD + "[servers]\nspeed = [2, 1]", "f.toml: servers.speed: the first is above the second"),
        (GOOD + "[servers]\nspeed = [0, 1]", "f.toml: servers.speed: must be above 0"),
        (GOOD + "[clients]\nbudget = [0.5, 1.5]", "f.toml: clients.budget: a part of the deadline"),
        (GOOD + "[clients]\nrate = 1e9", "f.toml: clients.rate: over 2000000 requests in the run"),
        (GOOD + "[clients]\nrate = inf", "f.toml: clients.rate: over 2000000 requests in the run"),
        (GOOD + 'zones = ["a", "a"]', "f.toml: zones: duplicate name"),
        (GOOD + 'zones = ["../x"]', "f.toml: zones[0]: Expected `str` matching regex"),
        (GOOD + 'tries = ["luck"]', "f.toml: tries[0]: Invalid enum value 'luck'"),
        (GOOD + '[[classes]]\nname = "ready"\neffect = "safe"', "f.toml: classes: 'ready' is the path"),
        (GOOD + '[[classes]]\nname = "a"\neffect = "odd"', "f.toml: classes[0].effect: Invalid enum"),
        (
            GOOD + '[[faults]]\nkind = "quake"\nat_s = 1',
            "f.toml: faults[0].kind: Invalid enum value 'quake'",
        ),
        (GOOD + '[[faults]]\nkind = "stall"', "f.toml: faults[0].at_s: missing"),
        (GOOD + '[[faults]]\nkind = "stall"\nat_s = 4', "f.toml: faults[0].at_s: not before the end at 4 s"),
        (
            GOOD + '[[faults]]\nkind = "stall"\nat_s = 1\nzone = "mars"',
            "f.toml: faults[0].zone: no zone 'mars'",
        ),
        (GOOD + '[[faults]]\nkind = "stall"\nat_s = 1\npick = 1.5', "f.toml: faults[0].pick: a whole number"),
        (GOOD + '[[faults]]\nkind = "stall"\nat_s = nan', "f.toml: faults[0].at_s"),
    ],
)
def test_an_invalid_key_is_named(text: str, message: str) -> None:
    assert wrong(text).startswith(message), wrong(text)


def test_a_file_that_is_not_text_or_too_large(tmp_path: Path) -> None:
    assert "not TOML" in wrong_file(tmp_path, b"\xff\xfe")
    assert f"over {LARGEST_FILE} bytes" in wrong_file(tmp_path, b"#" * (LARGEST_FILE + 1))
    with pytest.raises(ScenarioError, match="No such file"):
        load(str(tmp_path / "none.toml"))
    with pytest.raises(ScenarioError, match="no scenario of this name"):
        load("no-such")


def wrong_file(folder: Path, data: bytes) -> str:
    (folder / "s.toml").write_bytes(data)
    with pytest.raises(ScenarioError) as e:
        load(str(folder / "s.toml"))
    return str(e.value)


def test_a_fault_that_needs_more_targets_than_there_are() -> None:
    text = GOOD + '[[faults]]\nkind = "drain"\nat_s = 1\npick = 3\n' * 2
    with pytest.raises(ScenarioError, match=r"faults\[1\]\.pick: 3 wanted, 1 available"):
        plan_of(parse(text.encode(), "f.toml"), 1)
