"""The engine of a stand-in model server: how long a prompt takes to read, which parts are kept, the pace."""

from __future__ import annotations

from collections import OrderedDict

from attrs import frozen

DEFAULT_EVENTS = 12  # of a stream whose request names no length


@frozen
class EngineSettings:
    """One engine. Prompts are read and tokens made the more slowly the more requests run at once."""

    slots: int = 8
    queue: int = 8  # requests that wait for a slot; more are turned away
    kv_tokens: int = 60_000
    prefill_tokens_a_second: float = 40_000.0
    event_seconds: float = 0.02  # between two events of a stream, with nothing else running
    tokens_an_event: int = 4


@frozen
class PromptPart:
    """A part of a prompt; equal ids are equal texts."""

    id: str
    tokens: int


@frozen
class Prompt:
    """What a request says of its prompt and of its answer's length."""

    parts: tuple[PromptPart, ...] = ()
    tokens: int = 0
    events: int = DEFAULT_EVENTS


def parse_prompt(prefix: str, usage: str, tokens_an_event: int) -> Prompt:
    """Reads the headers `Prompt-Prefix` and `Token-Usage`; a ValueError for what can't be read."""
    fields = (part.strip().rpartition(":") for part in prefix.split(",") if part.strip())
    parts = tuple(PromptPart(name, int(tokens)) for name, _, tokens in fields)
    if not usage:
        return Prompt(parts, sum(part.tokens for part in parts))
    tokens_in, _, tokens_out = usage.partition(",")
    events = max(1, -(-int(tokens_out) // tokens_an_event))
    return Prompt(parts, int(tokens_in), events)


class PromptCache:
    """Parts that were read, in the order of their last use. A part counts only after all before it."""

    def __init__(self, kv_tokens: int) -> None:
        self._capacity = kv_tokens
        self._kept: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self.kept_tokens = 0

    def unread(self, prompt: Prompt) -> int:
        """The tokens of the prompt that have to be read now; uses what is kept of it."""
        known = 0
        for chain, part in _chains(prompt):
            if chain not in self._kept:
                break
            self._kept.move_to_end(chain)
            known += part.tokens
        return max(0, prompt.tokens - known)

    def keep(self, prompt: Prompt) -> None:
        """Keeps all parts of a prompt that was read; those unused longest give way."""
        for chain, part in _chains(prompt):
            if chain not in self._kept:
                self.kept_tokens += part.tokens
            self._kept[chain] = part.tokens
            self._kept.move_to_end(chain)
        while self.kept_tokens > self._capacity:
            _, tokens = self._kept.popitem(last=False)
            self.kept_tokens -= tokens


def _chains(prompt: Prompt) -> list[tuple[tuple[str, ...], PromptPart]]:
    """Each part with the ids up to and with its own."""
    ids = tuple(part.id for part in prompt.parts)
    return [(ids[: index + 1], part) for index, part in enumerate(prompt.parts)]
