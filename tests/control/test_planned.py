"""Tests of differences, of the checks of a change, and of plans, without a node."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.control.diff import apply_differences, differences
from brackenladder.control.guard import check_change
from brackenladder.control.plan import (
    HISTORY,
    AppliedChange,
    LiveState,
    PlanRefused,
    append_history,
    check_plan,
    encode_plan,
    make_plan,
    parse_plan,
)  # fmt: skip
from brackenladder.control.state import (
    DEFAULT_STATE,
    MAX_FILE_BYTES,
    DesiredState,
    StateError,
    canonical,
    digest,
    parse_state,
    warnings,
)  # fmt: skip
from brackenladder.interface import State
from brackenladder.membership.listing import Line
from brackenladder.routing.pools import DEFAULT, PoolSpec
from brackenladder.routing.routes import RouteSpec

CLASSES, TENANTS = ("view", "offer"), ("acme", "zeta")


def line(name: str, state: State = State.READY, kind: str = "std", zone: str = "a") -> Line:
    return Line(name, "127.0.0.1", 1, zone, kind, 0, state, 1.0, 0)


def live(
    state: DesiredState = DEFAULT_STATE, lines: int | list[Line] = 10, calls: int = 0, history=()
) -> LiveState:
    lines = [line(f"s{i}") for i in range(lines)] if isinstance(lines, int) else lines
    return LiveState(state, tuple(lines), dict.fromkeys(state.pools, calls), CLASSES, TENANTS, tuple(history))


def toml(text: str) -> DesiredState:
    return parse_state(text.encode())


POOLS = st.builds(
    PoolSpec,
    zones=st.lists(st.sampled_from("abc"), max_size=2).map(tuple),
    weights=st.dictionaries(
        st.sampled_from(["kind:std", "kind:big", "server:1"]), st.floats(0, 10), max_size=3
    ),
    limit=st.integers(0, 50),
    part=st.sampled_from([(0.0, 1.0), (0.0, 0.05), (0.25, 0.5)]),
)


@st.composite
def states(draw) -> DesiredState:
    pools = draw(st.dictionaries(st.sampled_from(["canary", "big", "10"]), POOLS, max_size=3))
    pools[DEFAULT] = draw(POOLS)
    names = sorted(pools)
    routes = draw(
        st.lists(
            st.builds(
                RouteSpec,
                classes=st.lists(st.sampled_from(CLASSES), max_size=2).map(tuple),
                prefix=st.sampled_from(["", "/view/1"]),
                to=st.sampled_from([{name: 1.0} for name in names] + [{names[0]: 0.25, names[-1]: 0.75}]),
            ),
            max_size=12,
        )
    )
    routes = [route for route in routes if abs(sum(route.to.values()) - 1) < 1e-9]
    return DesiredState(pools=pools, routes=tuple(routes))


@given(states(), states())
def test_applying_the_differences_to_the_old_state_gives_the_new_one(old, new):
    changes = differences(old, new)
    copies = msgspec.json.decode(msgspec.json.encode(changes), type=list[type(changes[0])]) if changes else []
    assert apply_differences(old, copies) == new and (not changes) == (old == new)
    assert [c.key for c in differences(new, old)] == [c.key for c in changes]  # same keys, same order
    assert digest(canonical(old)) != digest(canonical(new)) or old == new


@given(states(), states(), states())
def test_a_plan_from_another_state_is_refused(base, new, current):
    plan = make_plan(live(base, 0), new, sorted(new.pools))
    if current == base:
        return
    with pytest.raises(PlanRefused):
        check_plan(live(current, 0), parse_plan(encode_plan(plan)))


def test_a_plan_is_accepted_once():
    desired = toml("[pools.canary]\npart = [0.0, 0.5]\n[[routes]]\nto = { canary = 0.1, default = 0.9 }\n")
    current = live()
    plan = parse_plan(encode_plan(make_plan(current, desired)))
    assert not plan.findings and check_plan(current, plan) == desired
    with pytest.raises(PlanRefused, match="already applied"):
        check_plan(live(desired), plan)
    other = toml("[pools.default]\nlimit = 5\n")
    change = AppliedChange(0.0, 7, plan.base, digest(canonical(other)), ("pools.default.limit",))
    with pytest.raises(PlanRefused, match=r"changed since: pools\.default\.limit"):
        check_plan(live(other, history=[change]), plan)
    assert len(append_history([change] * HISTORY, change)) == HISTORY


EDITS = [
    (b'"limit"', b'"part"'),
    (b'"canary"', b'"canarx"'),
    (b"2", b"3"),
    (b"[", b""),
    (b'"version": 1', b'"version": 9'),
]


@pytest.mark.parametrize("edit", EDITS, ids=lambda edit: edit[1].decode())
def test_a_plan_that_was_edited_is_refused(edit):
    data = encode_plan(make_plan(live(), toml("[pools.canary]\nlimit = 2\n")))
    assert parse_plan(data) and edit[0] in data
    for changed in (data.replace(*edit, 1), data[:-30], b""):
        with pytest.raises(PlanRefused):
            parse_plan(changed)


SIX = [line(f"s{i}") for i in range(6)]
DRAINING = [line("s0", State.DRAINING), line("s1", State.DRAINING), *SIX[2:]]
EMPTY = '[pools.c]\nzones = ["x"]\n'
HALF = "[pools.default.weights]\n" + "".join(f'"server:s{i}" = 0\n' for i in range(3))
TO_EMPTY = '[[routes]]\nclasses = ["view"]\nto = { c = 1.0 }\n'
GUARDED = {
    "nothing": ("", SIX, 9, set()),
    "all weights nothing": ('[pools.default.weights]\n"kind:std" = 0\n', SIX, 9, {"empty", "class"}),
    "a third out": ('[pools.default.weights]\n"server:s1" = 0\n"server:s2" = 0\n', SIX, 9, set()),
    "half out": (HALF, SIX, 0, {"drained"}),
    "with those that drain": ('[pools.default.weights]\n"server:s5" = 0\n', DRAINING, 9, {"drained"}),
    "only those that drain": ("[pools.default]\nlimit = 9\n", DRAINING, 9, set()),
    "less capacity, calls open": ('[pools.default.weights]\n"kind:std" = 0.4\n', SIX, 9, {"capacity"}),
    "less capacity, none open": ('[pools.default.weights]\n"kind:std" = 0.4\n', SIX, 0, set()),
    "an empty canary": (EMPTY + "[[routes]]\nto = { c = 0.1, default = 0.9 }\n", SIX, 0, {"empty"}),
    "an empty pool that nothing uses": (EMPTY, SIX, 0, set()),
    "a class to an empty pool": (EMPTY + TO_EMPTY, SIX, 0, {"empty", "class"}),
}


@pytest.mark.parametrize("name", GUARDED)
def test_rules_that_a_change_violates(name):
    text, lines, calls, rules = GUARDED[name]
    desired = toml(text)
    found = check_change(DEFAULT_STATE, desired, lines, {DEFAULT: calls}, CLASSES, TENANTS)
    assert {finding.rule for finding in found} == rules
    empty = {f.of for f in found if f.rule == "empty"}
    allowed = check_change(DEFAULT_STATE, desired, lines, {DEFAULT: calls}, CLASSES, TENANTS, empty)
    assert not {f.rule for f in allowed} & {"empty", "class"}


def test_a_plan_stays_valid_when_servers_change_unless_a_rule_is_violated():
    desired = toml('[pools.default.weights]\n"server:s0" = 0\n')
    plan = make_plan(live(), desired)
    assert check_plan(live(lines=[line(f"t{i}") for i in range(30)]), plan) == desired
    with pytest.raises(PlanRefused, match="no ready server"):
        check_plan(live(lines=[line("s0")]), plan)
    refused = make_plan(live(lines=[line("s0")]), desired)
    assert refused.findings
    with pytest.raises(PlanRefused, match="make a new plan"):
        check_plan(live(), refused)


WRONG = {
    "nothing of it = 1": "nothing: not a known key|not TOML",
    "[pools.default]\nlimt = 1\n": "pools.default.limt: not a known key",
    "[pools.default]\nlimit = -1\n": "pools.default.limit: ",
    "[pools.default]\nlimit = 'x'\n": "pools.default.limit: ",
    "[pools.default]\npart = [0.5, 0.5]\n": "pools.default.part: 0.5 is not below 0.5",
    "[pools.default]\npart = [0.5]\n": "pools.default.part: ",
    "[pools.default.weights]\n'kind:std' = 11\n": "pools.default.weights",
    "[pools.default.weights]\n'std' = 1\n": "pools.default.weights.std: neither",
    "[pools.Bad]\n": "pools.Bad: ",
    "[[routes]]\n": "routes.*to: missing",
    "[[routes]]\nto = {}\n": "routes",
    "[[routes]]\nto = { nowhere = 1.0 }\n": r"routes\[0\].to.nowhere: no pool",
    "[[routes]]\nto = { default = 0.5 }\n": r"routes\[0\].to: the shares come to 0.5",
    "[[routes]]\nto = { default = 1.0 }\nsticky = 'mood'\n": r"routes\[0\].sticky",
    "routes = 1": "routes: ",
    "\xff": "not TOML",
    "#" * (MAX_FILE_BYTES + 1): "over",
}


@pytest.mark.parametrize("text", WRONG, ids=lambda text: text[:40])
def test_an_invalid_file_is_reported_in_one_line_with_the_key(text):
    with pytest.raises(StateError, match=WRONG[text]) as caught:
        parse_state(text.encode("latin-1"))
    assert "\n" not in str(caught.value)


def test_unknown_names_are_errors_and_unused_pools_are_warned_of():
    for key, name in (("classes", "nope"), ("tenants", "nobody")):
        desired = toml(f'[[routes]]\n{key} = ["{name}"]\nto = {{ default = 1.0 }}\n')
        with pytest.raises(StateError, match=rf"routes\[0\].{key}: no .* '{name}'"):
            make_plan(live(), desired)
    with pytest.raises(StateError, match="--allow-empty x"):
        make_plan(live(), DEFAULT_STATE, ["x"])
    assert warnings(toml("[pools.spare]\n")) == ["pools.spare: no route uses it"]
