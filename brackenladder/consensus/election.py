"""A replica's part in elections: its timer, its campaign with a pre-vote first, and its answers."""

from __future__ import annotations

from random import Random

from brackenladder.consensus.core import Core
from brackenladder.consensus.members import voting_members
from brackenladder.consensus.messages import Vote, VoteReply

MOST_EARLY_CAMPAIGNS = 4  # since the start: links slower than the shorter waits need the usual ones


class Election:
    """The campaign under way, if any, and when the next one is due."""

    def __init__(self, core: Core, random: Random, now: int) -> None:
        self._core = core
        self._random = random
        self._deadline = 0
        self._votes: set[str] = set()
        self.active = False
        self.pre_vote = False
        self._starting = True  # since the replica's start no election has ended
        self._campaigns = 0  # since the replica's start
        self.wait(now)

    def wait(self, now: int) -> None:
        """Start the timer anew.

        A replica that has just started waits less: after a loss of power of all replicas nobody leads, and
        where somebody does, the others refuse its pre-vote.
        """
        timing = self._core.timing
        least, most = timing.election_min, timing.election_max
        if self._starting and self._campaigns < MOST_EARLY_CAMPAIGNS:
            least, most = timing.first_election_min, timing.first_election_max
        self._deadline = now + self._random.randint(least, most)

    def due(self, now: int) -> bool:
        """Whether the timer has run out."""
        return now >= self._deadline

    def end(self, now: int) -> None:
        """No campaign is under way any more."""
        self._starting = False
        self.active = False
        self.pre_vote = False
        self.wait(now)

    def begin(self, now: int, pre_vote: bool, transfer: bool) -> None:
        """Ask for votes, or whether they would be given. The own vote counts once it is durable."""
        core = self._core
        self.active = True
        self.pre_vote = pre_vote
        self._votes.clear()
        self._campaigns += pre_vote
        self.wait(now)
        if pre_vote:
            self._votes.add(core.replica_id)
            self._ask(core.term + 1, 0, pre_vote=True, transfer=False)
            return
        core.set_term(core.term + 1, core.replica_id)
        token = core.writes.pending_token
        own = VoteReply(core.replica_id, core.replica_id, core.term, granted=True)
        core.send_once_durable(core.replica_id, own, token)
        self._ask(core.term, token, pre_vote=False, transfer=transfer)

    def ask_again(self, replica_id: str) -> None:
        """A link to a replica has come up: the pre-vote under way did not reach it.

        Failure prevented: all replicas start together, the first campaign begins before there are links, and
        nobody leads until another wait is over.
        """
        voters = {voter.replica_id for voter in voting_members(self._core.members)}
        if self.active and self.pre_vote and replica_id in voters - self._votes:
            self._ask_one(replica_id, self._core.term + 1, 0, pre_vote=True, transfer=False)

    def _ask(self, term: int, token: int, pre_vote: bool, transfer: bool) -> None:
        for voter in voting_members(self._core.members):
            if voter.replica_id != self._core.replica_id:
                self._ask_one(voter.replica_id, term, token, pre_vote, transfer)

    def _ask_one(self, to: str, term: int, token: int, pre_vote: bool, transfer: bool) -> None:
        core = self._core
        last_index, last_term = core.log.last_index, core.log.last_term
        vote = Vote(core.replica_id, to, term, last_index, last_term, pre_vote, transfer)
        core.send_once_durable(to, vote, token)

    def counts(self, reply: VoteReply) -> bool:
        """Take a vote. False: it isn't one for the campaign under way."""
        expected = self._core.term + 1 if self.pre_vote else self._core.term
        if not self.active or not reply.granted or reply.pre_vote != self.pre_vote or reply.term != expected:
            return False
        self._votes.add(reply.sender)
        return True

    def won(self) -> bool:
        """Whether a quorum has given its vote."""
        own = int(self._core.replica_id in self._votes)
        return self._core.quorum(own, lambda voter: int(voter in self._votes)) >= 1

    def yield_to(self, now: int, vote: Vote) -> None:
        """Another candidate's pre-vote may end the own pre-vote under way: of two only one goes on.

        Without that, two replicas that need one another's vote collide again and again where the way between
        them takes about as long as the waits differ.
        """
        if self.active and self.pre_vote and vote.pre_vote and self._is_outranked_by(vote):
            self.active = False
            self.pre_vote = False
            self.wait(now)

    def _is_outranked_by(self, vote: Vote) -> bool:
        core = self._core
        log = (core.log.last_term, core.log.last_index)
        theirs = (vote.last_term, vote.last_index)
        own = (core.term + 1, log, core.replica_id)
        return theirs >= log and (vote.term, theirs, vote.sender) > own

    def refuse(self, vote: Vote) -> None:
        """Refuse a pre-vote because a leader is in touch."""
        self._reply(vote, self._core.term, granted=False)

    def answer(self, vote: Vote) -> bool:
        """Answer a vote of this term or an older one, or a pre-vote. True: the vote was given."""
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
