"""Linearizable reads: each waits until a quorum has answered a round that began after it was asked."""

from __future__ import annotations

from collections import deque

from attrs import frozen


@frozen
class ReadReady:
    """The read `token` may be answered from a state that has applied the entry at `index`."""

    token: int
    index: int


@frozen
class _Waiting:
    token: int
    round: int
    index: int


class ReadQueue:
    """The reads that one leader has taken in one term."""

    def __init__(self) -> None:
        self.round = 0  # the newest round that has begun
        self._wanted = False
        self._waiting: deque[_Waiting] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, token: int, commit_index: int) -> None:
        """A read that needs the next round."""
        self._wanted = True
        self._waiting.append(_Waiting(token, self.round + 1, commit_index))

    def begin_round(self) -> bool:
        """Begin a round if a read waits for one."""
        if not self._wanted:
            return False
        self._wanted = False
        self.round += 1
        return True

    def confirmed(self, up_to_round: int, least_index: int) -> list[ReadReady]:
        """The reads whose round a quorum has answered; `least_index` is this term's first entry."""
        ready = []
        while self._waiting and self._waiting[0].round <= min(up_to_round, self.round):
            waiting = self._waiting.popleft()
            ready.append(ReadReady(waiting.token, max(waiting.index, least_index)))
        return ready

    def abandoned(self) -> tuple[int, ...]:
        """The tokens that can't be answered any more."""
        tokens = tuple(waiting.token for waiting in self._waiting)
        self._waiting.clear()
        return tokens
