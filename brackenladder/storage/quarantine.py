"""Quarantine of a damaged store, so that its node can start again as a new replica.

To the other replicas this looks like a wiped disk: the old replica never votes again, and the new one joins
as a learner under a new id. The database is renamed first, durably. A journal left without its database
counts as damaged, whereas a database without its journal could be taken for an older state of the replica.
"""

from __future__ import annotations

import os
from contextlib import suppress

from brackenladder.storage.sqlite_file import FILE_NAME, SIDE_SUFFIXES, sync_to_disk

MAX_QUARANTINED = 2  # quarantined stores per folder; older ones are removed
# Bytes to which each file of a quarantined store is truncated, as the disk is small.
MAX_QUARANTINED_BYTES = 2 << 20

_SUFFIX = ".corrupt-"


def has_quarantined_store(folder: str) -> bool:
    """Whether a damaged store was quarantined here, so that this is not the first start of the node."""
    return bool(_numbers(folder))


def quarantine_store(folder: str) -> str:
    """Renames the store in `folder` durably and returns its new name. May be retried after an OSError."""
    numbers = _numbers(folder)
    number = max(numbers, default=0) + 1
    name = f"{FILE_NAME}{_SUFFIX}{number}"
    for suffix in ("", *SIDE_SUFFIXES):
        _move(os.path.join(folder, FILE_NAME + suffix), os.path.join(folder, name + suffix))
        sync_to_disk(folder)
    for old in sorted(numbers)[: -(MAX_QUARANTINED - 1)]:
        _remove(os.path.join(folder, f"{FILE_NAME}{_SUFFIX}{old}"))
    return name


def _numbers(folder: str) -> set[int]:
    """The numbers of the quarantined stores, including those of which only a journal is left."""
    numbers = set()
    for name in os.listdir(folder):
        start, separator, rest = name.partition(_SUFFIX)
        number = rest.partition("-")[0]
        if start == FILE_NAME and separator and number.isdecimal():
            numbers.add(int(number))
    return numbers


def _move(path: str, target: str) -> None:
    with suppress(FileNotFoundError):
        os.rename(path, target)
        if os.path.getsize(target) > MAX_QUARANTINED_BYTES:
            os.truncate(target, MAX_QUARANTINED_BYTES)


def _remove(path: str) -> None:
    for suffix in ("", *SIDE_SUFFIXES):
        with suppress(FileNotFoundError):
            os.unlink(path + suffix)
