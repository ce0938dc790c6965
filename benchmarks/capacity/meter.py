"""Counting what nodes say to one another, and what a process has used."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path

from attrs import define, evolve, field, frozen

from brackenladder.control_plane.wire import control_codec
from brackenladder.delivery.messages import ServersUpdate
from brackenladder.registry.records import ServerRecord
from brackenladder.transport.framing import PREFIX_BYTES

STATUS_FILE = Path("/proc/self/status")
MEMORY_FILE = Path("/proc/meminfo")
BYTES_PER_KIB = 1024
MIB_BYTES = 1024 * BYTES_PER_KIB


@define
class Traffic:
    """Messages and bytes of frames, by type of message. TCP's own headers and pings are not in it."""

    messages: Counter[str] = field(factory=Counter)
    byte_counts: Counter[str] = field(factory=Counter)

    def add(self, kind: str, size: int) -> None:
        """Count one message."""
        self.messages[kind] += 1
        self.byte_counts[kind] += size

    def since(self, earlier: Traffic) -> Traffic:
        """What was counted after an earlier copy was taken."""
        return Traffic(self.messages - earlier.messages, self.byte_counts - earlier.byte_counts)

    def plus(self, other: Traffic) -> Traffic:
        """Two counts as one."""
        return Traffic(self.messages + other.messages, self.byte_counts + other.byte_counts)

    def copy(self) -> Traffic:
        """The counts as they stand."""
        return Traffic(Counter(self.messages), Counter(self.byte_counts))

    @property
    def total_bytes(self) -> int:
        """Bytes of all types."""
        return sum(self.byte_counts.values())

    @property
    def total_messages(self) -> int:
        """Messages of all types."""
        return sum(self.messages.values())


class CountingCodec:
    """A codec that counts what passes through it; of one node, or shared by all nodes of a role."""

    def __init__(self, shared_records: bool = False) -> None:
        """With `shared_records`, equal records of servers that arrive are one object, to save memory."""
        self._codec = control_codec()
        self._shared: dict[ServerRecord, ServerRecord] | None = {} if shared_records else None
        self.sent = Traffic()
        self.received = Traffic()

    def encode(self, message: object) -> bytes:
        """See `Codec.encode`."""
        data = self._codec.encode(message)
        self.sent.add(type(message).__name__, PREFIX_BYTES + len(data))
        return data

    def decode(self, data: bytes) -> object:
        """See `Codec.decode`."""
        message = self._codec.decode(data)
        self.received.add(type(message).__name__, PREFIX_BYTES + len(data))
        if self._shared is not None and isinstance(message, ServersUpdate):
            records = [self._shared.setdefault(record, record) for record in message.records]
            return evolve(message, records=tuple(records))
        return message


@frozen
class Usage:
    """What a process has used, and when that was read."""

    at: float  # seconds of the steady clock, the same in all processes
    cpu: float  # seconds
    resident_bytes: int


def usage() -> Usage:
    """What this process has used so far."""
    return Usage(time.monotonic(), time.process_time(), resident_bytes())


def resident_bytes() -> int:
    """Memory of this process that is in use now."""
    return _kib_of(STATUS_FILE, "VmRSS:")


def available_bytes() -> int:
    """Memory of this machine that a program could still take."""
    return _kib_of(MEMORY_FILE, "MemAvailable:")


def _kib_of(path: Path, name: str) -> int:
    for line in path.read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
