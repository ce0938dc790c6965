"""What a leader knows about one follower's log, and how much it may send to it."""

from __future__ import annotations

from collections import deque

from attrs import frozen

from brackenladder.consensus.messages import InstallSnapshotReply
from brackenladder.consensus.snapshots import SnapshotSender


@frozen
class _Sent:
    last_index: int
    size: int


class Progress:
    """The state of one follower's log as its replies report it.

    Entries are pipelined: they are sent without waiting for replies. After a refusal the leader probes with
    one message at a time until it knows up to which index the two logs agree.
    """

    def __init__(self, next_index: int, now: int) -> None:
        self.match = 0  # durable at the follower and equal to the leader's log
        self.next = next_index  # the next entry to send
        self.heard_at = now
        self.reply_sent_at = 0  # when the follower sent its newest reply, by its own clock
        self.echo_sent = 0  # the newest `reply_sent_at` that was echoed to the follower
        self.round = 0  # the newest read confirmation round that the follower has answered
        self.commit_sent = 0
        self.probing = False
        self.probe_sent = False
        self.transfer: SnapshotSender | None = None  # the snapshot transfer in progress
        self._sent: deque[_Sent] = deque()
        self._sent_bytes = 0

    def can_send(self, limit: int) -> bool:
        """Whether more entries may be sent now; `limit` bounds the bytes in flight."""
        if self.probing:
            return not self.probe_sent
        return self._sent_bytes < limit

    def record_sent(self, last_index: int, size: int) -> None:
        """Notes that entries up to `last_index` were sent."""
        if self.probing:
            self.probe_sent = True
            return
        self._sent.append(_Sent(last_index, size))
        self._sent_bytes += size
        self.next = last_index + 1

    def record_match(self, match: int, received: int) -> None:
        """Notes that the follower's log equals the leader's up to `received` and is durable up to `match`."""
        self.match = max(self.match, match)
        if self.probing and received >= self.next - 1:
            self.probing = False
        if self.transfer is None:
            self.next = max(self.next, received + 1)
        while self._sent and self._sent[0].last_index <= self.match:
            self._sent_bytes -= self._sent.popleft().size

    def record_refusal(self, prev_index: int, agreement: int) -> bool:
        """Notes a refusal: the entry at `prev_index` is missing at the follower or differs.

        The two logs may agree up to `agreement`. Returns False if the refusal is outdated.
        """
        if prev_index <= self.match or prev_index >= self.next or self.transfer is not None:
            return False
        if self.probing and prev_index != self.next - 1:
            return False
        self.next = max(self.match, min(agreement, prev_index - 1)) + 1
        self.probing = True
        self.probe_sent = False
        self._sent.clear()
        self._sent_bytes = 0
        return True

    def begin_transfer(self, transfer: SnapshotSender) -> None:
        """Starts a snapshot transfer."""
        self.transfer = transfer
        self.next = transfer.snapshot.index + 1
        self.probing = False
        self._sent.clear()
        self._sent_bytes = 0

    def record_snapshot_reply(self, now: int, reply: InstallSnapshotReply) -> None:
        """Handles a reply: the follower has received a part of the snapshot, has all of it or needs none."""
        if self.transfer is None:
            self.record_match(reply.match, reply.match)
        elif self.transfer.on_reply(now, reply):
            self.transfer = None
            self.next = reply.match + 1
            self.record_match(reply.match, reply.match)
