"""Exit codes and errors of the commands."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class ExitCode(IntEnum):
    """The exit status of the process."""

    SUCCESS = 0
    FAILED = 1  # change refused, store damaged, difference found, no quorum or no answer
    USAGE_ERROR = 2  # invalid arguments or files


class CommandError(Exception):
    """Ends a command with an error line and an exit code."""

    def __init__(self, line: str, code: ExitCode = ExitCode.FAILED) -> None:
        super().__init__(line)
        self.line = line
        self.code = code


class UsageError(CommandError):
    """An argument or file of the command is invalid."""

    def __init__(self, line: str) -> None:
        super().__init__(line, ExitCode.USAGE_ERROR)


@frozen
class NoAnswer:
    """No control node gave a definite answer in time."""

    nodes: tuple[str, ...]
    last_problem: str  # why the last call failed

    def __str__(self) -> str:
        return f"no clear answer from {', '.join(self.nodes)} ({self.last_problem})"


@frozen
class Refusal:
    """A control node refused the call; a retry would not help."""

    status: int
    reasons: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.reasons) or f"status {self.status}"


ControlError = NoAnswer | Refusal
