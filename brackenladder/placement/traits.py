"""The properties of a call that decide which server may get it."""

from __future__ import annotations

from attrs import frozen

from brackenladder.catalog.configuration import Route


@frozen
class PromptPart:
    """A part of a prompt. Requests that share a part give it the same id."""

    id: str
    tokens: int


@frozen
class CallTraits:
    """The properties of one call that decide its placement."""

    route: Route  # as configured when the request was read
    parts: tuple[PromptPart, ...] = ()  # in order; the last one belongs to this request or its session
    prompt_tokens: int = 0
    output_tokens: int = 0  # upper bound of the length of the answer
    request_bytes: int = 0  # size of the request body
    model: str = ""
    idempotent: bool = False  # may be executed more than once, because its route is safe or resumable
    exclude: frozenset[str] = frozenset()  # ids of servers that must not get the call, e.g. after a failure
    newest: Route | None = None  # the route as configured now if it has changed: both must permit a server

    def permits(self, region: str) -> bool:
        """Whether servers of a region may get the call; an unknown region never counts as a home region."""
        return may_serve(self.route, region) and (self.newest is None or may_serve(self.newest, region))


def may_serve(route: Route, region: str) -> bool:
    """Whether the region is one of the route's home regions, or the route has none."""
    return not route.homes or region in route.homes
