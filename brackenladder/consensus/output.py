"""What a replica returns to its host: its role, results of requests, and the actions to carry out."""

from __future__ import annotations

from enum import Enum

from attrs import define, field, frozen

from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.types import Entry, Member, Snapshot, Write
from brackenladder.consensus.writes import Outgoing


class Role(Enum):
    """The current role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"  # receives the log but has no vote


@frozen
class ProposalIndex:
    """The log position of a proposal, which succeeds if the entry committed there has this term."""

    index: int
    term: int


@frozen
class NotLeader:
    """The request needs the leader. `leader` is the leader known to this replica, if any."""

    leader: Member | None


@frozen
class ProposalLost:
    """This replica lost leadership: whether its proposal at index `token` gets committed is unknown."""

    token: int


@frozen
class Output:
    """Actions for the host. The state machine restores `restore` before it applies `committed`."""

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
    """Messages, results of reads, and lost proposals, collected since the host last took them."""

    messages: list[Outgoing] = field(factory=list)
    reads: list[ReadReady] = field(factory=list)
    reads_failed: list[int] = field(factory=list)
    restore: Snapshot | None = None
    lost: list[ProposalLost] = field(factory=list)

    def take(self, write: Write | None, committed: tuple[Entry, ...]) -> Output:
        """Returns the collected output and starts a new collection."""
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
