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
    # `election_min` until the first election after this replica's start has ended.
    first_election_min: int = 300_000
    first_election_max: int = 650_000
    write_limit: int = 900_000  # a leader steps down when a write to its store takes longer than this
    write_retry: int = 200_000  # delay before a failed write is retried
    pause: int = 400_000  # a longer gap between ticks means that this process was suspended
    # After this time without progress, unacknowledged chunks are resent; the time doubles with each resend.
    snapshot_retry: int = 2 * SECOND
    snapshot_chunk: int = 64 * KIB  # snapshot bytes in one message
    snapshot_window: int = 128 * KIB  # unacknowledged snapshot bytes per follower
    replace_after: int = 1_500_000  # a standby learner replaces a voter that was silent for this long
    forget_learner: int = 60 * SECOND  # a learner that was silent for this long is removed; it may rejoin
    max_voters: int = 5
    catch_up_entries: int = 16  # a learner that lacks at most this many entries has caught up
    append_bytes: int = 64 * KIB  # entry bytes in one message (a single larger entry is sent alone)
    inflight_bytes: int = 256 * KIB  # entry bytes sent to one follower and not yet durable there
    # Maximum bytes of entries that stay in memory for followers that are receiving a snapshot.
    held_bytes: int = 16 * 1024 * KIB
    compact_entries: int = 200  # entries applied since the last snapshot before the host takes the next one
    # Bytes applied since the last snapshot before the host takes the next one.
    compact_bytes: int = 4096 * KIB
    # Bytes of entries that a snapshot covers but that stay in memory, for followers that lag slightly behind.
    kept_bytes: int = 128 * KIB
