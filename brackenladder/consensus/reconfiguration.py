"""A leader's changes of the members: one at a time, through a joint majority whenever voters change."""

from __future__ import annotations

from brackenladder.consensus.core import Core
from brackenladder.consensus.leadership import Leadership
from brackenladder.consensus.members import all_members, encode_members
from brackenladder.consensus.planning import Health, plan_change
from brackenladder.consensus.types import EntryKind, Member, Members


class Reconfiguration:
    """Who asked to join or to leave in this term, and the change that comes next."""

    def __init__(self, core: Core, leading: Leadership) -> None:
        self._core = core
        self._leading = leading
        self._joining: dict[str, Member] = {}
        self._removing: set[str] = set()

    def join(self, member: Member) -> None:
        """Take note of a member to be taken in; of several at one address the newest counts."""
        self._joining = {
            other.replica_id: other for other in self._joining.values() if other.address != member.address
        }
        self._joining[member.replica_id] = member

    def remove(self, replica_id: str) -> None:
        """Take note of a member that leaves for good."""
        self._removing.add(replica_id)

    @property
    def voted_out(self) -> bool:
        """Whether this leader is no longer a voter, and that is settled."""
        return self._settled and not self._core.members.outgoing and not self._leading.leads_as_voter()

    @property
    def _settled(self) -> bool:
        core = self._core
        return self._leading.established and core.log.members_index <= core.commit_index

    def advance(self, now: int) -> None:
        """Begin or finish a change, if one is due and none is under way."""
        if not self._settled:
            return
        members = self._core.members
        if members.outgoing:
            self._append(now, Members(members.voters, (), members.learners))
        elif self._leading.leads_as_voter() and not self._leading.transferring:
            self._plan(now, members)

    def _plan(self, now: int, members: Members) -> None:
        self._removing &= {member.replica_id for member in all_members(members)}
        if not (self._joining or self._removing or members.learners):
            return
        leading = self._leading

        def health_of(replica_id: str) -> Health:
            return Health(leading.silent_for(now, replica_id), leading.entries_behind(replica_id))

        timing = self._core.timing
        planned = plan_change(members, health_of, self._joining.values(), self._removing, timing)
        if planned is None:
            self._joining.clear()
            return
        self._append(now, planned)

    def _append(self, now: int, members: Members) -> None:
        self._leading.append(EntryKind.MEMBERS, encode_members(members))
        self._leading.update_followers(now)
