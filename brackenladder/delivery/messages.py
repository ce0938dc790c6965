"""What gateways and control nodes tell one another; the types of all messages of delivery and registry."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen

from brackenladder.prefix_cache.messages import PrefixNotices
from brackenladder.registry.gateways import GatewayRecord, GatewayState
from brackenladder.registry.messages import GatewaysTold, ServersHeard, ServersTold, ServersWanted
from brackenladder.registry.records import ServerRecord

UNKNOWN_AGE = 1 << 62  # microseconds: the leader was never heard
FRESH_AGE = 1_000_000  # microseconds since contact with the leader up to which a control node's word is fresh


class UpdateKind(IntEnum):
    """What a control node keeps a gateway informed of; of each kind one update is in flight at a time."""

    CATALOG = 0
    SERVERS = 1
    CONTROL_NODES = 2
    GATEWAY_COUNT = 3


@frozen
class Subscribe:
    """A gateway's presence: the first one on a link asks for updates, later ones say that it lives."""

    node: str
    incarnation: int
    front_address: str
    zone: str
    region: str
    state: GatewayState
    seq: int
    have_revision: int = 0  # of the catalog that the gateway has
    relay: bool = False  # this control node is to relay prefix notices to and from the gateway

    @property
    def gateway(self) -> GatewayRecord:
        """The presence as the gateway registry takes it."""
        return GatewayRecord(
            node=self.node,
            front_address=self.front_address,
            zone=self.zone,
            region=self.region,
            state=self.state,
            incarnation=self.incarnation,
            seq=self.seq,
        )


@frozen
class Ack:
    """A gateway has taken an update, or could not (`taken` is False): it then needs the whole."""

    kind: UpdateKind
    number: int  # the update's `revision` or `sequence`
    taken: bool = True


@frozen
class CatalogUpdate:
    """The newest configuration and the evacuated zones.

    `document` is left out where the gateway has it: the configuration last changed at `document_revision`.
    """

    revision: int  # log index of the last change; 0: there was none
    document_revision: int
    document: bytes = b""
    compressed: bool = False  # by zlib
    evacuated: tuple[str, ...] = ()
    leader_contact_age: int = UNKNOWN_AGE  # microseconds, as of when it is told


@frozen
class CatalogChange:
    """The orders that lead from one revision to another, for a gateway that has the first."""

    from_revision: int
    to_revision: int
    orders: tuple[bytes, ...]
    leader_contact_age: int = UNKNOWN_AGE


@frozen
class ServersUpdate:
    """Servers that changed, or all of them (`full`), tombstones included. A long one comes in parts."""

    sequence: int
    full: bool
    records: tuple[ServerRecord, ...]
    leader_contact_age: int = UNKNOWN_AGE
    first: bool = True
    last: bool = True


@frozen
class Freshness:
    """How long ago the control node had contact with the leader; told when it becomes fresh or stale."""

    leader_contact_age: int


@frozen
class ControlNodes:
    """Where the control nodes listen for other nodes."""

    revision: int
    addresses: tuple[str, ...]  # "ip:port"
    zones: tuple[str, ...] = ()  # of the addresses; empty where the sender does not know


@frozen
class GatewayCount:
    """How many gateways live, as the control node knows."""

    sequence: int
    number: int
    settled: bool = True  # False: the control node has just started and may not have heard all of them


MESSAGE_TYPES: tuple[type, ...] = (
    Subscribe,
    Ack,
    CatalogUpdate,
    CatalogChange,
    ServersUpdate,
    Freshness,
    ControlNodes,
    GatewayCount,
    ServersTold,
    ServersHeard,
    ServersWanted,
    GatewaysTold,
    PrefixNotices,
)
