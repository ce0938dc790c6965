"""What replicas say to one another.

Each message names its `sender` and the replica that it is meant for (`to`): an address may by now belong to
another disk, and a replica ignores what is meant for another one.
"""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.types import Entry, Member, Snapshot

UNKNOWN_AGE = 1 << 50  # microseconds; older than any contact that counts


@frozen
class AppendEntries:
    """Leader to follower: entries that follow `prev_index`, or none (a heartbeat, a probe, a read round)."""

    sender: str
    to: str
    term: int
    prev_index: int
    prev_term: int
    commit: int  # the leader's commit index
    round: int  # of read confirmation; the reply repeats it
    address: str  # of the leader
    entries: tuple[Entry, ...] = ()
    contact_age: int = UNKNOWN_AGE  # microseconds since the leader was last in touch with a quorum
    echo: int = 0  # `sent_at` of the follower's newest word that the leader has; 0: none yet


@frozen
class AppendReply:
    """Follower to leader: what it holds, or (`ok` is False) where the two logs may still agree."""

    sender: str
    to: str
    term: int
    ok: bool
    round: int
    prev_index: int  # of the request
    match: int = 0  # durable here and equal to the leader's log up to this index
    received: int = 0  # equal to the leader's log up to this index, perhaps not yet durable
    hint_index: int = 0  # refused: no agreement above this index
    hint_term: int = 0  # refused: the term of the entry at `hint_index`
    sent_at: int = 0  # by the follower's own clock, microseconds


@frozen
class Vote:
    """Candidate to voter: a vote for `term`, or (`pre_vote`) whether it would get one."""

    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False  # the leader itself asked for this election


@frozen
class VoteReply:
    """Voter to candidate. A granted pre-vote repeats the term asked for; a refusal tells the voter's own."""

    sender: str
    to: str
    term: int
    granted: bool
    pre_vote: bool = False


@frozen
class InstallSnapshot:
    """Leader to a follower that needs entries which the leader no longer holds: a chunk of a snapshot."""

    sender: str
    to: str
    term: int
    address: str  # of the leader
    snapshot: Snapshot  # its data is the chunk's
    offset: int = 0  # of the chunk, in bytes
    total: int = 0  # bytes of the whole data
    digest: bytes = b""  # of the whole data


@frozen
class InstallSnapshotReply:
    """Follower to leader: durable and equal to the leader's log up to `match`, or how far the chunks got."""

    sender: str
    to: str
    term: int
    match: int
    index: int = 0  # of the snapshot under way
    received: int = 0  # bytes of it that have arrived without a gap


@frozen
class TimeoutNow:
    """Leader to the voter that shall take over: start an election at once."""

    sender: str
    to: str
    term: int


@frozen
class JoinRequest:
    """A node with a new disk, or one that no leader speaks to, asks to become a learner.

    Between hosts: any control node forwards it to the leader's host, which calls `Replica.join`.
    """

    member: Member
    forwarded: int = 0  # how often it has been passed on


@frozen
class JoinReply:
    """The host's answer: taken by the leader, or the leader that this node knows of."""

    accepted: bool
    leader: Member | None = None


MESSAGE_TYPES: tuple[type, ...] = (
    AppendEntries,
    AppendReply,
    Vote,
    VoteReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TimeoutNow,
    JoinRequest,
    JoinReply,
)
