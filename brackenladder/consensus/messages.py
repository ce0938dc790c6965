"""Messages between replicas.

Each message names its `sender` and its receiver (`to`) by replica id. A replica ignores messages for other
ids, because an address may have been taken over by a node with another disk.
"""

from __future__ import annotations

from attrs import frozen

from brackenladder.consensus.types import Entry, Member, Snapshot

UNKNOWN_AGE = 1 << 50  # microseconds; larger than any age that still counts as contact


@frozen
class AppendEntries:
    """Leader to follower: the entries after `prev_index`, or none in a heartbeat, probe or read round."""

    sender: str
    to: str
    term: int
    prev_index: int
    prev_term: int
    commit: int  # the leader's commit index
    round: int  # read confirmation round; the reply repeats it
    address: str  # address of the leader
    entries: tuple[Entry, ...] = ()
    contact_age: int = UNKNOWN_AGE  # microseconds since the leader was last in touch with a quorum
    # `sent_at` of the newest reply that the leader has received from this follower; 0: none yet.
    echo: int = 0


@frozen
class AppendReply:
    """Follower to leader: how far its log matches, or (`ok` is False) up to where the logs may agree."""

    sender: str
    to: str
    term: int
    ok: bool
    round: int
    prev_index: int  # `prev_index` of the request that this message answers
    match: int = 0  # durable here and equal to the leader's log up to this index
    received: int = 0  # equal to the leader's log up to this index, possibly not yet durable
    hint_index: int = 0  # if refused: the logs cannot agree above this index
    hint_term: int = 0  # if refused: the term of the entry at `hint_index`
    sent_at: int = 0  # when the follower sent the reply, in microseconds of its own clock


@frozen
class Vote:
    """Candidate to voter: requests a vote for `term`, or (`pre_vote`) asks whether it would be granted."""

    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False  # the leader itself requested this election


@frozen
class VoteReply:
    """Voter to candidate. `term` is the requested one if granted, and the voter's own if refused."""

    sender: str
    to: str
    term: int
    granted: bool
    pre_vote: bool = False


@frozen
class InstallSnapshot:
    """Leader to follower: a snapshot chunk, if the follower needs entries that the log no longer holds."""

    sender: str
    to: str
    term: int
    address: str  # address of the leader
    snapshot: Snapshot  # `data` holds only this chunk
    offset: int = 0  # offset of the chunk in the snapshot data, in bytes
    total: int = 0  # size of the whole snapshot data in bytes
    digest: bytes = b""  # digest of the whole snapshot data


@frozen
class InstallSnapshotReply:
    """Follower to leader: how far the follower's durable log matches, or how much of the snapshot it has."""

    sender: str
    to: str
    term: int
    match: int
    index: int = 0  # index of the snapshot that is being transferred
    received: int = 0  # bytes of this snapshot that were received without a gap


@frozen
class TimeoutNow:
    """Leader to the voter that takes over leadership: start an election immediately."""

    sender: str
    to: str
    term: int


@frozen
class JoinRequest:
    """A node with a new disk, or one that hears from no leader, asks to become a learner.

    Sent between hosts: any control node forwards it to the leader's host, which calls `Replica.join`.
    """

    member: Member
    forwarded: int = 0  # number of times it has been forwarded


@frozen
class JoinReply:
    """The host's answer to a JoinRequest: accepted by the leader, or the leader known to this node."""

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
