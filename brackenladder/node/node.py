"""One node: its pools, the listeners that feed them, and what reaches it from outside."""

from __future__ import annotations

import asyncio
from dataclasses import fields, replace
from typing import TYPE_CHECKING

from brackenladder.core.clock import Clock
from brackenladder.node.config import Config, parse_address
from brackenladder.node.http import http_front, http_pool
from brackenladder.node.listener import Listener
from brackenladder.node.log import LINES_A_SECOND, STRAYS_A_SECOND, Log
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

LIST_TIME = 3.0  # seconds for the list to come before clients of a passed socket are taken
LIST_LOOK = 0.01
RELOADED = ("discovery", "filed_discovery", "peers", "peers_all")  # what a running node takes on


class Node:
    """Puts the parts together. What the operator file does not ask for is not imported."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, operator: Operator | None = None
    ) -> None:
        self.config = config
        self.operator = operator
        self.loop = loop
        self.log = Log(config.name, LINES_A_SECOND)
        # Apart, so that whoever sends garbage cannot use up the lines that tell of faults.
        self.stray_log = Log(config.name, STRAYS_A_SECOND)
        self.clock = Clock()
        self.peers = PeerDatagrams(config.peers, config.peers_all, self.heard, self.stray_log.line)
        rpc = operator.rpc if operator is not None else None
        if rpc is not None:
            from brackenladder.node.rpc import without

            config = without(config, rpc)
        self.http = http_pool(config, loop, self.peers, self.clock, self.log, self.stray_log)
        self.front = http_front(config, loop, self.http, self.ready, self.log)
        self.pools = {"http": self.http}
        self.listeners = {"http": Listener(self.front, config.listen, config.passed)}
        self.taking = False  # the listeners listen
        self.operations: Operations | None = None
        self.handover: Handover | None = None
        if config.door is not None:
            from brackenladder.node.operations import Operations

            self.operations = Operations(
                loop,
                self.http,
                lambda: [listener.front for listener in self.listeners.values()],
                lambda: self.taking and self.ready(),
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
            self.shared,
            self.log.line,
        )
        if self.control is not None:
            self.control.members = self.members.shown

    def add_recovery(self, table: RecoveryTable, state: StateTable | None) -> None:
        from brackenladder.node.recovery import Recovery
        from brackenladder.storage.state_store import StateOwner, StateStore

        assert self.control is not None and self.members is not None
        owner = StateOwner(self.config.name, self.config.settings.tier, tuple(self.config.classes))
        store = StateStore(state.folder, owner, self.log.line) if state is not None else None
        alone = table.alone == "serve"
        self.recovery = Recovery(self.loop, self.control.pools, self.members, store, alone, self.log.line)
        self.control.recovery = self.recovery.shown

    def shared(self, number: int) -> None:
        """So many nodes share the tier from now on."""
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
        listing = self.handover.look()
        if listing is not None:
            self.http.source.set_initial_listing(listing)

    def add_rpc(self, table: RpcTable) -> None:
        from brackenladder.node.rpc import rpc_front, rpc_pool

        pool = rpc_pool(table, self.config, self.loop, self.clock, self.log, self.stray_log)
        front = rpc_front(table, self.config, self.loop, pool, self.stray_log)
        self.pools["rpc"] = pool
        self.listeners["rpc"] = Listener(front, parse_address(table.listen, "rpc.listen"))

    def ready(self) -> bool:
        """Whether every pool has a server list."""
        asks = self.recovery is not None and not self.recovery.startup.serves
        return not asks and all(pool.has_listing for pool in self.pools.values())

    def heard(self, peer: int, data: bytes) -> None:
        """A peer's message: it is HTTP's pool that speaks with others."""
        if self.members is not None and self.members.heard(peer, data):
            return
        self.http.host.peer_message(peer, data)

    async def start(self) -> None:
        """Begins to serve. An OSError if an address cannot be had."""
        speaks = self.config.settings.peers or self.members is not None
        if speaks and self.config.peer_listen is not None:
            # The process that this one replaces, or that replaces it, has the same address.
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
            self.handover.begin()
        if self.config.passed is not None:
            # Failure prevented: it takes what its predecessor could have served, and has no list yet.
            deadline = self.loop.time() + LIST_TIME
            while not self.ready() and self.loop.time() < deadline:
                await asyncio.sleep(LIST_LOOK)
            self.listen()

    def listen(self) -> None:
        """Takes clients from now on. An OSError if an address cannot be had."""
        for listener in self.listeners.values():
            listener.start()
        self.taking = True

    def reload(self, config: Config, operator: Operator | None = None) -> None:
        """Takes on a new configuration: connections, requests and all that was learned stay.

        What only a start can take on is named in the log. `known` and `seed` are of use at a start only.
        """
        old, self.config = self.config, replace(self.config, **{f: getattr(config, f) for f in RELOADED})
        left = [
            f.name
            for f in fields(config)
            if f.name not in (*RELOADED, "known", "seed") and getattr(config, f.name) != getattr(old, f.name)
        ]
        if operator is not None and self.operator is not None:
            left += self.reload_operator(self.operator, operator)
        if operator is not None and self.operator is not None and operator.control != self.operator.control:
            left.append("control")
        if operator is not None and self.operator is not None:
            tables = ("members", "state", "recovery")
            left += [name for name in tables if getattr(operator, name) != getattr(self.operator, name)]
        if left:
            self.log.line(f"reload: needs a restart: {', '.join(left)}")
        if config.discovery != old.discovery:
            self.http.source.change_address(config.discovery)
        if self.members is not None:
            self.members.renamed(list(config.peers))
            self.members.rekey()
        self.peers.set_addresses(config.peers, config.peers_all)
        self.log.line(f"reload: discovery {config.discovery[0]}:{config.discovery[1]}")

    def reload_operator(self, old: Operator, new: Operator) -> list[str]:
        """Moves RPC's discovery; the keys that need a restart."""
        if old.rpc is None or new.rpc is None or old.rpc.discovery is None or new.rpc.discovery is None:
            return ["rpc"] if old.rpc != new.rpc else []
        left = [
            f"rpc.{name}"
            for name in new.rpc.__struct_fields__
            if name != "discovery" and getattr(old.rpc, name) != getattr(new.rpc, name)
        ]
        if new.rpc.discovery != old.rpc.discovery:
            from brackenladder.node.operator import moved

            self.operator = moved(old, new.rpc.discovery)
            address = parse_address(new.rpc.discovery, "rpc.discovery")
            self.pools["rpc"].source.change_address(address)
            self.log.line(f"reload: rpc.discovery {address[0]}:{address[1]}")
        return left

    async def drain(self) -> None:
        """Answers what has been taken, and ends."""
        if self.operations is not None:
            self.operations.end()
        if self.handover is not None:
            self.handover.end()
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
        guarded = sum(pool.host.expired_count for pool in self.pools.values())
        if guarded:
            self.log.line(f"{guarded} requests were failed at their deadline by the guard")
