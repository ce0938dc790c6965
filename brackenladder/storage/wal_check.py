"""Finds commits that a damaged WAL would lose without a word.

sqlite3 takes a WAL up to its first frame that fails the chain of checksums; what follows counts as a
transaction that a loss of power has torn. A transaction that begins behind a commit was begun once that one
was synced. So where two commits follow one another in one unbroken chain behind the frame that fails, the
first of them was acknowledged. What a refused transaction has left there stands in a chain of its own.

Damage to the last commit looks like a loss of power during it, and can't be told from one.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from struct import Struct

from attrs import frozen

HEAD_BYTES = 32
FRAME_HEAD_BYTES = 24  # before each page
SUMMED_HEAD_BYTES = 8  # of it, that its checksums cover beside the page
MOST_TORN_COMMITS = 1  # that a loss of power leaves in one chain, its own frame counted

_HEAD = Struct(">8I")  # magic, version, page size, sequence, two salts, two checksums
_FRAME = Struct(">6I")  # page, size of the file after a commit or 0, two salts, two checksums
_MAGIC = 0x377F0682  # its lowest bit: words are summed up as big-endian ones
_WORD_MASK = 0xFFFFFFFF

Sums = tuple[int, int]


@frozen
class WalFrame:
    """One page of a transaction. `size`: of the file in pages, if the frame ends a commit; else 0."""

    page: int
    size: int
    salts: tuple[int, int]
    sums: Sums
    at: int  # offset of the page in the WAL


class WalContent:
    """A WAL file as it was read."""

    def __init__(self, data: bytes, page_bytes: int) -> None:
        self._data = data
        self._page_bytes = page_bytes
        magic, _, _, _, salt_1, salt_2, sum_1, sum_2 = _HEAD.unpack_from(data)
        self._big_endian = bool(magic & 1)
        self.salts = (salt_1, salt_2)
        self._head_sums = (sum_1, sum_2)
        known = magic & ~1 == _MAGIC
        self.head_holds = known and self._summed(data[: HEAD_BYTES - 8], (0, 0)) == self._head_sums

    def frames(self) -> Iterator[WalFrame]:
        """All that are there whole, whatever they say."""
        step = FRAME_HEAD_BYTES + self._page_bytes
        for offset in range(HEAD_BYTES, len(self._data) - step + 1, step):
            page, size, salt_1, salt_2, sum_1, sum_2 = _FRAME.unpack_from(self._data, offset)
            yield WalFrame(page, size, (salt_1, salt_2), (sum_1, sum_2), offset + FRAME_HEAD_BYTES)

    def page(self, frame: WalFrame) -> bytes:
        """A frame's page."""
        return self._data[frame.at : frame.at + self._page_bytes]

    def torn_commits(self) -> int:
        """The most commits that follow one another in one chain, from the first frame that fails on."""
        sums = self._head_sums
        holds = True
        most = commits = 0
        for frame in self.frames():
            follows = frame.salts == self.salts and frame.sums == self._chained(frame, sums)
            sums = frame.sums
            if holds and follows:
                continue
            commits = commits if follows else 0
            holds = False
            commits += frame.salts == self.salts and frame.size > 0
            most = max(most, commits)
        return most

    def _chained(self, frame: WalFrame, sums: Sums) -> Sums:
        """The checksums of a frame that follows one with these."""
        head = self._data[frame.at - FRAME_HEAD_BYTES : frame.at - FRAME_HEAD_BYTES + SUMMED_HEAD_BYTES]
        return self._summed(head + self.page(frame), sums)

    def committed_pages(self) -> dict[int, bytes]:
        """Pages as the last commit left them, for a WAL whose head is lost; by the first frame's salts."""
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

    def _summed(self, data: bytes, sums: Sums) -> Sums:
        words = Struct(f"{'>' if self._big_endian else '<'}{len(data) // 4}I").unpack(data)
        one, two = sums
        for even, odd in zip(words[::2], words[1::2], strict=True):
            one = (one + even + two) & _WORD_MASK
            two = (two + odd + one) & _WORD_MASK
        return one, two


def lost_commits(path: str, wal_path: str, page_bytes: int) -> bool:
    """Whether commits that were acknowledged would be lost if the store at `path` were opened. OSError."""
    if not os.path.exists(wal_path):
        return False
    with open(wal_path, "rb") as file:
        data = file.read()
    if len(data) < HEAD_BYTES + FRAME_HEAD_BYTES + page_bytes:
        return False
    wal = WalContent(data, page_bytes)
    if wal.head_holds:
        return wal.torn_commits() > MOST_TORN_COMMITS
    return _differs(path, wal.committed_pages(), page_bytes)


def _differs(path: str, pages: dict[int, bytes], page_bytes: int) -> bool:
    """Whether the file lacks what a WAL without its head holds: a WAL begins anew only once it has it all."""
    with open(path, "rb") as file:
        content = file.read()
    return any(content[(page - 1) * page_bytes : page * page_bytes] != data for page, data in pages.items())
