"""Messages between gateways about prompts that were sent to servers and are cached there.

Notices are hints: a lost notice costs a repeated prefill, a wrong one a call to a more distant server.
"""

from __future__ import annotations

from attrs import frozen

UNANSWERED_PRIORITY = 1_000_000  # weight of notices about unanswered calls, above that of all other notices


@frozen
class PrefixNotice:
    """Says that a prompt was sent to a server, which then has the prompt's shared prefixes cached."""

    server: int  # the server's number: `core.roster.number_of` of its id
    keys: tuple[int, ...] = ()  # of the shared prefixes, shortest first; empty: only load is reported
    tokens: tuple[int, ...] = ()  # tokens that each prefix adds to the one before it
    uncached_tokens: int = 0  # prompt tokens that the server had to process, as estimated by the sender
    age: int = 0  # microseconds from sending the prompt to sending the notice
    unanswered_weight: int = 0  # weight of a late or unanswered call at the server; 0: there was none

    @property
    def shared(self) -> int:
        """The tokens of the longest of the prompt's shared prefixes, which contains the others."""
        return sum(self.tokens)

    @property
    def weight(self) -> int:
        """The importance of the notice if not all can be sent: mostly its tokens."""
        return UNANSWERED_PRIORITY if self.unanswered_weight else self.shared + self.uncached_tokens


@frozen
class PrefixNotices:
    """A message with one sender's notices of cached prefixes, the oldest first."""

    notices: tuple[PrefixNotice, ...]


def heaviest(notices: list[PrefixNotice], most: int) -> list[PrefixNotice]:
    """The notices of highest weight, `most` at most, in their original order."""
    if len(notices) <= most:
        return notices
    kept = sorted(range(len(notices)), key=lambda index: notices[index].weight, reverse=True)[:most]
    return [notices[index] for index in sorted(kept)]
