"""Servers that are members of the small subset because they keep this gateway's prompts."""

from __future__ import annotations

from collections.abc import Mapping

from brackenladder.policy.server import Server

MOST_ADOPTED = 24


class AdoptedServers:
    """The servers found by a prompt, the most recently used last: as members they can be set aside."""

    def __init__(self) -> None:
        self._servers: dict[int, Server] = {}

    def add(self, server: Server) -> None:
        """A server was chosen by what it keeps."""
        self._servers.pop(server.id, None)
        self._servers[server.id] = server
        while len(self._servers) > MOST_ADOPTED:
            del self._servers[next(iter(self._servers))]

    def join(self, members: list[Server], listed: Mapping[int, Server]) -> None:
        """Make members of those that are still listed."""
        for server in self._servers.values():
            if server.in_list and not server.member and listed.get(server.id) is server:
                server.member = True
                members.append(server)
