"""The checker's input and output: the rules' limits, findings, and a ruling for each rule."""

from __future__ import annotations

from typing import Literal

import msgspec

Rule = Literal["lost", "effect", "drain", "cold"]
Verdict = Literal["held", "broke", "not tried", "not valid"]
RULES: tuple[Rule, ...] = ("lost", "effect", "drain", "cold")


class ClassTerms(msgspec.Struct, frozen=True):
    """What a request class allows.

    `window`: microseconds in which servers drop a repeated key; `group`: the servers that share keys.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    group: Literal["all", "zone", "pod"] = "pod"
    window: int = 10_000_000


class Terms(msgspec.Struct, frozen=True):
    """The rules' limits; times in microseconds."""

    classes: tuple[ClassTerms, ...]
    attempts: int = 3
    drain: int = 250_000
    multiple: float = 2.5
    fall: int = 3_000_000
    answer: int = 20_000
    slack: int = 50_000
    lag: int = 50_000
    tries: tuple[Rule, ...] = RULES  # rules to test; others are 'not tried' unless broken


class Finding(msgspec.Struct, frozen=True):
    """A break or an edge case. `timed`: it depends on times, which are wrong if a stand-in ran late."""

    rule: Rule
    what: str
    t: int
    node: str
    server: str
    id: str
    text: str
    timed: bool


class Ruling(msgspec.Struct, frozen=True):
    """The result for one rule. `chances`: how often it could have been broken."""

    verdict: Verdict
    chances: int
    broken: int
    edges: int
    evidence: tuple[Finding, ...]
    edge_cases: tuple[Finding, ...]
    nearest: float = 0.0  # rule `cold`: largest ratio of work sent to work allowed; above 1 is a break


class Report(msgspec.Struct, frozen=True):
    """The results for all rules. `lag`: a stand-in's largest lag, in microseconds; `late`: that stand-in."""

    rulings: dict[Rule, Ruling]
    lag: int
    late: str
    breaks: tuple[Finding, ...]

    @property
    def verdicts(self) -> dict[Rule, Verdict]:
        return {rule: self.rulings[rule].verdict for rule in RULES}
