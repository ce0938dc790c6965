"""Validation of routes and of references between the items of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from brackenladder.catalog.documents import RouteDocument, ServiceDocument
from brackenladder.catalog.faults import ConfigurationFault, FaultKind
from brackenladder.catalog.model import Route


@frozen
class RouteEntry:
    """A route in two forms: the parsed document and the model converted from it."""

    document: RouteDocument
    route: Route


def route_faults(location: str, document: RouteDocument) -> Iterator[ConfigurationFault]:
    """The faults of a single route, regardless of the rest of the configuration."""
    prefix = document.path_prefix
    if not (prefix[0] == "/" == prefix[-1]):
        detail = "must begin and end with a slash"
        yield ConfigurationFault(f"{location}.PathPrefix", FaultKind.OUT_OF_RANGE, detail)
    if not document.traffic_split and not document.backend:
        yield ConfigurationFault(
            f"{location}.Backend", FaultKind.MISSING, "has no Backend and no TrafficSplit"
        )
    if document.traffic_split and not any(target.weight for target in document.traffic_split):
        detail = "the sum of the weights is 0"
        yield ConfigurationFault(f"{location}.TrafficSplit", FaultKind.NO_WEIGHT, detail)


def configuration_faults(
    routes: tuple[RouteEntry, ...], services: tuple[ServiceDocument, ...]
) -> Iterator[ConfigurationFault]:
    """The faults between items that are each valid by themselves."""
    names = {service.name for service in services}
    yield from name_faults("Routes", (entry.route.name for entry in routes))
    yield from name_faults("Services", (service.name for service in services))
    for index, entry in enumerate(routes):
        if not _uses_only(entry.document, names):
            yield from _service_faults(f"Routes[{index}]", entry.document, names)
    yield from _location_faults(routes)


def name_faults(location: str, names: Iterable[str]) -> Iterator[ConfigurationFault]:
    """A fault for each item of a list that has the name of an earlier item."""
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            detail = f"an earlier item has the name {name!r}"
            yield ConfigurationFault(f"{location}[{index}].Name", FaultKind.DUPLICATE_NAME, detail)
        seen.add(name)


def _uses_only(document: RouteDocument, names: set[str]) -> bool:
    if document.backend and document.backend not in names:
        return False
    return all(target.backend in names for target in document.traffic_split or ())


def _service_faults(location: str, document: RouteDocument, names: set[str]) -> Iterator[ConfigurationFault]:
    if document.backend and document.backend not in names:
        yield _unknown_service(f"{location}.Backend", document.backend)
    for index, target in enumerate(document.traffic_split or ()):
        if target.backend not in names:
            yield _unknown_service(f"{location}.TrafficSplit[{index}].Backend", target.backend)


def _unknown_service(location: str, name: str) -> ConfigurationFault:
    return ConfigurationFault(location, FaultKind.UNKNOWN_SERVICE, f"there is no service {name!r}")


def _location_faults(routes: tuple[RouteEntry, ...]) -> Iterator[ConfigurationFault]:
    hosts: dict[str, dict[str, str]] = {}
    for index, entry in enumerate(routes):
        route = entry.route
        prefixes = hosts.setdefault(route.host, {})
        if route.prefix in prefixes:
            detail = f"the route {prefixes[route.prefix]!r} has the same host and prefix"
            yield ConfigurationFault(f"Routes[{index}].PathPrefix", FaultKind.SAME_PLACE, detail)
        prefixes[route.prefix] = route.name
