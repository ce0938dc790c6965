"""One replica of the log: a state machine driven by messages, ticks and completed writes, without I/O."""

from __future__ import annotations

from random import Random

from returns.result import Failure, Result, Success

from brackenladder.consensus import following
from brackenladder.consensus.command_parts import split_command
from brackenladder.consensus.core import Core
from brackenladder.consensus.election import Election
from brackenladder.consensus.leadership import Leadership
from brackenladder.consensus.members import genesis_snapshot, is_voter
from brackenladder.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
)
from brackenladder.consensus.output import NotLeader, Output, ProposalIndex, ProposalLost, Role
from brackenladder.consensus.pauses import PauseGuard
from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.reconfiguration import Reconfiguration
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import DurableState, EntryKind, Member, Members
from brackenladder.consensus.writes import Outgoing

__all__ = [
    "NotLeader",
    "Outgoing",
    "Output",
    "ProposalIndex",
    "ProposalLost",
    "ReadReady",
    "Replica",
    "Role",
    "Timing",
]

NEVER = -(1 << 60)  # earlier than any time


class Replica:
    """A replica of the log. After each call the host calls `take_output` and carries out the output.

    Writes are issued one at a time. The next one follows after `persisted`; after `write_failed` the same
    write is issued again. If a replica doesn't hear from a leader for a long time, its host should send a
    join request for the same member.
    """

    core_type: type[Core] = Core
    election_type: type[Election] = Election
    leadership_type: type[Leadership] = Leadership

    def __init__(
        self,
        member: Member,
        state: DurableState,
        timing: Timing,
        random: Random,
        now: int,
        members: Members | None = None,
    ) -> None:
        self._core = self.core_type(member, state, timing)
        self._timing = timing
        self._now = now
        self._pauses = PauseGuard(timing, now)
        self._election = self.election_type(self._core, random, now)
        self._leading: Leadership | None = None
        self._leader_id = ""
        self._leader_address = ""
        # When this replica last heard from a leader, whether or not that leader had contact with a quorum.
        self._heard_at = NEVER
        self._contact_at = NEVER  # see `quorum_contact_at`
        self._up_to_date_at = NEVER  # see `up_to_date_at`
        self._known_commit = 0  # the highest commit index that a leader has announced
        self._reconfiguration: Reconfiguration | None = None
        if members is not None and self._core.log.last_index == 0:
            self._core.genesis(genesis_snapshot(members))

    # -- state that the host may read

    @property
    def member(self) -> Member:
        """This replica."""
        return self._core.member

    @property
    def timing(self) -> Timing:
        """Times and limits."""
        return self._timing

    @property
    def role(self) -> Role:
        """The current role."""
        if self._leading is not None:
            return Role.LEADER
        if self._election.active:
            return Role.CANDIDATE
        if is_voter(self._core.members, self._core.replica_id):
            return Role.FOLLOWER
        return Role.LEARNER

    @property
    def leads(self) -> bool:
        """Whether this replica believes that it is the leader."""
        return self._leading is not None

    @property
    def term(self) -> int:
        """The newest election term that this replica knows."""
        return self._core.term

    @property
    def leader(self) -> Member | None:
        """The leader that this replica follows, or itself."""
        if not self._leader_id:
            return None
        return self._core.find(self._leader_id) or Member(self._leader_id, self._leader_address)

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self._core.members

    @property
    def commit_index(self) -> int:
        """Index of the newest entry known to be committed."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self._core.log.last_index

    @property
    def newest_command_index(self) -> int:
        """Index of the newest command still in the log, committed or not; 0 if there is none."""
        return self._core.log.newest_command_index

    @property
    def quorum_contact_at(self) -> int:
        """When this replica was last in contact with a quorum, as the leader or through its leader.

        A follower takes the time when it sent the reply that the leader echoes, less the age of the leader's
        own contact. This way a delayed message, or one that is read late, doesn't count as recent contact.
        """
        if self._leading is not None:
            return self._leading.quorum_heard_at(self._now)
        return self._contact_at

    @property
    def up_to_date_at(self) -> int:
        """The latest time such that every entry committed before it is known to be committed here.

        Contact alone doesn't prove that: entries or a snapshot may still be in transit, and a new leader
        doesn't know the commit index until an entry of its own term is committed.
        """
        leading = self._leading
        if leading is not None and leading.established:
            return leading.quorum_heard_at(self._now)
        return self._up_to_date_at

    @property
    def lacks_committed(self) -> bool:
        """Whether a leader has announced a committed entry that is not committed here yet."""
        return self._core.commit_index < self._known_commit

    # -- events

    def step(self, now: int, sender: str, message: object) -> None:
        """Handles a message from the replica `sender`."""
        self._now = now
        if getattr(message, "to", "") != self._core.replica_id or sender == self._core.replica_id:
            return
        self._dispatch(now, message)

    def _dispatch(self, now: int, message: object) -> None:
        match message:
            case AppendEntries():
                if self._accept_leader(now, message.sender, message.term, message.address):
                    self._note_contact(message)
                    following.on_append(self._core, now, message)
                    self._note_up_to_date(message)
                else:
                    following.refuse_append(self._core, now, message)
            case AppendReply():
                self._on_append_reply(now, message)
            case Vote():
                self._on_vote(now, message)
            case VoteReply():
                self._on_vote_reply(now, message)
            case InstallSnapshot():
                if self._accept_leader(now, message.sender, message.term, message.address):
                    following.on_snapshot(self._core, message)
            case InstallSnapshotReply():
                if self._is_leader_in(now, message.term) and self._leading is not None:
                    self._leading.on_snapshot_reply(now, message)
                    self._after_progress(now)
            case TimeoutNow():
                if message.term == self._core.term and message.sender == self._leader_id:
                    self._campaign(now, transfer=True)

    def link_up(self, now: int, replica_id: str) -> None:
        """Handles a new link to another replica."""
        self._now = now
        self._election.resend_pre_vote(replica_id)
        if self._leading is not None:
            self._leading.link_up(now, replica_id)

    def tick(self, now: int) -> None:
        """Handles timeouts; called regularly."""
        self._now = now
        self._pauses.tick(now)
        if self._leading is not None:
            self._tick_leader(now)
        elif self._election.due(now) and not self._pauses.in_grace_period(now):
            self._election.reset_timer(now)
            if not self._store_hangs(now):
                self._campaign(now, transfer=False)

    def persisted(self, now: int, token: int) -> None:
        """Handles the completion of a write, which is now durable."""
        self._now = now
        durable_index = self._core.writes.persisted(token)
        if durable_index is None:
            return
        log = self._core.log
        log.durable_index = max(log.durable_index, min(durable_index, log.last_index))
        for outgoing in self._core.writes.released(token):
            self._release(now, outgoing)
        if self._leading is not None:
            self._after_progress(now)

    def _release(self, now: int, outgoing: Outgoing) -> None:
        if getattr(outgoing.message, "term", 0) < self._core.term:
            return  # the message belongs to a term that has ended
        if outgoing.to == self._core.replica_id:
            self._dispatch(now, outgoing.message)
        else:
            self._core.pending.messages.append(outgoing)

    def write_failed(self, now: int, token: int) -> None:
        """Handles a refused write: it is retried later, and this replica gives up leadership."""
        self._now = now
        if self._core.writes.failed(now, token):
            self._hand_over(now)

    # -- requests

    def propose(self, now: int, data: bytes) -> Result[ProposalIndex, NotLeader]:
        """Appends a command. A large one takes several entries; the index of the last one is returned."""
        self._now = now
        if self._leading is None or self._leading.transferring:
            return Failure(NotLeader(self._other_leader()))
        *parts, last = split_command(data)
        for part in parts:
            self._leading.append(EntryKind.COMMAND_PART, part)
        entry = self._leading.append(EntryKind.COMMAND, last)
        return Success(ProposalIndex(entry.index, entry.term))

    def read(self, now: int, token: int) -> Result[None, NotLeader]:
        """Requests a linearizable read. `ReadReady` names the index to apply before answering it."""
        self._now = now
        if self._leading is None:
            return Failure(NotLeader(self.leader))
        self._leading.reads.add(token, self._core.commit_index)
        return Success(None)

    def join(self, now: int, member: Member) -> Result[None, NotLeader]:
        """Adds a member as a learner, or updates its address.

        The member repeats the request until it hears from a leader.
        """
        self._now = now
        if self._reconfiguration is None:
            return Failure(NotLeader(self.leader))
        self._reconfiguration.join(member)
        self._change_members(now)
        return Success(None)

    def remove(self, now: int, replica_id: str) -> Result[None, NotLeader]:
        """Removes a member permanently."""
        self._now = now
        if self._reconfiguration is None:
            return Failure(NotLeader(self.leader))
        self._reconfiguration.remove(replica_id)
        self._change_members(now)
        return Success(None)

    def transfer_leadership(self, now: int) -> None:
        """Hands leadership over to the most caught-up voter, before a planned shutdown."""
        self._now = now
        if self._leading is not None:
            self._leading.begin_transfer(now)

    def compact(self, now: int, index: int, data: bytes) -> None:
        """Replaces the log up to `index` by `data`, the state machine's state after that entry."""
        self._now = now
        held_after = self._leading.oldest_transfer() if self._leading is not None else None
        self._core.compact(index, data, held_after)

    def take_output(self) -> Output:
        """Returns the actions that result from the calls since the last one."""
        core = self._core
        if self._leading is not None:
            self._leading.replicate(self._now)
            core.pending.reads.extend(self._leading.ready_reads())
        return core.pending.take(core.writes.take(self._now), core.take_committed())

    # -- elections

    def _leader_in_contact(self, now: int) -> bool:
        if self._leading is not None:
            return True
        return bool(self._leader_id) and now - self._heard_at < self._timing.election_min

    def _store_hangs(self, now: int) -> bool:
        writes = self._core.writes
        return writes.refused or writes.age(now) > self._timing.write_limit

    def _campaign(self, now: int, transfer: bool) -> None:
        if not is_voter(self._core.members, self._core.replica_id):
            return
        self._leader_id = ""
        self._election.begin(now, pre_vote=not transfer, transfer=transfer)
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        """Starts the election after a won pre-vote, and becomes leader after a won election."""
        if self._election.pre_vote and self._election.won():
            self._election.begin(now, pre_vote=False, transfer=False)
        if self._election.active and not self._election.pre_vote and self._election.won():
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self._election.end(now)
        self._leader_id = self._core.replica_id
        self._leader_address = self._core.member.address
        self._leading = self.leadership_type(self._core, now)
        self._reconfiguration = Reconfiguration(self._core, self._leading)

    def _on_vote(self, now: int, vote: Vote) -> None:
        if self._leader_in_contact(now) and not vote.transfer and vote.term >= self._core.term:
            if vote.pre_vote:
                self._election.refuse(vote)
            return
        if vote.term > self._core.term and not vote.pre_vote:
            self._enter_term(now, vote.term)
        self._election.yield_to(now, vote)
        if self._election.answer(vote):
            self._election.reset_timer(now)
        elif self._must_campaign_as_learner(vote):
            self._election.begin(now, pre_vote=True, transfer=False)

    def _must_campaign_as_learner(self, vote: Vote) -> bool:
        """Whether this replica has to campaign although it is not a voter by its own log.

        The candidate counts this replica as a voter because of an uncommitted membership change, but its log
        is older than this replica's: a leader of a later term appended entries here and then failed. If no
        voter has a log as new as this one, nobody else can be elected. This replica then leads until its
        first entry is committed and hands over to a voter.
        """
        if not vote.pre_vote or self._election.active or is_voter(self._core.members, self._core.replica_id):
            return False
        log = self._core.log
        return (vote.last_term, vote.last_index) < (log.last_term, log.last_index)

    def _on_vote_reply(self, now: int, reply: VoteReply) -> None:
        if reply.term > self._core.term and not reply.granted:
            self._enter_term(now, reply.term)
        elif self._election.add_vote(reply):
            self._count_votes(now)

    # -- following

    def _accept_leader(self, now: int, leader_id: str, term: int, address: str) -> bool:
        """Follows the leader of `term`. Returns False if the term is outdated."""
        if term < self._core.term:
            return False
        if term > self._core.term:
            self._enter_term(now, term)
        if self._leading is not None:
            return False
        self._election.end(now)
        self._leader_id = leader_id
        self._leader_address = address
        self._heard_at = now
        return True

    def _note_contact(self, message: AppendEntries) -> None:
        if message.echo:
            self._contact_at = max(self._contact_at, message.echo - message.contact_age)

    def _note_up_to_date(self, message: AppendEntries) -> None:
        """Updates `up_to_date_at` if everything that the leader has committed is committed here.

        The entry at the leader's commit index has to be of its own term. Only then does the leader know
        everything that earlier leaders committed.
        """
        core = self._core
        self._known_commit = max(self._known_commit, message.commit)
        complete = core.commit_index >= message.commit and core.log.term(message.commit) == message.term
        if message.echo and complete:
            self._up_to_date_at = max(self._up_to_date_at, message.echo - message.contact_age)

    def _enter_term(self, now: int, term: int) -> None:
        self._step_down(now)
        self._core.set_term(term)

    def _step_down(self, now: int) -> None:
        """Becomes a follower without a known leader."""
        leading = self._leading
        self._leading = None
        self._reconfiguration = None
        self._leader_id = ""
        self._election.end(now)
        if leading is None:
            return
        core = self._core
        self._heard_at = self._contact_at = leading.quorum_heard_at(now)
        if leading.established:
            self._up_to_date_at = max(self._up_to_date_at, self._contact_at)
        core.pending.reads_failed.extend(leading.reads.abandoned())
        for entry in core.log.between(core.commit_index + 1, core.log.last_index):
            if entry.kind is EntryKind.COMMAND and entry.term == core.term:
                core.pending.lost.append(ProposalLost(entry.index))

    # -- leading

    def _other_leader(self) -> Member | None:
        return None if self._leading is not None else self.leader

    def _is_leader_in(self, now: int, term: int) -> bool:
        if term > self._core.term:
            self._enter_term(now, term)
        return self._leading is not None and term == self._core.term

    def _hand_over(self, now: int) -> None:
        """Steps down immediately and asks the best successor to start an election without a timeout."""
        if self._leading is None:
            return
        successor = self._leading.best_successor(now)
        if successor is not None:
            self._leading.send_timeout_now(successor.replica_id)
        self._step_down(now)

    def _tick_leader(self, now: int) -> None:
        leading = self._leading
        if leading is None:
            return
        quorum_lost = now - leading.quorum_heard_at(now) >= self._timing.election_max
        if self._store_hangs(now):
            self._hand_over(now)
        elif quorum_lost and not self._pauses.in_grace_period(now):
            self._step_down(now)
        else:
            leading.continue_transfer(now)
            self._change_members(now)

    def _on_append_reply(self, now: int, reply: AppendReply) -> None:
        if not self._is_leader_in(now, reply.term) or self._leading is None:
            return
        if self._leading.on_append_reply(now, reply):
            self._after_progress(now)

    def _after_progress(self, now: int) -> None:
        leading = self._leading
        if leading is None:
            return
        if leading.commit():
            self._change_members(now)
        leading.continue_transfer(now)

    def _change_members(self, now: int) -> None:
        if self._reconfiguration is None:
            return
        if self._reconfiguration.voted_out:
            self._hand_over(now)
        else:
            self._reconfiguration.advance(now)
