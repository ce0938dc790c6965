"""The state that all roles of a replica share: term, vote, log, commit index and pending output."""

from __future__ import annotations

from collections.abc import Callable

from brackenladder.consensus.log import Log
from brackenladder.consensus.members import GENESIS_INDEX, find_member, quorum_value
from brackenladder.consensus.output import PendingOutput
from brackenladder.consensus.snapshots import SnapshotReceiver
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import DurableState, Entry, HardState, Member, Members, Snapshot
from brackenladder.consensus.writes import Outgoing, WriteQueue


class Core:
    """State shared by all roles. Each change of the term, vote or log goes through it and is persisted."""

    writes_type: type[WriteQueue] = WriteQueue

    def __init__(self, member: Member, state: DurableState, timing: Timing) -> None:
        self.member = member
        self.timing = timing
        self.log = Log(state)
        self.writes = self.writes_type(timing.write_retry)
        self.term = state.hard_state.term
        self.voted_for = state.hard_state.voted_for
        self.commit_index = self.log.snapshot_index
        self.pending = PendingOutput()
        self.snapshot_receiver = SnapshotReceiver()
        self._delivered = self.commit_index  # committed entries up to this index were passed to the host
        if state.snapshot is not None and state.snapshot.index > GENESIS_INDEX:
            self.pending.restore = state.snapshot

    @property
    def replica_id(self) -> str:
        """The id by which the other replicas know this one in messages, votes and the member set."""
        return self.member.replica_id

    @property
    def members(self) -> Members:
        """The members according to the newest log entry that changes them, committed or not."""
        return self.log.members

    def find(self, replica_id: str) -> Member | None:
        """The member with this id in the newest member set; None if there is none."""
        return find_member(self.log.members, replica_id)

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Sets the term and the vote in it."""
        self.term = term
        self.voted_for = voted_for
        self.writes.set_hard_state(HardState(term, voted_for))

    def append(self, entry: Entry) -> None:
        """Appends an entry to the log."""
        self.log.append(entry)
        self.writes.append(entry)

    def truncate(self, index: int) -> None:
        """Drops the entries from `index` on, none of which may be committed."""
        if index <= self.commit_index:
            raise ValueError(f"cannot truncate committed entry {index}")
        self.log.truncate(index)
        self.writes.truncate(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot from the leader."""
        self.log.install(snapshot)
        self.writes.snapshot(snapshot, clear=True)
        self.commit_index = snapshot.index
        self._delivered = snapshot.index
        if snapshot.index > GENESIS_INDEX:
            self.pending.restore = snapshot

    def genesis(self, snapshot: Snapshot) -> None:
        """Initialises an empty log with the first voters."""
        self.install(snapshot)
        self.set_term(max(self.term, snapshot.term))

    def compact(self, index: int, data: bytes, held_after: int | None = None) -> None:
        """Replaces the log up to `index` by the state machine's state after the entry at `index`.

        `held_after`: the entries after this index stay in memory, up to `Timing.held_bytes`, because a
        follower still needs them.
        """
        term = self.log.term(index)
        if index <= self.log.snapshot_index or index > self.commit_index or term is None:
            return
        snapshot = Snapshot(index, term, self.log.members_at(index), data)
        self.log.compact(snapshot, self.timing.kept_bytes, held_after, self.timing.held_bytes)
        self.writes.snapshot(snapshot, clear=False)

    def advance_commit(self, index: int) -> bool:
        """Marks all entries up to `index` as committed. Returns whether the commit index advanced."""
        if index <= self.commit_index:
            return False
        self.commit_index = index
        return True

    def take_committed(self) -> tuple[Entry, ...]:
        """The committed entries that the replica's host, which applies them, hasn't received yet."""
        if self._delivered >= self.commit_index:
            return ()
        entries = tuple(self.log.between(self._delivered + 1, self.commit_index))
        self._delivered = self.commit_index
        return entries

    def send(self, to: str, message: object) -> None:
        """Queues a message for sending now."""
        self.pending.messages.append(Outgoing(to, message))

    def send_once_durable(self, to: str, message: object, token: int) -> None:
        """Sends a message once the write with this token is durable; 0: now."""
        if token:
            self.writes.hold(token, Outgoing(to, message))
        else:
            self.send(to, message)

    def quorum(self, own: int, value_of: Callable[[str], int]) -> int:
        """The highest value that a quorum of the current members reaches; `own` is this replica's value."""
        replica_id = self.member.replica_id
        return quorum_value(self.log.members, lambda voter: own if voter == replica_id else value_of(voter))
