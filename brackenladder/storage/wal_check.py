"""Detects acknowledged commits that sqlite3 would silently drop because the WAL is damaged.

sqlite3 reads a WAL up to the first frame whose chained checksum is wrong, and takes the rest for a
transaction torn by a power loss. But a transaction starts only after the previous commit was synced. So if
two commits follow each other in one valid chain after the bad frame, the first of them was acknowledged.
Frames left over from a failed transaction are in a separate chain.

Damage to the last commit cannot be distinguished from a power loss during that commit.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from struct import Struct

from attrs import frozen

HEADER_BYTES = 32
FRAME_HEADER_BYTES = 24  # header before each page
SUMMED_HEADER_BYTES = 8  # leading part of a frame's header that its checksums cover, besides the page
MAX_TORN_COMMITS = 1  # most commits that a power loss leaves in one checksum chain, the torn one included

_HEADER = Struct(">8I")  # magic, version, page size, sequence, two salts, two checksums
_FRAME = Struct(">6I")  # page, database size after a commit or 0, two salts, two checksums
_MAGIC = 0x377F0682  # with the lowest bit set, checksums are computed over big-endian words
_WORD_MASK = 0xFFFFFFFF

Checksums = tuple[int, int]


@frozen
class WalFrame:
    """One page of a transaction. `size`: database size in pages if the frame ends a commit, otherwise 0."""

    page: int
    size: int
    salts: tuple[int, int]
    checksums: Checksums
    page_offset: int  # offset of the page within the WAL


class WalContent:
    """The content of a WAL file."""

    def __init__(self, data: bytes, page_bytes: int) -> None:
        self._data = data
        self._page_bytes = page_bytes
        magic, _, _, _, salt_1, salt_2, sum_1, sum_2 = _HEADER.unpack_from(data)
        self._big_endian = bool(magic & 1)
        self.salts = (salt_1, salt_2)
        self._header_checksums = (sum_1, sum_2)
        known = magic & ~1 == _MAGIC
        self.header_valid = (
            known and self._add_to_checksums(data[: HEADER_BYTES - 8], (0, 0)) == self._header_checksums
        )

    def frames(self) -> Iterator[WalFrame]:
        """Yields all complete frames, valid or not."""
        step = FRAME_HEADER_BYTES + self._page_bytes
        for offset in range(HEADER_BYTES, len(self._data) - step + 1, step):
            page, size, salt_1, salt_2, sum_1, sum_2 = _FRAME.unpack_from(self._data, offset)
            yield WalFrame(page, size, (salt_1, salt_2), (sum_1, sum_2), offset + FRAME_HEADER_BYTES)

    def page(self, frame: WalFrame) -> bytes:
        """Returns the page of a frame."""
        return self._data[frame.page_offset : frame.page_offset + self._page_bytes]

    def torn_commits(self) -> int:
        """Returns the largest number of commits in one valid chain from the first bad frame on."""
        checksums = self._header_checksums
        valid = True
        longest = commits = 0
        for frame in self.frames():
            follows = frame.salts == self.salts and frame.checksums == self._frame_checksums(frame, checksums)
            checksums = frame.checksums
            if valid and follows:
                continue
            commits = commits if follows else 0
            valid = False
            commits += frame.salts == self.salts and frame.size > 0
            longest = max(longest, commits)
        return longest

    def _frame_checksums(self, frame: WalFrame, checksums: Checksums) -> Checksums:
        """Computes the checksums of a frame from those of the frame before it."""
        header = self._data[
            frame.page_offset - FRAME_HEADER_BYTES : frame.page_offset
            - FRAME_HEADER_BYTES
            + SUMMED_HEADER_BYTES
        ]
        return self._add_to_checksums(header + self.page(frame), checksums)

    def committed_pages(self) -> dict[int, bytes]:
        """Returns the pages as of the last commit, for a WAL with a damaged header.

        Only frames with the salts of the first frame are used.
        """
        pages: dict[int, bytes] = {}
        pending: dict[int, bytes] = {}
        salts: tuple[int, int] | None = None
        for frame in self.frames():
            salts = salts or frame.salts
            if frame.salts != salts:
                break
            pending[frame.page] = self.page(frame)
            if frame.size:
                pages = {page: data for page, data in (pages | pending).items() if page <= frame.size}
                pending = {}
        return pages

    def _add_to_checksums(self, data: bytes, checksums: Checksums) -> Checksums:
        words = Struct(f"{'>' if self._big_endian else '<'}{len(data) // 4}I").unpack(data)
        one, two = checksums
        for even, odd in zip(words[::2], words[1::2], strict=True):
            one = (one + even + two) & _WORD_MASK
            two = (two + odd + one) & _WORD_MASK
        return one, two


def lost_commits(path: str, wal_path: str, page_bytes: int) -> bool:
    """Whether opening the store at `path` would lose acknowledged commits. Raises OSError."""
    if not os.path.exists(wal_path):
        return False
    with open(wal_path, "rb") as file:
        data = file.read()
    if len(data) < HEADER_BYTES + FRAME_HEADER_BYTES + page_bytes:
        return False
    wal = WalContent(data, page_bytes)
    if wal.header_valid:
        return wal.torn_commits() > MAX_TORN_COMMITS
    return _database_lacks_pages(path, wal.committed_pages(), page_bytes)


def _database_lacks_pages(path: str, pages: dict[int, bytes], page_bytes: int) -> bool:
    """Whether the database lacks pages of a WAL with a damaged header.

    A WAL is restarted only after all its pages were copied to the database, so a header torn by a restart
    loses nothing.
    """
    with open(path, "rb") as file:
        content = file.read()
    return any(content[(page - 1) * page_bytes : page * page_bytes] != data for page, data in pages.items())
