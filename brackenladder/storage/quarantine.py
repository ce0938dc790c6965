"""Setting a damaged store aside, so that its node can begin again as a new replica.

To the others this is a disk that was wiped: the old replica never votes again, and the new one, under an id
of its own, joins as a learner. The database goes first and durably. Without it what is left of the store
counts as damaged, whereas the database without its journal could pass for an older state of the replica.
"""

from __future__ import annotations

import os
from contextlib import suppress

from brackenladder.storage.sqlite_file import FILE_NAME, SIDE_SUFFIXES, sync_to_disk

MOST_KEPT = 2  # damaged stores in a folder; older ones are removed
MOST_KEPT_BYTES = 2 << 20  # of each of their files, for whoever looks into it; the disk is small

_MARK = ".corrupt-"


def has_quarantined_store(folder: str) -> bool:
    """Whether a replica has ended here by damage: its node is not one that starts for the first time."""
    return bool(_numbers(folder))


def quarantine_store(folder: str) -> str:
    """Renames the store in `folder`, durably; returns its new name. OSError: it may be tried again."""
    numbers = _numbers(folder)
    number = max(numbers, default=0) + 1
    name = f"{FILE_NAME}{_MARK}{number}"
    for suffix in ("", *SIDE_SUFFIXES):
        _move(os.path.join(folder, FILE_NAME + suffix), os.path.join(folder, name + suffix))
        sync_to_disk(folder)
    for old in sorted(numbers)[: -(MOST_KEPT - 1)]:
        _remove(os.path.join(folder, f"{FILE_NAME}{_MARK}{old}"))
    return name


def _numbers(folder: str) -> set[int]:
    """The numbers of the stores that were set aside; of some only a journal may be there."""
    numbers = set()
    for name in os.listdir(folder):
        start, mark, rest = name.partition(_MARK)
        number = rest.partition("-")[0]
        if start == FILE_NAME and mark and number.isdecimal():
            numbers.add(int(number))
    return numbers


def _move(path: str, target: str) -> None:
    with suppress(FileNotFoundError):
        os.rename(path, target)
        if os.path.getsize(target) > MOST_KEPT_BYTES:
            os.truncate(target, MOST_KEPT_BYTES)


def _remove(path: str) -> None:
    for suffix in ("", *SIDE_SUFFIXES):
        with suppress(FileNotFoundError):
            os.unlink(path + suffix)
