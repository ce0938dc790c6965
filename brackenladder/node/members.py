"""Membership of the tier's nodes: drives the failure detector with timers and sockets.

Imported only if the operator file has `[members]`.
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

MAX_KEYS = 2  # the old and the new key during a key rotation
KEY_BYTES = (16, 64)
MAX_FILE_BYTES = 4096  # most bytes in a key file
COUNT_INTERVAL = 10  # ticks between two counts of the live nodes


def keys_of(path: str) -> list[bytes]:
    """Reads a key file, one key per line. Raises OperatorError if it can't be used."""
    if not path:
        return []
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as e:
        raise OperatorError(f"members.key: {path}: {e.strerror}") from None
    keys = [line.strip() for line in data.splitlines() if line.strip()]
    if len(data) > MAX_FILE_BYTES or not 0 < len(keys) <= MAX_KEYS:
        raise OperatorError(f"members.key: {path}: one or two keys, a line each")
    if any(not KEY_BYTES[0] <= len(key) <= KEY_BYTES[1] for key in keys):
        raise OperatorError(f"members.key: {path}: a key has {KEY_BYTES[0]} to {KEY_BYTES[1]} bytes")
    return keys


class Members:
    """The other nodes of the tier (the nodes that share the load), as the failure detector sees them.

    `on_live_count` is called with the tier's number of live nodes whenever that number changes. `number` is
    this node's own member number.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        table: MembersTable,
        peers: PeerDatagrams,
        number: int,
        fall_time: int,
        on_live_count: Callable[[int], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.table = table
        self.peers = peers
        self.on_live_count = on_live_count
        self.log = log
        random = SystemRandom()
        self.detector = Detector(
            number,
            max(len(peers.peers), number + 1),
            epoch_of(int(time()), random.getrandbits(24)),
            self.now(),
            random,
            peers.send,
            self.on_transition,
            keys_of(table.key),
        )
        self.live_nodes = LiveNodeCounter(len(self.detector.view), fall_time)
        self.ticks = 0
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> int:
        return int(self.loop.time() * 1e6)

    def start(self) -> None:
        """Starts the detector's timer."""
        self.timer = self.loop.call_later(TICK / 1e6, self.tick)

    def tick(self) -> None:
        self.timer = self.loop.call_later(TICK / 1e6, self.tick)
        self.detector.tick(self.now())
        self.ticks += 1
        if self.ticks % COUNT_INTERVAL == 0:
            self.count_live()

    def count_live(self) -> None:
        """Counts the live nodes, and passes the number to `on_live_count` if it has changed."""
        detector, before = self.detector, self.live_nodes.number
        if (
            self.live_nodes.count(
                self.now(), detector.view, detector.heard_at, detector.health.may_declare_dead
            )
            != before
            and self.table.share
        ):
            self.on_live_count(self.live_nodes.number)

    def handle_datagram(self, number: int, data: bytes) -> bool:
        """Handles a datagram. Returns False if it isn't one of the membership protocol."""
        if data[:1] != bytes([MAGIC]):
            return False
        self.detector.datagram(number, data, self.now())
        return True

    def is_present(self, number: int) -> bool:
        """Whether the failure detector considers a member alive or suspect, that is, not failed."""
        records = self.detector.view.records
        return number < len(records) and records[number].state <= State.SUSPECT

    def set_addresses(self, peers: list[Address]) -> None:
        """Applies the addresses of a changed configuration, in the order of the members' numbers."""
        now, old = self.now(), list(self.peers.peers)
        self.detector.resize(max(len(peers), self.detector.own + 1), now)
        for number, address in enumerate(peers):
            if number < len(old) and old[number] != address:
                self.detector.address_changed(number)
        self.count_live()

    def reload_keys(self) -> None:
        """Reads the key file again. The current keys stay if it can't be used."""
        try:
            self.detector.keys = keys_of(self.table.key)
        except OperatorError as e:
            self.log(f"members: {e}")

    def end(self) -> None:
        """Tells the other nodes that this node is leaving, and stops the timer."""
        if self.timer is not None:
            self.timer.cancel()
        self.detector.leave(self.now())

    def on_transition(self, transition: Transition) -> None:
        who = "this node" if transition.number == self.detector.own else f"node {transition.number}"
        self.log(f"members: {who}: {transition.before} to {transition.after}: {transition.reason}")
        self.loop.call_soon(self.count_live)

    def status(self) -> dict[str, Any]:
        """Returns the output of the command `members`: see docs/members.md."""
        now, detector = self.now(), self.detector

        def ago(at: int) -> int:
            return (now - at) // 1000

        return {
            "self": {
                "number": detector.own,
                "epoch": detector.me.epoch,
                "incarnation": detector.me.incarnation,
                "state": "twin" if detector.number_taken else detector.health.connectivity,
                "score": detector.health.score,
                "pauses": detector.health.pauses,
                "settled": detector.health.answered_since_pause,
                "living": self.live_nodes.number,
                "shares": self.table.share,
                "keys": len(detector.keys),
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
                    "heard_ms": ago(detector.heard_at[number]) if number in detector.heard_at else None,
                }
                for number, (record, since) in enumerate(
                    zip(detector.view.records, detector.view.since, strict=True)
                )
            ],
            "counters": dict(detector.counters),
            "transitions": [
                {"ago_ms": ago(t.at), "at_us": t.at, **{k: v for k, v in t._asdict().items() if k != "at"}}
                for t in detector.transitions
            ],
        }
