"""Decides the next membership change: which member joins, is replaced or leaves."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

import attrs
from attrs import frozen

from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import Member, Members


@frozen
class Health:
    """What the leader knows about the state of a member."""

    silent_for: int  # microseconds since its last message
    behind: int  # number of log entries that are not yet durable on the member


MIN_VOTERS = 3  # the smallest number of voters that tolerates the loss of one

HealthOf = Callable[[str], Health]


def with_member(members: Members, member: Member) -> Members | None:
    """The members with `member` added as a learner or its address updated; None if nothing changes."""
    for group in (members.voters, members.learners):
        if member in group:
            return None
    if any(voter.replica_id == member.replica_id for voter in members.voters):
        voters = tuple(member if voter.replica_id == member.replica_id else voter for voter in members.voters)
        return attrs.evolve(members, voters=voters)
    others = tuple(
        learner
        for learner in members.learners
        if learner.replica_id != member.replica_id and learner.address != member.address
    )
    return attrs.evolve(members, learners=(*others, member))


def plan_change(
    members: Members,
    health_of: HealthOf,
    joining: Iterable[Member],
    removing: Collection[str],
    timing: Timing,
) -> Members | None:
    """The next member set, or None if no change is due.

    If the voters change, it is a joint configuration with the current voters as `outgoing`.
    """
    for member in joining:
        taken = with_member(members, member)
        if taken is not None:
            return taken
    planner = _Planner(members, health_of, timing)
    return (
        planner.replace_wiped()
        or planner.remove(removing)
        or planner.replace_silent()
        or planner.add_voters()
        or planner.forget_learner()
    )


class _Planner:
    def __init__(self, members: Members, health_of: HealthOf, timing: Timing) -> None:
        self._members = members
        self._health_of = health_of
        self._timing = timing
        self._ready = [learner for learner in members.learners if self._caught_up(learner)]
        addresses = {voter.address for voter in members.voters}
        self._standby = [learner for learner in self._ready if learner.address not in addresses]

    def _caught_up(self, member: Member) -> bool:
        health = self._health_of(member.replica_id)
        return self._recently_heard(member) and health.behind <= self._timing.catch_up_entries

    def _recently_heard(self, member: Member) -> bool:
        return self._health_of(member.replica_id).silent_for < self._timing.election_min

    def _silent_for(self, member: Member) -> int:
        return self._health_of(member.replica_id).silent_for

    def _replace_voters(self, leaving: Collection[Member], joining: Collection[Member]) -> Members | None:
        staying = tuple(voter for voter in self._members.voters if voter not in leaving)
        learners = tuple(learner for learner in self._members.learners if learner not in joining)
        changed = (*staying, *joining)
        heard = [voter for voter in changed if self._recently_heard(voter)]
        if 2 * len(heard) <= len(changed):
            return None  # too few of the new voters respond to complete the change
        return Members(voters=changed, outgoing=self._members.voters, learners=learners)

    def remove(self, removing: Collection[str]) -> Members | None:
        """Carries out a planned removal. A standby learner replaces a leaving voter.

        Without a standby learner, voters are removed only once they are silent and only if an odd number
        remains. Removing them earlier would not raise the number of tolerated losses, and this leader may
        not yet have noticed that another voter has lost its disk.
        """
        for learner in self._members.learners:
            if learner.replica_id in removing:
                staying = tuple(other for other in self._members.learners if other is not learner)
                return attrs.evolve(self._members, learners=staying)
        leaving = [voter for voter in self._members.voters if voter.replica_id in removing]
        if leaving and self._standby:
            return self._replace_voters(leaving[:1], self._standby[:1])
        gone = [voter for voter in leaving if not self._recently_heard(voter)]
        surplus = 2 if len(self._members.voters) % 2 else 1
        if len(gone) >= surplus and len(self._members.voters) - surplus >= MIN_VOTERS:
            return self._replace_voters(gone[:surplus], ())
        return None

    def replace_wiped(self) -> Members | None:
        """Replaces a voter by the learner at its address: a new replica there shows that its disk is lost."""
        for learner in self._ready:
            for voter in self._members.voters:
                if voter.address == learner.address:
                    return self._replace_voters((voter,), (learner,))
        return None

    def replace_silent(self) -> Members | None:
        """Replaces a voter that has been silent for `Timing.replace_after` by a standby learner."""
        if not self._standby:
            return None
        longest = max(self._members.voters, key=self._silent_for)
        if self._silent_for(longest) < self._timing.replace_after:
            return None
        return self._replace_voters((longest,), self._standby[:1])

    def add_voters(self) -> Members | None:
        """Promotes one or two standby learners, so that the number of voters becomes or stays odd.

        If it is odd already, a single learner stays on standby.
        """
        count = len(self._members.voters)
        room = self._timing.max_voters - count
        wanted = 2 if count % 2 else 1
        if wanted > room or len(self._standby) < wanted:
            return None
        return self._replace_voters((), self._standby[:wanted])

    def forget_learner(self) -> Members | None:
        """Removes a learner that has been silent for `Timing.forget_learner`; it may ask to join again."""
        for learner in self._members.learners:
            if self._silent_for(learner) >= self._timing.forget_learner:
                staying = tuple(other for other in self._members.learners if other is not learner)
                return attrs.evolve(self._members, learners=staying)
        return None
