"""A leader's membership changes: one at a time, with joint consensus whenever the voters change."""

from __future__ import annotations

from brackenladder.consensus.core import Core
from brackenladder.consensus.leadership import Leadership
from brackenladder.consensus.members import all_members, encode_members
from brackenladder.consensus.planning import Health, plan_change
from brackenladder.consensus.types import EntryKind, Member, Members


class Reconfiguration:
    """The join and remove requests of this term, and the next membership change."""

    def __init__(self, core: Core, leading: Leadership) -> None:
        self._core = core
        self._leading = leading
        self._joining: dict[str, Member] = {}
        self._removing: set[str] = set()

    def join(self, member: Member) -> None:
        """Notes a member that wants to join; it replaces an earlier request from the same address."""
        self._joining = {
            other.replica_id: other for other in self._joining.values() if other.address != member.address
        }
        self._joining[member.replica_id] = member

    def remove(self, replica_id: str) -> None:
        """Notes a member that leaves permanently."""
        self._removing.add(replica_id)

    @property
    def voted_out(self) -> bool:
        """Whether the change that removed this leader from the voters is committed and complete."""
        return self._settled and not self._core.members.outgoing and not self._leading.leads_as_voter()

    @property
    def _settled(self) -> bool:
        core = self._core
        return self._leading.established and core.log.members_index <= core.commit_index

    def advance(self, now: int) -> None:
        """Starts or completes a change if one is due and every entry that sets members is committed."""
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
