"""Configurations of a soak: hosts with and without home regions, and random changes between versions."""

from __future__ import annotations

import json
from copy import deepcopy
from random import Random
from typing import Any

from attrs import frozen

from brackenladder.local_site.first_configuration import first_configuration
from brackenladder.simulation.documents import MARKER
from brackenladder.soak.site import CARDS, FORMS, REGIONS

PLAIN_HOST, HOME_HOST, MOVING_HOST = "plain.soak", "home.soak", "moving.soak"
FIRST_HOMES = {HOME_HOST: ("north",), MOVING_HOST: ("south",)}  # home regions of home.soak never change
COLD = {"ColdStartS": 2.0, "ColdPerS": 20.0, "MaxConnections": 400}
Document = dict[str, Any]


@frozen
class Call:
    """A kind of request that clients send, and whether it may be repeated."""

    host: str
    path: str
    kind: str
    streaming: bool = False
    idempotent: bool = False
    deadline_ms: int = 4000


CALLS = (
    Call(PLAIN_HOST, "/chat/1", "streaming", streaming=True, idempotent=True, deadline_ms=6000),
    Call(PLAIN_HOST, "/cards/1", "safe", idempotent=True),
    Call(PLAIN_HOST, "/pay/1", "unsafe"),
    Call(PLAIN_HOST, "/flip/1", "safe", idempotent=True),
    Call(PLAIN_HOST, "/split/1", "unsafe"),
    Call(HOME_HOST, "/chat/1", "streaming", streaming=True, deadline_ms=6000),
    Call(HOME_HOST, "/cards/1", "safe", idempotent=True),
    Call(HOME_HOST, "/pay/1", "unsafe"),
    Call(MOVING_HOST, "/cards/1", "safe", idempotent=True),
    Call(MOVING_HOST, "/pay/1", "unsafe"),
)
IDEMPOTENT = {(call.host, call.path): call.idempotent for call in CALLS}
HOSTS = (PLAIN_HOST, HOME_HOST, MOVING_HOST)


def initial(number: int, version: int) -> Document:
    """The first configuration: the local site's, with the soak's routes and services added."""
    document = deepcopy(first_configuration())
    model, plain = document["Services"]
    services = [model, plain, plain | {"Name": FORMS}]
    for service in services:
        service.update(COLD)
    routes = [_route(call) for call in CALLS] + [_marker(number)]
    return document | {"Version": version, "Routes": routes, "Services": services}


def changed(base: Document, number: int, version: int, random: Random) -> tuple[Document, Document]:
    """A random successor of `base`, and the update document that turns `base` into it."""
    document = deepcopy(base)
    document["Version"] = version
    routes = {route["Name"]: route for route in document["Routes"]}
    routes["marker"].update(_marker(number))
    touched = {"marker"}
    for change in random.sample(
        (_change_backend, _change_split, _move_homes, _change_timeout), random.randint(1, 2)
    ):
        touched |= change(routes, random)
    upsert = [route for route in document["Routes"] if route["Name"] in touched]
    return document, {"Version": version, "Upsert": {"Routes": upsert}, "Remove": {}}


def invalid(base: Document, number: int, version: int) -> Document:
    """A configuration with a route to a service that does not exist."""
    document = deepcopy(base) | {"Version": version}
    next(route for route in document["Routes"] if route["Name"] == "marker").update(
        _marker(number) | {"Backend": "none"}
    )
    return document


@frozen
class RouteRule:
    """Where one configuration version allows the requests of a route to run."""

    services: frozenset[str]
    homes: frozenset[str]  # home regions; empty: any region


def rules_of(whole: str) -> dict[tuple[str, str], RouteRule]:
    """The rules of a configuration (JSON) for the host and path of each entry of `CALLS`."""
    routes = json.loads(whole)["Routes"]
    found = {}
    for call in CALLS:
        fitting = [
            route
            for route in routes
            if route["Hostname"] == call.host and call.path.startswith(route["PathPrefix"])
        ]
        for route in fitting:
            parts = [part["Backend"] for part in route.get("TrafficSplit", ())] or [route["Backend"]]
            found[call.host, call.path] = RouteRule(frozenset(parts), frozenset(route["HomeRegions"]))
    return found


def _change_backend(routes: dict[str, Document], random: Random) -> set[str]:
    """Switches the route of /flip/ from one of two services to the other."""
    route = routes[f"{PLAIN_HOST}/flip/"]
    route["Backend"] = FORMS if route["Backend"] == CARDS else CARDS
    return {route["Name"]}


def _change_split(routes: dict[str, Document], random: Random) -> set[str]:
    """Draws a new weight for the first of the two services that a route splits its requests over."""
    route = routes[f"{PLAIN_HOST}/split/"]
    weight = random.choice((0, 10, 50, 90, 100))
    route["TrafficSplit"] = _split_parts(weight)
    return {route["Name"]}


def _move_homes(routes: dict[str, Document], random: Random) -> set[str]:
    """Draws one or two home regions for all routes of `MOVING_HOST`."""
    homes = sorted(random.sample(REGIONS, random.randint(1, 2)))
    names = {name for name, route in routes.items() if route["Hostname"] == MOVING_HOST}
    for name in names:
        routes[name]["HomeRegions"] = homes
    return names


def _change_timeout(routes: dict[str, Document], random: Random) -> set[str]:
    """Draws a timeout of 2.5 to 3.5 seconds for the route of /cards/."""
    route = routes[f"{PLAIN_HOST}/cards/"]
    route["TimeoutMs"] = random.randint(2500, 3500)
    return {route["Name"]}


def _split_parts(weight: int) -> list[Document]:
    return [{"Backend": CARDS, "Weight": weight}, {"Backend": FORMS, "Weight": 100 - weight}]


def _route(call: Call) -> Document:
    streaming, plain = first_configuration()["Routes"]
    prefix = call.path.rstrip("1")
    route: Document = (streaming if call.streaming else plain) | {
        "Name": f"{call.host}{prefix}",
        "Hostname": call.host,
        "PathPrefix": prefix,
        "Kind": call.kind,
        "TimeoutMs": call.deadline_ms,
        "HomeRegions": list(FIRST_HOMES.get(call.host, ())),
    }
    if call.streaming:
        return route | {"Resumable": call.idempotent}
    if prefix == "/split/":
        del route["Backend"]
        route["TrafficSplit"] = _split_parts(50)
    return route


def _marker(number: int) -> Document:
    """A route whose path holds the number of the order that made the configuration."""
    return _route(Call("marker.soak", f"{MARKER}{number}/1", "safe")) | {"Name": "marker"}
