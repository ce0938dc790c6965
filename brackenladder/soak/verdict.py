"""The rules that a soak is checked against, and the result of a check."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from attrs import define, field, frozen


class Rule(Enum):
    """Rules that the events of a soak must satisfy."""

    HOME = "HOME"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    UNASKED = "UNASKED"
    MIXED = "MIXED"
    DRAIN = "DRAIN"
    EVAC = "EVAC"
    CONFIG = "CONFIG"
    DENIED = "DENIED"
    LOST = "LOST"
    ENDED = "ENDED"
    LOG = "LOG"
    RECOVER = "RECOVER"


@frozen
class Breach:
    """A violation of a rule: which rule, when, and what was observed."""

    rule: Rule
    at: int  # microseconds of the monotonic clock; 0 if it has no time
    detail: str


@define
class Verdict:
    """Result of the check.

    `checked` counts the cases checked for each rule, `excused` those that an injected fault explains.
    """

    breaches: list[Breach] = field(factory=list)
    checked: Counter[str] = field(factory=Counter)
    excused: Counter[str] = field(factory=Counter)
    outcomes: Counter[str] = field(factory=Counter)
    began: int = 0

    @property
    def held(self) -> bool:
        """Whether all rules held."""
        return not self.breaches

    def add(self, rule: Rule, at: int, detail: str) -> None:
        """Adds a violation."""
        self.breaches.append(Breach(rule, at, detail))
