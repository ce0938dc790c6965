"""The control role of one process: opens the store and runs the control node on it."""

from __future__ import annotations

import asyncio
import os
import secrets
from random import Random

import logbook
from returns.result import Failure, Result, Success

from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.control_node import ControlNode, ReplicaStart
from brackenladder.control_plane.wire import control_codec
from brackenladder.node.role_runner import RoleError, monotonic_microseconds
from brackenladder.platform_settings import Platform
from brackenladder.storage.log_store import StoreError, StoreFailed, StoreFull, StoreInUse
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store
from brackenladder.storage.writer import StoreWriter
from brackenladder.transport.errors import ListenError
from brackenladder.transport.link import LinkTiming
from brackenladder.transport.tcp import TcpTransport

REPLICA_ID_BYTES = 8
OPEN_RETRY_SECONDS = 0.3
PASSING_ERRORS = (StoreFailed, StoreFull, StoreInUse)

log = logbook.Logger("store")


class ControlRole:
    """A `RoleProcess`."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.node: ControlNode | None = None

    async def start(self) -> None:
        """Opens the store and starts the node; `RoleError` if the store can't be used."""
        store = await self._open_store()
        start = self._replica_start(store)
        self.node = ControlNode(
            self._platform,
            start,
            StoreWriter(store, asyncio.get_running_loop()),
            TcpTransport(control_codec(), LinkTiming(), Random(), name=self._platform.node_name),
            monotonic_microseconds,
            Random(),
        )
        try:
            await self.node.start()
        except (OSError, ListenError) as error:
            raise RoleError(f"can't listen: {error}") from error

    def reload(self, platform: Platform) -> None:
        """Takes changed settings."""
        if self.node is not None:
            self.node.reload(platform)

    async def stop(self) -> None:
        """Ends in order."""
        if self.node is not None:
            await self.node.stop()

    async def _open_store(self) -> SqliteLogStore:
        """Opens the store; a disk that refuses for the moment is tried again."""
        folder = self._platform.data_dir
        if not folder:
            raise RoleError("DataDir is missing, and the control role keeps its log there")
        while True:
            opened = self._try_to_open(folder)
            if isinstance(opened, Success):
                store: SqliteLogStore = opened.unwrap()
                return store
            error = opened.failure()
            if not isinstance(error, PASSING_ERRORS):
                raise RoleError(str(error))
            log.warning("{}", error)
            await asyncio.sleep(OPEN_RETRY_SECONDS)

    def _try_to_open(self, folder: str) -> Result[SqliteLogStore, StoreError]:
        try:
            _make_folder(folder)
        except OSError as error:
            return Failure(StoreFailed(f"{folder}: {error.strerror}"))
        return open_store(folder, self._new_replica_id)

    def _replica_start(self, store: SqliteLogStore) -> ReplicaStart:
        loaded = store.load()
        if isinstance(loaded, Failure):
            raise RoleError(str(loaded.failure()))
        replica_id = store.identity.replica_id
        founder = self._founds() and replica_id == genesis_replica_id(self._platform.inner_address)
        return ReplicaStart(replica_id, loaded.unwrap(), self._genesis() if founder else None)

    def _new_replica_id(self) -> str:
        if self._founds():
            return genesis_replica_id(self._platform.inner_address)
        return secrets.token_hex(REPLICA_ID_BYTES)

    def _founds(self) -> bool:
        """This node is one of the first voters of a system that starts for the very first time."""
        return self._platform.bootstrap and self._platform.listen.control in self._platform.seeds

    def _genesis(self) -> Members:
        addresses = self._platform.seed_inner_addresses
        return Members(voters=tuple(Member(genesis_replica_id(address), address) for address in addresses))


def _make_folder(folder: str) -> None:
    """Makes the folder so that it outlasts a loss of power."""
    if os.path.isdir(folder):
        return
    os.makedirs(folder, exist_ok=True)
    parent = os.open(os.path.dirname(os.path.abspath(folder)), os.O_RDONLY)
    try:
        os.fsync(parent)
    finally:
        os.close(parent)
