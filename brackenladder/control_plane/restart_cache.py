"""State that a control node caches on disk beside its log, for use after a restart before there is a leader.

After a restart, a node does not know which entries of its log are committed until there is a leader, nor any
servers until their heartbeats arrive. The cache bridges this time. It holds:

- the newest catalog that was applied on this node, which is therefore committed; it is published only once a
  majority has confirmed it (`restart_gate`),
- the servers of the region, which are checked for their health before use,
- the prompt prefixes that servers hold in their caches, as hints.

The cache may be lost without harm.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import logbook
from attrs import frozen
from returns.result import Failure, Success

from brackenladder.control_plane.health_checks import HealthChecks
from brackenladder.control_plane.restart_file import RestartFile
from brackenladder.prefix_cache.messages import PrefixNotice
from brackenladder.registry.records import ServerRecord
from brackenladder.registry.remembered_servers import RememberedServer, ServerListTracker, verify
from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import DecodeError

STATE_TAG = 1
WRITE_INTERVAL = 300_000  # microseconds between two writes
PREFIX_INTERVAL = 2_000_000  # microseconds between two writes if only prefixes may have changed

log = logbook.Logger("restart")


@frozen
class RememberedCatalog:
    """A committed catalog, as read from the cache or written to it."""

    revision: int
    document: bytes
    evacuated: tuple[str, ...]


@frozen
class RestartState:
    """The content of the cache file. It is only valid together with the log of the same replica.

    Otherwise, if a new log is started in a folder that still has this file, the new log's revisions are lower
    than the cached one and are taken for outdated.
    """

    replica_id: str
    catalog: RememberedCatalog
    servers: tuple[RememberedServer, ...]
    prefixes: tuple[PrefixNotice, ...] = ()


class RestartListener(Protocol):
    """Receives the content of the cache after a restart."""

    def catalog_remembered(self, catalog: RememberedCatalog) -> None:
        """The catalog from before the restart. It may be outdated."""

    def prefixes_remembered(self, notices: tuple[PrefixNotice, ...]) -> None:
        """Receives the prompt prefixes that each server had cached before the restart."""

    def server_found(self, record: ServerRecord) -> None:
        """A server from the cache that has passed its health check."""


class RestartCache:
    """Reads the cache file at the start, and rewrites it after changes. Without a file it does nothing."""

    def __init__(
        self,
        file: RestartFile | None,
        health_checks: Callable[[], HealthChecks],
        replica_id: str,
        clock: Callable[[], int],
        listener: RestartListener,
    ) -> None:
        self._replica_id = replica_id
        self._file = file
        self._health_checks = health_checks
        self._clock = clock
        self._listener = listener
        self._memory = ServerListTracker()
        self._written_at = clock()
        self._written_revision = 0
        self._codec = Codec()
        self._codec.register(STATE_TAG, RestartState)
        self._restore_task: asyncio.Task[None] | None = None
        self._write_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to read the cache and to check its servers."""
        if self._file is not None:
            self._restore_task = asyncio.get_running_loop().create_task(self._restore(self._file))

    @property
    def is_due(self) -> bool:
        """Whether to call `save_if_changed`: the interval has passed and the last write has ended."""
        writing = self._write_task is not None and not self._write_task.done()
        return self._file is not None and not writing and self._clock() - self._written_at >= WRITE_INTERVAL

    def save_if_changed(
        self,
        catalog: RememberedCatalog,
        servers: tuple[ServerRecord, ...],
        health_paths: dict[str, str],
        prefixes: Callable[[], tuple[PrefixNotice, ...]],
    ) -> None:
        """Writes the cache if catalog or servers have changed, and at a longer interval if prefixes exist."""
        if self._file is None:
            return
        servers_to_save = self._memory.select(servers, health_paths)
        changed = catalog.revision != self._written_revision or self._memory.changed(servers_to_save)
        if not changed and self._clock() - self._written_at < PREFIX_INTERVAL:
            return
        prefixes_to_save = prefixes()
        if not changed and not prefixes_to_save:
            return
        self._memory.mark_written(servers_to_save)
        self._written_revision = catalog.revision
        self._written_at = self._clock()
        data = self._codec.encode(RestartState(self._replica_id, catalog, servers_to_save, prefixes_to_save))
        self._write_task = asyncio.get_running_loop().create_task(self._write(self._file, data))

    def close(self) -> None:
        """Cancels reading and writing. A write that hangs does not keep the process from exiting."""
        for task in (self._restore_task, self._write_task):
            if task is not None:
                task.cancel()

    async def _restore(self, file: RestartFile) -> None:
        state = await self._read(file)
        if state is None:
            return
        self._listener.prefixes_remembered(state.prefixes)
        self._listener.catalog_remembered(state.catalog)
        answers = await self._health_checks().check_all(state.servers)
        checked = [verify(server, answer) for server, answer in zip(state.servers, answers, strict=True)]
        alive = [record for record in checked if record is not None]
        for record in alive:
            self._listener.server_found(record)
        log.info("cached catalog {}, {}/{} servers healthy", state.catalog.revision, len(alive), len(checked))

    async def _read(self, file: RestartFile) -> RestartState | None:
        content = await file.read()
        if isinstance(content, Failure):
            log.warning("{}", content.failure())
            return None
        data = content.unwrap()
        try:
            decoded = self._codec.decode(data) if data else None
        except DecodeError as error:
            log.warning("restart file: {}", error)
            return None
        if not isinstance(decoded, RestartState) or decoded.replica_id != self._replica_id:
            return None
        return decoded

    async def _write(self, file: RestartFile, data: bytes) -> None:
        written = await file.write(data)
        if not isinstance(written, Success):
            log.warning("{}", written.failure())
