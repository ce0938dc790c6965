"""Snapshot transfer from a leader to a follower: in chunks, within a window, and resumable.

Heartbeats are sent between the chunks, so that a large snapshot on a slow link doesn't make the leader appear
silent. Both sides remember how much has arrived: after a lost link, or with a new leader that has the same
snapshot, only the rest is sent.
"""

from __future__ import annotations

from hashlib import blake2b

from attrs import evolve

from brackenladder.consensus.messages import InstallSnapshot, InstallSnapshotReply
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import Snapshot

DIGEST_BYTES = 16
MAX_WAIT_FACTOR = 8  # longest wait for a reply, as a multiple of the first wait


def snapshot_digest(data: bytes) -> bytes:
    """A digest that identifies the data of a snapshot and detects damage in transfer."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


class SnapshotSender:
    """The leader's side of a transfer to one follower.

    The snapshot stays the same until the follower has it. Otherwise each newer snapshot that the leader takes
    would restart the transfer, and it might never finish.
    """

    def __init__(self, now: int, snapshot: Snapshot, timing: Timing) -> None:
        self.snapshot = snapshot
        self._timing = timing
        self._digest = snapshot_digest(snapshot.data)
        self._next = 0  # offset of the next chunk
        self._acknowledged = 0  # bytes that the follower has, by its replies
        self._all_sent = False  # the last chunk was sent
        self._heard_at = now
        self._wait = timing.snapshot_retry

    def chunks(self, now: int, sender: str, to: str, term: int, address: str) -> list[InstallSnapshot]:
        """The chunks to send now; after a wait without progress, all unacknowledged ones again."""
        if now - self._heard_at >= self._wait:
            self._resend(now)
        messages = []
        while not self._all_sent and self._next - self._acknowledged < self._timing.snapshot_window:
            messages.append(self._chunk(sender, to, term, address))
        return messages

    def _chunk(self, sender: str, to: str, term: int, address: str) -> InstallSnapshot:
        data = self.snapshot.data
        offset = self._next
        self._next = min(len(data), offset + self._timing.snapshot_chunk)
        self._all_sent = self._next >= len(data)
        return InstallSnapshot(
            sender=sender,
            to=to,
            term=term,
            address=address,
            snapshot=evolve(self.snapshot, data=data[offset : self._next]),
            offset=offset,
            total=len(data),
            digest=self._digest,
        )

    def link_up(self, now: int) -> None:
        """Handles a new link to the follower: unacknowledged chunks are lost and have to be resent."""
        self._wait = self._timing.snapshot_retry
        self._next = self._acknowledged
        self._all_sent = False
        self._heard_at = now

    def _resend(self, now: int) -> None:
        """Resends from the acknowledged offset, with exponential backoff."""
        self._next = self._acknowledged
        self._all_sent = False
        self._heard_at = now
        self._wait = min(2 * self._wait, MAX_WAIT_FACTOR * self._timing.snapshot_retry)

    def on_reply(self, now: int, reply: InstallSnapshotReply) -> bool:
        """Handles a reply. Returns True if the follower has the snapshot or doesn't need it."""
        if reply.match >= self.snapshot.index:
            return True
        if reply.index != self.snapshot.index:
            return False
        if reply.received != self._acknowledged:
            self._heard_at = now
            self._wait = self._timing.snapshot_retry
        if reply.received < self._acknowledged:
            self._next = reply.received  # the follower no longer has chunks that it had acknowledged
            self._all_sent = False
        self._acknowledged = reply.received
        return False


class SnapshotReceiver:
    """The follower's side of a transfer: collects the chunks of one snapshot at a time."""

    def __init__(self) -> None:
        self._digest = b""
        self._index = 0
        self._data = bytearray()

    def take(self, message: InstallSnapshot) -> Snapshot | None:
        """Takes a chunk. Returns the snapshot once it is complete and its digest is right."""
        if (message.snapshot.index, message.digest) != (self._index, self._digest):
            self._index, self._digest = message.snapshot.index, message.digest
            self._data.clear()
        chunk = message.snapshot.data
        received = len(self._data)
        if message.offset <= received < message.offset + len(chunk):
            self._data += chunk[received - message.offset :]
        if len(self._data) != message.total:
            return None
        data = bytes(self._data)
        if snapshot_digest(data) != message.digest:
            self._data.clear()
            return None
        return evolve(message.snapshot, data=data)

    def received(self, index: int) -> int:
        """How many bytes of the snapshot at `index` have been received."""
        return len(self._data) if index == self._index else 0

    def reset(self) -> None:
        """Drops the data of a snapshot that has been installed."""
        self._index, self._digest = 0, b""
        self._data = bytearray()
