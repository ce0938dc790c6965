"""Whether a catalog that a node remembers over its restart is still the newest that was committed.

Every committed order is in the log of one member at least of any majority. So a remembered catalog is the
newest once a majority of the members has said, after this node's start, that its log holds no later order.
"""

from __future__ import annotations

from brackenladder.consensus.members import quorum_value
from brackenladder.consensus.types import Members


class RestartGate:
    """Takes what the members say of their logs; this node is one of them."""

    def __init__(self) -> None:
        self._newest_orders: dict[str, int] = {}  # by replica id

    def told(self, replica_id: str, newest_order: int) -> None:
        """A replica's log holds orders up to this index, committed or not."""
        self._newest_orders[replica_id] = newest_order

    def confirms(self, members: Members, revision: int) -> bool:
        """Whether no order after `revision` can have been committed before the members spoke.

        A node that knows of a later order speaks against it, member or not: the members known here may have
        been replaced.
        """
        if any(newest > revision for newest in self._newest_orders.values()):
            return False
        return quorum_value(members, lambda replica_id: int(replica_id in self._newest_orders)) >= 1
