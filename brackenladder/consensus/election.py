"""Elections as one replica sees them: its timer, its campaigns (pre-vote first) and its votes."""

from __future__ import annotations

from random import Random

from brackenladder.consensus.core import Core
from brackenladder.consensus.members import voting_members
from brackenladder.consensus.messages import Vote, VoteReply

# After this many campaigns since the start of the replica, the normal election timeout replaces the shorter
# one used at the start. Over links slower than the shorter timeout, no campaign could succeed with it.
MAX_EARLY_CAMPAIGNS = 4


class Election:
    """The current campaign, if any, and the election timer."""

    def __init__(self, core: Core, random: Random, now: int) -> None:
        self._core = core
        self._random = random
        self._deadline = 0
        self._votes: set[str] = set()
        self.active = False
        self.pre_vote = False
        self._starting = True  # no election has ended since this replica started
        self._campaigns = 0  # campaigns since this replica started
        self.reset_timer(now)

    def reset_timer(self, now: int) -> None:
        """Restarts the election timer with a random timeout.

        A replica that has just started uses a shorter timeout: after a power loss of all replicas there is
        no leader. If there is one, the other replicas refuse the pre-vote, so no harm is done.
        """
        timing = self._core.timing
        least, most = timing.election_min, timing.election_max
        if self._starting and self._campaigns < MAX_EARLY_CAMPAIGNS:
            least, most = timing.first_election_min, timing.first_election_max
        self._deadline = now + self._random.randint(least, most)

    def due(self, now: int) -> bool:
        """Whether the election timer has expired."""
        return now >= self._deadline

    def end(self, now: int) -> None:
        """Ends the campaign and restarts the timer."""
        self._starting = False
        self.active = False
        self.pre_vote = False
        self.reset_timer(now)

    def begin(self, now: int, pre_vote: bool, transfer: bool) -> None:
        """Starts an election, or a pre-vote. The replica's own vote counts once it is durable."""
        core = self._core
        self.active = True
        self.pre_vote = pre_vote
        self._votes.clear()
        self._campaigns += pre_vote
        self.reset_timer(now)
        if pre_vote:
            self._votes.add(core.replica_id)
            self._request_votes(core.term + 1, 0, pre_vote=True, transfer=False)
            return
        core.set_term(core.term + 1, core.replica_id)
        token = core.writes.pending_token
        own = VoteReply(core.replica_id, core.replica_id, core.term, granted=True)
        core.send_once_durable(core.replica_id, own, token)
        self._request_votes(core.term, token, pre_vote=False, transfer=transfer)

    def resend_pre_vote(self, replica_id: str) -> None:
        """Sends the current pre-vote request to a replica to which a link has just come up.

        Without this, replicas that start together begin the first campaign before their links are up, and
        no leader is elected until the next election timeout.
        """
        voters = {voter.replica_id for voter in voting_members(self._core.members)}
        if self.active and self.pre_vote and replica_id in voters - self._votes:
            self._request_vote(replica_id, self._core.term + 1, 0, pre_vote=True, transfer=False)

    def _request_votes(self, term: int, token: int, pre_vote: bool, transfer: bool) -> None:
        for voter in voting_members(self._core.members):
            if voter.replica_id != self._core.replica_id:
                self._request_vote(voter.replica_id, term, token, pre_vote, transfer)

    def _request_vote(self, to: str, term: int, token: int, pre_vote: bool, transfer: bool) -> None:
        core = self._core
        last_index, last_term = core.log.last_index, core.log.last_term
        vote = Vote(core.replica_id, to, term, last_index, last_term, pre_vote, transfer)
        core.send_once_durable(to, vote, token)

    def add_vote(self, reply: VoteReply) -> bool:
        """Counts a vote. Returns False if it doesn't belong to the current campaign."""
        expected = self._core.term + 1 if self.pre_vote else self._core.term
        if not self.active or not reply.granted or reply.pre_vote != self.pre_vote or reply.term != expected:
            return False
        self._votes.add(reply.sender)
        return True

    def won(self) -> bool:
        """Whether a quorum has granted its vote."""
        own = int(self._core.replica_id in self._votes)
        return self._core.quorum(own, lambda voter: int(voter in self._votes)) >= 1

    def yield_to(self, now: int, vote: Vote) -> None:
        """Abandons this replica's pre-vote if another candidate's pre-vote has precedence.

        Without this, two candidates that need each other's vote keep colliding when the latency between them
        is about as long as the difference of their election timeouts.
        """
        if self.active and self.pre_vote and vote.pre_vote and self._is_outranked_by(vote):
            self.active = False
            self.pre_vote = False
            self.reset_timer(now)

    def _is_outranked_by(self, vote: Vote) -> bool:
        core = self._core
        log = (core.log.last_term, core.log.last_index)
        theirs = (vote.last_term, vote.last_index)
        own = (core.term + 1, log, core.replica_id)
        return theirs >= log and (vote.term, theirs, vote.sender) > own

    def refuse(self, vote: Vote) -> None:
        """Refuses a pre-vote because this replica hears from a leader."""
        self._reply(vote, self._core.term, granted=False)

    def answer(self, vote: Vote) -> bool:
        """Answers a pre-vote, or a vote request of this term or an older one.

        Returns whether a vote (not a pre-vote) was granted.
        """
        core = self._core
        current = (vote.last_term, vote.last_index) >= (core.log.last_term, core.log.last_index)
        if vote.pre_vote:
            granted = current and vote.term > core.term
            self._reply(vote, vote.term if granted else core.term, granted)
            return False
        granted = current and vote.term == core.term and core.voted_for in ("", vote.sender)
        if granted and not core.voted_for:
            core.set_term(core.term, vote.sender)
        self._reply(vote, core.term, granted)
        return granted

    def _reply(self, vote: Vote, term: int, granted: bool) -> None:
        core = self._core
        reply = VoteReply(core.replica_id, vote.sender, term, granted, vote.pre_vote)
        core.send_once_durable(vote.sender, reply, core.writes.pending_hard_token)
