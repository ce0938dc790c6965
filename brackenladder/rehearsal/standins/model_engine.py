"""The simulated engine of a model server: prefill time, prompt cache and token rate."""

from __future__ import annotations

from collections import OrderedDict

from attrs import frozen

DEFAULT_EVENTS = 12  # events of a stream whose request gives no length


@frozen
class EngineSettings:
    """One engine. Prefill and decoding slow down with the number of concurrent requests."""

    slots: int = 8
    queue: int = 8  # requests that can wait for a slot; more are refused
    kv_tokens: int = 60_000
    prefill_tokens_a_second: float = 40_000.0
    event_seconds: float = 0.02  # from one event of a stream to the next if no other request runs
    tokens_an_event: int = 4


@frozen
class PromptPart:
    """A part of a prompt; parts with equal ids have equal text."""

    id: str
    tokens: int


@frozen
class Prompt:
    """A request's prompt and the number of events of its answer."""

    parts: tuple[PromptPart, ...] = ()
    tokens: int = 0
    events: int = DEFAULT_EVENTS


def parse_prompt(prefix: str, usage: str, tokens_an_event: int) -> Prompt:
    """Parses the headers `Prompt-Prefix` and `Token-Usage`; raises ValueError if they are malformed."""
    fields = (part.strip().rpartition(":") for part in prefix.split(",") if part.strip())
    parts = tuple(PromptPart(name, int(tokens)) for name, _, tokens in fields)
    if not usage:
        return Prompt(parts, sum(part.tokens for part in parts))
    tokens_in, _, tokens_out = usage.partition(",")
    events = max(1, -(-int(tokens_out) // tokens_an_event))
    return Prompt(parts, int(tokens_in), events)


class PromptCache:
    """An LRU cache of prompt parts. A part is a hit only if all parts before it are."""

    def __init__(self, kv_tokens: int) -> None:
        self._capacity = kv_tokens
        self._kept: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self.kept_tokens = 0

    def unread(self, prompt: Prompt) -> int:
        """The number of the prompt's tokens that are not cached; marks its cached parts as recently used."""
        known = 0
        for chain, part in _chains(prompt):
            if chain not in self._kept:
                break
            self._kept.move_to_end(chain)
            known += part.tokens
        return max(0, prompt.tokens - known)

    def keep(self, prompt: Prompt) -> None:
        """Caches all parts of a prompt; evicts the least recently used."""
        for chain, part in _chains(prompt):
            if chain not in self._kept:
                self.kept_tokens += part.tokens
            self._kept[chain] = part.tokens
            self._kept.move_to_end(chain)
        while self.kept_tokens > self._capacity:
            _, tokens = self._kept.popitem(last=False)
            self.kept_tokens -= tokens


def _chains(prompt: Prompt) -> list[tuple[tuple[str, ...], PromptPart]]:
    """Each part with its cache key: the ids of all parts up to and including it."""
    ids = tuple(part.id for part in prompt.parts)
    return [(ids[: index + 1], part) for index, part in enumerate(prompt.parts)]
