"""Servers that no connected control node tells any more, without a word of their end."""

from __future__ import annotations

from collections.abc import Iterable

DISOWNED_TIME = 10_000_000  # microseconds, if one of the control nodes had told the server before
UNTOLD_TIME = 60_000_000  # microseconds, if only others had


class OmittedServers:
    """Decides when a server that is merely left out counts as gone.

    A control node that restarts has lost what it knew; its first full update leaves out whatever has not been
    heard since. The server is given up only once every connected control node has left it out for long.
    """

    def __init__(self) -> None:
        self._told: dict[str, set[str]] = {}  # by connected control node that told all it knows
        self._told_before: dict[str, set[str]] = {}  # by control node, what it had told when it was lost
        self._disowned: set[str] = set()
        self._missing_since: dict[str, int] = {}

    def full(self, now: int, control_node: str, told: set[str], known: Iterable[str]) -> None:
        """A control node tells all the servers that it knows; `known` are the gateway's own."""
        before = self._told.get(control_node) or self._told_before.get(control_node, set())
        self._disowned |= before - told
        self._told_before.pop(control_node, None)
        self._told[control_node] = told
        self._suspect(now, known)

    def told(self, control_node: str, server_id: str) -> None:
        """A control node tells a server that is alive."""
        if control_node in self._told:
            self._told[control_node].add(server_id)

    def ended(self, server_id: str) -> None:
        """A server has ended by a tombstone."""
        for told in self._told.values():
            told.discard(server_id)
        for told in self._told_before.values():
            told.discard(server_id)
        self._forget(server_id)

    def lost(self, now: int, control_node: str, known: Iterable[str]) -> None:
        """A control node is no longer connected."""
        told = self._told.pop(control_node, None)
        if told is not None:
            self._told_before[control_node] = told
        if self._told:
            self._suspect(now, known)
        else:
            self._missing_since.clear()

    def take_due(self, now: int) -> tuple[str, ...]:
        """The servers to give up."""
        due = []
        for server_id, since in tuple(self._missing_since.items()):
            if self._is_told(server_id):
                self._forget(server_id)
            elif now - since > (DISOWNED_TIME if server_id in self._disowned else UNTOLD_TIME):
                self._forget(server_id)
                due.append(server_id)
        return tuple(due)

    def _suspect(self, now: int, known: Iterable[str]) -> None:
        for server_id in set(known).difference(*self._told.values()):
            self._missing_since.setdefault(server_id, now)

    def _is_told(self, server_id: str) -> bool:
        return any(server_id in told for told in self._told.values())

    def _forget(self, server_id: str) -> None:
        self._missing_since.pop(server_id, None)
        self._disowned.discard(server_id)
