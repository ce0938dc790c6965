"""A state that a peer has, brought over in pieces of a datagram: what is asked for, when, from whom. Pure.

The bound is on what is asked: PIECES_A_TICK at a time, from holders by chance, so that a fleet that comes
back together asks no node for more than its part. The whole counts only if its digest is the wanted one.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from brackenladder.recovery.generation import DIGEST, Generation

PIECE = 160  # bytes of a piece: a frame holds one beside its head
MOST_BYTES = 1 << 20  # of a state
PIECES_A_TICK = 8  # that are asked for at once
AGAIN = 400_000  # microseconds after which a piece that has not come is asked for again, elsewhere
MOST_TRIES = 40  # of one piece, after which this state cannot be had


class PieceRequest(NamedTuple):
    """Ask that member for the piece at `offset`."""

    holder: int
    offset: int


class StateFetch:
    """One state on its way. `size` is known with the first piece."""

    def __init__(self, wanted: Generation, rng: Random) -> None:
        self.wanted = wanted
        self.rng = rng
        self.size = -1
        self.pieces: dict[int, bytes] = {}
        self.asked: dict[int, int] = {}
        self.tries: dict[int, int] = {}
        self.failed = ""

    def missing(self) -> list[int]:
        if self.size < 0:
            return [0]
        return [at for at in range(0, max(self.size, 1), PIECE) if at not in self.pieces]

    def due_requests(self, holders: Sequence[int], now: int) -> list[PieceRequest]:
        """What to ask for now."""
        if not holders or self.failed:
            return []
        due = [at for at in self.missing() if now - self.asked.get(at, -AGAIN) >= AGAIN]
        out = []
        for at in due[:PIECES_A_TICK]:
            self.asked[at] = now
            self.tries[at] = self.tries.get(at, 0) + 1
            if self.tries[at] > MOST_TRIES:
                self.failed = f"the piece at {at} never came"
                return []
            out.append(PieceRequest(self.rng.choice(holders), at))
        return out

    def receive_piece(self, digest: str, offset: int, size: int, data: bytes) -> bytes | None:
        """A piece has come; the whole state, once it is whole and what was wanted.

        A piece of another state, another size or a wrong place is dropped; a whole that is not what was
        wanted begins anew, since somebody gave a wrong piece.
        """
        fits = 0 <= offset < max(size, 1) and offset % PIECE == 0 and len(data) == min(PIECE, size - offset)
        if digest != self.wanted.digest or not 0 < size <= MOST_BYTES or not fits:
            return None
        if self.size not in (-1, size):
            return None
        self.size = size
        self.pieces[offset] = data
        if self.missing():
            return None
        whole = b"".join(self.pieces[at] for at in sorted(self.pieces))
        if blake2b(whole, digest_size=DIGEST).hexdigest() != self.wanted.digest:
            self.size, self.pieces, self.asked = -1, {}, {}
            return None
        return whole


def piece_of(state: bytes, offset: int) -> bytes | None:
    """The piece of a state at a place, if there is one."""
    if offset < 0 or offset % PIECE or offset >= len(state):
        return None
    return state[offset : offset + PIECE]
