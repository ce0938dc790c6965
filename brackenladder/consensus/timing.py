"""Times and bounds of the replicated log; times are integer microseconds."""

from __future__ import annotations

from attrs import frozen

KIB = 1024
SECOND = 1_000_000


@frozen
class Timing:
    """How often a replica speaks, how long it waits, how much it sends at once."""

    heartbeat: int = 150_000  # a leader speaks to each follower at least this often
    election_min: int = 700_000  # a follower waits at least this long for its leader
    election_max: int = 1_200_000
    first_election_min: int = 300_000  # the same until the first election since its start has ended
    first_election_max: int = 650_000
    write_limit: int = 900_000  # a leader whose write hangs for longer steps down
    write_retry: int = 200_000  # pause before a refused write is tried again
    pause: int = 400_000  # a longer gap between ticks: this replica itself stood still
    snapshot_retry: int = 2 * SECOND  # without progress a snapshot's rest is sent again; doubles each time
    snapshot_chunk: int = 64 * KIB  # of a snapshot in one message
    snapshot_window: int = 128 * KIB  # of a snapshot on the way to one follower
    replace_after: int = 1_500_000  # a silent voter is replaced by a learner that stands by
    forget_learner: int = 60 * SECOND  # a silent learner is dropped; it can ask again
    max_voters: int = 5
    catch_up_entries: int = 16  # a learner that is at most this far behind has caught up
    append_bytes: int = 64 * KIB  # of entries in one message (a single larger entry goes alone)
    inflight_bytes: int = 256 * KIB  # sent to one follower and not yet durable there; the others wait so long
    held_bytes: int = 16 * 1024 * KIB  # of entries kept in memory for followers that get a snapshot
    compact_entries: int = 200  # applied since the last snapshot after which the host takes the next one
    compact_bytes: int = 4096 * KIB  # the same in bytes
    kept_bytes: int = (
        128 * KIB
    )  # of entries kept in memory behind a snapshot, for followers that lag a little
