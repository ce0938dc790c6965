"""What a leader knows of one follower, and how much more it may send to it."""

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
    """One follower's log as its replies tell it.

    Entries are sent ahead of the replies. After a refusal the follower is probed, one message at a time,
    until it is known where its log and the leader's part.
    """

    def __init__(self, next_index: int, now: int) -> None:
        self.match = 0  # durable at the follower and equal to the leader's log
        self.next = next_index  # the next entry to send
        self.heard_at = now
        self.word_sent_at = 0  # of its newest word, by its own clock
        self.echoed = 0  # the `word_sent_at` that it has been told
        self.round = 0  # the newest read round that it has answered
        self.commit_sent = 0
        self.probing = False
        self.probe_sent = False
        self.transfer: SnapshotSender | None = None  # the snapshot that is on its way
        self._sent: deque[_Sent] = deque()
        self._sent_bytes = 0

    def room(self, limit: int) -> bool:
        """Whether more entries may be sent now."""
        if self.probing:
            return not self.probe_sent
        return self._sent_bytes < limit

    def sent(self, last_index: int, size: int) -> None:
        """Entries up to `last_index` are on their way."""
        if self.probing:
            self.probe_sent = True
            return
        self._sent.append(_Sent(last_index, size))
        self._sent_bytes += size
        self.next = last_index + 1

    def agreed(self, match: int, received: int) -> None:
        """The follower's log is equal to the leader's up to `received`, and durable up to `match`."""
        self.match = max(self.match, match)
        if self.probing and received >= self.next - 1:
            self.probing = False
        if self.transfer is None:
            self.next = max(self.next, received + 1)
        while self._sent and self._sent[0].last_index <= self.match:
            self._sent_bytes -= self._sent.popleft().size

    def refused(self, prev_index: int, agreement: int) -> bool:
        """The follower lacks `prev_index`; logs may agree up to `agreement`. False: an outdated refusal."""
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
        """A snapshot is about to be sent."""
        self.transfer = transfer
        self.next = transfer.snapshot.index + 1
        self.probing = False
        self._sent.clear()
        self._sent_bytes = 0

    def snapshot_replied(self, now: int, reply: InstallSnapshotReply) -> None:
        """The follower has a part of the snapshot, has installed it, or did not need it."""
        if self.transfer is None:
            self.agreed(reply.match, reply.match)
        elif self.transfer.replied(now, reply):
            self.transfer = None
            self.next = reply.match + 1
            self.agreed(reply.match, reply.match)
