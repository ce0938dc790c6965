"""A gateway's links to the control nodes: whom it dials, what it tells them, what they tell it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import logbook
from attrs import evolve

from brackenladder.delivery.messages import Ack, UpdateKind
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.prefix_cache.messages import PrefixNotices
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Dialer, Link, Transport

MOST_LINKS = 5
UNREACHED = 2_000_000  # microseconds without any link after which the seeds are dialled again too

OnNotices = Callable[[PrefixNotices], None]

log = logbook.Logger("links")


class ControlLinks:
    """Keeps a link to every control node, `MOST_LINKS` at most but always to more than half of them."""

    def __init__(
        self,
        transport: Transport,
        subscriber: Subscriber,
        presence: Presence,
        clock: Callable[[], int],
        random: Random,
        relay_choice: RelayChoice,
        on_notices: OnNotices,
    ) -> None:
        """`on_notices` takes what other gateways tell of the prefixes that servers keep."""
        self._transport = transport
        self._subscriber = subscriber
        self._presence = presence
        self._clock = clock
        self._random = random
        self._relay_choice = relay_choice
        self._on_notices = on_notices
        self._relay = ""  # the control node that relays prefix notices; empty: none is linked
        self.has_prefix_notices = (
            False  # other gateways' notices have come: what traffic leans on, or that it is unknown
        )
        self._seeds: tuple[str, ...] = ()
        self._told: tuple[str, ...] = ()
        self._dialers: dict[str, Dialer] = {}
        self._links: dict[str, Link] = {}
        self._linked_at = clock()

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Takes the inner addresses of the seeds; they count until control nodes tell their own list."""
        self._seeds = addresses
        self._choose()

    @property
    def has_relay(self) -> bool:
        """Whether prefix notices reach other gateways."""
        return self._relay in self._links

    def announce_presence(self) -> None:
        """Tells all control nodes the gateway's presence now."""
        message = self._presence.announce(self._clock(), self._subscriber.view.revision)
        for address, link in self._links.items():
            link.send(evolve(message, relay=True) if address == self._relay else message)

    def send_prefix_notices(self, notices: PrefixNotices) -> None:
        """Has the other gateways told which prefixes servers have been sent."""
        link = self._links.get(self._relay)
        if link is not None:
            link.send(notices)

    def tick(self) -> None:
        """Repeats the presence when it is due and follows the list of control nodes."""
        now = self._clock()
        if self._links:
            self._linked_at = now
        if self._presence.due(now):
            self.announce_presence()
        if self._subscriber.control_nodes != self._told or now - self._linked_at > UNREACHED:
            self._told = self._subscriber.control_nodes
            self._choose()
        self._choose_relay()

    def link_up(self, address: str, link: Link) -> None:
        """A link to a control node is up."""
        self._links[address] = link
        self._subscriber.connected(self._clock(), address)
        link.send(self._presence.message(self._subscriber.view.revision))

    def received(self, address: str, link: Link, message: object) -> None:
        """A control node has told something."""
        if isinstance(message, PrefixNotices):
            self.has_prefix_notices = True
            self._on_notices(message)
            return
        known = self._subscriber.view.revision
        for answer in self._subscriber.receive(self._clock(), address, message):
            link.send(answer)
        if self._subscriber.view.revision > known:
            self._tell_revision(address)
        if not self._relay:
            self._choose_relay()

    def _tell_revision(self, source: str) -> None:
        """Tells the other control nodes that they need not bring the configuration that has just come.

        Failure prevented: each of five control nodes sends each gateway every changed document whole.
        """
        message = Ack(UpdateKind.CATALOG, self._subscriber.view.revision)
        for address, link in self._links.items():
            if address != source:
                link.send(message)

    def link_down(self, address: str, link: Link, reason: LinkClosed) -> None:
        """A link has gone."""
        if self._links.get(address) is not link:
            return
        log.info("link to control node {} closed: {}", address, reason)
        del self._links[address]
        self._subscriber.disconnected(self._clock(), address)
        self._choose_relay()

    def _choose_relay(self) -> None:
        """Once the control nodes' places are known; all of them are told at once where it changes."""
        zones = self._subscriber.control_zones
        relay = self._relay_choice.nearest(self._links, zones) if zones else ""
        if relay != self._relay:
            self._relay = relay
            self.announce_presence()

    def _choose(self) -> None:
        """Dials and closes in the sequence of addresses, which is the same in every process."""
        wanted = self._wanted()
        for address in sorted(wanted - self._dialers.keys()):
            self._dialers[address] = self._transport.dial(address, _ControlLink(self, address))
        for address in sorted(self._dialers.keys() - wanted):
            self._dialers.pop(address).close()

    def _wanted(self) -> set[str]:
        unreached = self._clock() - self._linked_at > UNREACHED
        wanted = set(self._seeds) if unreached or not self._told else set()
        most = max(MOST_LINKS, len(self._told) // 2 + 1)
        told = list(self._told)
        if len(told) > most:
            kept = [address for address in told if address in self._dialers]
            others = [address for address in told if address not in self._dialers]
            self._random.shuffle(others)
            told = [*kept, *others][:most]
        return wanted.union(told)


class _ControlLink:
    """Handler of the link to one control node."""

    def __init__(self, links: ControlLinks, address: str) -> None:
        self._links = links
        self._address = address

    def connected(self, link: Link) -> None:
        self._links.link_up(self._address, link)

    def received(self, link: Link, message: object) -> None:
        self._links.received(self._address, link, message)

    def closed(self, link: Link, reason: LinkClosed) -> None:
        self._links.link_down(self._address, link, reason)
