"""Times and limits of the replicated log. Times are integer microseconds."""

from __future__ import annotations

from attrs import frozen

KIB = 1024
SECOND = 1_000_000


@frozen
class Timing:
    """Intervals, timeouts and size limits of a replica."""

    heartbeat: int = 150_000  # longest time between two messages from a leader to a follower
    election_min: int = 700_000  # shortest election timeout of a follower
    election_max: int = 1_200_000
    first_election_min: int = 300_000  # the same until the first election after this replica's start
    first_election_max: int = 650_000
    write_limit: int = 900_000  # a leader steps down when a write takes longer
    write_retry: int = 200_000  # delay before a failed write is retried
    pause: int = 400_000  # a longer gap between ticks means that this process was suspended
    snapshot_retry: int = 2 * SECOND  # without progress, unconfirmed chunks are resent; doubles each time
    snapshot_chunk: int = 64 * KIB  # snapshot bytes in one message
    snapshot_window: int = 128 * KIB  # unacknowledged snapshot bytes per follower
    replace_after: int = 1_500_000  # a standby learner replaces a voter that was silent for this long
    forget_learner: int = 60 * SECOND  # a learner that was silent for this long is removed; it may rejoin
    max_voters: int = 5
    catch_up_entries: int = 16  # a learner that lacks at most this many entries has caught up
    append_bytes: int = 64 * KIB  # entry bytes in one message (a single larger entry is sent alone)
    inflight_bytes: int = 256 * KIB  # entry bytes sent to one follower and not yet durable there
    held_bytes: int = 16 * 1024 * KIB  # entry bytes kept in memory for followers that receive a snapshot
    compact_entries: int = 200  # entries applied since the last snapshot before the host takes the next one
    compact_bytes: int = 4096 * KIB  # the same limit in bytes
    kept_bytes: int = 128 * KIB  # entry bytes before a snapshot kept in memory for slightly slow followers
