"""Server records, as exchanged between nodes."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class ServerState(IntEnum):
    """The state that a server reports of itself, or its end."""

    READY = 0
    DRAINING = 1
    GONE = 2  # a tombstone: the server deregistered or timed out


@frozen
class ServerRecord:
    """One incarnation of a server. Of two records with the same id, the one with the higher `seq` wins.

    GONE is final, unless the record is `expired`: that tombstone covers heartbeats up to its `seq` only, and
    one with a higher `seq` revives the server.
    """

    id: str
    service: str
    address: str  # "ip:port"
    zone: str
    slots: int
    state: ServerState
    seq: int
    software: str = ""
    # Microseconds, at the time of sending, for which the server remains cold: after its start it has a lower
    # load limit for a while.
    cold_for: int = 0
    # Microseconds until the server shuts down, even if requests are running; -1: not announced.
    remaining: int = -1
    models: tuple[str, ...] = ()
    expired: bool = False  # in a GONE record: the server timed out and did not deregister


@frozen
class HeardServer:
    """A heartbeat that a node received: shows that a server is alive, without the content of its record."""

    id: str
    seq: int
    age: int  # microseconds from receiving the heartbeat to sending this message
    changed_seq: int  # the lowest `seq` known to have reported the same content as the newest record


def same_content(one: ServerRecord, other: ServerRecord) -> bool:
    """Whether two records of an id have the same content, apart from `seq` and the remaining times."""
    return (
        one.state == other.state
        and one.address == other.address
        and one.service == other.service
        and one.zone == other.zone
        and one.slots == other.slots
        and one.software == other.software
        and one.models == other.models
    )
