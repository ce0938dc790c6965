"""Member sets: majorities, lookup, encoding in the log, and the members at the first start."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgpack

from brackenladder.consensus.types import Member, Members, Snapshot

GENESIS_INDEX = 1
GENESIS_TERM = 1
UNBOUNDED = 1 << 62


def genesis_replica_id(address: str) -> str:
    """The replica id that a seed node uses at the first start of the whole system."""
    return f"genesis-{address}"


def genesis_snapshot(voters: Members) -> Snapshot:
    """The snapshot that all seeds start from.

    It leaves out zones and regions, so that it is the same on each seed whatever the seed knows about the
    others. Its index is 1, which distinguishes it from an empty log.
    """
    bare = [Member(voter.replica_id, voter.address) for voter in voters.voters]
    ordered = tuple(sorted(bare, key=lambda member: member.replica_id))
    return Snapshot(GENESIS_INDEX, GENESIS_TERM, Members(voters=ordered), b"")


def majority_value(voters: Iterable[Member], value_of: Callable[[str], int]) -> int:
    """The highest value that more than half of `voters` reach; UNBOUNDED if there are no voters."""
    values = sorted([value_of(voter.replica_id) for voter in voters])
    if not values:
        return UNBOUNDED
    return values[(len(values) - 1) // 2]


def quorum_value(members: Members, value_of: Callable[[str], int]) -> int:
    """The highest value that a majority of each set of voters reaches; -1 if there are no voters."""
    if not members.voters:
        return -1
    reached = majority_value(members.voters, value_of)
    if members.outgoing:
        return min(reached, majority_value(members.outgoing, value_of))
    return reached


def voting_members(members: Members) -> tuple[Member, ...]:
    """All voters of both sets without duplicates."""
    if not members.outgoing:
        return members.voters
    known = {voter.replica_id for voter in members.voters}
    return members.voters + tuple(member for member in members.outgoing if member.replica_id not in known)


def all_members(members: Members) -> tuple[Member, ...]:
    """Voters of both sets and learners."""
    return voting_members(members) + members.learners


def is_voter(members: Members, replica_id: str) -> bool:
    """Whether the replica is a voter in either set."""
    return any(member.replica_id == replica_id for member in voting_members(members))


def find_member(members: Members, replica_id: str) -> Member | None:
    """The voter or learner with this id; None if there is none."""
    for member in all_members(members):
        if member.replica_id == replica_id:
            return member
    return None


def encode_members(members: Members) -> bytes:
    """The data of a log entry that sets the members."""
    sets = [
        [[member.replica_id, member.address, member.zone, member.region] for member in group]
        for group in (members.voters, members.outgoing, members.learners)
    ]
    packed: bytes = msgpack.packb(sets)
    return packed


def decode_members(data: bytes) -> Members:
    """The inverse of `encode_members`."""
    voters, outgoing, learners = msgpack.unpackb(data)
    return Members(_decode_group(voters), _decode_group(outgoing), _decode_group(learners))


def _decode_group(group: list[list[Any]]) -> tuple[Member, ...]:
    return tuple(Member(*fields[:4]) for fields in group)
