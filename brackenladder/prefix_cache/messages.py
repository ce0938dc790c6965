"""What gateways tell one another of prompts that servers have read or are about to read.

Notices are hints: one that is lost costs a prefix that is read again, one that is wrong costs a longer way.
"""

from __future__ import annotations

from attrs import frozen

SILENCE_WEIGHT = 1_000_000  # a server that does not answer is told of before any prefix


@frozen
class PrefixNotice:
    """A prompt was sent to a server, which keeps the prompt's shared prefixes from then on."""

    server: int  # its number at every node, `core.roster.number_of` of its id
    keys: tuple[int, ...] = ()  # of the shared prefixes, the shortest first; empty: only load is told
    tokens: tuple[int, ...] = ()  # by which each prefix is longer than the one before it
    uncached_tokens: int = 0  # prompt tokens that the server had to read when it was sent
    age: int = 0  # microseconds since it was sent, as of when it is told
    unanswered_weight: int = 0  # the weight of a call there that was late or unanswered; 0: none was

    @property
    def shared(self) -> int:
        """The tokens of the longest prefix."""
        return sum(self.tokens)

    @property
    def weight(self) -> int:
        """What it is worth to know, in tokens."""
        return SILENCE_WEIGHT if self.unanswered_weight else self.shared + self.uncached_tokens


@frozen
class PrefixNotices:
    """Notices of one sender, the oldest first."""

    notices: tuple[PrefixNotice, ...]


def heaviest(notices: list[PrefixNotice], most: int) -> list[PrefixNotice]:
    """At most so many of the notices, those that are worth most, in their order."""
    if len(notices) <= most:
        return notices
    kept = sorted(range(len(notices)), key=lambda index: notices[index].weight, reverse=True)[:most]
    return [notices[index] for index in sorted(kept)]
