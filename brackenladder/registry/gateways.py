"""Gateways known from their presence messages: which ones clients may use, and how many are alive."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from attrs import define, frozen

OFFER_TIMEOUT = 2_500_000  # microseconds without a message after which clients are not sent to a gateway
# The same limit for a gateway that is linked to this node: as an idle link sends pings, it can be shorter.
LINKED_OFFER_TIMEOUT = 1_100_000
# A gateway counts as linked to this node unless another control node has received a message of it that is at
# least this many microseconds newer than the last one received here.
RELAY_DELAY = 1_000_000
LIVENESS_WINDOW = 20_000_000  # a gateway counts as alive for this many microseconds after its last message
# Microseconds of silence after which another process of the same node replaces the known one, even with a
# lower incarnation: the wall clock may have been set back between the two starts.
SUCCESSION_TIMEOUT = 1_500_000
SETTLE_TIME = 1_500_000  # microseconds within which every gateway connects to a new control node


class GatewayState(IntEnum):
    """The state that a gateway reports of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@frozen
class GatewayRecord:
    """What a gateway reports of itself.

    Of two records of the same node, the one with the higher (`incarnation`, `seq`) wins. Exception: of
    two incarnations heard at least `SUCCESSION_TIMEOUT` apart, the one heard last wins.
    """

    node: str
    front_address: str  # "ip:port", for clients
    zone: str
    region: str
    state: GatewayState
    incarnation: int  # Unix time at which the process started, microseconds
    seq: int


@frozen
class HeardGateway:
    """A gateway and the age of its last message, as exchanged between control nodes."""

    gateway: GatewayRecord
    age: int  # microseconds from the gateway's last message to the sending of this one


@define
class _KnownGateway:
    gateway: GatewayRecord
    heard_at: int  # when any control node last received a message of the gateway
    heard_here_at: int | None = None  # when this node last received a message of the gateway

    def offered(self, now: int) -> bool:
        """Whether clients may be sent to this gateway."""
        here = self.heard_here_at
        timeout = OFFER_TIMEOUT
        if here is not None and self.heard_at - here < RELAY_DELAY:
            timeout = LINKED_OFFER_TIMEOUT
        return self.gateway.state is GatewayState.READY and now - self.heard_at < timeout


