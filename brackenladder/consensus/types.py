"""Data types that the replicated log, its store and its host exchange."""

from __future__ import annotations

from enum import IntEnum

from attrs import field, frozen


class EntryKind(IntEnum):
    """The kind of a log entry's data."""

    NOOP = 0  # empty; the first entry of a new leader
    COMMAND = 1  # a command for the state machine, or the last part of a large one
    MEMBERS = 2  # a new member set: an encoded `Members`
    COMMAND_PART = 3  # a part of a large command; more parts follow


@frozen
class Member:
    """A replica. Its id identifies its disk; its address is where its node listens for other nodes."""

    replica_id: str
    address: str  # "ip:port"
    zone: str = ""
    region: str = ""


@frozen
class Members:
    """Voters and learners. During a joint configuration change `outgoing` holds the previous voters."""

    voters: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


@frozen
class Entry:
    """One entry of the log. Indexes start at 1 and are contiguous."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@frozen
class HardState:
    """A replica's term and vote; they have to be durable before it answers a message."""

    term: int = 0
    voted_for: str = ""  # replica id of the candidate; empty: no vote in this term


@frozen
class Snapshot:
    """The state machine's state after the entry at `index`. It replaces the log up to there."""

    index: int
    term: int
    members: Members
    data: bytes


@frozen
class DurableState:
    """Everything that a store holds of the log. A replica starts from it."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()  # contiguous, after the snapshot


@frozen
class Write:
    """One atomic, durable change of the store.

    The store installs `snapshot` (and drops the entries up to its index, or all entries if `clear`), deletes
    the entries from `truncate_from` on (0: none), appends `entries` and sets `hard_state`, in this order.
    """

    token: int  # the host passes it to `Replica.persisted` once the change is durable
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    clear: bool = False
    truncate_from: int = 0
    entries: tuple[Entry, ...] = field(default=())
