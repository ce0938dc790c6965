"""A leader's work in one term: replication, commit, read rounds, quorum check, leadership transfer."""

from __future__ import annotations

from brackenladder.consensus.core import Core
from brackenladder.consensus.members import (
    UNBOUNDED,
    all_members,
    is_voter,
    voting_members,
)
from brackenladder.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshotReply,
    TimeoutNow,
)
from brackenladder.consensus.progress import Progress
from brackenladder.consensus.reads import ReadQueue, ReadReady
from brackenladder.consensus.snapshots import SnapshotSender
from brackenladder.consensus.types import Entry, EntryKind, Member

_UNKNOWN = -1


class Leadership:
    """The leader state of a replica. Created when it becomes leader, discarded when it steps down."""

    def __init__(self, core: Core, now: int) -> None:
        self._core = core
        self._progress: dict[str, Progress] = {}
        self._heartbeat_due = now
        self._now = now
        self._transfer_target = ""
        self._transfer_until = 0
        self.reads = ReadQueue()
        self.first_index = core.log.last_index + 1  # index of this term's first entry
        self.update_followers(now)
        self.append(EntryKind.NOOP, b"")

    # -- the log

    def append(self, kind: EntryKind, data: bytes) -> Entry:
        """Appends an entry of this term to the log; it is sent with the next output."""
        entry = Entry(self._core.log.last_index + 1, self._core.term, kind, data)
        self._core.append(entry)
        return entry

    @property
    def established(self) -> bool:
        """Whether an entry of this term, and with it every earlier entry, is committed."""
        return self._core.commit_index >= self.first_index

    def update_followers(self, now: int) -> None:
        """Adds progress records for new members and removes those of former members."""
        log = self._core.log
        present = [member.replica_id for member in all_members(log.members)]
        for replica_id in present:
            if replica_id != self._core.replica_id and replica_id not in self._progress:
                self._progress[replica_id] = Progress(log.last_index + 1, now)
        for replica_id in [known for known in self._progress if known not in present]:
            del self._progress[replica_id]

    def commit(self) -> bool:
        """Commits up to the index that is durable on a quorum, if the entry there is of this term.

        Returns whether anything new was committed.
        """
        log = self._core.log
        quorum_index = self._core.quorum(log.durable_index, self._match)
        if quorum_index <= self._core.commit_index or log.term(quorum_index) != self._core.term:
            return False
        return self._core.advance_commit(quorum_index)

    def _match(self, replica_id: str) -> int:
        progress = self._progress.get(replica_id)
        return progress.match if progress is not None else _UNKNOWN

    # -- followers

    def quorum_heard_at(self, now: int) -> int:
        """When this leader was last in contact with a quorum."""
        return self._core.quorum(now, self._heard_at)

    def _heard_at(self, replica_id: str) -> int:
        progress = self._progress.get(replica_id)
        return progress.heard_at if progress is not None else _UNKNOWN

    def silent_for(self, now: int, replica_id: str) -> int:
        """For how long nothing has been received from a member."""
        if replica_id == self._core.replica_id:
            return 0
        return now - self._heard_at(replica_id)

    def entries_behind(self, replica_id: str) -> int:
        """How many entries a member lacks; UNBOUNDED if that is not known."""
        match = self._match(replica_id)
        return self._core.log.last_index - match if match > 0 else UNBOUNDED

    def on_append_reply(self, now: int, reply: AppendReply) -> bool:
        """Handles a follower's reply of this term. Returns whether more of its log is known to be durable."""
        progress = self._progress.get(reply.sender)
        if progress is None:
            return False
        progress.heard_at = max(progress.heard_at, now)
        progress.round = max(progress.round, reply.round)
        progress.reply_sent_at = max(progress.reply_sent_at, reply.sent_at)
        if not reply.ok:
            agreement = self._core.log.agreement_below(reply.hint_index, reply.hint_term)
            progress.record_refusal(reply.prev_index, agreement)
            return False
        known = progress.match
        progress.record_match(reply.match, reply.received)
        return progress.match > known

    def on_snapshot_reply(self, now: int, reply: InstallSnapshotReply) -> None:
        """Handles a follower's reply about a snapshot."""
        progress = self._progress.get(reply.sender)
        if progress is None:
            return
        progress.heard_at = max(progress.heard_at, now)
        progress.record_snapshot_reply(now, reply)

    # -- reads

    def ready_reads(self) -> list[ReadReady]:
        """The reads that a quorum has confirmed since the last call."""
        if not len(self.reads) or not self.established:
            return []
        answered = self._core.quorum(self.reads.round, self._round)
        return self.reads.confirmed(answered, self.first_index)

    def _round(self, replica_id: str) -> int:
        progress = self._progress.get(replica_id)
        return progress.round if progress is not None else _UNKNOWN

    # -- transfer

    @property
    def transferring(self) -> bool:
        """Whether a leadership transfer is in progress."""
        return bool(self._transfer_target)

    def best_successor(self, now: int) -> Member | None:
        """The most caught-up voter that has been heard recently."""
        timing = self._core.timing
        heard = [
            voter
            for voter in voting_members(self._core.members)
            if voter.replica_id in self._progress
            and self.silent_for(now, voter.replica_id) < timing.election_min
        ]
        return max(heard, key=lambda voter: self._match(voter.replica_id), default=None)

    def begin_transfer(self, now: int) -> None:
        """Starts a transfer to the best successor; it is abandoned after the shortest election timeout."""
        successor = self.best_successor(now)
        if successor is None or self._transfer_target:
            return
        self._transfer_target = successor.replica_id
        self._transfer_until = now + self._core.timing.election_min
        self.continue_transfer(now)

    def continue_transfer(self, now: int) -> None:
        """Tells the successor to take over once it holds the whole log."""
        if not self._transfer_target:
            return
        if now >= self._transfer_until:
            self._transfer_target = ""
        elif self._match(self._transfer_target) >= self._core.log.last_index:
            self.send_timeout_now(self._transfer_target)

    def send_timeout_now(self, replica_id: str) -> None:
        """Asks a voter to start an election immediately."""
        self._core.send(replica_id, TimeoutNow(self._core.replica_id, replica_id, self._core.term))

    # -- output

    def replicate(self, now: int) -> None:
        """Sends each follower what it needs: new entries, the commit index, a read round, a heartbeat."""
        self._now = now
        heartbeat_due = self.reads.begin_round()
        if now >= self._heartbeat_due:
            self._heartbeat_due = now + self._core.timing.heartbeat
            heartbeat_due = True
        for replica_id, progress in self._progress.items():
            self._replicate_to(now, replica_id, progress, heartbeat_due)

    def _replicate_to(self, now: int, replica_id: str, progress: Progress, heartbeat_due: bool) -> None:
        if progress.transfer is None and self._core.log.term(progress.next - 1) is None:
            self._begin_snapshot(now, progress)
        if progress.transfer is not None:
            self._send_chunks(now, replica_id, progress.transfer)
            if heartbeat_due or (progress.reply_sent_at > 0 and not progress.echo_sent):
                self._send_entries(replica_id, progress, 0, 0, ())
            return
        if self._send_batches(replica_id, progress):
            return
        first_echo = progress.reply_sent_at > 0 and not progress.echo_sent
        commit_outdated = progress.commit_sent < self._core.commit_index and not progress.probing
        if heartbeat_due or first_echo or commit_outdated:
            self._send_entries(replica_id, progress, progress.next - 1, self._term(progress.next - 1), ())

    def _send_batches(self, replica_id: str, progress: Progress) -> bool:
        log = self._core.log
        timing = self._core.timing
        any_sent = False
        while progress.next <= log.last_index and progress.can_send(timing.inflight_bytes):
            previous = progress.next - 1
            entries = log.batch(progress.next, timing.append_bytes)
            self._send_entries(replica_id, progress, previous, self._term(previous), entries)
            progress.record_sent(entries[-1].index, sum(len(entry.data) for entry in entries) + len(entries))
            any_sent = True
        return any_sent

    def _term(self, index: int) -> int:
        return self._core.log.term(index) or 0

    def _send_entries(
        self, replica_id: str, progress: Progress, previous: int, term: int, entries: tuple[Entry, ...]
    ) -> None:
        core = self._core
        progress.commit_sent = core.commit_index
        progress.echo_sent = progress.reply_sent_at
        message = AppendEntries(
            sender=core.replica_id,
            to=replica_id,
            term=core.term,
            prev_index=previous,
            prev_term=term,
            commit=core.commit_index,
            round=self.reads.round,
            address=core.member.address,
            entries=entries,
            contact_age=self._now - self.quorum_heard_at(self._now),
            echo=progress.reply_sent_at,
        )
        core.send(replica_id, message)

    def _begin_snapshot(self, now: int, progress: Progress) -> None:
        snapshot = self._core.log.snapshot
        if snapshot is not None:
            progress.begin_transfer(SnapshotSender(now, snapshot, self._core.timing))

    def _send_chunks(self, now: int, replica_id: str, transfer: SnapshotSender) -> None:
        core = self._core
        for chunk in transfer.chunks(now, core.replica_id, replica_id, core.term, core.member.address):
            core.send(replica_id, chunk)

    def link_up(self, now: int, replica_id: str) -> None:
        """Handles a new link to a follower."""
        progress = self._progress.get(replica_id)
        if progress is not None and progress.transfer is not None:
            progress.transfer.link_up(now)

    def oldest_transfer(self) -> int | None:
        """Index of the oldest snapshot in transfer; the entries after it are needed once it has arrived."""
        transfers = (progress.transfer for progress in self._progress.values())
        return min((each.snapshot.index for each in transfers if each is not None), default=None)

    def leads_as_voter(self) -> bool:
        """Whether this leader is still a voter; a leader removed from the voters hands over."""
        return is_voter(self._core.members, self._core.replica_id)
