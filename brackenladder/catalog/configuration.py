"""Parses configurations into the model, and reports all their faults."""

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
    """The configuration that a JSON body describes, or all its faults."""
    document = read_object(body)
    if isinstance(document, Failure):
        return Failure((document.failure(),))
    return parse_document(document.unwrap())


def parse_document(document: dict[str, Any]) -> Result[Configuration, Faults]:
    """The configuration that a decoded JSON object describes, or all its faults."""
    return ConfigurationParser().parse(document)


@frozen
class _ParsedRoute:
    """A parsed route. Holds a reference to its source item, so that no other object gets the same `id()`."""

    item: dict[str, Any]
    entry: RouteEntry


class ConfigurationParser:
    """Parses a series of documents, and reuses the parsed routes that a document shares with the last one.

    Routes are recognised by object identity, so an item must not be modified in place between two calls.
    """

    def __init__(self) -> None:
        self._parsed_routes: dict[int, _ParsedRoute] = {}

    def parse(self, document: dict[str, Any]) -> Result[Configuration, Faults]:
        """The configuration that a decoded JSON object describes, or all its faults."""
        faults: list[ConfigurationFault] = []
        structured = structure(ConfigurationDocument, document)
        if isinstance(structured, Failure):
            faults += structured.failure()
        items = document.get(ROUTES)
        routes = self._routes(items, faults) if type(items) is list else ()
        if faults:
            return Failure(tuple(faults))
        parsed = structured.unwrap()
        faults += configuration_faults(routes, parsed.services)
        return Failure(tuple(faults)) if faults else Success(_configuration(parsed, routes))

    def _routes(self, items: list[Any], faults: list[ConfigurationFault]) -> tuple[RouteEntry, ...]:
        """The routes that are valid by themselves; the faults of the others are added to `faults`."""
        entries: list[RouteEntry] = []
        parsed_routes: dict[int, _ParsedRoute] = {}
        for index, item in enumerate(items):
            parsed = self._parsed_routes.get(id(item))
            if parsed is None:
                read = _read_route(item, f"{ROUTES}[{index}]")
                if isinstance(read, Failure):
                    faults += read.failure()
                    continue
                parsed = _ParsedRoute(item, read.unwrap())
            parsed_routes[id(item)] = parsed
            entries.append(parsed.entry)
        self._parsed_routes = parsed_routes
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
