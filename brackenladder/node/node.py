"""A node: its pools, its listeners, and the handling of reloads, peer messages and shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import fields, replace
from typing import TYPE_CHECKING

from brackenladder.core.clock import Clock
from brackenladder.node.config import Config, parse_address
from brackenladder.node.http import http_front, http_pool
from brackenladder.node.listener import Listener
from brackenladder.node.log import LINES_PER_SECOND, STRAY_LINES_PER_SECOND, Log
from brackenladder.peers.datagrams import PeerDatagrams

if TYPE_CHECKING:
    from brackenladder.node.control_socket import ControlSocket
    from brackenladder.node.handover import Handover
    from brackenladder.node.members import Members
    from brackenladder.node.operations import Operations
    from brackenladder.node.operator import (
        ControlTable,
        MembersTable,
        Operator,
        RecoveryTable,
        RpcTable,
        StateTable,
    )
    from brackenladder.node.recovery import Recovery

LIST_TIMEOUT = 3.0  # seconds to wait for the server list before accepting clients on an inherited socket
LIST_POLL_INTERVAL = 0.01
RELOADED = ("discovery", "filed_discovery", "peers", "peers_all")  # fields of `Config` that a reload changes


class Node:
    """Creates and connects what the operator file configures: pools, listeners, membership and recovery.

    Modules of what it doesn't configure are not imported.
    """

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, operator: Operator | None = None
    ) -> None:
        self.config = config
        self.operator = operator
        self.loop = loop
        self.log = Log(config.name, LINES_PER_SECOND)
        # A separate limit, so that malformed input can't use up the lines that report faults.
        self.stray_log = Log(config.name, STRAY_LINES_PER_SECOND)
        self.clock = Clock()
        self.peers = PeerDatagrams(config.peers, config.peers_all, self.on_datagram, self.stray_log.line)
        rpc = operator.rpc if operator is not None else None
        if rpc is not None:
            from brackenladder.node.rpc import without_rpc_sockets

            config = without_rpc_sockets(config, rpc)
        self.http = http_pool(config, loop, self.peers, self.clock, self.log, self.stray_log)
        self.front = http_front(config, loop, self.http, self.ready, self.log)
        self.pools = {"http": self.http}
        self.listeners = {"http": Listener(self.front, config.listen, config.passed)}
        self.listening = False  # the listeners accept clients
        self.operations: Operations | None = None
        self.handover: Handover | None = None
        if config.door is not None:
            from brackenladder.node.operations import Operations

            self.operations = Operations(
                loop,
                self.http,
                lambda: [listener.front for listener in self.listeners.values()],
                lambda: self.listening and self.ready(),
                config.folder,
                self.log.line,
            )
            if config.passed is not None and config.folder is not None:
                self.add_handover(config.folder)
        if rpc is not None:
            self.add_rpc(rpc)
        self.control: ControlSocket | None = None
        if operator is not None and operator.control is not None:
            self.add_control(operator.control)
        self.members: Members | None = None
        if operator is not None and operator.members is not None:
            self.add_members(operator.members)
        self.recovery: Recovery | None = None
        if operator is not None and operator.recovery is not None:
            self.add_recovery(operator.recovery, operator.state)

    def add_members(self, table: MembersTable) -> None:
        from brackenladder.node.members import Members

        settings = self.config.settings
        self.members = Members(
            self.loop,
            table,
            self.peers,
            settings.index,
            settings.fall_time,
            self.set_live_count,
            self.log.line,
        )
        if self.control is not None:
            self.control.members = self.members.status

    def add_recovery(self, table: RecoveryTable, state: StateTable | None) -> None:
        from brackenladder.node.recovery import Recovery
        from brackenladder.storage.state_store import StateOwner, StateStore

        assert self.control is not None and self.members is not None
        owner = StateOwner(self.config.name, self.config.settings.tier, tuple(self.config.classes))
        store = StateStore(state.folder, owner, self.log.line) if state is not None else None
        serve_alone = table.alone == "serve"
        self.recovery = Recovery(
            self.loop, self.control.pools, self.members, store, serve_alone, self.log.line
        )
        self.control.recovery = self.recovery.status

    def set_live_count(self, number: int) -> None:
        """Passes on the number of live nodes among which this tier's limits are divided."""
        for host in self.control.pools.hosts() if self.control is not None else [self.http.host]:
            host.set_instances(number)

    def add_control(self, table: ControlTable) -> None:
        from brackenladder.node.control_socket import ControlSocket
        from brackenladder.node.pools import Pools

        pools = Pools(self.config, self.loop, self.clock, self.http, self.front, self.log.line)
        self.control = ControlSocket(pools, table, self.log.line)

    def add_handover(self, folder: str) -> None:
        from brackenladder.node.handover import Handover

        assert self.operations is not None
        maintenance = self.operations.maintenance
        self.handover = Handover(self.loop, self.http, maintenance, folder, self.log.line)
        listing = self.handover.read_predecessor()
        if listing is not None:
            self.http.source.set_initial_listing(listing)

    def add_rpc(self, table: RpcTable) -> None:
        from brackenladder.node.rpc import rpc_front, rpc_pool

        pool = rpc_pool(table, self.config, self.loop, self.clock, self.log, self.stray_log)
        front = rpc_front(table, self.config, self.loop, pool, self.stray_log)
        self.pools["rpc"] = pool
        self.listeners["rpc"] = Listener(front, parse_address(table.listen, "rpc.listen"))

    def ready(self) -> bool:
        """Whether every pool has a server list and recovery, if there is one, allows service."""
        recovering = self.recovery is not None and not self.recovery.startup.serves
        return not recovering and all(pool.has_listing for pool in self.pools.values())

    def on_datagram(self, peer: int, data: bytes) -> None:
        """Handles a datagram of another node: of the membership protocol, or for the HTTP pool."""
        if self.members is not None and self.members.handle_datagram(peer, data):
            return
        self.http.host.peer_message(peer, data)

    async def start(self) -> None:
        """Starts to serve. Raises OSError if an address can't be bound."""
        has_peers = self.config.settings.peers or self.members is not None
        if has_peers and self.config.peer_listen is not None:
            # At a restart with an inherited socket, the old and the new process use the same address.
            shared = True if self.config.passed is not None else None
            await self.loop.create_datagram_endpoint(
                lambda: self.peers, local_addr=self.config.peer_listen, reuse_port=shared
            )
        if self.operations is not None and self.config.door is not None:
            self.operations.start(self.config.door)
        if self.control is not None:
            await self.control.start()
        if self.members is not None:
            self.members.start()
        if self.recovery is not None:
            self.recovery.start()
        if self.config.passed is None:
            self.listen()
        for pool in self.pools.values():
            pool.start()
        if self.handover is not None:
            self.handover.start()
        if self.config.passed is not None:
            # Without a server list yet, this process would accept requests that it can't serve but that its
            # predecessor, which still listens, can.
            deadline = self.loop.time() + LIST_TIMEOUT
            while not self.ready() and self.loop.time() < deadline:
                await asyncio.sleep(LIST_POLL_INTERVAL)
            self.listen()

    def listen(self) -> None:
        """Starts to accept clients. Raises OSError if an address can't be bound."""
        for listener in self.listeners.values():
            listener.start()
        self.listening = True

    def reload(self, config: Config, operator: Operator | None = None) -> None:
        """Applies a new configuration. Connections, requests and what was learned about servers stay.

        Changes that need a restart are logged. `known` and `seed` are ignored, as only a start uses them.
        """
        old, self.config = self.config, replace(self.config, **{f: getattr(config, f) for f in RELOADED})
        not_applied = [
            f.name
            for f in fields(config)
            if f.name not in (*RELOADED, "known", "seed") and getattr(config, f.name) != getattr(old, f.name)
        ]
        if operator is not None and self.operator is not None:
            not_applied += self.reload_operator(self.operator, operator)
        if operator is not None and self.operator is not None and operator.control != self.operator.control:
            not_applied.append("control")
        if operator is not None and self.operator is not None:
            tables = ("members", "state", "recovery")
            not_applied += [
                name for name in tables if getattr(operator, name) != getattr(self.operator, name)
            ]
        if not_applied:
            self.log.line(f"reload: needs a restart: {', '.join(not_applied)}")
        if config.discovery != old.discovery:
            self.http.source.change_address(config.discovery)
        if self.members is not None:
            self.members.set_addresses(list(config.peers))
            self.members.reload_keys()
        self.peers.set_addresses(config.peers, config.peers_all)
        self.log.line(f"reload: discovery {config.discovery[0]}:{config.discovery[1]}")

    def reload_operator(self, old: Operator, new: Operator) -> list[str]:
        """Applies a changed `rpc.discovery`. Returns the changed keys that only a restart applies."""
        if old.rpc is None or new.rpc is None or old.rpc.discovery is None or new.rpc.discovery is None:
            return ["rpc"] if old.rpc != new.rpc else []
        not_applied = [
            f"rpc.{name}"
            for name in new.rpc.__struct_fields__
            if name != "discovery" and getattr(old.rpc, name) != getattr(new.rpc, name)
        ]
        if new.rpc.discovery != old.rpc.discovery:
            from brackenladder.node.operator import with_rpc_discovery

            self.operator = with_rpc_discovery(old, new.rpc.discovery)
            address = parse_address(new.rpc.discovery, "rpc.discovery")
            self.pools["rpc"].source.change_address(address)
            self.log.line(f"reload: rpc.discovery {address[0]}:{address[1]}")
        return not_applied

    async def drain(self) -> None:
        """Shuts down after answering the accepted requests."""
        if self.operations is not None:
            self.operations.end()
        if self.handover is not None:
            self.handover.stop()
        if self.control is not None:
            self.control.end()
        if self.recovery is not None:
            self.recovery.end()
        if self.members is not None:
            self.members.end()
        for pool in self.pools.values():
            pool.begin_shutdown()
        await asyncio.gather(*(listener.front.drain() for listener in self.listeners.values()))
        for pool in self.pools.values():
            pool.source.close()
        expired = sum(pool.host.expired_count for pool in self.pools.values())
        if expired:
            self.log.line(f"{expired} requests failed at their deadline, unanswered by the balancer")
