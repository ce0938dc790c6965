"""What a replica tells its host: roles, answers to requests, and what is to be done."""

from __future__ import annotations

from enum import Enum

from attrs import define, field, frozen

from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.types import Entry, Member, Snapshot, Write
from brackenladder.consensus.writes import Outgoing


class Role(Enum):
    """What a replica is at present."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"  # follows and has no vote


@frozen
class ProposalIndex:
    """Where a proposal stands in the log. It is accepted when this entry, of this term, is committed."""

    index: int
    term: int


@frozen
class NotLeader:
    """This replica can't do it; `leader` can, if it is known."""

    leader: Member | None


@frozen
class ProposalLost:
    """This replica no longer leads: the fate of its proposal at index `token` is unknown."""

    token: int


@frozen
class Output:
    """What the host has to do. The state machine takes `restore` before `committed`."""

    messages: tuple[Outgoing, ...] = ()
    writes: tuple[Write, ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[ReadReady, ...] = ()
    reads_failed: tuple[int, ...] = ()
    restore: Snapshot | None = None
    lost: tuple[ProposalLost, ...] = ()


NOTHING = Output()


@define
class PendingOutput:
    """What has come together since the host last asked."""

    messages: list[Outgoing] = field(factory=list)
    reads: list[ReadReady] = field(factory=list)
    reads_failed: list[int] = field(factory=list)
    restore: Snapshot | None = None
    lost: list[ProposalLost] = field(factory=list)

    def take(self, write: Write | None, committed: tuple[Entry, ...]) -> Output:
        """Hand it out."""
        rare = self.reads or self.reads_failed or self.restore or self.lost
        if not (self.messages or write or committed or rare):
            return NOTHING
        output = Output(
            messages=tuple(self.messages),
            writes=(write,) if write is not None else (),
            committed=committed,
            reads=tuple(self.reads),
            reads_failed=tuple(self.reads_failed),
            restore=self.restore,
            lost=tuple(self.lost),
        )
        self.messages.clear()
        if rare:
            self._clear_rare()
        return output

    def _clear_rare(self) -> None:
        self.reads.clear()
        self.reads_failed.clear()
        self.restore = None
        self.lost.clear()
