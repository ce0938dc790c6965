"""A gateway's estimate of which prompt parts each server has in its prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

from attrs import frozen

from brackenladder.placement.traits import CallTraits, PromptPart

MAX_PARTS = 512  # most parts remembered for one server, to bound this gateway's memory
KEY_BYTES = 8  # size of the key of a link


@frozen
class ChainLink:
    """A part of a prompt and all parts before it, since a part can be cached only after those."""

    key: int  # hash of model and parts; the same at every gateway
    tokens: int


def chain_of(model: str, parts: Sequence[PromptPart]) -> tuple[ChainLink, ...]:
    """One link for each part of a prompt. Its key is a hash of the model and the ids of the parts so far."""
    links = []
    key = _digest(b"", model)
    for part in parts:
        key = _digest(key, part.id)
        links.append(ChainLink(int.from_bytes(key, "big"), part.tokens))
    return tuple(links)


def _digest(before: bytes, name: str) -> bytes:
    return blake2b(before + name.encode(errors="surrogatepass"), digest_size=KEY_BYTES).digest()


def shared_tokens_of(traits: CallTraits) -> int:
    """The tokens of the parts that other requests may share: all but the last part."""
    return sum([part.tokens for part in traits.parts[:-1]])


class CachedPrefixes:
    """The links cached by one server as far as this gateway knows, the least recently used first."""

    def __init__(self) -> None:
        self.links: OrderedDict[int, int] = OrderedDict()  # tokens by key
        self.tokens = 0

    def cached_tokens(self, chain: Sequence[ChainLink]) -> int:
        """The number of a prompt's tokens that the server has cached."""
        tokens = 0
        for link in chain:
            if link.key not in self.links:
                break
            tokens += link.tokens
        return tokens

    def add(self, chain: Sequence[ChainLink], capacity: int) -> None:
        """Records a prompt that the server has read; `capacity`: tokens of its cache not used by calls."""
        for link in reversed(chain):  # so that the first links of a chain are evicted last
            self.tokens += link.tokens - self.links.pop(link.key, 0)
            self.links[link.key] = link.tokens
        while self.links and (self.tokens > capacity or len(self.links) > MAX_PARTS):
            _, tokens = self.links.popitem(last=False)
            self.tokens -= tokens
