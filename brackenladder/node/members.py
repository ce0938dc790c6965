"""The node among the others of its tier: the detector's timers and sockets.

Imported only with `[members]`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import SystemRandom
from time import time
from typing import Any

from brackenladder.cluster.detector import TICK, Detector, Transition
from brackenladder.cluster.live_count import LiveNodeCounter
from brackenladder.cluster.view import State, epoch_of
from brackenladder.cluster.wire import MAGIC
from brackenladder.node.config import Address
from brackenladder.node.operator import MembersTable, OperatorError
from brackenladder.peers.datagrams import PeerDatagrams

MOST_KEYS = 2  # while one is changed for the other
KEY_BYTES = (16, 64)
LARGEST_KEYS = 4096  # bytes of the file
LOOK = 10  # ticks between two counts of the living


def keys_of(path: str) -> list[bytes]:
    """The keys of a file, a line each. An OperatorError if it cannot be used."""
    if not path:
        return []
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST_KEYS + 1)
    except OSError as e:
        raise OperatorError(f"members.key: {path}: {e.strerror}") from None
    keys = [line.strip() for line in data.splitlines() if line.strip()]
    if len(data) > LARGEST_KEYS or not 0 < len(keys) <= MOST_KEYS:
        raise OperatorError(f"members.key: {path}: one or two keys, a line each")
    if any(not KEY_BYTES[0] <= len(key) <= KEY_BYTES[1] for key in keys):
        raise OperatorError(f"members.key: {path}: a key has {KEY_BYTES[0]} to {KEY_BYTES[1]} bytes")
    return keys


class Members:
    """`shared`: hears the number of nodes that share the tier, when it changes. `number`: this node's own."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        table: MembersTable,
        peers: PeerDatagrams,
        number: int,
        fall_time: int,
        shared: Callable[[int], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.table = table
        self.peers = peers
        self.shared = shared
        self.log = log
        random = SystemRandom()
        self.detector = Detector(
            number,
            max(len(peers.peers), number + 1),
            epoch_of(int(time()), random.getrandbits(24)),
            self.now(),
            random,
            peers.send,
            self.changed,
            keys_of(table.key),
        )
        self.living = LiveNodeCounter(len(self.detector.view), fall_time)
        self.ticks = 0
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> int:
        return int(self.loop.time() * 1e6)

    def start(self) -> None:
        """Begins to speak."""
        self.timer = self.loop.call_later(TICK / 1e6, self.tick)

    def tick(self) -> None:
        self.timer = self.loop.call_later(TICK / 1e6, self.tick)
        self.detector.tick(self.now())
        self.ticks += 1
        if self.ticks % LOOK == 0:
            self.look()

    def look(self) -> None:
        """Counts the living, and tells if it is another number."""
        d, before = self.detector, self.living.number
        if (
            self.living.count(self.now(), d.view, d.heard_at, d.health.may_declare_dead) != before
            and self.table.share
        ):
            self.shared(self.living.number)

    def heard(self, number: int, data: bytes) -> bool:
        """Takes a datagram; False if it is not one of the members'."""
        if data[:1] != bytes([MAGIC]):
            return False
        self.detector.datagram(number, data, self.now())
        return True

    def there(self, number: int) -> bool:
        """Whether a member is taken to be there."""
        records = self.detector.view.records
        return number < len(records) and records[number].state <= State.SUSPECT

    def renamed(self, peers: list[Address]) -> None:
        """The configuration names other addresses, in the order of the members' numbers."""
        now, old = self.now(), list(self.peers.peers)
        self.detector.resize(max(len(peers), self.detector.own + 1), now)
        for number, address in enumerate(peers):
            if number < len(old) and old[number] != address:
                self.detector.address_changed(number)
        self.look()

    def rekey(self) -> None:
        """Reads the keys again; those in force stay if they cannot be used."""
        try:
            self.detector.keys = keys_of(self.table.key)
        except OperatorError as e:
            self.log(f"members: {e}")

    def end(self) -> None:
        """The node ends, and says so."""
        if self.timer is not None:
            self.timer.cancel()
        self.detector.leave(self.now())

    def changed(self, said: Transition) -> None:
        who = "this node" if said.number == self.detector.own else f"node {said.number}"
        self.log(f"members: {who}: {said.before} to {said.after}: {said.reason}")
        self.loop.call_soon(self.look)

    def shown(self) -> dict[str, Any]:
        """What `members` shows: see docs/members.md."""
        now, d = self.now(), self.detector

        def ago(at: int) -> int:
            return (now - at) // 1000

        return {
            "self": {
                "number": d.own,
                "epoch": d.me.epoch,
                "incarnation": d.me.incarnation,
                "state": "twin" if d.number_taken else d.health.connectivity,
                "score": d.health.score,
                "pauses": d.health.pauses,
                "settled": d.health.answered_since_pause,
                "living": self.living.number,
                "shares": self.table.share,
                "keys": len(d.keys),
            },
            "members": [
                {
                    "number": number,
                    "name": "{}:{}".format(*self.peers.peers[number])
                    if number < len(self.peers.peers)
                    else "",
                    "epoch": record.epoch,
                    "incarnation": record.incarnation,
                    "state": record.state.name.lower(),
                    "since_ms": ago(since),
                    "heard_ms": ago(d.heard_at[number]) if number in d.heard_at else None,
                }
                for number, (record, since) in enumerate(zip(d.view.records, d.view.since, strict=True))
            ],
            "counters": dict(d.counters),
            "transitions": [
                {"ago_ms": ago(t.at), "at_us": t.at, **{k: v for k, v in t._asdict().items() if k != "at"}}
                for t in d.transitions
            ],
        }
