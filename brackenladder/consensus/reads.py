"""Linearizable reads: each waits until a quorum has answered a round that began after the read."""

from __future__ import annotations

from collections import deque

from attrs import frozen


@frozen
class ReadReady:
    """The read `token` may be answered from a state that includes the entry at `index`."""

    token: int
    index: int


@frozen
class _Waiting:
    token: int
    round: int
    index: int


class ReadQueue:
    """The pending reads of one leader in one term."""

    def __init__(self) -> None:
        self.round = 0  # the newest round that was started
        self._wanted = False
        self._waiting: deque[_Waiting] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, token: int, commit_index: int) -> None:
        """Adds a read that the next round confirms."""
        self._wanted = True
        self._waiting.append(_Waiting(token, self.round + 1, commit_index))

    def begin_round(self) -> bool:
        """Starts a round if a read waits for one. Returns whether it did."""
        if not self._wanted:
            return False
        self._wanted = False
        self.round += 1
        return True

    def confirmed(self, up_to_round: int, least_index: int) -> list[ReadReady]:
        """Removes and returns the reads whose round a quorum has answered.

        `least_index`: the index of this term's first entry; no read is answered from an older state.
        """
        ready = []
        while self._waiting and self._waiting[0].round <= min(up_to_round, self.round):
            waiting = self._waiting.popleft()
            ready.append(ReadReady(waiting.token, max(waiting.index, least_index)))
        return ready

    def abandoned(self) -> tuple[int, ...]:
        """Removes all pending reads, which cannot be answered any more, and returns their tokens."""
        tokens = tuple(waiting.token for waiting in self._waiting)
        self._waiting.clear()
        return tokens
