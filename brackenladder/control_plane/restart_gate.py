"""Confirms that the catalog a node has cached across its restart is still the newest committed one.

Every committed order is in the log of at least one member of any majority. So the cached catalog is the
newest if a majority of the members has reported, after this node's start, that its log has no later order.
"""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.members import quorum_value
from brackenladder.consensus.types import Members

MAX_REPORT_AGE = 1_500_000  # microseconds after which a report is ignored; same as `soft_state.IN_TOUCH_AGE`


@frozen
class _Report:
    newest_order: int
    at: int


class RestartGate:
    """Collects the members' reports on their logs, this node's included. Times are of this host's clock."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}  # the newest report of each replica, by replica id

    def record(self, now: int, replica_id: str, newest_order: int) -> None:
        """Records the index of the newest order in a replica's log, committed or not."""
        self._reports[replica_id] = _Report(newest_order, now)

    def confirms(self, now: int, members: Members, revision: int) -> bool:
        """Whether no order after `revision` can have been committed before the members' recent reports.

        A report of a later order prevents the confirmation, however old the report is, and even if it is not
        from a member: the member list known here may be outdated.

        Without this check, if the disk returns the cache long after the peers have reported, a node that was
        disconnected meanwhile publishes a catalog that was the newest only at the time of the reports.
        """
        if any(report.newest_order > revision for report in self._reports.values()):
            return False
        return quorum_value(members, lambda replica_id: int(self._reported_recently(now, replica_id))) >= 1

    def _reported_recently(self, now: int, replica_id: str) -> bool:
        report = self._reports.get(replica_id)
        return report is not None and now - report.at <= MAX_REPORT_AGE
