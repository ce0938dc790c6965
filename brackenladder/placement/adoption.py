"""Servers added to the gateway's small subset because they have its prompts in their prefix caches."""

from __future__ import annotations

from collections.abc import Mapping

from brackenladder.policy.server import Server

MAX_ADOPTED = 24


class AdoptedServers:
    """Servers chosen for their cached prompts, the most recently used last.

    They become members of the subset, since outlier ejection applies to members only.
    """

    def __init__(self) -> None:
        self._servers: dict[int, Server] = {}

    def add(self, server: Server) -> None:
        """Records that a server was chosen for its cached prompts."""
        self._servers.pop(server.id, None)
        self._servers[server.id] = server
        while len(self._servers) > MAX_ADOPTED:
            del self._servers[next(iter(self._servers))]

    def add_to_members(self, members: list[Server], listed: Mapping[int, Server]) -> None:
        """Appends the adopted servers that are still in the server list to `members`."""
        for server in self._servers.values():
            if server.in_list and not server.member and listed.get(server.id) is server:
                server.member = True
                members.append(server)
