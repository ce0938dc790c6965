"""Failure detectors of a tier in virtual time, on a network with loss, partitions and process pauses.

No sockets and no clock; a run is determined by its seed. Used by `benchmarks/members.py` and tests.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from brackenladder.cluster.detector import TICK, Detector, Transition
from brackenladder.cluster.view import State, epoch_of
from brackenladder.fleet.queue import Queue

MICRO = 1_000_000
BEGIN = 1_000 * MICRO
WALL_CLOCK_START = 1_800_000_000  # Unix time in seconds when the run begins
DATAGRAM_DELAY = (100, 2_000)  # network delay in microseconds, minimum and maximum


class DetectorMember(Protocol):
    """Interface of a failure detector under test."""

    def tick(self, now: int) -> None: ...

    def datagram(self, number: int, data: bytes, now: int) -> None: ...

    def leave(self, now: int) -> None: ...

    def dead(self) -> set[int]: ...


class ProjectDetector(Detector):
    """Adapts this project's failure detector to `DetectorMember`."""

    def dead(self) -> set[int]:
        return {*self.view.in_state(State.DEAD), *self.view.in_state(State.LEFT)}


DetectorFactory = Callable[
    [int, int, int, int, Random, Callable[[int, bytes], None], Callable[[Transition], None]], DetectorMember
]


class DetectorNetwork:
    """A simulated network of detectors.

    `cut`: pairs (sender, receiver) whose datagrams are dropped. `loss` and `duplicated`: shares of datagrams
    that are lost and delivered twice.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float = 0.0,
        duplicated: float = 0.0,
        make: DetectorFactory = ProjectDetector,
    ) -> None:
        self.queue = Queue(BEGIN)
        self.rng = Random(f"net {seed}")
        self.seed = seed
        self.size = size
        self.loss = loss
        self.duplicated = duplicated
        self.make = make
        self.cut: set[tuple[int, int]] = set()
        self.members: list[DetectorMember | None] = [None] * size
        self.starts = [0] * size  # number of processes that each node has started
        self.paused: dict[int, list[tuple[int, bytes]]] = {}  # datagrams queued for paused members
        self.log: list[tuple[int, Transition]] = []  # transitions, each with the member that reported it
        self.bytes = [0] * size
        self.clock_skew = [0] * size  # wall clock error of each machine, in seconds

    def start(self, number: int) -> DetectorMember:
        """Starts a node's failure detector anew, with an epoch drawn from its skewed wall clock."""
        self.starts[number] += 1
        wall = WALL_CLOCK_START + (self.queue.now - BEGIN) // MICRO + self.clock_skew[number]
        rng = Random(f"member {self.seed} {number} {self.starts[number]}")
        epoch = epoch_of(wall, rng.getrandbits(24))
        member = self.members[number] = self.make(
            number,
            self.size,
            epoch,
            self.queue.now,
            rng,
            lambda to, data: self.send(number, to, data),
            lambda said: self.log.append((number, said)),
        )
        self.queue.after(rng.randrange(TICK), self.tick_member, number, member)
        return member

    def start_member(self, number: int) -> None:
        self.start(number)

    def start_all(self, within: int = MICRO) -> None:
        for number in range(self.size):
            self.queue.after(self.rng.randrange(max(1, within)), self.start_member, number)

    def kill(self, number: int) -> None:
        self.members[number] = None

    def tick_member(self, number: int, member: DetectorMember) -> None:
        """Runs a tick and schedules the next one; a paused member only polls."""
        if self.members[number] is not member:
            return
        if number not in self.paused:
            member.tick(self.queue.now)
            self.queue.after(TICK, self.tick_member, number, member)
        else:
            self.queue.after(TICK // 10, self.tick_member, number, member)

    def pause(self, number: int, length: int) -> None:
        """Pauses a process; its datagrams are queued until it resumes."""
        self.paused[number] = []
        self.queue.after(length, self.resume, number)

    def resume(self, number: int) -> None:
        waiting = self.paused.pop(number, [])
        member = self.members[number]
        for sender, data in waiting if member is not None else ():
            assert member is not None
            member.datagram(sender, data, self.queue.now)

    def send(self, sender: int, to: int, data: bytes) -> None:
        self.bytes[sender] += len(data)
        for _ in range(2 if self.duplicated and self.rng.random() < self.duplicated else 1):
            if (sender, to) not in self.cut and self.rng.random() >= self.loss:
                self.queue.after(self.rng.randint(*DATAGRAM_DELAY), self.deliver, sender, to, data)

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        member = self.members[to]
        if member is None:
            return
        if to in self.paused:
            self.paused[to].append((sender, data))
        else:
            member.datagram(sender, data, self.queue.now)

    def run(self, seconds: float) -> None:
        self.queue.run(self.queue.now + round(seconds * MICRO))

    # ---- results --------------------------------------------------------------------------------------

    def alive(self) -> list[int]:
        return [n for n, member in enumerate(self.members) if member is not None]

    def false_deaths(self, since: int, excluding: Sequence[int] = ()) -> list[tuple[int, Transition]]:
        """Death reports at or after `since` about members that were up, except members in `excluding`."""
        down = set(excluding)
        return [
            (who, said)
            for who, said in self.log
            if said.at >= since and said.after == "dead" and said.number != who and said.number not in down
        ]

    def detection_times(self, number: int) -> list[int]:
        """For each live member the time at which it first reported a node dead."""
        first: dict[int, int] = {}
        for who, said in self.log:
            if said.number == number and said.after == "dead" and who not in first:
                first[who] = said.at
        return [first[who] for who in self.alive() if who in first]

    def agreed(self) -> bool:
        views = {frozenset(member.dead()) for member in self.members if member is not None}
        return len(views) == 1