class GatewayRegistry:
    """Merges presence messages that this node received itself with those received by its peers."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownGateway] = {}
        self._first_heard_at: int | None = None
        self._synchronized = False
        self._local_changes: dict[str, None] = {}
        self._local_heard: dict[str, None] = {}

    def record_presence(self, now: int, gateway: GatewayRecord, tell_peers: bool = True) -> bool:
        """Merge a presence message of a gateway; True if it changes what is sent to clients or peers.

        `tell_peers`: forward a message that changes nothing too, to show peers that the gateway is alive.
        """
        if self._first_heard_at is None:
            self._first_heard_at = now
        changed = self._merge(gateway, now)
        known = self._known[gateway.node]
        # While the record of a gateway's previous process is still valid here, messages of the new process
        # must not keep the previous one alive.
        known.heard_here_at = now if known.gateway.incarnation == gateway.incarnation else None
        if changed:
            self._local_changes[gateway.node] = None
        elif tell_peers:
            self._local_heard[gateway.node] = None
        return changed

    def record_link_activity(self, node: str, heard_at: int) -> None:
        """Note that something, possibly only a ping, arrived on a gateway's link at `heard_at`."""
        known = self._known.get(node)
        if known is not None and known.heard_here_at is not None:
            known.heard_here_at = max(known.heard_here_at, heard_at)
            known.heard_at = max(known.heard_at, heard_at)

    def merge(self, now: int, heard: Iterable[HeardGateway], full: bool = False) -> bool:
        """Merge records of a peer; True if anything changed. `full`: these are all that the peer knows."""
        changes = [self._merge(one.gateway, now - one.age) for one in heard]
        self._synchronized = self._synchronized or full
        return any(changes)

    def ready(self, now: int) -> tuple[GatewayRecord, ...]:
        """Return the gateways that clients may use.

        A gateway is left out if another one has used the same front address more recently.
        """
        heard: dict[str, int] = {}  # time of the last message of any gateway, by front address
        for known in self._known.values():
            address = known.gateway.front_address
            heard[address] = max(heard.get(address, known.heard_at), known.heard_at)
        return tuple(
            known.gateway
            for known in self._known.values()
            if known.offered(now) and known.heard_at >= heard[known.gateway.front_address]
        )

    def settled(self, now: int) -> bool:
        """Whether this node has had time to learn of every gateway; until then its answers may omit some."""
        if self._synchronized:
            return True
        return self._first_heard_at is not None and now - self._first_heard_at >= SETTLE_TIME

    def count_living(self, now: int) -> int:
        """Count the distinct gateways, in any state, heard from within `LIVENESS_WINDOW`."""
        return sum(now - known.heard_at < LIVENESS_WINDOW for known in self._known.values())

    def list_living(self, now: int) -> tuple[HeardGateway, ...]:
        """Return all live gateways, to be sent to a peer."""
        return tuple(
            HeardGateway(known.gateway, max(0, now - known.heard_at))
            for known in self._known.values()
            if now - known.heard_at < LIVENESS_WINDOW
        )

    def remove_expired(self, now: int) -> None:
        """Remove the gateways that no longer count as alive."""
        old = [node for node, known in self._known.items() if now - known.heard_at >= LIVENESS_WINDOW]
        for node in old:
            del self._known[node]

    def compensate_pause(self, now: int, gap: int) -> None:
        """Shift times by the `gap` microseconds of a pause of this process, so that no gateway times out."""
        for known in self._known.values():
            known.heard_at = min(now, known.heard_at + gap)
            if known.heard_here_at is not None:
                known.heard_here_at = min(now, known.heard_here_at + gap)

    def take_local_changes(self, now: int) -> tuple[HeardGateway, ...]:
        """Return the gateways whose presence messages to this node changed something since the last call."""
        return self._take(now, self._local_changes)

    def take_local_presences(self, now: int) -> tuple[HeardGateway, ...]:
        """Return the gateways that sent this node an unchanged presence message since the last call."""
        return self._take(now, self._local_heard)

    def _take(self, now: int, nodes: dict[str, None]) -> tuple[HeardGateway, ...]:
        known = [self._known[node] for node in nodes if node in self._known]
        nodes.clear()
        return tuple(HeardGateway(one.gateway, max(0, now - one.heard_at)) for one in known)

    def _merge(self, gateway: GatewayRecord, heard_at: int) -> bool:
        known = self._known.get(gateway.node)
        if known is None:
            self._known[gateway.node] = _KnownGateway(gateway, heard_at)
            return True
        if not _replaces(gateway, known.gateway, heard_at - known.heard_at):
            return False
        changed = not _same_content(known.gateway, gateway)
        known.gateway = gateway
        known.heard_at = max(known.heard_at, heard_at)
        return changed


def _replaces(received: GatewayRecord, known: GatewayRecord, later: int) -> bool:
    """Whether `received` replaces `known`; `later`: microseconds by which it was heard after `known`."""
    if received.incarnation != known.incarnation and abs(later) >= SUCCESSION_TIMEOUT:
        return later > 0
    return _rank(received) >= _rank(known)


def _rank(gateway: GatewayRecord) -> tuple[int, int, int]:
    return (gateway.incarnation, gateway.seq, gateway.state)


def _same_content(one: GatewayRecord, other: GatewayRecord) -> bool:
    return (
        one.state == other.state
        and one.front_address == other.front_address
        and one.zone == other.zone
        and one.region == other.region
        and one.incarnation == other.incarnation
    )
