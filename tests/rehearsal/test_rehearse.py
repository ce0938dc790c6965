"""Whole rehearsals: no fault makes this build's node break a rule; each faulty node breaks one.

A case asserts verdicts only for rules that its schedule exercises in every run, so that the result is stable.
"""

from __future__ import annotations

import pytest
from rehearsal.cases import FAULTS, RIGHT, ROGUES, RPC, RPC_ROGUES
from rehearsal.conftest import Runs

from brackenladder.rehearsal.checker import RULES
from brackenladder.rehearsal.events import Arrived, Begun, Closed, Datagram, Fault, Partial, Replied, Told, Up
from brackenladder.rehearsal.plan import plan_of
from brackenladder.rehearsal.report import notes

DOUBT = ("lost", "effect")
DRAIN = ("lost", "drain")
COLD = ("lost", "cold")

# The rules that a case exercises in every run; 'lost' only, if a case isn't listed.
HELD = {
    "stall": DOUBT,
    "stall-head": DOUBT,
    "stall-body": DOUBT,
    "drip": DOUBT,
    # With RPC, servers don't see that the node gave up a call, so the rule `effect` is rarely exercised.
    "stall-rpc": ("lost",),
    "stall-head-rpc": ("lost",),
    "stall-body-rpc": ("lost",),
    "drip-rpc": ("lost",),
    "reset-late": DOUBT,
    "reset-answer": DOUBT,
    "error": DOUBT,
    "restart": COLD,
    "replace": COLD,
    "drain": DRAIN,
    "drain-answering": DRAIN,
    "deploy": ("lost", "drain", "cold"),
    "old-list": DRAIN,
    "node-move": DRAIN,
    "node-stall": DRAIN,
    "right-drain": DRAIN,
    "right-reset": DOUBT,
    "right-cold": COLD,
    "right-peers": DRAIN,
}

QUIET = {"calm", "leaving", "calm-rpc", "leaving-rpc"}  # cases without a fault

# For each faulty node the rule that it breaks, and how.
BROKEN = {
    "twice": ("effect", "repeat"),
    "overlap": ("effect", "overlap"),
    "retries": ("effect", "repeat"),
    "outside": ("effect", "outside"),
    "window": ("effect", "window"),
    "refuses": ("effect", "refused"),
    "loses": ("lost", "cut off"),
    "answers-twice": ("lost", "answered twice"),
    "late": ("lost", "late"),
    "makes-up": ("lost", "made up"),
    "after": ("lost", "sent after"),
    "drained": ("drain", "sent"),
    "floods": ("cold", "pushed"),
    "peer-drains": ("drain", "sent"),
    "swapped": ("lost", "made up"),
    "half-written": ("effect", "repeat"),
    "notifies": ("effect", "repeat"),
}


@pytest.mark.parametrize("case", sorted(FAULTS | RIGHT | RPC))
def test_a_correct_node_breaks_no_rule(case: str, runs: Runs) -> None:
    result, report, _ = runs[case]
    assert report.breaks == ()
    assert not result.crashed
    for rule in HELD.get(case) or HELD.get(case.removesuffix("-rpc"), ("lost",)):
        assert report.verdicts[rule] == "held", (rule, report.rulings[rule])


