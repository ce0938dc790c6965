"""What a control node keeps on disk beside its log to be of use before there is a leader again.

The catalog is told to nobody before a majority has confirmed it (`restart_gate`).

After a restart the log does not tell which of its entries are committed until a leader does, and nothing
tells where servers are until their heartbeats come. The cache holds the newest catalog that was applied here,
which is committed, the region's servers, which are asked for their health, and the prefixes that servers
keep, which are hints. All of it may be lost.
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
PREFIX_INTERVAL = 2_000_000  # the same where only prefixes may have changed

log = logbook.Logger("restart")


@frozen
class RememberedCatalog:
    """A catalog that was committed."""

    revision: int
    document: bytes
    evacuated: tuple[str, ...]


@frozen
class RestartState:
    """The file's content. It is of use beside the log of the same replica only.

    Failure prevented: a log is begun anew in a folder where this file was left, and its revisions, lower than
    the remembered one, are taken for older ones.
    """

    replica_id: str
    catalog: RememberedCatalog
    servers: tuple[RememberedServer, ...]
    prefixes: tuple[PrefixNotice, ...] = ()


class RestartListener(Protocol):
    """Takes what was remembered."""

    def catalog_remembered(self, catalog: RememberedCatalog) -> None:
        """The catalog before the restart; there may be a newer one."""

    def prefixes_remembered(self, notices: tuple[PrefixNotice, ...]) -> None:
        """The prefixes that servers kept."""

    def server_found(self, record: ServerRecord) -> None:
        """A server that a health check has found."""


class RestartCache:
    """Reads the file at the start and replaces it as things change. Without a file it does nothing."""

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
        """Begins to read, and to ask the remembered servers."""
        if self._file is not None:
            self._restore_task = asyncio.get_running_loop().create_task(self._restore(self._file))

    @property
    def is_due(self) -> bool:
        """Whether `note` is to be called: it is time, and the last write has ended."""
        busy = self._write_task is not None and not self._write_task.done()
        return self._file is not None and not busy and self._clock() - self._written_at >= WRITE_INTERVAL

    def save_if_changed(
        self,
        catalog: RememberedCatalog,
        servers: tuple[ServerRecord, ...],
        health_paths: dict[str, str],
        prefixes: Callable[[], tuple[PrefixNotice, ...]],
    ) -> None:
        """Writes what is of use after a restart, if catalog or servers have changed, or it is time."""
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
        """Asks nobody any more. A write that hangs does not keep the process."""
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
        found = [verify(server, answer) for server, answer in zip(state.servers, answers, strict=True)]
        alive = [record for record in found if record is not None]
        for record in alive:
            self._listener.server_found(record)
        log.info("catalog {}, {} of {} servers answer", state.catalog.revision, len(alive), len(found))

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
