"""The plan: a file that is bound to the state that it was made from; and whether it may be applied. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Any

import msgspec

from brackenladder.control.diff import Difference, apply_differences, differences
from brackenladder.control.guard import Finding, check_change, count_serving
from brackenladder.control.state import DesiredState, StateError, canonical, check_references, digest
from brackenladder.membership.listing import Line

VERSION = 1
MAX_PLAN_BYTES = 4 << 20  # bytes
HISTORY = 50  # applied changes that are remembered
NAMED = 5  # keys that a refusal names


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`base`: the digest of the state before; `result`: of the state after. `seal`: of all the rest."""

    version: int = VERSION
    base: str
    result: str
    changes: tuple[Difference, ...]
    allow_empty: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()
    rests_on: dict[str, int] = {}
    seal: str = ""


class AppliedChange(msgspec.Struct, frozen=True):
    """A change that a node has made. `at`: seconds of Unix time; `by`: the user's number."""

    at: float
    by: int
    base: str
    result: str
    keys: tuple[str, ...]


class LiveState(msgspec.Struct, frozen=True):
    """What a node is now, as far as plans go."""

    state: DesiredState
    lines: tuple[Line, ...]
    open_calls: dict[str, int]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    history: tuple[AppliedChange, ...] = ()


class PlanRefused(Exception):
    """The plan is not applied, and nothing has changed; the text says why."""


def compute_seal(plan: Plan) -> str:
    return digest(msgspec.json.encode(msgspec.structs.replace(plan, seal=""), order="deterministic"))


def make_plan(live: LiveState, desired: DesiredState, allow_empty: Collection[str] = ()) -> Plan:
    """The plan from a running node to a desired state. A StateError if the node cannot have it."""
    check_references(desired, live.classes, live.tenants)
    for name in allow_empty:
        if name not in desired.pools:
            raise StateError(f"--allow-empty {name}: no pool of this name")
    plan = Plan(
        base=digest(canonical(live.state)),
        result=digest(canonical(desired)),
        changes=tuple(differences(live.state, desired)),
        allow_empty=tuple(sorted(allow_empty)),
        findings=tuple(evaluate(live, desired, allow_empty)),
        rests_on=count_serving(desired, live.lines),
    )
    return msgspec.structs.replace(plan, seal=compute_seal(plan))


def evaluate(live: LiveState, desired: DesiredState, allow_empty: Collection[str]) -> list[Finding]:
    return check_change(
        live.state, desired, live.lines, live.open_calls, live.classes, live.tenants, allow_empty
    )


def parse_plan(data: bytes) -> Plan:
    """A plan from its file. A Refused if it is none, or not as it was written."""
    if len(data) > MAX_PLAN_BYTES:
        raise PlanRefused(f"not a plan: over {MAX_PLAN_BYTES} bytes")
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as e:
        raise PlanRefused(f"not a plan: {e}") from None
    if plan.version != VERSION:
        raise PlanRefused(f"a plan of version {plan.version}; this build reads {VERSION}")
    if plan.seal != compute_seal(plan):
        raise PlanRefused("the plan was changed after it was made: make it anew")
    return plan


def encode_plan(plan: Plan) -> bytes:
    return msgspec.json.format(msgspec.json.encode(plan, order="deterministic"), indent=1) + b"\n"


def check_plan(live: LiveState, plan: Plan) -> DesiredState:
    """The state that the plan leads to, if it may be applied now. A Refused says why not."""
    now = digest(canonical(live.state))
    if now == plan.result:
        raise PlanRefused("already applied: the node is in the state that this plan leads to")
    if now != plan.base:
        raise PlanRefused(explain_stale_plan(live.history, plan, now))
    try:
        desired = apply_differences(live.state, plan.changes)
        check_references(desired, live.classes, live.tenants)
    except StateError as e:
        raise PlanRefused(str(e)) from None
    if digest(canonical(desired)) != plan.result:
        raise PlanRefused("the plan's differences do not lead to its result: make it anew")
    found = evaluate(live, desired, plan.allow_empty)
    if found:
        raise PlanRefused("; ".join(finding.text for finding in found))
    if plan.findings:
        raise PlanRefused("the plan was refused when it was made, for what holds no more: make it anew")
    return desired


def explain_stale_plan(history: Sequence[AppliedChange], plan: Plan, now: str) -> str:
    """Why a plan from another state is refused: the changes that came in between."""
    since = [i for i, change in enumerate(history) if change.base == plan.base]
    text = f"the node is in state {now}, the plan was made from {plan.base}"
    if not since:
        return f"{text}: make it anew"
    keys = sorted({key for change in history[since[-1] :] for key in change.keys})
    more = f" and {len(keys) - NAMED} more" if len(keys) > NAMED else ""
    return f"{text}; changed since: {', '.join(keys[:NAMED])}{more}: make it anew"


def append_history(history: Sequence[AppliedChange], change: AppliedChange) -> tuple[AppliedChange, ...]:
    return (*history, change)[-HISTORY:]


def summary(live: LiveState) -> Mapping[str, Any]:
    """A node's state for `show`."""
    able = count_serving(live.state, live.lines)
    return {
        "digest": digest(canonical(live.state)),
        "state": live.state,
        "pools": {
            name: {"ready": able[name], "open_calls": live.open_calls.get(name, 0)}
            for name in sorted(live.state.pools)
        },
        "history": live.history,
    }
