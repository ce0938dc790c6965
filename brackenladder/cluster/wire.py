"""The wire format: frames of at most 256 bytes, authenticated and protected against replay.

    magic version key sender to epoch incarnation counter | messages | tag

`to` binds a frame to its receiver and `counter` to its position in the sender's epoch, so that a recorded
frame is not accepted again, here or by another node. The tag is a keyed BLAKE2 hash of everything before it.
Without a key it only detects damage.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple

from brackenladder.cluster.view import Record, State

MAGIC = 0xB7  # the first byte; the balancer's own messages never start with it
VERSION = 1
MAX_DATAGRAM = 256  # bytes of a datagram between nodes; a limit of the platform
TAG_SIZE = 8  # bytes
REPLAY_WINDOW = 64  # a frame is accepted if its counter is less than this much below the highest one received
HEADER_FORMAT = struct.Struct(">BBBHHQII")
RECORD_FORMAT = struct.Struct(">BHQIBH")
SEQ_FORMAT = struct.Struct(">BH")
PAIR_FORMAT = struct.Struct(">BHH")
DIGEST_FORMAT = struct.Struct(">BHHB")
HOLDS_FORMAT = struct.Struct(">BI12s")  # generation counter of a desired state, and its digest
ASK_PIECE_FORMAT = struct.Struct(">B12sI")
PIECE_FORMAT = struct.Struct(">B12sIIB")
PAYLOAD_SIZE = MAX_DATAGRAM - HEADER_FORMAT.size - TAG_SIZE  # bytes of a frame that are left for messages
MAX_RANGES = 16  # maximum number of ranges in one Digest message
NOBODY = 0xFFFF

PING, ACK, ASK_PING, NACK, RECORDED, DIGESTED, RANGE, HOLDS, ASK_PIECE, PIECE = range(1, 11)


class Ping(NamedTuple):
    seq: int


class Ack(NamedTuple):
    seq: int


class AskPing(NamedTuple):
    """Asks the receiver to ping the member `target` and to forward its ack."""

    seq: int
    target: int


class Nack(NamedTuple):
    """The reply to an AskPing whose target has not answered yet."""

    seq: int


class Recorded(NamedTuple):
    """A member's record; `by`: the member that suspects it or declared it dead."""

    number: int
    record: Record
    by: int = NOBODY


class Digest(NamedTuple):
    """Hashes of the records of the members `low` to `high` (exclusive), in ranges of equal size."""

    low: int
    high: int
    hashes: tuple[int, ...]


class Range(NamedTuple):
    """Says that the frame holds the sender's records from `low` to `high`; asks for newer ones of these."""

    low: int
    high: int


class Holds(NamedTuple):
    """Generation counter and digest of the desired state that the sender uses."""

    counter: int
    digest: bytes


class AskPiece(NamedTuple):
    """Requests the piece at `offset` of the desired state with this digest."""

    digest: bytes
    offset: int


class Piece(NamedTuple):
    """A piece, beginning at `offset`, of a desired state that has `size` bytes in total."""

    digest: bytes
    offset: int
    size: int
    data: bytes


Message = Holds | AskPiece | Piece | Ping | Ack | AskPing | Nack | Recorded | Digest | Range


class Frame(NamedTuple):
    """The sender, receiver and messages of a datagram whose signature was valid."""

    sender: int
    to: int
    epoch: int
    incarnation: int
    counter: int
    messages: tuple[Message, ...]


class Dropped(Exception):
    """A datagram is rejected; the text is the name of the counter for it."""


def encode_message(message: Message) -> bytes:
    """Encodes a message."""
    match message:
        case Ping(seq):
            return SEQ_FORMAT.pack(PING, seq)
        case Ack(seq):
            return SEQ_FORMAT.pack(ACK, seq)
        case Nack(seq):
            return SEQ_FORMAT.pack(NACK, seq)
        case AskPing(seq, target):
            return PAIR_FORMAT.pack(ASK_PING, seq, target)
        case Recorded(number, record, by):
            return RECORD_FORMAT.pack(RECORDED, number, record.epoch, record.incarnation, record.state, by)
        case Range(low, high):
            return PAIR_FORMAT.pack(RANGE, low, high)
        case Holds(counter, digest):
            return HOLDS_FORMAT.pack(HOLDS, counter, digest)
        case AskPiece(digest, offset):
            return ASK_PIECE_FORMAT.pack(ASK_PIECE, digest, offset)
        case Piece(digest, offset, size, data):
            return PIECE_FORMAT.pack(PIECE, digest, offset, size, len(data)) + data
        case Digest(low, high, hashes):
            return DIGEST_FORMAT.pack(DIGESTED, low, high, len(hashes)) + struct.pack(
                f">{len(hashes)}I", *hashes
            )


