"""Errors that end a simulated run."""

from __future__ import annotations


class SimulationError(Exception):
    """The run cannot continue or has found a fault."""


class SimulationStalled(SimulationError):
    """No timer or callback is left although the run has not ended."""


class Violation(SimulationError):
    """A rule that the checks found broken.

    `rule` is the rule's name, one word; `detail` says what was observed.
    """

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule
        self.detail = detail
