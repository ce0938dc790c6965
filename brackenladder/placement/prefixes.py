"""What a gateway remembers of the prompt parts that each server keeps."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

from attrs import frozen

from brackenladder.placement.traits import CallTraits, PromptPart

MOST_PARTS = 512  # of one server: a bound on this gateway's own memory
KEY_BYTES = 8  # of a link's key


@frozen
class ChainLink:
    """A part of a prompt with all that comes before it: a part is kept only behind the parts before it."""

    key: int  # the same at every gateway
    tokens: int


def chain_of(model: str, parts: Sequence[PromptPart]) -> tuple[ChainLink, ...]:
    """The links of a prompt, for the model whose weights read it."""
    links = []
    key = _digest(b"", model)
    for part in parts:
        key = _digest(key, part.id)
        links.append(ChainLink(int.from_bytes(key, "big"), part.tokens))
    return tuple(links)


def _digest(before: bytes, name: str) -> bytes:
    return blake2b(before + name.encode(errors="surrogatepass"), digest_size=KEY_BYTES).digest()


def shared_tokens(traits: CallTraits) -> int:
    """The tokens of the parts that other requests have as well: all but the last."""
    return sum([part.tokens for part in traits.parts[:-1]])


class KeptPrefixes:
    """The links that one server keeps as far as this gateway knows; the least recently used go first."""

    def __init__(self) -> None:
        self.links: OrderedDict[int, int] = OrderedDict()  # tokens by key
        self.tokens = 0

    def kept(self, chain: Sequence[ChainLink]) -> int:
        """How many tokens of a prompt the server need not read."""
        tokens = 0
        for link in chain:
            if link.key not in self.links:
                break
            tokens += link.tokens
        return tokens

    def add(self, chain: Sequence[ChainLink], capacity: int) -> None:
        """The server has read the prompt; `capacity`: tokens that it can keep beside what it runs."""
        for link in reversed(chain):  # so that a chain's first links are given up last
            self.tokens += link.tokens - self.links.pop(link.key, 0)
            self.links[link.key] = link.tokens
        while self.links and (self.tokens > capacity or len(self.links) > MOST_PARTS):
            _, tokens = self.links.popitem(last=False)
            self.tokens -= tokens
