"""A single replica without a cluster, and messages to it."""

from __future__ import annotations

from random import Random

from consensus.cluster import empty_state, seeds

from brackenladder.consensus.messages import (
    AppendEntries,
    Vote,
)
from brackenladder.consensus.replica import Replica, Timing
from brackenladder.consensus.types import DurableState, Members


def lone_replica(members: Members | None = None, state: DurableState | None = None) -> Replica:
    """One of three seeds; without `members` it is a learner."""
    return Replica(seeds(3)[0], state or empty_state(), Timing(), Random(1), 0, members)


def vote(replica: Replica, **changes) -> Vote:
    """A vote request from a candidate with a long log."""
    fields = {
        "sender": "other",
        "to": replica.member.replica_id,
        "term": 5,
        "last_index": 99,
        "last_term": 9,
    }
    return Vote(**{**fields, **changes})


def heartbeat(replica: Replica, **changes) -> AppendEntries:
    """A heartbeat from a leader."""
    fields = {
        "sender": "other",
        "to": replica.member.replica_id,
        "term": 5,
        "prev_index": 0,
        "prev_term": 0,
        "commit": 0,
        "round": 0,
        "address": "10.0.0.9:1",
    }
    return AppendEntries(**{**fields, **changes})
