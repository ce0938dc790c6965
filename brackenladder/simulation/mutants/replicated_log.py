"""Planted faults in the replicated log, in elections and in membership changes."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from attrs import evolve

from brackenladder.consensus import following
from brackenladder.consensus.election import Election
from brackenladder.consensus.planning import _Planner
from brackenladder.control_plane import control_node as control_node_module
from brackenladder.simulation.mutants.mutant import LOST_ORDER_RULES, Fault, Mutant, replaced

MOST_VOTERS = 5


def _acknowledged_before_durable() -> Fault:
    accept = following._accept

    def accept_before_sync(core: Any, now: int, request: Any, received: int) -> None:
        durable, core.log.durable_index = core.log.durable_index, received
        accept(core, now, request, received)
        core.log.durable_index = durable

    return replaced(following, _accept=accept_before_sync)


def _vote_without_log_check() -> Fault:
    answer = Election.answer

    def answer_without_log_check(self: Election, vote: Any) -> bool:
        return answer(self, evolve(vote, last_term=1 << 40))

    return replaced(Election, answer=answer_without_log_check)


def _voters_replaced_at_once() -> Fault:
    replace_voters = _Planner._replace_voters

    def replace_without_joint_majority(self: _Planner, out: Any, in_: Any) -> Any:
        members = replace_voters(self, out, in_)
        return None if members is None else evolve(members, outgoing=())

    return replaced(_Planner, _replace_voters=replace_without_joint_majority)


def _learner_counted_before_it_caught_up() -> Fault:
    stack = ExitStack()
    stack.enter_context(replaced(_Planner, _caught_up=lambda self, member: True))
    stack.enter_context(_voters_replaced_at_once())
    return stack  # type: ignore[return-value]  # an ExitStack is a context manager of its own


def _voters_never_removed() -> Fault:
    return replaced(control_node_module, max_voters=lambda losses: MOST_VOTERS)


REPLICATED_LOG_MUTANTS = (
    Mutant(
        name="acknowledged-before-durable",
        description="a follower acknowledges entries before they are durable",
        profile="orders",
        rules=LOST_ORDER_RULES | {"gateway-back", "no-recovery"},
        plant=_acknowledged_before_durable,
    ),
    Mutant(
        name="stale-leader",
        description="votes are given without checking the candidate's log",
        profile="orders",
        rules=LOST_ORDER_RULES | {"gateway-back", "no-recovery", "ValueError"},
        plant=_vote_without_log_check,
    ),
    Mutant(
        name="voters-replaced-at-once",
        description="voters change without a joint majority",
        profile="members",
        rules=LOST_ORDER_RULES | {"no-recovery", "gateway-back"},
        plant=_voters_replaced_at_once,
    ),
    Mutant(
        name="learner-counted-early",
        description="a learner becomes a voter before it has caught up",
        profile="members",
        rules=LOST_ORDER_RULES | {"no-recovery", "gateway-back"},
        plant=_learner_counted_before_it_caught_up,
    ),
    Mutant(
        name="voters-for-ever",
        description="too many voters are added, and lost voters are not removed",
        profile="members",
        rules=frozenset({"no-recovery"}),
        plant=_voters_never_removed,
    ),
)
