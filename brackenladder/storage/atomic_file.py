"""A small checksummed file that is replaced atomically: readers get the new content, the old one or nothing.

It is for data that may be lost, and is separate from the database so that damage to it does not affect the
log.
"""

from __future__ import annotations

import os
from contextlib import suppress
from hashlib import blake2b

from returns.result import Failure, Result, Success

from brackenladder.storage.log_store import StoreCorrupt, StoreError, StoreFailed
from brackenladder.storage.sqlite_file import sync_to_disk

CHECKSUM_BYTES = 16
MAX_BYTES = 4 << 20
UNFINISHED_SUFFIX = ".new"


def write_atomically(path: str, data: bytes) -> Result[None, StoreError]:
    """Replace the file durably. Blocks for as long as the disk does."""
    unfinished = path + UNFINISHED_SUFFIX
    try:
        with open(unfinished, "wb") as file:
            file.write(_checksum(data) + data)
        sync_to_disk(unfinished)
        os.replace(unfinished, path)
        sync_to_disk(os.path.dirname(path))
    except OSError as error:
        with suppress(OSError):
            os.unlink(unfinished)
        return Failure(StoreFailed(f"{path}: {error.strerror}"))
    return Success(None)


def read_checked(path: str) -> Result[bytes, StoreError]:
    """Return the content; empty if there is no file."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return Success(b"")
    except OSError as error:
        return Failure(StoreFailed(f"{path}: {error.strerror}"))
    checksum, data = content[:CHECKSUM_BYTES], content[CHECKSUM_BYTES:]
    if len(content) > MAX_BYTES or checksum != _checksum(data):
        return Failure(StoreCorrupt(f"{path}: damaged"))
    return Success(data)


def _checksum(data: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()
