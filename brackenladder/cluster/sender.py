"""Sending frames: messages with piggybacked gossip, and digests, within a byte budget. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TypeVar

from brackenladder.cluster.gossip_queue import GossipQueue
from brackenladder.cluster.health import Health
from brackenladder.cluster.sync import RECORDS_PER_FRAME, differing, digest
from brackenladder.cluster.view import Record, State, View
from brackenladder.cluster.wire import (
    MAX_DATAGRAM,
    NOBODY,
    PAYLOAD_SIZE,
    Ack,
    Digest,
    Frame,
    Message,
    Ping,
    Range,
    Recorded,
    encode_frame,
    encode_message,
)

FANOUT = 3  # members that a gossip round goes to
BYTES_PER_SECOND = 3_000  # bytes per second that a node may send on average
BURST = 12_000  # bytes that a node may send at once
MAX_RANGES_ANSWERED = 4  # maximum number of differing ranges that are answered per received digest

T = TypeVar("T")


class Sender:
    """A node's view of the members, and the frames that it sends.

    `send`: sends a datagram to a member. `keys`: the first one signs outgoing frames.
    """

    def __init__(
        self,
        own: int,
        size: int,
        now: int,
        rng: Random,
        send: Callable[[int, bytes], None],
        keys: Sequence[bytes],
    ) -> None:
        self.own = own
        self.rng = rng
        self.send_to = send
        self.keys = keys
        self.view = View(size, now)
        self.health = Health(now)
        self.gossip_queue = GossipQueue()
        # By number of a suspect or dead member: the member that last reported this state.
        self.reported_by: dict[int, int] = {}
        # Messages of other components that are attached to each ping and ack.
        self.extra_messages: Callable[[], Sequence[Message]] = tuple
        self.counters: Counter[str] = Counter()
        self.leaving = False
        self.counter = 0
        self.byte_budget, self.budget_updated_at = float(BURST), now

    @property
    def me(self) -> Record:
        return self.view.records[self.own]

    @property
    def others(self) -> list[int]:
        """The members that are alive or suspect, without this one."""
        present = self.view.in_state(State.ALIVE) + self.view.in_state(State.SUSPECT)
        if self.me.state == State.ALIVE:
            present.remove(self.own)
        return present

    @property
    def other_count(self) -> int:
        """The number of `others`."""
        present = len(self.view.in_state(State.ALIVE)) + len(self.view.in_state(State.SUSPECT))
        return present - (self.me.state == State.ALIVE)

    def gossip(self, now: int) -> None:
        """Sends queued gossip to a few random members."""
        if not len(self.gossip_queue):
            return
        for number in self.sample(self.others, FANOUT):
            self.send_frame(number, [], now, low_priority=True)

    def sync(self, now: int) -> None:
        others = self.others
        if others:
            full_digest = digest(self.view.records, 0, len(self.view))
            self.send_frame(self.rng.choice(others), [full_digest], now, low_priority=True)

    def handle_digest(self, number: int, theirs: Digest, now: int) -> None:
        """Compares a member's digest with this node's records.

        For each range that differs, sends the records, or digests of smaller ranges if the range is large.
        """
        parts = differing(self.view.records, theirs)
        for low, high in self.sample(parts, MAX_RANGES_ANSWERED):
            if high - low > RECORDS_PER_FRAME:
                self.send_frame(number, [digest(self.view.records, low, high)], now, low_priority=True)
            else:
                own_records = [n for n in range(low, high) if self.view.records[n] > (0, 0, 0)]
                self.send_frame(
                    number, [Range(low, high), *self.recorded(own_records)], now, low_priority=True
                )

    def recorded(self, numbers: Iterable[int]) -> list[Recorded]:
        return [Recorded(n, self.view.records[n], self.reported_by.get(n, NOBODY)) for n in numbers]

    def send_frame(
        self, number: int, messages: Sequence[Message], now: int, about: int = -1, low_priority: bool = False
    ) -> None:
        """Sends messages in a frame that is filled up with gossip.

        `low_priority`: sends only if at least half of the byte budget is left. If this node holds the
        receiver for suspect or dead, the frame includes the receiver's record, so that the receiver can
        refute it. Any `about` from 0 up also includes that record, whatever the receiver's state.
        """
        self.byte_budget = min(
            BURST, self.byte_budget + (now - self.budget_updated_at) * BYTES_PER_SECOND / 1e6
        )
        self.budget_updated_at = now
        if self.byte_budget < (BURST / 2 if low_priority else MAX_DATAGRAM):
            self.counters["held_back"] += 1
            return
        outgoing = list(messages)
        if about >= 0 or (
            number != self.own and self.view.records[number].state in (State.SUSPECT, State.DEAD)
        ):
            outgoing += self.recorded([number])
        if any(isinstance(message, (Ping, Ack)) for message in messages):
            outgoing += self.extra_messages()
        room = PAYLOAD_SIZE - sum(len(encode_message(message)) for message in outgoing)
        size = len(encode_message(Recorded(0, self.me)))
        if self.health.answered_since_pause or self.leaving:
            included = {message.number for message in outgoing if isinstance(message, Recorded)}
            limit = room // size
            gossiped = self.gossip_queue.take(limit, len(self.view)) if limit > 0 else ()
            outgoing += self.recorded(n for n in gossiped if n not in included)
        self.counter += 1
        me = self.me
        frame = Frame(self.own, number, me.epoch, me.incarnation, self.counter, tuple(outgoing))
        data = encode_frame(self.keys, frame)
        self.byte_budget -= len(data)
        self.counters["sent"] += 1
        self.counters["bytes"] += len(data)
        self.send_to(number, data)

    def sample(self, items: Sequence[T], limit: int) -> list[T]:
        return self.rng.sample(items, min(limit, len(items)))
