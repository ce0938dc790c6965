"""Links between control nodes: dials addresses, identifies peers, and routes messages by replica id."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import logbook

from brackenladder.control_plane.messages import Hello
from brackenladder.transport.errors import LinkClosed
from brackenladder.transport.link import Dialer, Link, Transport

# Bounds the number of addresses that reports of other nodes can make this node dial.
MAX_DIALLED_ADDRESSES = 16

log = logbook.Logger("peers")


class PeerListener(Protocol):
    """Receives the events of the links."""

    def peer_connected(self, peer: Hello, link: Link) -> None:
        """A link is up and the other end has identified itself as a control node."""

    def peer_received(self, peer: Hello, link: Link, message: object) -> None:
        """A control node has sent a message."""

    def gateway_received(self, link: Link, message: object) -> None:
        """A message has arrived on a link whose other end is not a control node, but a gateway."""

    def link_closed(self, link: Link) -> None:
        """A link has been closed."""


class PeerLinks:
    """Dials every known control node, and accepts links from all nodes.

    Messages are routed by the replica id that the other end sends when the link comes up, not by address: a
    node that lost its disk is a new replica at the same address, and must not get messages for the old one.
    """

    def __init__(self, transport: Transport, listener: PeerListener, hello: Callable[[], Hello]) -> None:
        self._transport = transport
        self._listener = listener
        self._hello = hello
        self._dialers: dict[str, Dialer] = {}
        self._peers: dict[Link, Hello] = {}  # identity of the other end, by link (dialled or accepted)
        # Links that this node dialled, by the replica id of the other end.
        self._dialled: dict[str, Link] = {}
        self._accepted: dict[str, Link] = {}

    async def listen(self, address: str) -> None:
        """Accepts links at the node-to-node address."""
        await self._transport.listen(address, _AcceptedLinks(self))

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Dials exactly these addresses from now on, and closes dialled links to others."""
        wanted = set(addresses)
        wanted.discard(self._hello().address)
        for address in sorted(wanted - self._dialers.keys()):
            if len(self._dialers) < MAX_DIALLED_ADDRESSES:
                self._dialers[address] = self._transport.dial(address, _DialledLink(self))
        for address in sorted(self._dialers.keys() - wanted):
            self._dialers.pop(address).close()

    def connected_addresses(self) -> tuple[str, ...]:
        """The node-to-node addresses of the control nodes that are connected now."""
        return tuple(sorted({peer.address for peer in self._peers.values()}))

    def peers(self) -> tuple[tuple[Hello, Link], ...]:
        """Every connected control node, with the link used for it."""
        links = {**self._accepted, **self._dialled}
        return tuple((self._peers[link], link) for link in links.values())

    def link(self, replica_id: str) -> Link | None:
        """The link to a replica; None if it is not connected."""
        return self._dialled.get(replica_id) or self._accepted.get(replica_id)

    def send(self, replica_id: str, message: object) -> bool:
        """Sends a message to a replica; False if there is no link or its queue is full."""
        link = self.link(replica_id)
        return link is not None and link.send(message)

    def broadcast(self, message: object) -> None:
        """Sends a message to every connected control node."""
        for _, link in self.peers():
            link.send(message)

    def register(self, link: Link, peer: Hello, table: dict[str, Link]) -> None:
        """Records the identity of the other end of a link."""
        self._peers[link] = peer
        table[peer.replica_id] = link

    def dialled_received(self, link: Link, message: object) -> None:
        """Handles a message on a link that this node dialled."""
        if isinstance(message, Hello):
            self.register(link, message, self._dialled)
            self._listener.peer_connected(message, link)
            return
        self._dispatch(link, message)

    def accepted_received(self, link: Link, message: object) -> None:
        """Handles a message on a link that another node dialled."""
        if isinstance(message, Hello):
            link.send(self._hello())
            self.register(link, message, self._accepted)
            self._listener.peer_connected(message, link)
            return
        self._dispatch(link, message)

    def dialled_connected(self, link: Link) -> None:
        """A link that this node dialled has come up."""
        link.send(self._hello())

    def closed(self, link: Link, reason: LinkClosed) -> None:
        """A link has been closed."""
        peer = self._peers.pop(link, None)
        if peer is not None:
            log.debug("link to {} closed: {}", peer.address, reason)
            for table in (self._dialled, self._accepted):
                if table.get(peer.replica_id) is link:
                    del table[peer.replica_id]
        self._listener.link_closed(link)

    def close(self) -> None:
        """Closes all dialled links, and stops dialling."""
        for dialer in self._dialers.values():
            dialer.close()
        self._dialers.clear()

    def _dispatch(self, link: Link, message: object) -> None:
        peer = self._peers.get(link)
        if peer is None:
            self._listener.gateway_received(link, message)
        else:
            self._listener.peer_received(peer, link, message)


class _DialledLink:
    """Passes the events of the link to one dialled address on to `PeerLinks`."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def connected(self, link: Link) -> None:
        self._links.dialled_connected(link)

    def received(self, link: Link, message: object) -> None:
        self._links.dialled_received(link, message)

    def closed(self, link: Link, reason: LinkClosed) -> None:
        self._links.closed(link, reason)


class _AcceptedLinks:
    """Passes the events of all links that other nodes dialled on to `PeerLinks`."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def connected(self, link: Link) -> None:
        """Does nothing: the other end identifies itself by its first message."""

    def received(self, link: Link, message: object) -> None:
        self._links.accepted_received(link, message)

    def closed(self, link: Link, reason: LinkClosed) -> None:
        self._links.closed(link, reason)
