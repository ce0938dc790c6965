"""Opens a control node's store: retries transient errors and moves damaged stores aside."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import logbook
from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import DurableState
from brackenladder.control_plane.threads import in_daemon_thread
from brackenladder.node.role_runner import RoleError
from brackenladder.storage.log_store import StoreCorrupt, StoreError, StoreFailed, StoreFull, StoreInUse
from brackenladder.storage.quarantine import has_quarantined_store, quarantine_store
from brackenladder.storage.sqlite_file import sync_to_disk
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

OPEN_RETRY_SECONDS = 0.3
TRANSIENT_ERRORS = (StoreFailed, StoreFull, StoreInUse)
CORRUPT_TRIES = 2  # a store counts as damaged only if it is found corrupt twice
MAX_SET_ASIDE = 2  # damaged stores moved aside per start; if more get damaged, the disk is unusable

log = logbook.Logger("store")


@frozen
class OpenedStore:
    """An open store and the state loaded from it."""

    store: SqliteLogStore
    state: DurableState
    replaces_damaged: bool  # whether a damaged store was moved aside in its folder, now or earlier


Opened = Result[OpenedStore, StoreError]
NewReplicaId = Callable[[bool], str]  # gets whether a damaged store was moved aside in the folder


async def open_replica_store(folder: str, new_replica_id: NewReplicaId) -> OpenedStore:
    """Opens the store in `folder` or creates one. Raises RoleError if it can't be used.

    Transient disk errors are retried. The disk is accessed in a thread, so that the process still handles
    signals while the disk hangs.
    """
    opener = _Opener(folder, new_replica_id)
    while True:
        try:
            opened = await in_daemon_thread(opener.open)
        except RoleError:
            raise
        except Exception as fault:  # after any other error the store can't be used
            raise RoleError(f"{type(fault).__name__}: {fault}") from fault
        if isinstance(opened, Success):
            store: OpenedStore = opened.unwrap()
            return store
        error = opened.failure()
        if not isinstance(error, (*TRANSIENT_ERRORS, StoreCorrupt)):
            raise RoleError(str(error))
        log.warning("{}", error)
        await asyncio.sleep(OPEN_RETRY_SECONDS)


class _Opener:
    """The attempts of one start to open the store."""

    def __init__(self, folder: str, new_replica_id: NewReplicaId) -> None:
        self._folder = folder
        self._new_replica_id = new_replica_id
        self._corrupt_tries = 0
        self._set_aside = 0

    def open(self) -> Opened:
        """Makes one attempt. A store that is found corrupt repeatedly is moved aside and replaced."""
        opened = self._open()
        error = opened.swap().value_or(None)
        if not isinstance(error, StoreCorrupt):
            return opened
        self._corrupt_tries += 1
        if self._corrupt_tries < CORRUPT_TRIES:
            return opened
        if self._set_aside >= MAX_SET_ASIDE:
            raise RoleError(f"{error}; {self._set_aside} stores were set aside before it")
        try:
            name = quarantine_store(self._folder)
        except OSError as fault:
            return Failure(StoreFailed(f"{self._folder}: can't set the store aside: {fault.strerror}"))
        self._corrupt_tries = 0
        self._set_aside += 1
        log.error("{}; set aside as {}, this node joins as a new replica", error, name)
        return self._open()

    def _open(self) -> Opened:
        try:
            _make_folder(self._folder)
            replaces_damaged = has_quarantined_store(self._folder)
        except OSError as error:
            return Failure(StoreFailed(f"{self._folder}: {error.strerror}"))
        opened = open_store(self._folder, lambda: self._new_replica_id(replaces_damaged))
        if not isinstance(opened, Success):
            return Failure(opened.failure())
        store: SqliteLogStore = opened.unwrap()
        loaded = store.load()
        if not isinstance(loaded, Success):
            store.close()
        return loaded.map(lambda state: OpenedStore(store, state, replaces_damaged))


def _make_folder(folder: str) -> None:
    """Creates the folder and syncs its parent, so that it survives a power loss."""
    if os.path.isdir(folder):
        return
    os.makedirs(folder, exist_ok=True)
    sync_to_disk(os.path.dirname(os.path.abspath(folder)))
