"""What a node sends to others: messages, rumours behind them as they fit, digests; in a byte budget. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TypeVar

from brackenladder.cluster.gossip_queue import GossipQueue
from brackenladder.cluster.health import Health
from brackenladder.cluster.sync import LEAF, differing, digest
from brackenladder.cluster.view import Record, State, View
from brackenladder.cluster.wire import (
    LARGEST,
    NOBODY,
    ROOM,
    Ack,
    Digest,
    Frame,
    Message,
    Ping,
    Range,
    Recorded,
    framed,
    packed,
)

FANOUT = 3  # members that a round of rumours goes to
BYTES_PER_SECOND = 3_000  # that a node sends at most, over any long time...
BURST = 12_000  # ...and at once
MOST_RANGES_ANSWERED = 4  # of one digest

T = TypeVar("T")


class Sender:
    """A node's view of the members, and the datagrams it sends.

    `send`: a datagram to a member; `keys`: the first signs.
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
        self.by: dict[int, int] = {}  # who said so of a suspect or dead member, last
        # What others have to say with each ping and answer.
        self.extra_messages: Callable[[], Sequence[Message]] = tuple
        self.counters: Counter[str] = Counter()
        self.leaving = False
        self.counter = 0
        self.allowance, self.allowance_at = float(BURST), now

    @property
    def me(self) -> Record:
        return self.view.records[self.own]

    @property
    def others(self) -> list[int]:
        """Members that are taken to be there, without this one."""
        there = self.view.in_state(State.ALIVE) + self.view.in_state(State.SUSPECT)
        if self.me.state == State.ALIVE:
            there.remove(self.own)
        return there

    @property
    def other_count(self) -> int:
        """How many these are."""
        there = len(self.view.in_state(State.ALIVE)) + len(self.view.in_state(State.SUSPECT))
        return there - (self.me.state == State.ALIVE)

    def gossip(self, now: int) -> None:
        """Rumours go to some members by themselves."""
        if not len(self.gossip_queue):
            return
        for number in self.sample(self.others, FANOUT):
            self.send_frame(number, [], now, spare=True)

    def sync(self, now: int) -> None:
        others = self.others
        if others:
            whole = digest(self.view.records, 0, len(self.view))
            self.send_frame(self.rng.choice(others), [whole], now, spare=True)

    def compare(self, number: int, theirs: Digest, now: int) -> None:
        """Another's digest: what differs is sent, or looked at more closely."""
        parts = differing(self.view.records, theirs)
        for low, high in self.sample(parts, MOST_RANGES_ANSWERED):
            if high - low > LEAF:
                self.send_frame(number, [digest(self.view.records, low, high)], now, spare=True)
            else:
                mine = [n for n in range(low, high) if self.view.records[n] > (0, 0, 0)]
                self.send_frame(number, [Range(low, high), *self.recorded(mine)], now, spare=True)

    def recorded(self, numbers: Iterable[int]) -> list[Recorded]:
        return [Recorded(n, self.view.records[n], self.by.get(n, NOBODY)) for n in numbers]

    def send_frame(
        self, number: int, messages: Sequence[Message], now: int, first: int = -1, spare: bool = False
    ) -> None:
        """Sends messages, and as many rumours as fit behind them. `spare`: only if bytes are to spare.

        What is known of the receiver itself goes first if it is not alive, so that it can refute.
        """
        self.allowance = min(BURST, self.allowance + (now - self.allowance_at) * BYTES_PER_SECOND / 1e6)
        self.allowance_at = now
        if self.allowance < (BURST / 2 if spare else LARGEST):
            self.counters["held_back"] += 1
            return
        out = list(messages)
        if first >= 0 or (
            number != self.own and self.view.records[number].state in (State.SUSPECT, State.DEAD)
        ):
            out += self.recorded([number])
        if any(isinstance(message, (Ping, Ack)) for message in messages):
            out += self.extra_messages()
        room = ROOM - sum(len(packed(message)) for message in out)
        size = len(packed(Recorded(0, self.me)))
        if self.health.answered_since_pause or self.leaving:
            given = {message.number for message in out if isinstance(message, Recorded)}
            most = room // size
            fits = self.gossip_queue.take(most, len(self.view)) if most > 0 else ()
            out += self.recorded(n for n in fits if n not in given)
        self.counter += 1
        me = self.me
        frame = Frame(self.own, number, me.epoch, me.incarnation, self.counter, tuple(out))
        data = framed(self.keys, frame)
        self.allowance -= len(data)
        self.counters["sent"] += 1
        self.counters["bytes"] += len(data)
        self.send_to(number, data)

    def sample(self, those: Sequence[T], most: int) -> list[T]:
        return self.rng.sample(those, min(most, len(those)))
