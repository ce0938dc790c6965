"""Which servers have recently been sent a shared prefix, by any gateway."""

from __future__ import annotations

from collections import OrderedDict

MAX_KEYS = 4_096  # most prefixes remembered for a service; the least recently used are dropped
MAX_SERVERS = 8  # most servers remembered for one prefix


class PrefixHolders:
    """For each shared prefix, the servers that were sent it, with the time of the last use of each."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[int, dict[int, int]] = OrderedDict()

    def record_use(self, at: int, key: int, server: int) -> None:
        """Records that a prompt with this prefix was sent to a server."""
        holders = self._by_key.pop(key, None)
        if holders is None:
            holders = {}
        self._by_key[key] = holders
        holders[server] = max(at, holders.get(server, at))
        if len(holders) > MAX_SERVERS:
            del holders[min(holders, key=holders.__getitem__)]
        if len(self._by_key) > MAX_KEYS:
            self._by_key.popitem(last=False)

    def lost(self, server: int) -> None:
        """Forgets a server that is gone or has failed."""
        for holders in self._by_key.values():
            holders.pop(server, None)

    def recent(self, now: int, key: int | None, within: int | None) -> tuple[int, ...]:
        """The servers that were sent the prefix within the last `within` microseconds; None: at any time."""
        if key is None:
            return ()
        holders = self._by_key.get(key)
        if not holders:
            return ()
        return tuple(server for server, at in holders.items() if within is None or now - at <= within)
