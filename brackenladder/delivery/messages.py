"""Messages between gateways and control nodes, and the list of all message types of delivery and registry."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen

from brackenladder.prefix_cache.messages import PrefixNotices
from brackenladder.registry.gateways import GatewayRecord, GatewayState
from brackenladder.registry.messages import GatewaysTold, ServersHeard, ServersTold, ServersWanted
from brackenladder.registry.records import ServerRecord

UNKNOWN_AGE = 1 << 62  # microseconds; means that the time since the last leader contact is not known
FRESH_AGE = 1_000_000  # microseconds since leader contact up to which a control node's data counts as fresh


class UpdateKind(IntEnum):
    """The kinds of updates for gateways; of each kind, one update is in flight at a time."""

    CATALOG = 0
    SERVERS = 1
    CONTROL_NODES = 2
    GATEWAY_COUNT = 3


@frozen
class Subscribe:
    """A gateway's presence message: the first one on a link subscribes, later ones show that it is alive."""

    node: str
    incarnation: int
    front_address: str
    zone: str
    region: str
    state: GatewayState
    seq: int
    have_revision: int = 0  # revision of the catalog that the gateway has
    # The receiver is the control node nearest to the gateway. It forwards the gateway's prefix notices (which
    # server has which prompt prefixes cached) to other gateways, and theirs to this one.
    relay: bool = False

    @property
    def gateway(self) -> GatewayRecord:
        """The message as a record for the gateway registry."""
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
    """Acknowledges an update; with `taken` False the gateway could not apply it and needs a full one."""

    kind: UpdateKind
    number: int  # `revision` or `sequence` of the update
    taken: bool = True


@frozen
class CatalogUpdate:
    """The newest configuration and the evacuated zones.

    `document` is empty if the gateway already has it, that is, has at least `document_revision`.
    """

    revision: int  # log index of the last change; 0: there was none
    document_revision: int  # revision at which the document last changed
    document: bytes = b""
    compressed: bool = False  # whether `document` is compressed with zlib
    evacuated: tuple[str, ...] = ()
    leader_contact_age: int = UNKNOWN_AGE  # microseconds since leader contact, at the time of sending


@frozen
class CatalogChange:
    """The commands that change one catalog revision into another, for a gateway that has the first."""

    from_revision: int
    to_revision: int
    orders: tuple[bytes, ...]
    leader_contact_age: int = UNKNOWN_AGE


@frozen
class ServersUpdate:
    """Servers that changed, or all of them (`full`), including tombstones. A long update is sent in parts."""

    sequence: int
    full: bool
    records: tuple[ServerRecord, ...]
    leader_contact_age: int = UNKNOWN_AGE
    first: bool = True
    last: bool = True


@frozen
class Freshness:
    """Time since the control node's last leader contact; sent when its data becomes fresh or stale."""

    leader_contact_age: int


@frozen
class ControlNodes:
    """The addresses at which control nodes accept connections from other nodes."""

    revision: int
    addresses: tuple[str, ...]  # "ip:port"
    zones: tuple[str, ...] = ()  # zones of the nodes at `addresses`, in the same order; empty if not known


@frozen
class GatewayCount:
    """The number of live gateways known to the control node."""

    sequence: int
    number: int
    settled: bool = True  # False: the control node has just started and may not know all gateways yet


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
