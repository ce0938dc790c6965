"""Planted faults in the log, in elections and in changes of the members."""

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

    def hasty(core: Any, now: int, request: Any, received: int) -> None:
        durable, core.log.durable_index = core.log.durable_index, received
        accept(core, now, request, received)
        core.log.durable_index = durable

    return replaced(following, _accept=hasty)


def _vote_without_a_look_at_the_log() -> Fault:
    answer = Election.answer

    def trusting(self: Election, vote: Any) -> bool:
        return answer(self, evolve(vote, last_term=1 << 40))

    return replaced(Election, answer=trusting)


def _voters_replaced_at_once() -> Fault:
    changed = _Planner._replace_voters

    def single(self: _Planner, out: Any, in_: Any) -> Any:
        members = changed(self, out, in_)
        return None if members is None else evolve(members, outgoing=())

    return replaced(_Planner, _replace_voters=single)


def _learner_counted_before_it_caught_up() -> Fault:
    stack = ExitStack()
    stack.enter_context(replaced(_Planner, _caught_up=lambda self, member: True))
    stack.enter_context(_voters_replaced_at_once())
    return stack  # type: ignore[return-value]  # an ExitStack is a context manager of its own


def _voters_added_for_ever() -> Fault:
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
        description="votes are given without a look at the candidate's log",
        profile="orders",
        rules=LOST_ORDER_RULES | {"gateway-back", "no-recovery", "ValueError"},
        plant=_vote_without_a_look_at_the_log,
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
        description="voters are added beyond what is to be borne, and stay when they are gone",
        profile="members",
        rules=frozenset({"no-recovery"}),
        plant=_voters_added_for_ever,
    ),
)
