"""Whether a catalog that a node remembers over its restart is still the newest that was committed.

Every committed order is in the log of one member at least of any majority. So a remembered catalog is the
newest once a majority of the members has said, after this node's start, that its log holds no later order.
"""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.members import quorum_value
from brackenladder.consensus.types import Members

MAX_REPORT_AGE = 1_500_000  # microseconds that a report counts; same as `soft_state.IN_TOUCH_AGE`


@frozen
class _Report:
    newest_order: int
    at: int


class RestartGate:
    """Takes what the members say of their logs; this node is one of them. Times are this host's."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}  # by replica id

    def record(self, now: int, replica_id: str, newest_order: int) -> None:
        """A replica's log holds orders up to this index, committed or not."""
        self._reports[replica_id] = _Report(newest_order, now)

    def confirms(self, now: int, members: Members, revision: int) -> bool:
        """Whether no order after `revision` can have been committed before the members spoke, just now.

        A node that knows of a later order speaks against it, member or not, however long ago: the members
        known here may have been replaced.

        Failure prevented: a node's disk answers long after its peers have greeted it, it is cut off
        meanwhile, and tells what was the newest when they spoke.
        """
        if any(report.newest_order > revision for report in self._reports.values()):
            return False
        return quorum_value(members, lambda replica_id: int(self._reported_recently(now, replica_id))) >= 1

    def _reported_recently(self, now: int, replica_id: str) -> bool:
        report = self._reports.get(replica_id)
        return report is not None and now - report.at <= MAX_REPORT_AGE
