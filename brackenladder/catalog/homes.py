"""The homes that bind a host: which regions' gateways may be named to clients of other regions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from attrs import frozen

from brackenladder.catalog.configuration import Configuration
from brackenladder.catalog.hosts import normalize_host

Homes = frozenset[str]  # region names


@frozen
class HostHomes:
    """The homes of one host's routes.

    A client sends all requests for a host to the gateways that it was told for it, so the homes of all its
    routes bind together. Routes without homes bind nothing. For a host that no route names no region is
    permitted: the configuration that adds it, and its homes, may be on their way.
    """

    known: bool = False  # whether a route names the host
    bindings: tuple[Homes, ...] = ()  # of the routes that have homes, each set once

    def permits(self, region: str) -> bool:
        """Whether a client of another region may be led to gateways of this one."""
        return self.known and all(region in homes for homes in self.bindings)

    def forbidden(self, client_region: str, regions: Iterable[str]) -> list[str]:
        """Which of the regions that a client is led to it must not be led to."""
        return sorted(region for region in regions if region != client_region and not self.permits(region))


UNKNOWN_HOST = HostHomes()


ReadConfiguration = Callable[[], Configuration | None]


def no_configuration() -> Configuration | None:
    """There is none yet."""
    return None


class ConfigurationHomes:
    """The homes by host of one configuration, which is read when they are first asked for."""

    def __init__(self, read: ReadConfiguration = no_configuration) -> None:
        self._read = read
        self._hosts: Mapping[str, HostHomes] | None = None

    def of(self, host: str) -> HostHomes:
        """What binds a host, as a client names it."""
        if self._hosts is None:
            self._hosts = _by_host(self._read())
        return self._hosts.get(normalize_host(host), UNKNOWN_HOST)


def _by_host(configuration: Configuration | None) -> Mapping[str, HostHomes]:
    bindings: dict[str, dict[Homes, None]] = {}
    for route in configuration.routes if configuration is not None else ():
        of_host = bindings.setdefault(route.host, {})
        if route.homes:
            of_host[frozenset(route.homes)] = None
    return {host: HostHomes(known=True, bindings=tuple(of_host)) for host, of_host in bindings.items()}