@pytest.mark.parametrize("case", sorted(set(FAULTS | RPC) - QUIET))
def test_the_fault_happens_as_planned(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    planned = sorted((s.kind, s.target) for s in plan_of((FAULTS | RPC)[case].scenario, 1).steps)
    happened = [e for e in result.events if isinstance(e, Fault)]
    assert sorted((e.kind, e.target) for e in happened) == planned
    for fault in happened:
        step = next(s for s in result.plan.steps if (s.kind, s.target) == (fault.kind, fault.target))
        assert fault.t >= result.begin + step.at  # never early


@pytest.mark.parametrize("case", sorted(BROKEN))
def test_a_faulty_node_breaks_its_rule_and_no_other(case: str, runs: Runs) -> None:
    _, report, _ = runs[case]
    rule, what = BROKEN[case]
    assert [r for r in RULES if report.verdicts[r] == "broke"] == [rule]
    assert (rule, what) in {(f.rule, f.what) for f in report.breaks}
    assert {f.rule for f in report.breaks} == {rule}


def test_every_faulty_node_is_expected_to_break_something() -> None:
    assert set(BROKEN) | {"crashes"} == set(ROGUES | RPC_ROGUES)


@pytest.mark.parametrize("case", ["crashes"])
def test_a_node_that_ends_by_itself_has_crashed(case: str, runs: Runs) -> None:
    result, report, _ = runs[case]
    assert result.crashed == {"n0": [3]}
    assert "broke" not in report.verdicts.values()  # clients retry what a crashed node held


@pytest.mark.parametrize("case", ["stall-head", "stall-body", "drip", "reset-answer"])
def test_answers_that_break_off_had_begun(case: str, runs: Runs) -> None:
    """The first part is recorded after the request had come whole, and before the end of the attempt."""
    result, _, _ = runs[case]
    arrived = {e.attempt: e.t for e in result.events if isinstance(e, Arrived)}
    ends = {e.attempt: e.t for e in result.events if isinstance(e, Replied | Closed)}
    begun = [e for e in result.events if isinstance(e, Begun)]
    assert begun
    for event in begun:
        assert arrived[event.attempt] <= event.t <= ends.get(event.attempt, event.t)
    whole = len(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 512\r\n\r\n")
    if case == "stall-head":
        assert all(0 < e.bytes < whole for e in begun)
    elif case != "drip":
        assert all(whole < e.bytes < whole + 512 for e in begun)


# ---- effects of single faults -------------------------------------------------------------------------


@pytest.mark.parametrize("case", ["stall-body"])
def test_an_unsafe_request_whose_answer_stalls_partway_has_failed(case: str, runs: Runs) -> None:
    """It may have run, so it is neither refused nor sent again."""
    result, _, _ = runs[case]
    scenario = FAULTS[case].scenario
    sent = {e.id: e for e in result.events if type(e).__name__ == "Sent"}
    answers = {e.id: e.status for e in result.events if type(e).__name__ == "Answered"}
    attempts = [e for e in result.events if isinstance(e, Arrived)]
    given_up = {e.id for e in result.events if isinstance(e, Closed) and e.by == "node"}
    unsafe = [i for i in given_up if scenario.classes[sent[i].klass].effect == "unsafe"]
    assert unsafe
    for name in unsafe:
        assert answers.get(name) not in (200, 429, 503)
        assert sum(a.id == name for a in attempts) == 1


@pytest.mark.parametrize("case", ["reset-early"])
def test_a_reset_before_the_last_byte_leaves_a_partial_request(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    assert any(isinstance(e, Partial) for e in result.events)


@pytest.mark.parametrize("case", ["reject", "error"])
def test_servers_reject_or_fail(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    how = {"reject": "rejected", "error": "error"}[case]
    assert any(isinstance(e, Replied) and e.how == how for e in result.events)


@pytest.mark.parametrize("case", ["restart", "replace"])
def test_a_server_comes_back_cold(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    step = result.plan.steps[0]
    name = step.successor or step.target
    up = [e for e in result.events if isinstance(e, Up) and e.server == name][-1]
    assert up.warm and up.started
    listed = {s for e in result.events if isinstance(e, Told) for s in e.servers}
    assert (name, "ready", up.started) in listed  # the list has the start time of this process
    assert any(isinstance(e, Arrived) and e.server == name and e.t > up.t for e in result.events)


@pytest.mark.parametrize("case", ["drain-answering"])
def test_answers_are_written_at_the_moment_of_the_drain(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    step = result.plan.steps[0]
    moment = result.begin + step.at
    told = [e for e in result.events if isinstance(e, Told)]
    drains = [e.t for e in told if any(s[:2] == (step.target, "draining") for s in e.servers)]
    assert drains and min(drains) >= moment
    # Answers that were ready earlier are held back until the drain.
    speed = next(s.speed for s in result.plan.servers if s.id == step.target)
    arrived = {e.attempt: e.t + e.work / speed for e in result.events if isinstance(e, Arrived)}
    replied = [e for e in result.events if isinstance(e, Replied) and e.server == step.target]
    assert any(arrived[e.attempt] < moment - 20_000 and e.t >= moment for e in replied)


@pytest.mark.parametrize("case", ["half-list"])
def test_half_a_list_leaves_out_half(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    told = [e for e in result.events if isinstance(e, Told)]
    half = next(e for e in told if e.full and len(e.servers) == 2)
    left_out = {s.id for s in result.plan.servers} - {name for name, _, _ in half.servers}
    later = [e for e in told if e.version > half.version]
    assert left_out == {name for e in later for name, state, _ in e.servers if state == "ready"}


@pytest.mark.parametrize("case", ["old-list"])
def test_an_old_list_has_an_old_version(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    versions = [e.version for e in result.events if isinstance(e, Told)]
    assert any(later < earlier for earlier, later in zip(versions, versions[1:], strict=False))


@pytest.mark.parametrize("case", ["datagrams-lost"])
def test_the_notes_say_that_a_node_sent_no_datagrams(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    assert any(
        line.startswith("the nodes sent one another no datagrams")
        for line in notes(FAULTS[case].scenario, result)
    )


@pytest.mark.parametrize("case", ["peer-drains"])
def test_datagrams_that_are_sent_are_lost(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    assert {e.fate for e in result.events if isinstance(e, Datagram)} >= {"lost"}
    assert any("datagrams between nodes were affected" in x for x in notes(ROGUES[case].scenario, result))


@pytest.mark.parametrize("case", ["right-peers"])
def test_datagrams_pass_where_nothing_breaks(case: str, runs: Runs) -> None:
    result, _, _ = runs[case]
    assert {e.fate for e in result.events if isinstance(e, Datagram)} == {"passed"}
