"""Short messages between nodes, over UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

MAX_MESSAGE_BYTES = 256  # bytes in one message

Address = tuple[str, int]


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends datagrams to the nodes of the tier by number, and passes received ones to `on_message`."""

    def __init__(
        self,
        peers: Sequence[Address],
        to_all: Address | None,
        on_message: Callable[[int, bytes], None],
        log: Callable[[str], None],
    ) -> None:
        self.set_addresses(peers, to_all)
        self.on_message = on_message
        self.log = log
        self.transport: asyncio.DatagramTransport | None = None

    def set_addresses(self, peers: Sequence[Address], to_all: Address | None) -> None:
        """Sets the nodes' addresses, by number, and `to_all`, the one address that reaches all nodes."""
        self.peers = peers
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.to_all = to_all

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a message to one peer, or to all (-1). A message over `MAX_MESSAGE_BYTES` is not sent."""
        address = self.to_all if peer < 0 else self.peers[peer] if peer < len(self.peers) else None
        if self.transport is None or address is None or len(data) > MAX_MESSAGE_BYTES:
            self.log(f"message of {len(data)} bytes to peer {peer} not sent")
            return
        self.transport.sendto(data, address)

    def send(self, peer: int, data: bytes) -> None:
        """Sends a membership datagram; drops it if there is no such peer, as any datagram may be lost."""
        if self.transport is not None and peer < len(self.peers) and not self.transport.is_closing():
            self.transport.sendto(data, self.peers[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self.numbers.get((addr[0], addr[1]))
        if number is None or len(data) > MAX_MESSAGE_BYTES:
            self.log("stray or oversized datagram dropped")
            return
        self.on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        self.log(f"peers: {exc}")
