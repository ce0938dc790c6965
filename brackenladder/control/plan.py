"""Plans for changing a node: differences from one state, which may only be applied to that state."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Any

import msgspec

from brackenladder.control.diff import Difference, apply_differences, differences
from brackenladder.control.guard import Finding, check_change, count_serving
from brackenladder.control.state import DesiredState, StateError, canonical, check_references, digest
from brackenladder.membership.listing import Line

VERSION = 1
MAX_PLAN_BYTES = 4 << 20  # most bytes in a plan file
HISTORY = 50  # how many of the last applied changes are kept
MAX_NAMED_KEYS = 5  # changed keys listed in the refusal of a stale plan


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The differences from one state, which may only be applied to that state.

    `base`, `result`: digests of the state before and after; `seal`: digest of the other fields.
    """

    version: int = VERSION
    base: str
    result: str
    changes: tuple[Difference, ...]
    allow_empty: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()
    rests_on: dict[str, int] = {}
    seal: str = ""


class AppliedChange(msgspec.Struct, frozen=True):
    """A change that a node has applied. `at`: Unix time in seconds; `by`: the operator's user id."""

    at: float
    by: int
    base: str
    result: str
    keys: tuple[str, ...]


class LiveState(msgspec.Struct, frozen=True):
    """The current state of a node, with everything that checking a plan needs."""

    state: DesiredState
    lines: tuple[Line, ...]
    open_calls: dict[str, int]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    history: tuple[AppliedChange, ...] = ()


class PlanRefused(Exception):
    """The plan must not be applied. The text says why."""


def compute_seal(plan: Plan) -> str:
    return digest(msgspec.json.encode(msgspec.structs.replace(plan, seal=""), order="deterministic"))


def make_plan(live: LiveState, desired: DesiredState, allow_empty: Collection[str] = ()) -> Plan:
    """Makes the plan from a node's state to a desired one. Raises StateError if the node can't use it."""
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
    """Parses a plan file. Raises PlanRefused if it is invalid or was edited."""
    if len(data) > MAX_PLAN_BYTES:
        raise PlanRefused(f"not a plan: over {MAX_PLAN_BYTES} bytes")
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as e:
        raise PlanRefused(f"not a plan: {e}") from None
    if plan.version != VERSION:
        raise PlanRefused(f"a plan of version {plan.version}; this build reads {VERSION}")
    if plan.seal != compute_seal(plan):
        raise PlanRefused("the plan was changed after it was made: make a new plan")
    return plan


def encode_plan(plan: Plan) -> bytes:
    return msgspec.json.format(msgspec.json.encode(plan, order="deterministic"), indent=1) + b"\n"


def check_plan(live: LiveState, plan: Plan) -> DesiredState:
    """Returns the state that a plan leads to. Raises PlanRefused if it may not be applied now."""
    current = digest(canonical(live.state))
    if current == plan.result:
        raise PlanRefused("already applied: the node is in the state that this plan leads to")
    if current != plan.base:
        raise PlanRefused(explain_stale_plan(live.history, plan, current))
    try:
        desired = apply_differences(live.state, plan.changes)
        check_references(desired, live.classes, live.tenants)
    except StateError as e:
        raise PlanRefused(str(e)) from None
    if digest(canonical(desired)) != plan.result:
        raise PlanRefused("the plan's differences do not lead to its result: make a new plan")
    found = evaluate(live, desired, plan.allow_empty)
    if found:
        raise PlanRefused("; ".join(finding.text for finding in found))
    if plan.findings:
        raise PlanRefused(
            "the plan was refused when it was made, for reasons that no longer apply: make a new plan"
        )
    return desired


def explain_stale_plan(history: Sequence[AppliedChange], plan: Plan, current: str) -> str:
    """Returns why a plan made from another state is refused, with the keys changed since."""
    since = [i for i, change in enumerate(history) if change.base == plan.base]
    text = f"the node is in state {current}, the plan was made from {plan.base}"
    if not since:
        return f"{text}: make a new plan"
    keys = sorted({key for change in history[since[-1] :] for key in change.keys})
    more = f" and {len(keys) - MAX_NAMED_KEYS} more" if len(keys) > MAX_NAMED_KEYS else ""
    return f"{text}; changed since: {', '.join(keys[:MAX_NAMED_KEYS])}{more}: make a new plan"


def append_history(history: Sequence[AppliedChange], change: AppliedChange) -> tuple[AppliedChange, ...]:
    return (*history, change)[-HISTORY:]


def summary(live: LiveState) -> Mapping[str, Any]:
    """Returns a node's state for the command `show`."""
    serving = count_serving(live.state, live.lines)
    return {
        "digest": digest(canonical(live.state)),
        "state": live.state,
        "pools": {
            name: {"ready": serving[name], "open_calls": live.open_calls.get(name, 0)}
            for name in sorted(live.state.pools)
        },
        "history": live.history,
    }
