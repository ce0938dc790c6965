"""Values that the replicated log, its store and its host exchange."""

from __future__ import annotations

from enum import IntEnum

from attrs import field, frozen


class EntryKind(IntEnum):
    """What an entry of the log carries."""

    NOOP = 0  # a new leader's first entry
    COMMAND = 1  # bytes for the state machine
    MEMBERS = 2  # an encoded `Members`
    COMMAND_PART = 3  # the beginning of a large command; the rest follows


@frozen
class Member:
    """A replica. Its id belongs to its disk; its address is where the node listens for other nodes."""

    replica_id: str
    address: str  # "ip:port"
    zone: str = ""
    region: str = ""


@frozen
class Members:
    """Who votes and who learns. `outgoing` is not empty while a joint change is under way."""

    voters: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


@frozen
class Entry:
    """One entry of the log. Indexes start at 1 and have no gaps."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@frozen
class HardState:
    """What a replica must remember of elections before it answers."""

    term: int = 0
    voted_for: str = ""  # a replica id; empty: nobody in this term


@frozen
class Snapshot:
    """The state machine's state after the entry at `index`, which the log no longer holds."""

    index: int
    term: int
    members: Members
    data: bytes


@frozen
class DurableState:
    """All that a store holds of the log: what a replica starts from."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()  # contiguous, after the snapshot


@frozen
class Write:
    """One atomic, durable change of the store.

    In this order: install `snapshot` (entries up to its index are dropped; all entries if `clear`), delete
    entries from `truncate_from` on (0: none), append `entries`, set `hard_state`.
    """

    token: int  # handed back to the replica once the change is durable
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    clear: bool = False
    truncate_from: int = 0
    entries: tuple[Entry, ...] = field(default=())
