"""Checks the four rules on journals alone: takes events, returns verdicts. No I/O and no clock.

| rule | meaning |
| --- | --- |
| lost | every accepted request gets one final answer in time, and nothing is sent for it afterwards |
| effect | no retry that the class forbids, no concurrent attempts, no refusal of what may have run |
| drain | no new request to a server later than a grace period after the node was told it drains or is gone |
| cold | all nodes together send a cold server no more than a multiple of its capacity |

Each time limit has a slack on top, since delivery on sockets takes time; a case within the slack counts as an
edge case, not as a break. A rule that could not have been broken gets 'not tried'. If a stand-in ran later
than the allowed lag, every verdict that depends on times is 'not valid'.
"""

from __future__ import annotations

from collections.abc import Iterable

from brackenladder.rehearsal.checker.cold import ColdCheck, capacity_between
from brackenladder.rehearsal.checker.drain import DrainCheck
from brackenladder.rehearsal.checker.effect import EffectCheck
from brackenladder.rehearsal.checker.evidence import Evidence
from brackenladder.rehearsal.checker.history import History
from brackenladder.rehearsal.checker.knowledge import ASK_WITHIN, Knowledge
from brackenladder.rehearsal.checker.lost import LostCheck
from brackenladder.rehearsal.checker.verdicts import (
    RULES,
    ClassTerms,
    Finding,
    Report,
    Rule,
    Ruling,
    Terms,
    Verdict,
)
from brackenladder.rehearsal.events import AnyEvent

__all__ = [
    "ASK_WITHIN",
    "RULES",
    "ClassTerms",
    "Finding",
    "Report",
    "Rule",
    "Ruling",
    "Terms",
    "Verdict",
    "capacity_between",
    "check",
]

MAX_EVIDENCE = 50  # breaks and edge cases of one rule that are reported in full


def check(events: Iterable[AnyEvent], terms: Terms) -> Report:
    """The verdicts for events that are sorted by time."""
    history, evidence = History(events), Evidence()
    knowledge = Knowledge(history)
    LostCheck(history, terms, evidence).check()
    EffectCheck(history, terms, evidence).check()
    DrainCheck(history, terms, evidence).check(knowledge)
    ColdCheck(history, terms, evidence).check(knowledge)
    return report(history, terms, evidence)


def report(history: History, terms: Terms, evidence: Evidence) -> Report:
    """Builds the report: a ruling for each rule."""
    late = history.worst.lag > terms.lag
    findings = sorted(evidence.findings, key=lambda f: f.t)
    rulings: dict[Rule, Ruling] = {}
    for rule in RULES:
        broken = [f for f in findings if f.rule == rule]
        edges = [f for f in evidence.edges if f.rule == rule]
        sure = [f for f in broken if not (late and f.timed)]
        tried = evidence.chances[rule] > 0 and rule in terms.tries
        verdict: Verdict
        if sure:
            verdict = "broke"
        elif late and (broken or tried):
            verdict = "not valid"
        else:
            verdict = "held" if tried else "not tried"
        rulings[rule] = Ruling(
            verdict,
            evidence.chances[rule],
            len(broken),
            len(edges),
            tuple(broken[:MAX_EVIDENCE]),
            tuple(edges[:MAX_EVIDENCE]),
            evidence.nearest if rule == "cold" else 0.0,
        )
    return Report(rulings, history.worst.lag, history.worst.who, tuple(findings))
