"""How commands end, and what a command fails with."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class ExitCode(IntEnum):
    """The status of the process."""

    SUCCESS = 0
    FAILED = 1  # the answer is no: refused, damaged, different, not in order, or nobody answered
    USAGE_ERROR = 2  # what was given cannot be used


class CommandError(Exception):
    """Ends a command with one line and an exit code."""

    def __init__(self, line: str, code: ExitCode = ExitCode.FAILED) -> None:
        super().__init__(line)
        self.line = line
        self.code = code


class UsageError(CommandError):
    """What was given cannot be used."""

    def __init__(self, line: str) -> None:
        super().__init__(line, ExitCode.USAGE_ERROR)


@frozen
class NoAnswer:
    """No control node gave a clear answer in time."""

    nodes: tuple[str, ...]
    last: str  # what the last call met

    def __str__(self) -> str:
        return f"no clear answer from {', '.join(self.nodes)} ({self.last})"


@frozen
class Refusal:
    """A control node refused for good."""

    status: int
    reasons: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.reasons) or f"status {self.status}"


ControlError = NoAnswer | Refusal
