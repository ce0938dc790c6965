"""Which servers were sent a shared prefix lately, by whichever gateway."""

from __future__ import annotations

from collections import OrderedDict

MOST_KEYS = 4_096  # prefixes of a service that are remembered; the least recently used go first
MOST_SERVERS = 8  # that are remembered for a prefix


class PrefixHolders:
    """Servers by prefix, with the moment of the last use of each."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[int, dict[int, int]] = OrderedDict()

    def used(self, at: int, key: int, server: int) -> None:
        """A prompt that begins with the prefix went to a server."""
        holders = self._by_key.pop(key, None)
        if holders is None:
            holders = {}
        self._by_key[key] = holders
        holders[server] = max(at, holders.get(server, at))
        if len(holders) > MOST_SERVERS:
            del holders[min(holders, key=holders.__getitem__)]
        if len(self._by_key) > MOST_KEYS:
            self._by_key.popitem(last=False)

    def lost(self, server: int) -> None:
        """The server is no more, or failed: nothing is known of what it keeps."""
        for holders in self._by_key.values():
            holders.pop(server, None)

    def recent(self, now: int, key: int | None, within: int | None) -> tuple[int, ...]:
        """The servers that were sent the prefix no longer ago than `within` microseconds; None: ever."""
        if key is None:
            return ()
        holders = self._by_key.get(key)
        if not holders:
            return ()
        return tuple(server for server, at in holders.items() if within is None or now - at <= within)
