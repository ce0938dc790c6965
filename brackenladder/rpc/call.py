"""A MessagePack-RPC call, passed from the front to the upstream, and the outcome of a server's response."""

from __future__ import annotations

from typing import Any, Protocol

from brackenladder.core.call import Call
from brackenladder.interface import Outcome
from brackenladder.rpc.methods import CallParameters, Method

REJECTED = "rejected"  # the first word of an error if the server refused the call without running it
IN_DOUBT = (
    "refused",
    "failed",
)  # first words of errors of a server that is itself a node of this program: its attempts may have run


class Reply:
    """A server's response: the bytes of its error and its result."""

    __slots__ = ("raw_error", "raw_result")

    def __init__(self, raw_error: bytes, raw_result: bytes) -> None:
        self.raw_error = raw_error
        self.raw_result = raw_result


class AbandonedAttempt(Protocol):
    """An attempt that was given up, on a connection that other calls may share."""

    def ended(self) -> bool:
        """Whether the call can no longer run at the server: it was answered, or the connection is closed.

        Closes the connection if no other call waits for a response on it.
        """


class RpcCall(Call):
    """A call, or a notification if `msgid` is None, with the received bytes of its params."""

    __slots__ = ("msgid", "name", "raw_params", "method", "last_error", "given_up")

    def __init__(
        self, msgid: int | None, name: str, raw_params: bytes, method: Method, parameters: CallParameters
    ) -> None:
        super().__init__(method.klass, parameters.tenant, parameters.budget, repeat=False)
        self.msgid = msgid
        self.name = name
        self.raw_params = raw_params
        self.method = method
        self.single_attempt = msgid is None
        self.given_up: AbandonedAttempt | None = None  # the last attempt, if it was given up
        self.last_error = b""  # the last failed attempt's error, sent to the client if no attempt succeeds


def outcome_of(error: Any, method: Method) -> Outcome:
    """Returns the outcome of an attempt from the error in the server's response.

    An application's error is a valid response, like a 404 in HTTP. If it counted as a server failure, the
    call would be retried although it ran, and a healthy server could be ejected.
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
