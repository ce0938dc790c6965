"""A gateway's end: which of its own placements the other gateways are told."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices, heaviest

# Tokens of a prefix that is worth a notice: reading 300 again costs 45 ms (placement/parameters.py), a notice
# of 45 bytes that goes to some sixty gateways 10 ms.
LEAST_SHARED = 300
LEAST_UNREAD = 4_000  # tokens of a prompt whose reading keeps others waiting, whatever it shares
REPEAT_AFTER = 3_000_000  # microseconds after which a prefix that is still used is told again
MOST_REMEMBERED = 2_048  # prefixes at servers, of which it is known when they were told
MOST_NOTICES = 32  # of one message


class PrefixAnnouncer:
    """Collects notices until the host takes them; `on_pending` asks it to, once for each message."""

    def __init__(self, on_pending: Callable[[], None]) -> None:
        self._on_pending = on_pending
        self._pending: list[PrefixNotice] = []
        self._told_at: OrderedDict[tuple[int, int], int] = OrderedDict()  # by server and longest prefix

    def record_placement(
        self, now: int, server: int, keys: Sequence[int], tokens: Sequence[int], unread: int
    ) -> None:
        """A prompt of this gateway goes to a server. `keys`, `tokens`: of its shared prefixes."""
        shares = bool(keys) and sum(tokens) >= LEAST_SHARED
        news = shares and not self._told_lately(now, server, keys[-1])
        if not news and unread < LEAST_UNREAD:
            return
        told = (tuple(keys), tuple(tokens)) if shares else ((), ())
        if shares:
            self._remember(now, server, keys[-1])
        self._add(PrefixNotice(server, *told, unread=unread))

    def report_unanswered(self, server: int, weight: int) -> None:
        """A call of this gateway was late at a server, or left unanswered."""
        self._add(PrefixNotice(server, silent=weight))

    def _add(self, notice: PrefixNotice) -> None:
        first = not self._pending
        self._pending.append(notice)
        if first:
            self._on_pending()

    def record_received(self, now: int, notice: PrefixNotice) -> None:
        """Another gateway has told of a prefix, so that it need not be told again for a while."""
        if notice.keys:
            self._remember(now - notice.age, notice.server, notice.keys[-1])

    def take(self) -> PrefixNotices | None:
        """What is to be told now; None if nothing is."""
        if not self._pending:
            return None
        notices = heaviest(self._pending, MOST_NOTICES)
        self._pending = []
        return PrefixNotices(tuple(notices))

    def _told_lately(self, now: int, server: int, key: int) -> bool:
        told_at = self._told_at.get((server, key))
        return told_at is not None and now - told_at < REPEAT_AFTER

    def _remember(self, at: int, server: int, key: int) -> None:
        known = self._told_at.pop((server, key), at)
        self._told_at[server, key] = max(known, at)
        if len(self._told_at) > MOST_REMEMBERED:
            self._told_at.popitem(last=False)
