"""The four rules, read from journals alone: events in, verdicts out. No I/O and no clock.

| rule | in short |
| --- | --- |
| lost | every request taken gets one final answer, in time, and nothing is sent for it afterwards |
| effect | no repeat that the class does not allow, no two attempts at once, no refusal of what may have run |
| drain | nothing new to a server a grace after the node was told that it drains or is gone |
| cold | no cold server is sent more than a multiple of what it can do, by all nodes together |

Each limit of time has a slack on top, since bytes take their time on sockets; what falls into the slack is
counted as an edge, and is no break. A rule with no chance to be broken was not tried. Stand-ins that ran
later than the bound make every verdict that rests on times 'not valid'.
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

EVIDENCE = 50  # breaks and edges of one rule that are told in full


def check(events: Iterable[AnyEvent], terms: Terms) -> Report:
    """The verdicts for journals merged by time."""
    history, evidence = History(events), Evidence()
    knowledge = Knowledge(history)
    LostCheck(history, terms, evidence).check()
    EffectCheck(history, terms, evidence).check()
    DrainCheck(history, terms, evidence).check(knowledge)
    ColdCheck(history, terms, evidence).check(knowledge)
    return report(history, terms, evidence)


def report(history: History, terms: Terms, evidence: Evidence) -> Report:
    """A ruling for each rule, from all that was found."""
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
            tuple(broken[:EVIDENCE]),
            tuple(edges[:EVIDENCE]),
            evidence.nearest if rule == "cold" else 0.0,
        )
    return Report(rulings, history.worst.lag, history.worst.who, tuple(findings))
