"""The plan of a run: the same for the same seed, and as the scenario specifies."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from rehearsal.playing import small

from brackenladder.rehearsal.plan import DEPLOY_AT_ONCE, MIN_FAULT_GAP, describe_plan, plan_of
from brackenladder.rehearsal.scenario import ANSWER_FAULTS, load, shipped

SEEDS = st.integers(0, 1 << 40)
NAMES = st.sampled_from(shipped())


@given(NAMES, SEEDS)
@settings(max_examples=30, deadline=None)
def test_one_seed_gives_one_schedule_to_the_microsecond(name: str, seed: int) -> None:
    scenario = load(name)
    first, second = plan_of(scenario, seed), plan_of(scenario, seed)
    assert msgspec.json.encode(first) == msgspec.json.encode(second)
    assert describe_plan(scenario, first) == describe_plan(scenario, second)


def test_another_seed_gives_another_schedule() -> None:
    scenario = load("rolling-deploy")
    assert plan_of(scenario, 1).steps != plan_of(scenario, 2).steps
    assert plan_of(scenario, 1).requests != plan_of(scenario, 2).requests


@given(NAMES, SEEDS)
@settings(max_examples=60, deadline=None)
def test_faults_of_one_kind_do_not_overlap_at_one_server(name: str, seed: int) -> None:
    """If they overlapped, the end of one would undo the other, e.g. open a port too early."""
    plan = plan_of(load(name), seed)
    servers = {s.id for s in plan.servers}
    steps = [s for s in plan.steps if s.target in servers]
    for i, one in enumerate(steps):
        for other in steps[i + 1 :]:
            alike = (one.kind in ANSWER_FAULTS) == (other.kind in ANSWER_FAULTS)
            if one.target == other.target and alike:
                assert one.end + MIN_FAULT_GAP <= other.at or other.end + MIN_FAULT_GAP <= one.at


@given(SEEDS)
@settings(max_examples=40, deadline=None)
def test_a_deploy_takes_down_a_part_at_a_time_and_each_has_a_cold_successor(seed: int) -> None:
    scenario = load("rolling-deploy")
    plan = plan_of(scenario, seed)
    servers = {s.id: s for s in plan.servers}
    drains = [s for s in plan.steps if s.kind == "drain"]
    assert len(drains) == 11
    most = round(DEPLOY_AT_ONCE * scenario.servers.count)
    for step in drains:
        assert sum(d.at <= step.at < d.end for d in drains) <= most
        successor, old = servers[step.successor], servers[step.target]
        assert successor.born > step.end
        assert (successor.zone, successor.cell) == (old.zone, old.cell)
        assert successor.place not in {s.place for s in plan.servers if s is not successor}


def test_a_replaced_server_has_its_successor_at_its_address() -> None:
    plan = plan_of(small({"kind": "replace", "at_s": 1, "for_s": 0.5}), 1)
    step = plan.steps[0]
    servers = {s.id: s for s in plan.servers}
    assert servers[step.successor].place == servers[step.target].place
    assert servers[step.successor].born == step.end


@given(SEEDS)
@settings(max_examples=20, deadline=None)
def test_requests_arrive_in_order_within_the_run(seed: int) -> None:
    scenario = small()
    plan = plan_of(scenario, seed)
    times = [r.at for r in plan.requests]
    assert times == sorted(times) and times[-1] < plan.length
    assert len({r.id for r in plan.requests}) == len(plan.requests)
    for r in plan.requests:
        deadline = scenario.classes[r.klass].deadline_ms * 1000
        assert all(0.79 * deadline <= b <= deadline for b in r.budgets)


def test_a_plan_is_described_in_words() -> None:
    scenario = load("rolling-deploy")
    text = describe_plan(scenario, plan_of(scenario, 1))
    assert "2 nodes, 12 servers in east and west" in text[0]
    assert sum("drains, then stops" in line and "starts cold at" in line for line in text) == 11
