"""Parses operator calls and formats their answers, one line each. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CALL_BYTES = 512  # longest call, including the line end
CALLS_WITHOUT_ARGUMENT = ("STATUS", "PAUSE", "RESUME")
CALLS_ON_A_SERVER = ("SUSPEND", "RESTORE")


class CallError(Exception):
    """The line is not a valid call. The error text is sent as the answer."""


@dataclass(frozen=True)
class OperatorCall:
    """An operator's call. `server` is empty for calls that name none."""

    verb: str
    server: str = ""


def parse_call(line: bytes) -> OperatorCall:
    """Parses a line, with or without its line end. Raises CallError if it is not a valid call."""
    try:
        fields = line.decode().split()
    except UnicodeDecodeError:
        raise CallError("not UTF-8") from None
    if not fields:
        raise CallError("no call")
    verb, *arguments = fields
    if verb in CALLS_WITHOUT_ARGUMENT:
        if arguments:
            raise CallError(f"{verb} takes nothing")
        return OperatorCall(verb)
    if verb in CALLS_ON_A_SERVER:
        if len(arguments) != 1:
            raise CallError(f"{verb} takes one server")
        return OperatorCall(verb, arguments[0])
    raise CallError("unknown call")


def format_answer(ok: bool, reason: str = "") -> bytes:
    """Returns the line that answers a call."""
    return f"{'ok' if ok else 'fail'}{' ' if reason else ''}{reason}\n".encode()
