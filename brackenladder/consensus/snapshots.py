"""A snapshot on its way from a leader to a follower: in chunks, a few ahead of the replies, resumable.

Heartbeats go between the chunks, so that a large snapshot on a slow link silences nobody. Both ends keep what
has arrived: after a lost link, or under another leader with the same snapshot, the rest is sent.
"""

from __future__ import annotations

from hashlib import blake2b

from attrs import evolve

from brackenladder.consensus.messages import InstallSnapshot, InstallSnapshotReply
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import Snapshot

DIGEST_BYTES = 16
LONGEST_WAIT = 8  # times the first wait for a reply


def snapshot_digest(data: bytes) -> bytes:
    """Tells apart the data of snapshots, and those that arrived damaged."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


class SnapshotSender:
    """A leader's end, for one follower. The snapshot stays the same until the follower has it.

    Failure prevented: the leader's own log goes on, and each new snapshot begins the transfer anew for ever.
    """

    def __init__(self, now: int, snapshot: Snapshot, timing: Timing) -> None:
        self.snapshot = snapshot
        self._timing = timing
        self._digest = snapshot_digest(snapshot.data)
        self._next = 0  # offset of the next chunk
        self._taken = 0  # what the follower has, as its replies tell
        self._done = False  # the last chunk is on its way
        self._heard_at = now
        self._wait = timing.snapshot_retry

    def chunks(self, now: int, sender: str, to: str, term: int, address: str) -> list[InstallSnapshot]:
        """The chunks to send now."""
        if now - self._heard_at >= self._wait:
            self._begin_again(now)
        messages = []
        while not self._done and self._next - self._taken < self._timing.snapshot_window:
            messages.append(self._chunk(sender, to, term, address))
        return messages

    def _chunk(self, sender: str, to: str, term: int, address: str) -> InstallSnapshot:
        data = self.snapshot.data
        offset = self._next
        self._next = min(len(data), offset + self._timing.snapshot_chunk)
        self._done = self._next >= len(data)
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
        """A new link to the follower: what was on its way over the last one is lost."""
        self._wait = self._timing.snapshot_retry
        self._next = self._taken
        self._done = False
        self._heard_at = now

    def _begin_again(self, now: int) -> None:
        """From where the follower is known to be; ever more rarely."""
        self._next = self._taken
        self._done = False
        self._heard_at = now
        self._wait = min(2 * self._wait, LONGEST_WAIT * self._timing.snapshot_retry)

    def replied(self, now: int, reply: InstallSnapshotReply) -> bool:
        """Takes a reply. True: the follower holds the snapshot, or does not need it."""
        if reply.match >= self.snapshot.index:
            return True
        if reply.index != self.snapshot.index:
            return False
        if reply.received != self._taken:
            self._heard_at = now
            self._wait = self._timing.snapshot_retry
        if reply.received < self._taken:
            self._next = reply.received  # it has lost what it had
            self._done = False
        self._taken = reply.received
        return False


class SnapshotReceiver:
    """A follower's end: the chunks of one snapshot at a time."""

    def __init__(self) -> None:
        self._digest = b""
        self._index = 0
        self._data = bytearray()

    def take(self, message: InstallSnapshot) -> Snapshot | None:
        """Takes a chunk; the whole snapshot once it is there and undamaged."""
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
        """How many bytes of the snapshot at `index` are here."""
        return len(self._data) if index == self._index else 0

    def forget(self) -> None:
        """The snapshot is installed."""
        self._index, self._digest = 0, b""
        self._data = bytearray()
