"""What is known of one server, as nodes tell one another."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class ServerState(IntEnum):
    """A server's own word about itself, and its end."""

    READY = 0
    DRAINING = 1
    GONE = 2  # a tombstone: deregistered, or silent for longer than the registry waits


@frozen
class ServerRecord:
    """One incarnation of a server. Of two records of an id the one with the higher `seq` holds.

    GONE is final, except where it is `expired`: such a tombstone ends the server up to its `seq` only, and a
    heartbeat with a higher one revives it.
    """

    id: str
    service: str
    address: str  # "ip:port"
    zone: str
    slots: int
    state: ServerState
    seq: int
    software: str = ""
    cold_for: int = 0  # microseconds that it stays cold, as of when the record is told
    remaining: int = -1  # microseconds until it is gone whatever it runs; -1: not told
    models: tuple[str, ...] = ()
    expired: bool = False  # of a GONE record: it ended by silence, not by its own word


@frozen
class HeardServer:
    """A heartbeat that a node heard: evidence that a server is alive, without what it said."""

    id: str
    seq: int
    age: int  # microseconds since it was heard, as of when it is told
    changed_seq: int  # the lowest `seq` that is known to have said the same


def states_the_same(one: ServerRecord, other: ServerRecord) -> bool:
    """Whether two records of an id say the same, apart from `seq` and what passes with time."""
    return (
        one.state == other.state
        and one.address == other.address
        and one.service == other.service
        and one.zone == other.zone
        and one.slots == other.slots
        and one.software == other.software
        and one.models == other.models
    )
