"""What every role of a replica works on: term, vote, log, commit index and what goes out."""

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
    """The state beneath the roles. Term, vote and log change only through it, and each change is written."""

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
        self._delivered = self.commit_index  # committed entries up to here have been given to the host
        if state.snapshot is not None and state.snapshot.index > GENESIS_INDEX:
            self.pending.restore = state.snapshot

    @property
    def replica_id(self) -> str:
        """This replica's id."""
        return self.member.replica_id

    @property
    def members(self) -> Members:
        """The newest members in the log."""
        return self.log.members

    def find(self, replica_id: str) -> Member | None:
        """The member with this id."""
        return find_member(self.log.members, replica_id)

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Enter a term, or vote in it."""
        self.term = term
        self.voted_for = voted_for
        self.writes.set_hard_state(HardState(term, voted_for))

    def append(self, entry: Entry) -> None:
        """Add an entry to the log."""
        self.log.append(entry)
        self.writes.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on, none of which is committed."""
        if index <= self.commit_index:
            raise ValueError(f"entry {index} is committed")
        self.log.truncate(index)
        self.writes.truncate(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot of the leader."""
        self.log.install(snapshot)
        self.writes.snapshot(snapshot, clear=True)
        self.commit_index = snapshot.index
        self._delivered = snapshot.index
        if snapshot.index > GENESIS_INDEX:
            self.pending.restore = snapshot

    def genesis(self, snapshot: Snapshot) -> None:
        """Start an empty log with the first voters."""
        self.install(snapshot)
        self.set_term(max(self.term, snapshot.term))

    def compact(self, index: int, data: bytes, held_after: int | None = None) -> None:
        """The state machine's state after the entry at `index` replaces the log up to there.

        `held_after`: memory keeps the entries after this index, up to a bound.
        """
        term = self.log.term(index)
        if index <= self.log.snapshot_index or index > self.commit_index or term is None:
            return
        snapshot = Snapshot(index, term, self.log.members_at(index), data)
        self.log.compact(snapshot, self.timing.kept_bytes, held_after, self.timing.held_bytes)
        self.writes.snapshot(snapshot, clear=False)

    def advance_commit(self, index: int) -> bool:
        """Everything up to `index` is committed. True: that is new."""
        if index <= self.commit_index:
            return False
        self.commit_index = index
        return True

    def take_committed(self) -> tuple[Entry, ...]:
        """The committed entries that the host doesn't have yet."""
        if self._delivered >= self.commit_index:
            return ()
        entries = tuple(self.log.between(self._delivered + 1, self.commit_index))
        self._delivered = self.commit_index
        return entries

    def send(self, to: str, message: object) -> None:
        """Send now."""
        self.pending.messages.append(Outgoing(to, message))

    def send_once_durable(self, to: str, message: object, token: int) -> None:
        """Send once the write is durable; 0: now."""
        if token:
            self.writes.hold(token, Outgoing(to, message))
        else:
            self.send(to, message)

    def quorum(self, own: int, value_of: Callable[[str], int]) -> int:
        """The highest value that a quorum of the present members reaches; this replica's is `own`."""
        replica_id = self.member.replica_id
        return quorum_value(self.log.members, lambda voter: own if voter == replica_id else value_of(voter))
