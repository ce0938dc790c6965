"""What the checker is given, and what it returns: the rules' figures, findings, a ruling for each rule."""

from __future__ import annotations

from typing import Literal

import msgspec

Rule = Literal["lost", "effect", "drain", "cold"]
Verdict = Literal["held", "broke", "not tried", "not valid"]
RULES: tuple[Rule, ...] = ("lost", "effect", "drain", "cold")


class ClassTerms(msgspec.Struct, frozen=True):
    """What a class allows. `window`: microseconds, for keyed repeats; `group`: all, zone or pod."""

    effect: Literal["safe", "keyed", "unsafe"]
    group: Literal["all", "zone", "pod"] = "pod"
    window: int = 10_000_000


class Terms(msgspec.Struct, frozen=True):
    """The rules' figures; times in microseconds."""

    classes: tuple[ClassTerms, ...]
    attempts: int = 3
    drain: int = 250_000
    multiple: float = 2.5
    fall: int = 3_000_000
    answer: int = 20_000
    slack: int = 50_000
    lag: int = 50_000
    tries: tuple[Rule, ...] = RULES  # the others are 'not tried' unless they break: their chances are luck


class Finding(msgspec.Struct, frozen=True):
    """A break, or a case within the slack. `timed`: it rests on times, which late stand-ins get wrong."""

    rule: Rule
    what: str
    t: int
    node: str
    server: str
    id: str
    text: str
    timed: bool


class Ruling(msgspec.Struct, frozen=True):
    """What was found of one rule."""

    verdict: Verdict
    chances: int
    broken: int
    edges: int
    evidence: tuple[Finding, ...]
    edge_cases: tuple[Finding, ...]
    nearest: float = 0.0  # of `cold`: the most that was sent, over what may be; a break is above 1


class Report(msgspec.Struct, frozen=True):
    """All rules. `lag`: the worst of the stand-ins, in microseconds."""

    rulings: dict[Rule, Ruling]
    lag: int
    late: str
    breaks: tuple[Finding, ...]

    @property
    def verdicts(self) -> dict[Rule, Verdict]:
        return {rule: self.rulings[rule].verdict for rule in RULES}
