"""Messages between gateways about prompts that were sent to servers and are cached there.

Notices are hints: a lost one costs a repeated prefill, a wrong one a call to a more distant server.
"""

from __future__ import annotations

from attrs import frozen

UNANSWERED_PRIORITY = 1_000_000  # weight of notices about unanswered calls, above that of any prefix


@frozen
class PrefixNotice:
    """Says that a prompt was sent to a server, which then has the prompt's shared prefixes cached."""

    server: int  # the server's number: `core.roster.number_of` of its id
    keys: tuple[int, ...] = ()  # of the shared prefixes, the shortest first; empty if only load is reported
    tokens: tuple[int, ...] = ()  # tokens that each prefix adds to the one before it
    uncached_tokens: int = 0  # prompt tokens that the server had to process
    age: int = 0  # microseconds since the prompt was sent, when the notice is sent
    unanswered_weight: int = 0  # weight of a late or unanswered call there; 0: none

    @property
    def shared(self) -> int:
        """The number of tokens of the longest prefix."""
        return sum(self.tokens)

    @property
    def weight(self) -> int:
        """The value of the notice, in tokens."""
        return UNANSWERED_PRIORITY if self.unanswered_weight else self.shared + self.uncached_tokens


@frozen
class PrefixNotices:
    """The notices of one sender, the oldest first."""

    notices: tuple[PrefixNotice, ...]


def heaviest(notices: list[PrefixNotice], most: int) -> list[PrefixNotice]:
    """The notices of highest weight, `most` at most, in their original order."""
    if len(notices) <= most:
        return notices
    kept = sorted(range(len(notices)), key=lambda index: notices[index].weight, reverse=True)[:most]
    return [notices[index] for index in sorted(kept)]
