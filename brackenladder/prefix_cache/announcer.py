"""Decides which of the prompts that a gateway sends to servers are announced to the other gateways."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices, heaviest

# Least tokens of a prefix that is worth a notice: a repeated prefill of 300 tokens costs 45 ms (see
# placement/parameters.py), a notice of 45 bytes to some sixty gateways costs 10 ms.
LEAST_SHARED = 300
LEAST_UNCACHED = 4_000  # prompts with as many uncached tokens are announced: their prefill delays other calls
REPEAT_AFTER = 3_000_000  # microseconds after which a prefix that is still used is announced again
MAX_REMEMBERED = 2_048  # pairs of server and prefix whose last announcement is remembered
MAX_NOTICES = 32  # most notices in one message


class PrefixAnnouncer:
    """Collects notices until the host takes them. `on_pending` is called once for each message."""

    def __init__(self, on_pending: Callable[[], None]) -> None:
        self._on_pending = on_pending
        self._pending: list[PrefixNotice] = []
        self._announced_at: OrderedDict[tuple[int, int], int] = OrderedDict()  # by (server, longest prefix)

    def record_placement(
        self, now: int, server: int, keys: Sequence[int], tokens: Sequence[int], uncached_tokens: int
    ) -> None:
        """Records that a prompt is sent to a server. `keys`, `tokens`: as in PrefixNotice."""
        shares = bool(keys) and sum(tokens) >= LEAST_SHARED
        is_new = shares and not self._announced_recently(now, server, keys[-1])
        if not is_new and uncached_tokens < LEAST_UNCACHED:
            return
        prefixes = (tuple(keys), tuple(tokens)) if shares else ((), ())
        if shares:
            self._remember(now, server, keys[-1])
        self._add(PrefixNotice(server, *prefixes, uncached_tokens=uncached_tokens))

    def report_unanswered(self, server: int, weight: int) -> None:
        """Announces that a call at a server was late or unanswered."""
        self._add(PrefixNotice(server, unanswered_weight=weight))

    def _add(self, notice: PrefixNotice) -> None:
        first = not self._pending
        self._pending.append(notice)
        if first:
            self._on_pending()

    def record_received(self, now: int, notice: PrefixNotice) -> None:
        """Records a notice of another gateway, so that its prefix is not announced again for some time."""
        if notice.keys:
            self._remember(now - notice.age, notice.server, notice.keys[-1])

    def take(self) -> PrefixNotices | None:
        """The message to send now; None if there is nothing to announce."""
        if not self._pending:
            return None
        notices = heaviest(self._pending, MAX_NOTICES)
        self._pending = []
        return PrefixNotices(tuple(notices))

    def _announced_recently(self, now: int, server: int, key: int) -> bool:
        announced_at = self._announced_at.get((server, key))
        return announced_at is not None and now - announced_at < REPEAT_AFTER

    def _remember(self, at: int, server: int, key: int) -> None:
        known = self._announced_at.pop((server, key), at)
        self._announced_at[server, key] = max(known, at)
        if len(self._announced_at) > MAX_REMEMBERED:
            self._announced_at.popitem(last=False)
