"""Failure detectors for comparison: all-to-all heartbeats, phi accrual, and SWIM as first published.

With heartbeats a node counts as dead after a fixed time of silence. Phi accrual (Hayashibara et al., 2004)
compares the time since the last heartbeat with the mean and deviation of earlier gaps. SWIM (2002) is this
project's detector without Lifeguard and without the project's own extensions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import erfc, log10, sqrt
from random import Random

from brackenladder.cluster.detector import Detector, Transition
from brackenladder.cluster.suspicion import Suspicion
from brackenladder.cluster.view import State

HEARTBEAT_INTERVAL = 1_000_000  # microseconds between two heartbeats
DEATH_SILENCE = 3_000_000  # microseconds of silence after which a node counts as dead
HEARTBEAT = bytes(31)  # payload as long as an empty frame of this project's detector
SAMPLES = 50  # gaps between heartbeats that phi accrual keeps
PHI = 8.0  # threshold that the authors recommend
MIN_DEVIATION = 100_000.0  # microseconds; smaller deviations of the gaps count as this
SWIM_SUSPICION_TIME = 2_150_000  # microseconds; the shortest suspicion time of this project's detector


class HeartbeatDetector:
    """All-to-all heartbeats; a node silent for DEATH_SILENCE counts as dead until it is heard again."""

    def __init__(
        self,
        own: int,
        size: int,
        epoch: int,
        now: int,
        rng: Random,
        send: Callable[[int, bytes], None],
        changed: Callable[[Transition], None],
    ) -> None:
        self.own, self.size, self.epoch = own, size, epoch
        self.send, self.changed = send, changed
        self.heard = [now] * size
        self.gone: set[int] = set()
        self.next = now + rng.randrange(HEARTBEAT_INTERVAL)

    def tick(self, now: int) -> None:
        if now < self.next:
            return
        self.next = max(self.next + HEARTBEAT_INTERVAL, now)
        for number in range(self.size):
            if number == self.own:
                continue
            self.send(number, HEARTBEAT)
            if number not in self.gone and self.silent(number, now):
                self.gone.add(number)
                self.changed(Transition(now, number, "alive", "dead", 0, 0, "silence"))

    def silent(self, number: int, now: int) -> bool:
        return now - self.heard[number] > DEATH_SILENCE

    def datagram(self, number: int, data: bytes, now: int) -> None:
        self.heard[number] = now
        self.gone.discard(number)

    def leave(self, now: int) -> None:
        """Leaves without telling the other members."""

    def dead(self) -> set[int]:
        return set(self.gone)


class PhiAccrualDetector(HeartbeatDetector):
    """Heartbeats with a threshold that adapts to their regularity."""

    def __init__(
        self,
        own: int,
        size: int,
        epoch: int,
        now: int,
        rng: Random,
        send: Callable[[int, bytes], None],
        changed: Callable[[Transition], None],
    ) -> None:
        super().__init__(own, size, epoch, now, rng, send, changed)
        self.gaps: list[deque[int]] = [deque([HEARTBEAT_INTERVAL], maxlen=SAMPLES) for _ in range(size)]

    def datagram(self, number: int, data: bytes, now: int) -> None:
        self.gaps[number].append(now - self.heard[number])
        super().datagram(number, data, now)

    def silent(self, number: int, now: int) -> bool:
        gaps = self.gaps[number]
        mean = sum(gaps) / len(gaps)
        deviation = max(MIN_DEVIATION, sqrt(sum((gap - mean) ** 2 for gap in gaps) / len(gaps)))
        later = erfc((now - self.heard[number] - mean) / deviation / sqrt(2)) / 2
        return later <= 0 or -log10(later) > PHI


class FixedSuspicion(Suspicion):
    """Suspicion with a fixed timeout, however many members confirm it."""

    def deadline(self, queue_time: int = 0) -> int:
        return self.since + SWIM_SUSPICION_TIME


class SwimDetector(Detector):
    """SWIM without local health, with a fixed suspicion time; a suspect gets no notice first.

    A member that resumes after a pause keeps its old view.
    """

    def tick(self, now: int) -> None:
        self.health.score = 0
        self.health.last_tick = self.health.heard_at = now
        self.health.answered.clear()
        self.health.answered_since_pause = True
        for number, suspicion in self.suspicions.items():
            if not isinstance(suspicion, FixedSuspicion):
                self.suspicions[number] = FixedSuspicion(suspicion.since, self.own, 0)
        self.next_dead = self.next_sync = now + HEARTBEAT_INTERVAL
        self.heard_at.clear()  # only answers to probes count as signs of life
        super().tick(now)

    def check_pause(self, now: int) -> None:
        self.health.last_tick = now

    def dead(self) -> set[int]:
        return {*self.view.in_state(State.DEAD), *self.view.in_state(State.LEFT)}
