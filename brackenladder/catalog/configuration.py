"""Reads configurations: a body or a decoded document to the model, with all that is wrong with it."""

from __future__ import annotations

from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.catalog.conversion import new_limits, new_route, new_service
from brackenladder.catalog.documents import ConfigurationDocument, RouteDocument
from brackenladder.catalog.faults import ConfigurationFault, Faults
from brackenladder.catalog.model import Configuration, EngineSpec, Limits, Route, RouteKind, Service, Target
from brackenladder.catalog.strict_json import read_object
from brackenladder.catalog.structuring import structure
from brackenladder.catalog.validation import RouteEntry, configuration_faults, route_faults

__all__ = [
    "Configuration",
    "ConfigurationParser",
    "EngineSpec",
    "Limits",
    "Route",
    "RouteKind",
    "Service",
    "Target",
    "parse_configuration",
    "parse_document",
]


ROUTES = "Routes"


def parse_configuration(body: bytes) -> Result[Configuration, Faults]:
    """The configuration that a body holds, or everything that is wrong with it."""
    document = read_object(body)
    if isinstance(document, Failure):
        return Failure((document.failure(),))
    return parse_document(document.unwrap())


def parse_document(document: dict[str, Any]) -> Result[Configuration, Faults]:
    """The configuration that a decoded JSON object holds, or everything that is wrong with it."""
    return ConfigurationParser().parse(document)


@frozen
class _KnownRoute:
    """A route that was read. It keeps the item it was read from, so that no other object takes that id."""

    item: dict[str, Any]
    entry: RouteEntry


class ConfigurationParser:
    """Reads documents of which one is made from another: routes that both share are read once.

    An item that is the very same object in the next document must not have been changed meanwhile.
    """

    def __init__(self) -> None:
        self._known: dict[int, _KnownRoute] = {}

    def parse(self, document: dict[str, Any]) -> Result[Configuration, Faults]:
        """The configuration of a decoded JSON object, or everything that is wrong with it."""
        faults: list[ConfigurationFault] = []
        structured = structure(ConfigurationDocument, document)
        if isinstance(structured, Failure):
            faults += structured.failure()
        items = document.get(ROUTES)
        routes = self._routes(items, faults) if type(items) is list else ()
        if faults:
            return Failure(tuple(faults))
        whole = structured.unwrap()
        faults += configuration_faults(routes, whole.services)
        return Failure(tuple(faults)) if faults else Success(_configuration(whole, routes))

    def _routes(self, items: list[Any], faults: list[ConfigurationFault]) -> tuple[RouteEntry, ...]:
        """The routes that have no fault of their own; the others' faults are added to `faults`."""
        entries: list[RouteEntry] = []
        known: dict[int, _KnownRoute] = {}
        for index, item in enumerate(items):
            earlier = self._known.get(id(item))
            if earlier is None:
                read = _read_route(item, f"{ROUTES}[{index}]")
                if isinstance(read, Failure):
                    faults += read.failure()
                    continue
                earlier = _KnownRoute(item, read.unwrap())
            known[id(item)] = earlier
            entries.append(earlier.entry)
        self._known = known
        return tuple(entries)


def _read_route(item: object, location: str) -> Result[RouteEntry, Faults]:
    structured = structure(RouteDocument, item, location)
    if isinstance(structured, Failure):
        return structured
    document = structured.unwrap()
    faults = tuple(route_faults(location, document))
    return Failure(faults) if faults else Success(RouteEntry(document, new_route(document)))


def _configuration(document: ConfigurationDocument, routes: tuple[RouteEntry, ...]) -> Configuration:
    return Configuration(
        version=document.version,
        routes=tuple([entry.route for entry in routes]),
        services=tuple([new_service(item) for item in document.services]),
        limits=new_limits(document.limits),
    )
