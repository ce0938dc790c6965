"""Transfer of a state from other nodes in pieces of datagram size: which pieces to request, when, from whom.

At most PIECES_A_TICK pieces are requested at a time, from random holders, so that a fleet that restarts
together does not overload any node. The state is used only if its digest is the expected one.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from brackenladder.recovery.generation import DIGEST, Generation

PIECE = 160  # bytes of a piece, which fits in a datagram frame with its header
MAX_BYTES = 1 << 20  # largest size of a state
PIECES_A_TICK = 8  # most pieces requested at once
RETRY_TIME = 400_000  # microseconds after which a missing piece is requested again
MAX_TRIES = 40  # the transfer fails if a piece is still missing after this many requests


class PieceRequest(NamedTuple):
    """A request to a node for the piece at `offset`."""

    holder: int
    offset: int


class StateFetch:
    """The transfer of one state. `size`: bytes of the state, -1 until the first piece has arrived."""

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
        """The requests to send now: for pieces never requested, or not received within RETRY_TIME."""
        if not holders or self.failed:
            return []
        due = [at for at in self.missing() if now - self.asked.get(at, -RETRY_TIME) >= RETRY_TIME]
        requests = []
        for at in due[:PIECES_A_TICK]:
            self.asked[at] = now
            self.tries[at] = self.tries.get(at, 0) + 1
            if self.tries[at] > MAX_TRIES:
                self.failed = f"the piece at offset {at} was never received"
                return []
            requests.append(PieceRequest(self.rng.choice(holders), at))
        return requests

    def receive_piece(self, digest: str, offset: int, size: int, data: bytes) -> bytes | None:
        """Adds a piece; returns the state when it is complete and has the expected digest.

        A piece of another state, with another size or a wrong offset is ignored. If the digest of the
        complete state is wrong, some piece was wrong, and the transfer starts again.
        """
        fits = 0 <= offset < max(size, 1) and offset % PIECE == 0 and len(data) == min(PIECE, size - offset)
        if digest != self.wanted.digest or not 0 < size <= MAX_BYTES or not fits:
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
    """The piece of a state at an offset, None if there is none."""
    if offset < 0 or offset % PIECE or offset >= len(state):
        return None
    return state[offset : offset + PIECE]
