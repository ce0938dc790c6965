"""Runs in virtual time: reproducible by seed, no false alarms, and planted faults break their rule."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys

import pytest

from brackenladder.cli.main import main
from brackenladder.core.host import Host
from brackenladder.fleet.model import Fleet, play, unsupported
from brackenladder.interface import Outcome
from brackenladder.policy.balancer import Balancer
from brackenladder.rehearsal.checker import check
from brackenladder.rehearsal.events import ENCODER, Answered, Sent
from brackenladder.rehearsal.report import terms_of
from brackenladder.rehearsal.scenario import load, parse


def run_and_check(name: str, seed: int = 1):
    scenario = load(name)
    result = play(scenario, seed)
    return result, check(result.events, terms_of(scenario))


@pytest.mark.parametrize("name", ["rolling-deploy", "cold-restart", "refuse", "late-list"])
@pytest.mark.parametrize("seed", range(4))
def test_no_false_alarm(name, seed):
    result, report = run_and_check(name, seed)
    assert report.breaks == () and not result.crashed
    assert report.verdicts["lost"] == "held"
    if name == "rolling-deploy":
        assert set(report.verdicts.values()) == {"held"}


def digest(name: str, seed: int) -> str:
    return hashlib.sha256(ENCODER.encode_lines(play(load(name), seed).events)).hexdigest()


def test_a_seed_gives_byte_identical_events_in_every_process():
    script = (
        "import sys; sys.path.insert(0, 'tests'); from fleet.test_model import digest;"
        "print(digest('refuse', 3))"
    )
    seen = {
        subprocess.run(
            [sys.executable, "-c", script],
            env=dict(os.environ) | {"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        for seed in ("1", "77")
    }
    assert seen == {digest("refuse", 3)} != {digest("refuse", 4)}


def floods(self, now, r):
    """Sends every request to a cold server, which looks idle."""
    cold = [srv for srv in self.eligible if srv.cold_until > now]
    return cold[0] if cold and r.ran_on is None else DRAW(self, now, r)


def repeats(self, now, request, attempt, server, outcome, latency, final, report):
    """Treats a reset, after which a call may have run, as a failed connection."""
    never = Outcome.CONNECT_FAILED if outcome == Outcome.RESET else outcome
    return REAL_OUTCOME(self, now, request, attempt, server, never, latency, final, report)


REAL_OUTCOME, DRAW = Balancer.outcome, Balancer.draw


@pytest.mark.parametrize(
    ("what", "put", "name", "rule"),
    [
        ("draw", floods, "cold-restart", "cold"),
        ("outcome", repeats, "rolling-deploy", "effect"),
    ],
)
def test_a_module_with_a_planted_fault_breaks_its_rule(what, put, name, rule, monkeypatch):
    monkeypatch.setattr(Balancer, what, put)
    verdicts = [run_and_check(name, seed)[1].verdicts for seed in range(3)]
    assert any(v[rule] == "broke" for v in verdicts)
    assert all(v[other] != "broke" for v in verdicts for other in v if other != rule)


def test_a_node_that_sends_to_drained_servers_breaks_the_rule(monkeypatch):
    from brackenladder.core.roster import Roster

    sound = Roster.apply_listing
    monkeypatch.setattr(
        Roster, "apply_listing", lambda self, listing: sound(self, listing) if listing.kind else None
    )  # ignores changes; takes the full list at the start
    assert run_and_check("rolling-deploy")[1].verdicts["drain"] == "broke"


def test_the_guard_answers_a_forgotten_call_at_its_deadline(monkeypatch):
    monkeypatch.setattr(Balancer, "request", lambda *args: None)
    scenario = load("refuse")
    fleet = Fleet(scenario, 1)
    result = fleet.run()
    assert set(result.crashed) == {"n0", "n1"}  # an answer by the guard counts as a fault of the run
    answers = {e.id: e for e in result.events if isinstance(e, Answered)}
    sent = {e.id: e for e in result.events if isinstance(e, Sent)}
    assert answers and all(e.t <= sent[e.id].t + sent[e.id].budget + 20_000 for e in answers.values())


@pytest.mark.parametrize("fault", ["restart", "deploy"])
def test_hundreds_of_nodes_do_not_overload_one_cold_server(fault):
    """Prevents an overload by many nodes that each send little. Scaled down: 9 s, 20 servers."""
    text = (
        'title = "fleet"\nlength_s = 9\nnodes = 300\n[servers]\ncount = 20\n[clients]\nrate = 250\n'
        f'[[faults]]\nkind = "{fault}"\nat_s = 0.5\nfor_s = 1\npick = 1\n'
    )
    scenario = parse(text.encode(), "here")
    result = play(scenario, 1)
    report = check(result.events, terms_of(scenario))
    assert report.breaks == () and report.rulings["cold"].chances and not result.crashed
    assert result.counts["served"] > 900


def test_scenarios_that_are_too_large_are_rejected(tmp_path, capsys):
    file = tmp_path / "large.toml"
    for where, size, wrong in (
        ("sockets", "nodes = 41", "nodes: 41, but sockets allow 40: run it with --in model"),
        ("sockets", "[servers]\ncount = 201", "servers.count: 201, but sockets allow 200"),
        ("model", "nodes = 2000\n[servers]\ncount = 10000", "servers they would take 17 GB"),
        ("model", "length_s = 3000\n[clients]\nrate = 600", "clients.rate: one run would take 10 GB"),
    ):
        file.write_text(f'title = "large"\n{size}\n')
        assert main(["rehearse", str(file), "--in", where]) == 2
        err = capsys.readouterr().err
        assert wrong in err and err.count("\n") == 1


def test_unsupported_parts_are_named():
    assert unsupported(load("silent-clients")) == ["faults of kind 'silent-clients'"]
    assert any("transport" in text for text in unsupported(load("refuse-rpc")))


def test_the_model_uses_the_real_host():
    assert isinstance(Fleet(load("refuse"), 1).nodes["n0"].host, Host)
