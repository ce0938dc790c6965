"""An operator's call: one line in, one line out. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

LARGEST_LINE = 512  # bytes of a call, its end included
PLAIN = ("STATUS", "PAUSE", "RESUME")
OF_A_SERVER = ("SUSPEND", "RESTORE")


class CallError(Exception):
    """The line is no call; the text is the answer's."""


@dataclass(frozen=True)
class OperatorCall:
    """What an operator asks for; `server` is empty where the call names none."""

    verb: str
    server: str = ""


def read_call(line: bytes) -> OperatorCall:
    """A call from its line, without or with its end. A CallError says what is wrong with it."""
    try:
        words = line.decode().split()
    except UnicodeDecodeError:
        raise CallError("not UTF-8") from None
    if not words:
        raise CallError("no call")
    verb, *rest = words
    if verb in PLAIN:
        if rest:
            raise CallError(f"{verb} takes nothing")
        return OperatorCall(verb)
    if verb in OF_A_SERVER:
        if len(rest) != 1:
            raise CallError(f"{verb} takes one server")
        return OperatorCall(verb, rest[0])
    raise CallError("unknown call")


def answer(ok: bool, why: str = "") -> bytes:
    """The line that answers a call."""
    return f"{'ok' if ok else 'fail'}{' ' if why else ''}{why}\n".encode()
