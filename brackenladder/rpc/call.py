"""A MessagePack-RPC call between front and upstream, and what a server's answer says of its attempt."""

from __future__ import annotations

from typing import Any, Protocol

from brackenladder.core.call import Call
from brackenladder.interface import Outcome
from brackenladder.rpc.methods import Method, Read

REJECTED = "rejected"  # the first word of an error: turned away unseen
IN_DOUBT = (
    "refused",
    "failed",
)  # of a node one tier further on, which speaks for its own attempts


class Reply:
    """What a server answered: the error and the result as they came."""

    __slots__ = ("raw_error", "raw_result")

    def __init__(self, raw_error: bytes, raw_result: bytes) -> None:
        self.raw_error = raw_error
        self.raw_result = raw_result


class GivenUp(Protocol):
    """An attempt that nobody waits for, on a connection that may carry others."""

    def ended(self) -> bool:
        """Whether it is over at its server, as far as can be told: answered, or its connection closed.

        Closes the connection if nobody waits for anything on it.
        """


class RpcCall(Call):
    """A call or a notification (`msgid` None), with the params' bytes as they came."""

    __slots__ = ("msgid", "name", "raw", "method", "last_error", "given_up")

    def __init__(self, msgid: int | None, name: str, raw: bytes, method: Method, read: Read) -> None:
        super().__init__(method.klass, read.tenant, read.budget, repeat=False)
        self.msgid = msgid
        self.name = name
        self.raw = raw
        self.method = method
        self.single_attempt = msgid is None
        self.given_up: GivenUp | None = None  # its last attempt, if nobody waits for it any more
        self.last_error = b""  # of a failed attempt, which goes to the client if nothing better does


def outcome_of(error: Any, method: Method) -> Outcome:
    """What a server's answer says of the attempt.

    An application's error is an answer, as a 404 is in HTTP. Failure prevented: it is taken for a server's
    failure, and the call runs as often as there may be attempts, or ejects a server that is well.
    """
    if error is None:
        return Outcome.OK
    if isinstance(error, list) and error and isinstance(error[0], (str, bytes)):
        word = error[0] if isinstance(error[0], str) else error[0].decode(errors="replace")
        if word == REJECTED:
            return Outcome.REJECTED
        if word in IN_DOUBT:
            return Outcome.ERROR
    return Outcome.ERROR if method.fails(error) else Outcome.OK
