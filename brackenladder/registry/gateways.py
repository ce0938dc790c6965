"""Gateways known by their presence messages: which of them clients may be sent to, and how many there are."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from attrs import define, frozen

OFFER_TIMEOUT = 2_500_000  # microseconds without a word after which a gateway is not offered to clients
# The same for one that has a link to this node: links that have nothing else to say send pings.
LINKED_OFFER_TIMEOUT = 1_100_000
RELAY_DELAY = 1_000_000  # microseconds by which peers' word of a gateway is newer only because it goes round
LIVENESS_WINDOW = 20_000_000  # microseconds in which a gateway that was heard counts as living
# Silence of a known process after which another one of its node takes its place, whatever the incarnation:
# the time of day may have been stepped back between their starts.
SUCCESSION_TIMEOUT = 1_500_000
SETTLE_TIME = 1_500_000  # microseconds in which every gateway has found a control node that just started


class GatewayState(IntEnum):
    """A gateway's own word about itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@frozen
class GatewayRecord:
    """One gateway. Of two records of a node the one with the higher (`incarnation`, `seq`) holds.

    Of two incarnations heard more than `SUCCESSION_TIMEOUT` apart the one that was heard last holds.
    """

    node: str
    front_address: str  # "ip:port", for clients
    zone: str
    region: str
    state: GatewayState
    incarnation: int  # time of day at which the process started, microseconds
    seq: int


@frozen
class HeardGateway:
    """A gateway and how long ago it was heard, as control nodes tell one another."""

    gateway: GatewayRecord
    age: int  # microseconds, as of when it is told


@define
class _Known:
    gateway: GatewayRecord
    heard_at: int  # by any control node
    heard_here_at: int | None = None

    def offered(self, now: int) -> bool:
        """Whether clients may be sent to it."""
        here = self.heard_here_at
        silence = OFFER_TIMEOUT
        if here is not None and self.heard_at - here < RELAY_DELAY:
            silence = LINKED_OFFER_TIMEOUT
        return self.gateway.state is GatewayState.READY and now - self.heard_at < silence


class GatewayRegistry:
    """Merges presence that this node heard itself with what its peers heard."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._first_heard_at: int | None = None
        self._synchronized = False
        self._local_changes: dict[str, None] = {}
        self._local_heard: dict[str, None] = {}

    def record_presence(self, now: int, gateway: GatewayRecord, tell_peers: bool = True) -> bool:
        """Take a gateway's own word; True if it changes what clients or peers are told.

        `tell_peers`: peers are also told of a word that changes nothing, as evidence that the gateway lives.
        """
        if self._first_heard_at is None:
            self._first_heard_at = now
        changed = self._merge(gateway, now)
        known = self._known[gateway.node]
        # the word of a process that does not hold yet must not keep its predecessor alive
        known.heard_here_at = now if known.gateway.incarnation == gateway.incarnation else None
        if changed:
            self._local_changes[gateway.node] = None
        elif tell_peers:
            self._local_heard[gateway.node] = None
        return changed

    def record_link_activity(self, node: str, heard_at: int) -> None:
        """A gateway's link brought something at that time, if only a ping."""
        known = self._known.get(node)
        if known is not None and known.heard_here_at is not None:
            known.heard_here_at = max(known.heard_here_at, heard_at)
            known.heard_at = max(known.heard_at, heard_at)

    def merge(self, now: int, heard: Iterable[HeardGateway], full: bool = False) -> bool:
        """Take what a peer tells (`full`: all that it knows); True if anything changed."""
        changes = [self._merge(one.gateway, now - one.age) for one in heard]
        self._synchronized = self._synchronized or full
        return any(changes)

    def ready(self, now: int) -> tuple[GatewayRecord, ...]:
        """The gateways that clients may be sent to, each at an address that no other was heard at since."""
        heard: dict[str, int] = {}  # when somebody was last heard at a front address
        for known in self._known.values():
            address = known.gateway.front_address
            heard[address] = max(heard.get(address, known.heard_at), known.heard_at)
        return tuple(
            known.gateway
            for known in self._known.values()
            if known.offered(now) and known.heard_at >= heard[known.gateway.front_address]
        )

    def settled(self, now: int) -> bool:
        """Whether this node had time to hear of every gateway: before that its answers may leave some out."""
        if self._synchronized:
            return True
        return self._first_heard_at is not None and now - self._first_heard_at >= SETTLE_TIME

    def count_living(self, now: int) -> int:
        """How many distinct gateways were heard within `LIVENESS_WINDOW`, in whatever state."""
        return sum(now - known.heard_at < LIVENESS_WINDOW for known in self._known.values())

    def list_living(self, now: int) -> tuple[HeardGateway, ...]:
        """All living gateways, for a peer."""
        return tuple(
            HeardGateway(known.gateway, max(0, now - known.heard_at))
            for known in self._known.values()
            if now - known.heard_at < LIVENESS_WINDOW
        )

    def remove_expired(self, now: int) -> None:
        """Drop the gateways that count no more."""
        old = [node for node, known in self._known.items() if now - known.heard_at >= LIVENESS_WINDOW]
        for node in old:
            del self._known[node]

    def compensate_pause(self, now: int, gap: int) -> None:
        """This node stood still for `gap` microseconds: what it missed is not held against the gateways."""
        for known in self._known.values():
            known.heard_at = min(now, known.heard_at + gap)
            if known.heard_here_at is not None:
                known.heard_here_at = min(now, known.heard_here_at + gap)

    def take_local_changes(self, now: int) -> tuple[HeardGateway, ...]:
        """Gateways whose own word changed something since the last call."""
        return self._take(now, self._local_changes)

    def take_local_presences(self, now: int) -> tuple[HeardGateway, ...]:
        """Gateways that this node heard itself since the last call."""
        return self._take(now, self._local_heard)

    def _take(self, now: int, nodes: dict[str, None]) -> tuple[HeardGateway, ...]:
        known = [self._known[node] for node in nodes if node in self._known]
        nodes.clear()
        return tuple(HeardGateway(one.gateway, max(0, now - one.heard_at)) for one in known)

    def _merge(self, gateway: GatewayRecord, heard_at: int) -> bool:
        known = self._known.get(gateway.node)
        if known is None:
            self._known[gateway.node] = _Known(gateway, heard_at)
            return True
        if not _succeeds(gateway, known.gateway, heard_at - known.heard_at):
            return False
        changed = not _says_the_same(known.gateway, gateway)
        known.gateway = gateway
        known.heard_at = max(known.heard_at, heard_at)
        return changed


def _succeeds(told: GatewayRecord, known: GatewayRecord, later: int) -> bool:
    """Whether a record takes a known one's place; it was heard `later` microseconds after that."""
    if told.incarnation != known.incarnation and abs(later) >= SUCCESSION_TIMEOUT:
        return later > 0
    return _rank(told) >= _rank(known)


def _rank(gateway: GatewayRecord) -> tuple[int, int, int]:
    return (gateway.incarnation, gateway.seq, gateway.state)


def _says_the_same(one: GatewayRecord, other: GatewayRecord) -> bool:
    return (
        one.state == other.state
        and one.front_address == other.front_address
        and one.zone == other.zone
        and one.region == other.region
        and one.incarnation == other.incarnation
    )
