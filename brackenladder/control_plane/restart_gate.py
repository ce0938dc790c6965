"""Whether a catalog that a node remembers over its restart is still the newest that was committed.

Every committed order is in the log of one member at least of any majority. So a remembered catalog is the
newest once a majority of the members has said, after this node's start, that its log holds no later order.
"""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.members import quorum_value
from brackenladder.consensus.types import Members

WORD_AGE = 1_500_000  # microseconds for which a word counts; as contact does (`soft_state.IN_TOUCH_AGE`)


@frozen
class _Word:
    newest_order: int
    at: int


class RestartGate:
    """Takes what the members say of their logs; this node is one of them. Times are this host's."""

    def __init__(self) -> None:
        self._words: dict[str, _Word] = {}  # by replica id

    def told(self, now: int, replica_id: str, newest_order: int) -> None:
        """A replica's log holds orders up to this index, committed or not."""
        self._words[replica_id] = _Word(newest_order, now)

    def confirms(self, now: int, members: Members, revision: int) -> bool:
        """Whether no order after `revision` can have been committed before the members spoke, just now.

        A node that knows of a later order speaks against it, member or not, however long ago: the members
        known here may have been replaced.

        Failure prevented: a node's disk answers long after its peers have greeted it, it is cut off
        meanwhile, and tells what was the newest when they spoke.
        """
        if any(word.newest_order > revision for word in self._words.values()):
            return False
        return quorum_value(members, lambda replica_id: int(self._spoke(now, replica_id))) >= 1

    def _spoke(self, now: int, replica_id: str) -> bool:
        word = self._words.get(replica_id)
        return word is not None and now - word.at <= WORD_AGE
