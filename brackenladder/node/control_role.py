"""The control role of a process: opens the store and runs the control node with it."""

from __future__ import annotations

import asyncio
import secrets
from random import Random

from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.control_node import LINK_GRACE, ControlNode, ReplicaStart
from brackenladder.control_plane.wire import control_codec
from brackenladder.node.replica_store import OpenedStore, open_replica_store
from brackenladder.node.role_runner import RoleError, monotonic_microseconds
from brackenladder.platform_settings import Platform
from brackenladder.storage.writer import StoreWriter
from brackenladder.transport.errors import ListenError
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

REPLICA_ID_BYTES = 8


class ControlRole:
    """Runs a control node in this process, as a `RoleProcess`."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.node: ControlNode | None = None

    async def start(self) -> None:
        """Opens the store and starts the node. Raises RoleError if the store can't be used."""
        opened = await self._open_store()
        start = self._replica_start(opened)
        self.node = ControlNode(
            self._platform,
            start,
            StoreWriter(opened.store, asyncio.get_running_loop()),
            TcpTransport(
                control_codec(),
                LinkTiming(close_grace=LINK_GRACE),
                Random(),
                name=self._platform.node_name,
            ),
            monotonic_microseconds,
            Random(),
        )
        try:
            await self.node.start()
        except (OSError, ListenError) as error:
            raise RoleError(f"can't listen: {error}") from error

    def reload(self, platform: Platform) -> None:
        """Applies changed settings to the running node; does nothing before its start."""
        if self.node is not None:
            self.node.reload(platform)

    async def stop(self) -> None:
        """Stops the node if it has been started."""
        if self.node is not None:
            await self.node.stop()

    async def _open_store(self) -> OpenedStore:
        folder = self._platform.data_dir
        if not folder:
            raise RoleError("DataDir is missing, and the control role keeps its log there")
        return await open_replica_store(folder, self._new_replica_id)

    def _replica_start(self, opened: OpenedStore) -> ReplicaStart:
        replica_id = opened.store.identity.replica_id
        may_found = self._may_found(opened.replaces_damaged)
        founder = may_found and replica_id == genesis_replica_id(self._platform.inner_address)
        return ReplicaStart(replica_id, opened.state, self._genesis() if founder else None)

    def _new_replica_id(self, replaces_damaged: bool) -> str:
        if self._may_found(replaces_damaged):
            return genesis_replica_id(self._platform.inner_address)
        return secrets.token_hex(REPLICA_ID_BYTES)

    def _may_found(self, replaces_damaged: bool) -> bool:
        """Whether this node is one of the initial voters at the very first start of the system.

        A node whose damaged store was moved aside is not: the system may have been started before, and the
        node could vote a second time.
        """
        first = self._platform.bootstrap and not replaces_damaged
        return first and self._platform.listen.control in self._platform.seeds

    def _genesis(self) -> Members:
        addresses = self._platform.seed_inner_addresses
        return Members(voters=tuple(Member(genesis_replica_id(address), address) for address in addresses))
