"""One node: a pool's core with its front, its upstream and the source of its server list."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import fields, replace
from hashlib import blake2b
from typing import Protocol

from brackenladder.core.host import Host
from brackenladder.discovery.listing import Line, Listing
from brackenladder.discovery.watch import Discovery
from brackenladder.http.callers import Callers
from brackenladder.http.front import Front
from brackenladder.http.upstream import HttpUpstream
from brackenladder.interface import ListKind, ServerEntry
from brackenladder.node.config import Config
from brackenladder.node.log import LINES_A_SECOND, STRAYS_A_SECOND, Log
from brackenladder.peers.datagrams import Peers

KILL_AFTER = 3_700_000  # after SIGTERM a node has the longest deadline for its end, or so long
KILL_MARGIN = 300_000
PUSH_RETRY = 0.1  # seconds before an agent that did not answer is asked again
RELOADED = ("discovery", "filed_discovery", "peers", "peers_all")  # what a running node takes on


class Node:
    """Puts the parts together."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.log_lines = Log(config.name, LINES_A_SECOND)
        # Apart, so that whoever sends garbage cannot use up the lines that tell of faults.
        strays = Log(config.name, STRAYS_A_SECOND)
        half = config.connections // 2
        self.upstream = HttpUpstream(
            loop,
            half,
            config.connect_timeout,
            config.idle_time,
            config.report_names,
            config.inline_reports,
            lambda: self.host.now(),
        )
        self.host = Host(config.settings, config.seed, loop, self.upstream, self.log_lines.line)
        self.front = Front(self.host, config.classes, config.tenants, self.log_lines)
        self.roster = Roster(self.host, self.upstream, config.zones, config.kinds)
        self.front.callers = Callers(loop, config.connections - half, config.most_held, self.front)
        version = config.known.version if config.known else None
        self.discovery = Discovery(
            loop, config.discovery, version, config.settings.instances, self.told, strays
        )
        self.peers = Peers(config.peers, config.peers_all, self.host.heard, strays)
        self.host.directory = self.discovery
        self.host.messenger = self.peers

    async def start(self) -> None:
        """Begins to serve. An OSError if an address cannot be had."""
        if self.config.settings.peers and self.config.peer_listen is not None:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        self.front.callers.start(self.config.listen)
        self.host.start()
        if self.config.known is not None:
            self.told(self.config.known)
        if not self.config.settings.list_on_request:
            self.discovery.watch(True)

    def reload(self, config: Config) -> None:
        """Takes on a new configuration: connections, requests and all that was learned stay.

        What only a start can take on is named in the log. `known` and `seed` are of use at a start only.
        """
        old, self.config = self.config, replace(self.config, **{f: getattr(config, f) for f in RELOADED})
        left = [
            f.name
            for f in fields(config)
            if f.name not in (*RELOADED, "known", "seed") and getattr(config, f.name) != getattr(old, f.name)
        ]
        if left:
            self.log_lines.line(f"reload: needs a restart: {', '.join(left)}")
        if config.discovery != old.discovery:
            self.discovery.move(config.discovery)
        self.peers.rename(config.peers, config.peers_all)
        self.log_lines.line(f"reload: discovery {config.discovery[0]}:{config.discovery[1]}")

    async def drain(self) -> None:
        """Answers what has been taken, and ends.

        Failure prevented: what is taken in the meantime is still open when the process is killed.
        """
        longest = max(c.deadline for c in self.config.settings.classes)
        self.host.ends = self.host.now() + min(longest, KILL_AFTER) - KILL_MARGIN
        await self.front.callers.drain()
        self.discovery.close()
        if self.host.guarded:
            self.log_lines.line(f"{self.host.guarded} requests were failed at their deadline by the guard")

    def told(self, listing: Listing | None) -> None:
        """News from discovery, or a call to it that failed."""
        if listing is None:
            if self.config.settings.list_on_request:
                self.roster.told(None)
            else:
                self.loop.call_later(PUSH_RETRY, self.discovery.watch, True)
            return
        self.front.listed = True
        self.roster.told(listing)


class Listed(Protocol):
    """An upstream that is told of its pool's servers."""

    def update(self, kind: ListKind, latest: Mapping[int, Line]) -> None:
        """Takes note of a list or its changes, each server once."""


class Roster:
    """Maps the list's names to the core's numbers, and tells upstream and core of its news."""

    def __init__(self, host: Host, upstream: Listed, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.host = host
        self.upstream = upstream
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}

    def told(self, listing: Listing | None) -> None:
        """A list or its changes; None if a call to discovery failed."""
        if listing is None:
            self.host.servers(ListKind.FAILED, ())
            return
        latest = {number_of(line.id): line for line in listing.lines}  # a server twice: the last holds
        self.upstream.update(listing.kind, latest)
        self.host.servers(listing.kind, [self.entry(number, line) for number, line in latest.items()])

    def entry(self, number: int, line: Line) -> ServerEntry:
        return ServerEntry(
            number,
            line.state,
            line.cell,
            self.zones.setdefault(line.zone, len(self.zones)),
            self.kinds.setdefault(line.kind, len(self.kinds)),
            line.weight,
            line.started,
        )


def number_of(name: str) -> int:
    """A server's number: the same at every node, since all copies share one shuffle of the numbers."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")
