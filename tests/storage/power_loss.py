"""Generates the files that a sqlite3 store may have after a power loss.

Python's sqlite3 module has no hook for file operations, so the writes of a transaction are derived from
copies of the folder before and after it. In WAL mode with `synchronous=FULL` they happen in four phases, each
synced before the next: the header of a restarted WAL, the frames of the commit, the pages copied by a
checkpoint, and the removal of the WAL at `close`. Within a phase, each write may independently be present,
missing or torn.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from random import Random

from attrs import frozen

from brackenladder.storage.sqlite_file import FILE_NAME, PAGE_BYTES

WAL_NAME = FILE_NAME + "-wal"
WAL_HEAD_BYTES = 32
FRAME_HEAD_BYTES = 24

Files = dict[str, bytes]  # the files of a folder, by name


@frozen
class FileWrite:
    """One write to a file."""

    offset: int
    data: bytes


@frozen
class Loss:
    """Files after a power loss, and the progress of the write in flight."""

    files: Files
    acknowledged: bool  # the write in flight was synced, so it must be present
    lost: bool  # the write in flight must be absent
    name: str


def read_files(folder: str) -> Files:
    """Reads the folder as processes see it."""
    files = {}
    for name in os.listdir(folder):
        with open(os.path.join(folder, name), "rb") as file:
            files[name] = file.read()
    return files


def write_files(folder: str, files: Files) -> None:
    """Replaces the content of the folder by these files."""
    for name in os.listdir(folder):
        os.unlink(os.path.join(folder, name))
    for name, data in files.items():
        with open(os.path.join(folder, name), "wb") as file:
            file.write(data)


def commit_losses(random: Random, before: Files, after: Files) -> Iterator[Loss]:
    """Power losses at any time during a transaction, or the checkpoint that may follow it."""
    wal, new_wal = before.get(WAL_NAME, b""), after[WAL_NAME]
    head = _changed(wal, new_wal, [(0, WAL_HEAD_BYTES)])
    for name, data in _outcomes(random, wal, head):
        yield Loss({**before, WAL_NAME: data}, False, True, f"WAL head {name}")
    headed = _with_writes(wal, head)
    frames = _changed(headed, new_wal, _frame_pieces(len(new_wal)))
    for name, data in _outcomes(random, headed, frames):
        yield Loss({**before, WAL_NAME: data}, False, False, f"WAL frames {name}")
    yield from _checkpoint_losses(random, before, after)
    yield Loss(after, True, False, "none")


def close_losses(random: Random, before: Files, after: Files) -> Iterator[Loss]:
    """Power losses while the store is being closed: the last checkpoint, then the removal of the WAL."""
    yield from _checkpoint_losses(random, before, {**after, WAL_NAME: before[WAL_NAME]})
    yield Loss({**after, WAL_NAME: before[WAL_NAME]}, True, False, "WAL not yet removed")
    yield Loss(after, True, False, "WAL removed")


def _checkpoint_losses(random: Random, before: Files, after: Files) -> Iterator[Loss]:
    pages = _changed(before[FILE_NAME], after[FILE_NAME], _pages(len(after[FILE_NAME])))
    for name, data in _outcomes(random, before[FILE_NAME], pages):
        yield Loss({**after, FILE_NAME: data}, True, False, f"pages {name}")


def _frame_pieces(length: int) -> list[tuple[int, int]]:
    """The offsets and sizes of writes to the WAL: sqlite3 writes a frame's header and page separately."""
    pieces = []
    offset = WAL_HEAD_BYTES
    while offset < length:
        pieces.append((offset, FRAME_HEAD_BYTES))
        pieces.append((offset + FRAME_HEAD_BYTES, PAGE_BYTES))
        offset += FRAME_HEAD_BYTES + PAGE_BYTES
    return pieces


def _pages(length: int) -> list[tuple[int, int]]:
    return [(offset, PAGE_BYTES) for offset in range(0, length, PAGE_BYTES)]


def _changed(before: bytes, after: bytes, pieces: list[tuple[int, int]]) -> list[FileWrite]:
    writes = [FileWrite(offset, after[offset : offset + size]) for offset, size in pieces]
    return [write for write in writes if before[write.offset : write.offset + len(write.data)] != write.data]


def _outcomes(random: Random, before: bytes, writes: list[FileWrite]) -> Iterator[tuple[str, bytes]]:
    """Some of the contents that unsynced writes may leave; in the first, all writes are missing."""
    if not writes:
        return
    yield "all missing", before
    cut = random.randrange(len(writes))
    yield "present up to one", _with_writes(before, writes[:cut])
    yield "one torn", _with_writes(before, [*writes[:cut], _torn(random, writes[cut])])
    yield "one garbled", _with_writes(before, [*writes[:cut], _garbled(random, writes[cut])])
    yield "one missing", _with_writes(before, writes[:cut] + writes[cut + 1 :])
    yield "the last alone", _with_writes(before, writes[-1:])
    yield "each on its own", _with_writes(before, _mixed(random, writes))
    yield "all present", _with_writes(before, writes)


def _mixed(random: Random, writes: list[FileWrite]) -> list[FileWrite]:
    outcomes = [random.choice(["present", "missing", "torn", "garbled"]) for _ in writes]
    change = {"present": lambda write: write, "torn": lambda write: _torn(random, write)}
    change["garbled"] = lambda write: _garbled(random, write)
    return [
        change[outcome](write)
        for outcome, write in zip(outcomes, writes, strict=True)
        if outcome != "missing"
    ]


def _torn(random: Random, write: FileWrite) -> FileWrite:
    """The write with only its first or its last bytes."""
    cut = random.randrange(len(write.data))
    if random.random() < 0.5:
        return FileWrite(write.offset, write.data[:cut])
    return FileWrite(write.offset + cut, write.data[cut:])


def _garbled(random: Random, write: FileWrite) -> FileWrite:
    """The write with random bytes or zeros from some byte on."""
    cut = random.randrange(len(write.data))
    rest = len(write.data) - cut
    noise = bytes(rest) if random.random() < 0.5 else random.randbytes(rest)
    return FileWrite(write.offset, write.data[:cut] + noise)


def _with_writes(content: bytes, writes: list[FileWrite]) -> bytes:
    file = bytearray(content)
    for write in writes:
        if len(file) < write.offset:
            file.extend(bytes(write.offset - len(file)))
        file[write.offset : write.offset + len(write.data)] = write.data
    return bytes(file)
