"""Home regions: the regions whose gateways may serve a host to clients of other regions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from attrs import frozen

from brackenladder.catalog.configuration import Configuration
from brackenladder.catalog.hosts import normalize_host

Homes = frozenset[str]  # region names


@frozen
class HostHomes:
    """The restrictions that the routes of a host impose by their home regions.

    A client sends all requests for a host to the same gateways, so a gateway must satisfy the home regions of
    all the host's routes. Routes without home regions impose no restriction. If no route has the host, no
    region is permitted: the configuration that adds the host, with home regions, may not have arrived yet.
    """

    known: bool = False  # whether any route has the host
    home_sets: tuple[Homes, ...] = ()  # the distinct sets of home regions of the host's routes

    def permits(self, region: str) -> bool:
        """Whether clients of other regions may be directed to gateways of this region."""
        return self.known and all(region in homes for homes in self.home_sets)

    def forbidden(self, client_region: str, regions: Iterable[str]) -> list[str]:
        """The `regions` that a client of `client_region` must not be directed to, sorted."""
        return sorted(region for region in regions if region != client_region and not self.permits(region))


UNKNOWN_HOST = HostHomes()


ReadConfiguration = Callable[[], Configuration | None]


def no_configuration() -> Configuration | None:
    """Always None; the default while no configuration has arrived."""
    return None


class ConfigurationHomes:
    """The restrictions by host of one configuration, which is read at the first call of `for_host`."""

    def __init__(self, read: ReadConfiguration = no_configuration) -> None:
        self._read = read
        self._hosts: Mapping[str, HostHomes] | None = None

    def for_host(self, host: str) -> HostHomes:
        """The restrictions of a host, as named in a request."""
        if self._hosts is None:
            self._hosts = _by_host(self._read())
        return self._hosts.get(normalize_host(host), UNKNOWN_HOST)


def _by_host(configuration: Configuration | None) -> Mapping[str, HostHomes]:
    home_sets: dict[str, dict[Homes, None]] = {}
    for route in configuration.routes if configuration is not None else ():
        host_sets = home_sets.setdefault(route.host, {})
        if route.homes:
            host_sets[frozenset(route.homes)] = None
    return {host: HostHomes(known=True, home_sets=tuple(host_sets)) for host, host_sets in home_sets.items()}
