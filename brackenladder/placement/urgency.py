"""The priority that a gateway assigns to a request, by which its server orders its queue."""

from __future__ import annotations

from brackenladder.catalog.configuration import Route

MOST_URGENT, LEAST_URGENT = 0, 9
SHORT_PROMPT = 1024  # tokens; each factor of four above it lowers the urgency by one step
MOST_BY_LENGTH = 3


def urgency_of(route: Route, prompt_tokens: int, resumed: bool) -> int:
    """The `Priority` that is sent to a server; 0 is the most urgent.

    Without it, if a prompt with a prefill of a second is admitted first, short ones, of some 10 ms each, miss
    their latency target behind it. A resumed stream, whose client waits in the middle of an answer, comes
    before all others. Length changes the priority by a few steps only, so that long prompts do not starve.
    """
    if resumed:
        return MOST_URGENT
    by_length = ((prompt_tokens // SHORT_PROMPT).bit_length() + 1) // 2
    return min(max(route.priority, MOST_URGENT) + min(by_length, MOST_BY_LENGTH), LEAST_URGENT)
