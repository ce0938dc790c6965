"""Replicas with one planted fault each. The model has to detect every one of them."""

from __future__ import annotations

import attrs
from consensus.model import Model

from brackenladder.consensus.core import Core
from brackenladder.consensus.election import Election
from brackenladder.consensus.leadership import Leadership
from brackenladder.consensus.members import majority_value
from brackenladder.consensus.messages import AppendReply, InstallSnapshotReply, Vote, VoteReply
from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.replica import Output, Replica
from brackenladder.consensus.types import HardState, Write
from brackenladder.consensus.writes import WriteQueue


class _UnheldReplica(Replica):
    """Sends messages of some types without waiting until the store is durable."""

    too_early: tuple[type, ...] = ()

    def take_output(self) -> Output:
        output = super().take_output()
        held = self._core.writes._held
        early = [each.outgoing for each in held if isinstance(each.outgoing.message, self.too_early)]
        for each in [each for each in held if each.outgoing in early]:
            held.remove(each)
        own = [outgoing for outgoing in early if outgoing.to == self._core.replica_id]
        others = tuple(outgoing for outgoing in early if outgoing.to != self._core.replica_id)
        for outgoing in own:
            self._dispatch(self._now, outgoing.message)
        return attrs.evolve(output, messages=output.messages + others)


class VoteNotSynced(_UnheldReplica):
    """Sends its vote before the store has it."""

    too_early = (VoteReply, Vote)


class AcknowledgesBeforeDurable(_UnheldReplica):
    """Acknowledges entries to the leader before the store has them."""

    too_early = (AppendReply, InstallSnapshotReply)


class _ForgetfulQueue(WriteQueue):
    def set_hard_state(self, hard_state: HardState) -> None:
        super().set_hard_state(HardState(hard_state.term, ""))


class _ForgetfulCore(Core):
    writes_type = _ForgetfulQueue


class VoteNotWritten(Replica):
    """Persists its term, but not its vote."""

    core_type = _ForgetfulCore


class _EagerLeadership(Leadership):
    def ready_reads(self) -> list[ReadReady]:
        if not self.established:
            return []
        return self.reads.confirmed(self.reads.round, self.first_index)


class StaleRead(Replica):
    """Answers reads without confirmation by a quorum."""

    leadership_type = _EagerLeadership


class _UnestablishedLeadership(Leadership):
    def ready_reads(self) -> list[ReadReady]:
        answered = self._core.quorum(self.reads.round, self._round)
        return self.reads.confirmed(answered, 0)


class ReadBeforeFirstCommit(Replica):
    """Answers reads before an entry of its own term is committed."""

    leadership_type = _UnestablishedLeadership


class _CountingLeadership(Leadership):
    def commit(self) -> bool:
        log = self._core.log
        return self._core.advance_commit(self._core.quorum(log.durable_index, self._match))


class CommitsOlderTermByCounting(Replica):
    """Commits an entry of an older term as soon as a majority has it."""

    leadership_type = _CountingLeadership


class _CountsItselfLeadership(Leadership):
    def commit(self) -> bool:
        log = self._core.log
        reached = self._core.quorum(log.last_index, self._match)
        if log.term(reached) != self._core.term:
            return False
        return self._core.advance_commit(reached)


class LeaderCountsUndurable(Replica):
    """Counts the leader's own entries before its write is durable."""

    leadership_type = _CountsItselfLeadership


class _SingleMajorityCore(Core):
    def quorum(self, own, value_of):
        own_id = self.replica_id
        return majority_value(self.members.voters, lambda voter: own if voter == own_id else value_of(voter))


class SingleMajority(Replica):
    """Requires only a majority of the new voters in a joint change."""

    core_type = _SingleMajorityCore


class _TrustingElection(Election):
    def answer(self, vote: Vote) -> bool:
        return super().answer(attrs.evolve(vote, last_term=1 << 40))


class VotesForStaleLog(Replica):
    """Votes without comparing the candidate's log."""

    election_type = _TrustingElection


class _HalfQueue(WriteQueue):
    def take(self, now: int) -> Write | None:
        write = super().take(now)
        if write is None or not write.clear:
            return write
        return attrs.evolve(write, clear=False)


class _HalfCore(Core):
    writes_type = _HalfQueue


class KeepsLogUnderSnapshot(Replica):
    """Installs a leader's snapshot in the store without dropping the old entries after it."""

    core_type = _HalfCore


class AnswersForFormerDisk(Replica):
    """Accepts messages for the replica that had its address before, and answers with that replica's id."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self._asked_as = {}

    def step(self, now: int, sender: str, message: object) -> None:
        if hasattr(message, "to") and sender != self._core.replica_id:
            self._asked_as[sender] = message.to
            message = attrs.evolve(message, to=self._core.replica_id)
        super().step(now, sender, message)

    def take_output(self) -> Output:
        output = super().take_output()
        return attrs.evolve(output, messages=tuple(self._renamed(each) for each in output.messages))

    def _renamed(self, outgoing):
        name = self._asked_as.get(outgoing.to)
        if name is None or not isinstance(outgoing.message, AppendReply | InstallSnapshotReply | VoteReply):
            return outgoing
        return attrs.evolve(outgoing, message=attrs.evolve(outgoing.message, sender=name))


class _IdKeepingModel(Model):
    wiped_keeps_id = True


def _model_of(mutant: type[Replica]) -> type[Model]:
    return type(f"{mutant.__name__}Model", (Model,), {"replica_type": mutant})


MUTANTS: dict[str, type[Model]] = {
    mutant.__name__: _model_of(mutant)
    for mutant in (
        VoteNotSynced,
        VoteNotWritten,
        AcknowledgesBeforeDurable,
        LeaderCountsUndurable,
        StaleRead,
        ReadBeforeFirstCommit,
        CommitsOlderTermByCounting,
        SingleMajority,
        VotesForStaleLog,
        KeepsLogUnderSnapshot,
        AnswersForFormerDisk,
    )
}
MUTANTS["WipedVoterKeepsId"] = _IdKeepingModel
