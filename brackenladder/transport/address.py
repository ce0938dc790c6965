"""Addresses of nodes: "ip:port", IPv4."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

from attrs import frozen

from brackenladder.transport.errors import AddressError

HIGHEST_PORT = 65_535


@frozen
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses "ip:port". Raises AddressError if the text isn't an address."""
    ip, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()) or int(port) > HIGHEST_PORT:
        raise AddressError(f"{text!r} is not ip:port")
    try:
        return Address(str(IPv4Address(ip)), int(port))
    except AddressValueError as fault:
        raise AddressError(f"{text!r} is not ip:port") from fault
