"""How urgent a request is among the others at its server."""

from __future__ import annotations

from brackenladder.catalog.configuration import Route

MOST_URGENT, LEAST_URGENT = 0, 9
SHORT_PROMPT = 1024  # tokens; each fourfold of it is one step less urgent
MOST_BY_LENGTH = 3


def urgency_of(route: Route, prompt_tokens: int, resumed: bool) -> int:
    """The `Priority` that a server is told, 0 being the most urgent.

    Failure prevented: a prompt that takes a second to read is let in first, and short ones, each of which
    takes some hundredths, miss their aim behind it. A client that waits in the middle of a stream goes before
    all. The steps by length are few, so that long prompts only follow and do not starve.
    """
    if resumed:
        return MOST_URGENT
    by_length = ((prompt_tokens // SHORT_PROMPT).bit_length() + 1) // 2
    return min(max(route.priority, MOST_URGENT) + min(by_length, MOST_BY_LENGTH), LEAST_URGENT)
