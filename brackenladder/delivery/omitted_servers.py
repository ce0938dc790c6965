"""Servers that all connected control nodes omit from their lists, although none reported their end."""

from __future__ import annotations

from collections.abc import Iterable

# Microseconds after which a server that all control nodes omit is removed, if one of them had listed it.
RETRACTED_TIMEOUT = 10_000_000
# The same timeout, in microseconds, if no control node had listed the server before.
OMITTED_TIMEOUT = 60_000_000


class OmittedServers:
    """Decides when a server counts as gone because control nodes omit it from their lists.

    A control node that restarts has lost its state; its first full update omits every server without a
    heartbeat since. A server is removed only after all connected control nodes have omitted it for some time.
    """

    def __init__(self) -> None:
        # Ids listed by each connected control node that has sent a full update.
        self._lists: dict[str, set[str]] = {}
        self._last_lists: dict[str, set[str]] = {}  # by control node, its list when the link was lost
        self._retracted: set[str] = set()  # servers omitted by a control node that had listed them before
        self._missing_since: dict[str, int] = {}  # when all control nodes began to omit a server, by its id

    def apply_full_list(
        self, now: int, control_node: str, server_ids: set[str], known: Iterable[str]
    ) -> None:
        """Handle a full update from a control node; `known`: ids of the servers that the gateway knows."""
        before = self._lists.get(control_node) or self._last_lists.get(control_node, set())
        self._retracted |= before - server_ids
        self._last_lists.pop(control_node, None)
        self._lists[control_node] = server_ids
        self._note_missing(now, known)

    def listed(self, control_node: str, server_id: str) -> None:
        """Handle the record of a live server from a control node."""
        if control_node in self._lists:
            self._lists[control_node].add(server_id)

    def ended(self, server_id: str) -> None:
        """Forget a server whose end has been reported: it need not be removed as omitted any more."""
        for server_ids in self._lists.values():
            server_ids.discard(server_id)
        for server_ids in self._last_lists.values():
            server_ids.discard(server_id)
        self._forget(server_id)

    def disconnected(self, now: int, control_node: str, known: Iterable[str]) -> None:
        """Keep the last list of a control node whose link is lost, in case it connects again."""
        server_ids = self._lists.pop(control_node, None)
        if server_ids is not None:
            self._last_lists[control_node] = server_ids
        if self._lists:
            self._note_missing(now, known)
        else:
            self._missing_since.clear()

    def take_due(self, now: int) -> tuple[str, ...]:
        """Return the servers to remove, and stop tracking them."""
        due = []
        for server_id, since in tuple(self._missing_since.items()):
            if self._is_listed(server_id):
                self._forget(server_id)
            elif now - since > (RETRACTED_TIMEOUT if server_id in self._retracted else OMITTED_TIMEOUT):
                self._forget(server_id)
                due.append(server_id)
        return tuple(due)

    def _note_missing(self, now: int, known: Iterable[str]) -> None:
        for server_id in set(known).difference(*self._lists.values()):
            self._missing_since.setdefault(server_id, now)

    def _is_listed(self, server_id: str) -> bool:
        return any(server_id in server_ids for server_ids in self._lists.values())

    def _forget(self, server_id: str) -> None:
        self._missing_since.pop(server_id, None)
        self._retracted.discard(server_id)
