"""What can go wrong in a simulated run."""

from __future__ import annotations


class SimulationError(Exception):
    """A run can't go on, or has shown a fault."""


class SimulationStalled(SimulationError):
    """Nothing is left to happen before the end of the run."""


class Violation(SimulationError):
    """What the actors have seen is against a rule.

    `rule` is the rule's name, one word; `detail` says what was seen.
    """

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule
        self.detail = detail
