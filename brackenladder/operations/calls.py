"""An operator's call: one line in, one line out. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CALL_BYTES = 512  # bytes of a call, its end included
CALLS_WITHOUT_ARGUMENT = ("STATUS", "PAUSE", "RESUME")
CALLS_ON_A_SERVER = ("SUSPEND", "RESTORE")


class CallError(Exception):
    """The line is no call; the text is the answer's."""


@dataclass(frozen=True)
class OperatorCall:
    """What an operator asks for; `server` is empty where the call names none."""

    verb: str
    server: str = ""


def parse_call(line: bytes) -> OperatorCall:
    """A call from its line, without or with its end. A CallError says what is wrong with it."""
    try:
        fields = line.decode().split()
    except UnicodeDecodeError:
        raise CallError("not UTF-8") from None
    if not fields:
        raise CallError("no call")
    verb, *rest = fields
    if verb in CALLS_WITHOUT_ARGUMENT:
        if rest:
            raise CallError(f"{verb} takes nothing")
        return OperatorCall(verb)
    if verb in CALLS_ON_A_SERVER:
        if len(rest) != 1:
            raise CallError(f"{verb} takes one server")
        return OperatorCall(verb, rest[0])
    raise CallError("unknown call")


def format_answer(ok: bool, why: str = "") -> bytes:
    """The line that answers a call."""
    return f"{'ok' if ok else 'fail'}{' ' if why else ''}{why}\n".encode()