def compute_tag(key: bytes, data: bytes) -> bytes:
    return blake2b(data, digest_size=TAG_SIZE, key=key, person=b"bl-members").digest()


def encode_frame(keys: Sequence[bytes], frame: Frame) -> bytes:
    """Encodes a frame and signs it with the first key."""
    head = HEADER_FORMAT.pack(MAGIC, VERSION, 0, *frame[:5])
    data = head + b"".join(encode_message(message) for message in frame.messages)
    return data + compute_tag(keys[0] if keys else b"", data)


def decode_frame(keys: Sequence[bytes], data: bytes) -> Frame:
    """Decodes a datagram signed with any of the keys; raises Dropped if it is invalid."""
    if len(data) > MAX_DATAGRAM or len(data) < HEADER_FORMAT.size + TAG_SIZE or data[0] != MAGIC:
        raise Dropped("garbled")
    if data[1] != VERSION:
        raise Dropped("later_version")
    body, received_tag = data[:-TAG_SIZE], data[-TAG_SIZE:]
    if not any(compare_digest(compute_tag(key, body), received_tag) for key in keys or (b"",)):
        raise Dropped("forged")
    _, _, _, sender, to, epoch, incarnation, counter = HEADER_FORMAT.unpack_from(body)
    try:
        messages = tuple(decode_messages(body))
    except (struct.error, ValueError):
        raise Dropped("garbled") from None
    return Frame(sender, to, epoch, incarnation, counter, messages)


def decode_messages(body: bytes) -> list[Message]:
    """Decodes the messages of a frame; raises struct.error or ValueError if they are malformed."""
    at, messages = HEADER_FORMAT.size, list[Message]()
    while at < len(body):
        kind = body[at]
        if kind in (PING, ACK, NACK):
            (_, seq), size = SEQ_FORMAT.unpack_from(body, at), SEQ_FORMAT.size
            messages.append(Ping(seq) if kind == PING else Ack(seq) if kind == ACK else Nack(seq))
        elif kind in (ASK_PING, RANGE):
            (_, first, second), size = PAIR_FORMAT.unpack_from(body, at), PAIR_FORMAT.size
            messages.append(AskPing(first, second) if kind == ASK_PING else Range(first, second))
        elif kind == RECORDED:
            (_, number, epoch, incarnation, state, by), size = (
                RECORD_FORMAT.unpack_from(body, at),
                RECORD_FORMAT.size,
            )
            messages.append(Recorded(number, Record(epoch, incarnation, State(state)), by))
        elif kind == DIGESTED:
            _, low, high, count = DIGEST_FORMAT.unpack_from(body, at)
            if not 0 < count <= MAX_RANGES:
                raise ValueError("digest")
            hashes = struct.unpack_from(f">{count}I", body, at + DIGEST_FORMAT.size)
            messages.append(Digest(low, high, hashes))
            size = DIGEST_FORMAT.size + 4 * count
        elif kind == HOLDS:
            (_, counter, digest), size = HOLDS_FORMAT.unpack_from(body, at), HOLDS_FORMAT.size
            messages.append(Holds(counter, digest))
        elif kind == ASK_PIECE:
            (_, digest, offset), size = ASK_PIECE_FORMAT.unpack_from(body, at), ASK_PIECE_FORMAT.size
            messages.append(AskPiece(digest, offset))
        elif kind == PIECE:
            _, digest, offset, whole, length = PIECE_FORMAT.unpack_from(body, at)
            size = PIECE_FORMAT.size + length
            if at + size > len(body):
                raise ValueError("piece")
            messages.append(Piece(digest, offset, whole, body[at + PIECE_FORMAT.size : at + size]))
        else:
            raise ValueError("kind")
        at += size
    return messages


class ReplayWindow:
    """Replay protection for one sender: its epoch, the highest counter and a bit mask of those below it."""

    __slots__ = ("epoch", "highest", "mask")

    def __init__(self) -> None:
        self.epoch = self.highest = self.mask = 0

    def take(self, epoch: int, counter: int) -> None:
        """Notes a frame; raises Dropped if it is of an older process or was received before."""
        if epoch < self.epoch:
            raise Dropped("old_epoch")
        if epoch > self.epoch:
            self.epoch, self.highest, self.mask = epoch, counter, 1
            return
        ahead = counter - self.highest
        if ahead > 0:
            self.highest = counter
            self.mask = (
                ((self.mask << ahead) | 1) & ((1 << REPLAY_WINDOW) - 1) if ahead < REPLAY_WINDOW else 1
            )
            return
        if -ahead >= REPLAY_WINDOW or self.mask >> -ahead & 1:
            raise Dropped("replayed")
        self.mask |= 1 << -ahead
