"""Route lookup by host and path."""

from __future__ import annotations

from attrs import Factory, define

from brackenladder.catalog.configuration import Configuration, Route
from brackenladder.catalog.hosts import normalize_host


@define
class _HostRoutes:
    """The routes of one host by path prefix, and the distinct prefix lengths, longest first."""

    by_prefix: dict[str, Route] = Factory(dict)
    lengths: tuple[int, ...] = ()

    def add(self, route: Route) -> None:
        self.by_prefix[route.prefix] = route
        self.lengths = tuple(sorted({*self.lengths, len(route.prefix)}, reverse=True))

    def find(self, path: str) -> Route | None:
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteTable:
    """Finds routes by host and path. Without a configuration there are none."""

    def __init__(self, configuration: Configuration | None) -> None:
        self._hosts: dict[str, _HostRoutes] = {}
        for route in configuration.routes if configuration is not None else ():
            self._hosts.setdefault(route.host, _HostRoutes()).add(route)

    def find(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix of the path; None if there is none.

        `host` is the value of a `Host` header, in any case, with or without a port. `path` is the raw request
        target; it is compared undecoded, without its query.
        """
        routes = self._hosts.get(host) or self._hosts.get(normalize_host(host))
        if routes is None:
            return None
        return routes.find(path.partition("?")[0])
