"""The whole list as a process last had it, from whole lists and changes. Pure."""

from __future__ import annotations

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, Listing

MAX_CHANGES = 64  # lists of changes that are held before they are put together with the whole list


class LatestList:
    """What the successor of a process is given as its known list.

    Failure prevented: a process that is started anew while discovery is silent begins with an older list
    than its predecessor had, and sends to servers that the node had been told are leaving.
    """

    def __init__(self, known: Listing) -> None:
        self.base = known
        self.changes: list[Listing] = []

    def apply(self, news: Listing) -> None:
        """Takes note of news in the order in which the process took it."""
        if news.kind != ListKind.CHANGES:
            self.base, self.changes = news, []
            return
        if news.lines or news.version != self.version:
            self.changes.append(news)
        if len(self.changes) > MAX_CHANGES:
            self.base, self.changes = self.merged(), []

    @property
    def version(self) -> int:
        return (self.changes or [self.base])[-1].version

    def merged(self) -> Listing:
        """One list. A server that drains stays on it, one that is gone does not."""
        if not self.changes and self.base.kind == ListKind.CACHED:
            return self.base
        lines: dict[str, Line] = {line.id: line for line in self.base.lines}
        for news in self.changes:
            lines.update((line.id, line) for line in news.lines)
        left = tuple(line for line in lines.values() if line.state != State.GONE)
        return Listing(ListKind.CACHED, self.version, left)
