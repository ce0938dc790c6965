"""What a call asks of the server that takes it."""

from __future__ import annotations

from attrs import frozen

from brackenladder.catalog.configuration import Route


@frozen
class PromptPart:
    """A part of a prompt. Requests that share a part name it by the same id."""

    id: str
    tokens: int


@frozen
class CallTraits:
    """What decides the placement of one call."""

    route: Route  # as it was when the request was read
    parts: tuple[
        PromptPart, ...
    ] = ()  # in the prompt's order; the last one is the request's own or its session's
    prompt_tokens: int = 0
    output_tokens: int = 0  # the most that the request may get
    request_bytes: int = 0  # of its body
    model: str = ""
    idempotent: bool = False  # it may run any number of times: a safe route, or a stream that may be resumed
    exclude: frozenset[str] = frozenset()  # ids of servers that must not take it, as those of a broken stream
    newest: Route | None = None  # the route that it would take by now, if that is another one: both bind

    def permits(self, region: str) -> bool:
        """Whether servers of a region may take it; one that is not known is no home."""
        return may_serve(self.route, region) and (self.newest is None or may_serve(self.newest, region))


def may_serve(route: Route, region: str) -> bool:
    """Whether a route's homes, if it has any, include the region."""
    return not route.homes or region in route.homes
