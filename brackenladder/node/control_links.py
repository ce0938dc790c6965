"""A gateway's links to the control nodes: which ones it connects to, and the messages in both directions."""

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

MAX_LINKS = 5
SEED_RETRY_AFTER = 2_000_000  # microseconds without any link after which the seeds are tried again too

OnNotices = Callable[[PrefixNotices], None]

log = logbook.Logger("links")


class ControlLinks:
    """Keeps a link to each control node: to `MAX_LINKS` at most, but always to more than half of them."""

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
        """`on_notices` is called with other gateways' notices of the prefixes that servers have cached."""
        self._transport = transport
        self._subscriber = subscriber
        self._presence = presence
        self._clock = clock
        self._random = random
        self._relay_choice = relay_choice
        self._on_notices = on_notices
        self._relay = ""  # the control node that relays prefix notices; empty if none is linked
        # Whether a message with other gateways' prefix notices has arrived, even one without any notice.
        self.has_prefix_notices = False
        self._seeds: tuple[str, ...] = ()
        self._known: tuple[str, ...] = ()  # the list of control nodes that the links were last chosen from
        self._dialers: dict[str, Dialer] = {}
        self._links: dict[str, Link] = {}
        self._linked_at = clock()

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Sets the seeds' inner addresses, which are used until control nodes send their own list."""
        self._seeds = addresses
        self._update_dialers()

    @property
    def has_relay(self) -> bool:
        """Whether this gateway is linked to the control node that forwards its prefix notices to others."""
        return self._relay in self._links

    def announce_presence(self) -> None:
        """Sends the gateway's presence to all control nodes now."""
        message = self._presence.announce(self._clock(), self._subscriber.view.revision)
        for address, link in self._links.items():
            link.send(evolve(message, relay=True) if address == self._relay else message)

    def send_prefix_notices(self, notices: PrefixNotices) -> None:
        """Sends notices of the prefixes that were sent to servers, to be relayed to the other gateways."""
        link = self._links.get(self._relay)
        if link is not None:
            link.send(notices)

    def tick(self) -> None:
        """Repeats the presence message when it is due, and applies changes of the list of control nodes."""
        now = self._clock()
        if self._links:
            self._linked_at = now
        if self._presence.due(now):
            self.announce_presence()
        if self._subscriber.control_nodes != self._known or now - self._linked_at > SEED_RETRY_AFTER:
            self._known = self._subscriber.control_nodes
            self._update_dialers()
        self._choose_relay()

    def link_up(self, address: str, link: Link) -> None:
        """Registers a new link to a control node and announces this gateway on it."""
        self._links[address] = link
        self._subscriber.connected(self._clock(), address)
        link.send(self._presence.message(self._subscriber.view.revision))

    def received(self, address: str, link: Link, message: object) -> None:
        """Handles a message from a control node."""
        if isinstance(message, PrefixNotices):
            self.has_prefix_notices = True
            self._on_notices(message)
            return
        revision_before = self._subscriber.view.revision
        for answer in self._subscriber.receive(self._clock(), address, message):
            link.send(answer)
        if self._subscriber.view.revision > revision_before:
            self._announce_revision(address)
        if not self._relay:
            self._choose_relay()

    def _announce_revision(self, source: str) -> None:
        """Tells the other control nodes that this gateway already has the new configuration.

        Otherwise each of five control nodes would send each gateway every changed document in full.
        """
        message = Ack(UpdateKind.CATALOG, self._subscriber.view.revision)
        for address, link in self._links.items():
            if address != source:
                link.send(message)

    def link_down(self, address: str, link: Link, reason: LinkClosed) -> None:
        """Forgets a link to a control node that has ended."""
        if self._links.get(address) is not link:
            return
        log.info("link to control node {} closed: {}", address, reason)
        del self._links[address]
        self._subscriber.disconnected(self._clock(), address)
        self._choose_relay()

    def _choose_relay(self) -> None:
        """Chooses which control node forwards prefix notices: the nearest, once their zones are known.

        A change is announced to the control nodes.
        """
        zones = self._subscriber.control_zones
        relay = self._relay_choice.nearest(self._links, zones) if zones else ""
        if relay != self._relay:
            self._relay = relay
            self.announce_presence()

    def _update_dialers(self) -> None:
        """Opens and closes dialers in the order of their addresses, so that runs are reproducible."""
        wanted = self._choose_addresses()
        for address in sorted(wanted - self._dialers.keys()):
            self._dialers[address] = self._transport.dial(address, _ControlLink(self, address))
        for address in sorted(self._dialers.keys() - wanted):
            self._dialers.pop(address).close()

    def _choose_addresses(self) -> set[str]:
        without_links = self._clock() - self._linked_at > SEED_RETRY_AFTER
        wanted = set(self._seeds) if without_links or not self._known else set()
        limit = max(MAX_LINKS, len(self._known) // 2 + 1)
        chosen = list(self._known)
        if len(chosen) > limit:
            dialled = [address for address in chosen if address in self._dialers]
            others = [address for address in chosen if address not in self._dialers]
            self._random.shuffle(others)
            chosen = [*dialled, *others][:limit]
        return wanted.union(chosen)


class _ControlLink:
    """The handler of the link to one control node."""

    def __init__(self, links: ControlLinks, address: str) -> None:
        self._links = links
        self._address = address

    def connected(self, link: Link) -> None:
        self._links.link_up(self._address, link)

    def received(self, link: Link, message: object) -> None:
        self._links.received(self._address, link, message)

    def closed(self, link: Link, reason: LinkClosed) -> None:
        self._links.link_down(self._address, link, reason)
