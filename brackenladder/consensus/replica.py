"""One replica of the log: a pure object that is stepped with messages, ticks and finished writes."""

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

NEVER = -(1 << 60)  # a time before all others


class Replica:
    """The host calls one method at a time, then `take_output`, and does what that says.

    Writes are handed out one at a time; the next one comes after `persisted` or, as a repetition, after
    `write_failed`. A replica that no leader speaks to for long should ask to `join` with the
    same member.
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
        self._heard_at = NEVER  # a leader's word, whatever the leader's own contact
        self._contact_at = NEVER  # a leader in touch with a quorum had this replica's word
        self._up_to_date_at = NEVER  # the same, of a leader whose committed entries are all committed here
        self._known_commit = 0  # the newest index that a leader has said to be committed
        self._reconfiguration: Reconfiguration | None = None
        if members is not None and self._core.log.last_index == 0:
            self._core.genesis(genesis_snapshot(members))

    # -- what the host may look at

    @property
    def member(self) -> Member:
        """This replica."""
        return self._core.member

    @property
    def timing(self) -> Timing:
        """Its times and bounds."""
        return self._timing

    @property
    def role(self) -> Role:
        """What this replica is at present."""
        if self._leading is not None:
            return Role.LEADER
        if self._election.active:
            return Role.CANDIDATE
        if is_voter(self._core.members, self._core.replica_id):
            return Role.FOLLOWER
        return Role.LEARNER

    @property
    def leads(self) -> bool:
        """Whether this replica takes itself for the leader."""
        return self._leading is not None

    @property
    def term(self) -> int:
        """The present term."""
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
        """Index of the newest command that the log still holds, committed or not; 0: it holds none."""
        return self._core.log.newest_command_index

    @property
    def quorum_contact_at(self) -> int:
        """When this replica was last in touch with a quorum: as a leader itself, or by way of its leader.

        A follower counts from its own word that the leader has answered, less the age of the leader's own
        contact. A message that was held up, or read late, says nothing of the present.
        """
        if self._leading is not None:
            return self._leading.quorum_heard_at(self._now)
        return self._contact_at

    @property
    def up_to_date_at(self) -> int:
        """A moment up to which all that was committed is known to be committed here too.

        Contact alone doesn't tell that: entries, or a snapshot, may still be on their way, and a new leader
        doesn't know what is committed before an entry of its own term is.
        """
        leading = self._leading
        if leading is not None and leading.established:
            return leading.quorum_heard_at(self._now)
        return self._up_to_date_at

    @property
    def lacks_committed(self) -> bool:
        """Whether a leader has told of a committed entry that is not committed here yet."""
        return self._core.commit_index < self._known_commit

    # -- events

    def step(self, now: int, sender: str, message: object) -> None:
        """Take a message of the replica `sender`."""
        self._now = now
        if getattr(message, "to", "") != self._core.replica_id or sender == self._core.replica_id:
            return
        self._dispatch(now, message)

    def _dispatch(self, now: int, message: object) -> None:
        match message:
            case AppendEntries():
                if self._follows(now, message.sender, message.term, message.address):
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
                if self._follows(now, message.sender, message.term, message.address):
                    following.on_snapshot(self._core, message)
            case InstallSnapshotReply():
                if self._leads_in(now, message.term) and self._leading is not None:
                    self._leading.on_snapshot_reply(now, message)
                    self._after_progress(now)
            case TimeoutNow():
                if message.term == self._core.term and message.sender == self._leader_id:
                    self._campaign(now, transfer=True)

    def link_up(self, now: int, replica_id: str) -> None:
        """A link to another replica has come up."""
        self._now = now
        self._election.ask_again(replica_id)
        if self._leading is not None:
            self._leading.link_up(now, replica_id)

    def tick(self, now: int) -> None:
        """Let time pass."""
        self._now = now
        self._pauses.tick(now)
        if self._leading is not None:
            self._tick_leader(now)
        elif self._election.due(now) and not self._pauses.in_grace_period(now):
            self._election.wait(now)
            if not self._store_hangs(now):
                self._campaign(now, transfer=False)

    def persisted(self, now: int, token: int) -> None:
        """The write is durable."""
        self._now = now
        covers = self._core.writes.persisted(token)
        if covers is None:
            return
        log = self._core.log
        log.durable_index = max(log.durable_index, min(covers, log.last_index))
        for outgoing in self._core.writes.released(token):
            self._release(now, outgoing)
        if self._leading is not None:
            self._after_progress(now)

    def _release(self, now: int, outgoing: Outgoing) -> None:
        if getattr(outgoing.message, "term", 0) < self._core.term:
            return  # of a term that has ended meanwhile
        if outgoing.to == self._core.replica_id:
            self._dispatch(now, outgoing.message)
        else:
            self._core.pending.messages.append(outgoing)

    def write_failed(self, now: int, token: int) -> None:
        """The store refuses the write: it comes again later, and this replica doesn't lead meanwhile."""
        self._now = now
        if self._core.writes.failed(now, token):
            self._hand_over(now)

    # -- requests

    def propose(self, now: int, data: bytes) -> Result[ProposalIndex, NotLeader]:
        """Append a command; a large one as several entries, of which the last one's index is told."""
        self._now = now
        if self._leading is None or self._leading.transferring:
            return Failure(NotLeader(self._other_leader()))
        *parts, last = split_command(data)
        for part in parts:
            self._leading.append(EntryKind.COMMAND_PART, part)
        entry = self._leading.append(EntryKind.COMMAND, last)
        return Success(ProposalIndex(entry.index, entry.term))

    def read(self, now: int, token: int) -> Result[None, NotLeader]:
        """A linearizable read: `ReadReady` names the index that has to be applied before it is answered."""
        self._now = now
        if self._leading is None:
            return Failure(NotLeader(self.leader))
        self._leading.reads.add(token, self._core.commit_index)
        return Success(None)

    def join(self, now: int, member: Member) -> Result[None, NotLeader]:
        """Take a member in as a learner, or its new address; asked again until a leader speaks to it."""
        self._now = now
        if self._reconfiguration is None:
            return Failure(NotLeader(self.leader))
        self._reconfiguration.join(member)
        self._change_members(now)
        return Success(None)

    def remove(self, now: int, replica_id: str) -> Result[None, NotLeader]:
        """A member that leaves for good."""
        self._now = now
        if self._reconfiguration is None:
            return Failure(NotLeader(self.leader))
        self._reconfiguration.remove(replica_id)
        self._change_members(now)
        return Success(None)

    def transfer_leadership(self, now: int) -> None:
        """Hand over to the most caught-up voter, before a planned end."""
        self._now = now
        if self._leading is not None:
            self._leading.begin_transfer(now)

    def compact(self, now: int, index: int, data: bytes) -> None:
        """The state machine's state after applying the entry at `index`."""
        self._now = now
        held_after = self._leading.oldest_transfer() if self._leading is not None else None
        self._core.compact(index, data, held_after)

    def take_output(self) -> Output:
        """What is to be done after the calls so far."""
        core = self._core
        if self._leading is not None:
            self._leading.replicate(self._now)
            core.pending.reads.extend(self._leading.ready_reads())
        return core.pending.take(core.writes.take(self._now), core.take_committed())

    # -- elections

    def _hears_leader(self, now: int) -> bool:
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
        """Go on to the election after the pre-vote, and to leadership after the election."""
        if self._election.pre_vote and self._election.won():
            self._election.begin(now, pre_vote=False, transfer=False)
        if self._election.active and not self._election.pre_vote and self._election.won():
            self._lead(now)

    def _lead(self, now: int) -> None:
        self._election.end(now)
        self._leader_id = self._core.replica_id
        self._leader_address = self._core.member.address
        self._leading = self.leadership_type(self._core, now)
        self._reconfiguration = Reconfiguration(self._core, self._leading)

    def _on_vote(self, now: int, vote: Vote) -> None:
        if self._hears_leader(now) and not vote.transfer and vote.term >= self._core.term:
            if vote.pre_vote:
                self._election.refuse(vote)
            return
        if vote.term > self._core.term and not vote.pre_vote:
            self._enter_term(now, vote.term)
        self._election.yield_to(now, vote)
        if self._election.answer(vote):
            self._election.wait(now)
        elif self._must_campaign_as_learner(vote):
            self._election.begin(now, pre_vote=True, transfer=False)

    def _must_campaign_as_learner(self, vote: Vote) -> bool:
        """Whether this replica, though no voter, has to be elected for a while.

        A candidate counts on its vote by an uncommitted change of the members, and its log is behind this
        one's: a leader of a later term has left entries here, and is gone. If no voter's log is as new,
        nobody else can be elected. It leads until its first entry is committed, then hands over to a voter.
        """
        if not vote.pre_vote or self._election.active or is_voter(self._core.members, self._core.replica_id):
            return False
        log = self._core.log
        return (vote.last_term, vote.last_index) < (log.last_term, log.last_index)

    def _on_vote_reply(self, now: int, reply: VoteReply) -> None:
        if reply.term > self._core.term and not reply.granted:
            self._enter_term(now, reply.term)
        elif self._election.counts(reply):
            self._count_votes(now)

    # -- following

    def _follows(self, now: int, leader_id: str, term: int, address: str) -> bool:
        """Follow the leader of `term`, unless that is in the past."""
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
        """Count the contact if all that the leader knows to be committed is committed here.

        An entry of its own term tells that it knows of everything that earlier leaders committed.
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
        """Be a follower without a leader."""
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

    def _leads_in(self, now: int, term: int) -> bool:
        if term > self._core.term:
            self._enter_term(now, term)
        return self._leading is not None and term == self._core.term

    def _hand_over(self, now: int) -> None:
        """Stop leading at once; the best successor need not wait for silence."""
        if self._leading is None:
            return
        successor = self._leading.best_successor(now)
        if successor is not None:
            self._leading.tell_successor(successor.replica_id)
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
        if not self._leads_in(now, reply.term) or self._leading is None:
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
