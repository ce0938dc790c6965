"""Fences: bounds on when a request was written, from what its connection proves.

A fence is a log index that this node knew to be committed before the caller wrote the request. An order that
was acknowledged with a higher index was given later, however long the request was on its way, so the request
must not undo it. A fence may be lower than necessary, never higher.

A caller can write a request only once its connection exists, and on a connection that has carried requests
only after it has received the latest response: a caller waits for each response before the next request.
"""

from __future__ import annotations

from collections.abc import Callable

NewestIndex = Callable[[], int]  # the highest log index that this node knows to be committed


class AcceptFence:
    """The fence of connections that are still to be accepted.

    While the process stands still, the kernel completes connections and buffers their requests. When the
    process continues, it may hear of new commits before it accepts them. A connection therefore gets the
    index that was known when no connection waited to be accepted, not the one known when it is accepted.
    """

    __slots__ = ("index", "_newest_index")

    def __init__(self, newest_index: NewestIndex) -> None:
        self._newest_index = newest_index
        self.index = newest_index()

    def found_empty(self) -> None:
        """Note that no connection waits to be accepted."""
        self.index = self._newest_index()


class ConnectionFence:
    """The fence of the next request on an accepted connection."""

    __slots__ = ("index", "_reads_ahead")

    def __init__(self, index: int) -> None:
        self.index = index
        self._reads_ahead = False

    def request_read_ahead(self) -> None:
        """Note that a request arrived before the response to the one before it.

        The caller does not wait for responses, so these prove nothing about its later requests.
        """
        self._reads_ahead = True

    def response_written(self, newest_index: int) -> None:
        """Note that a response was written; `newest_index` was known before it was."""
        if not self._reads_ahead:
            self.index = max(self.index, newest_index)
