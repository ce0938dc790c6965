"""SWIM's probes: a ping a period, then helpers that ping in this node's place. Pure."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from brackenladder.cluster.sender import Sender
from brackenladder.cluster.view import State
from brackenladder.cluster.wire import Ack, AskPing, Nack, Ping

PERIOD = 300_000  # of a probe
ROUNDS = 2  # periods that a probe may take
AGAIN = 75_000  # a ping without an answer is sent again after it...
DIRECT = 150_000  # ...and helpers are asked after it
HELPERS = 3
START = 3_000_000  # a member that nobody has heard has so long to begin
HEARD = 1_000_000  # a member that was heard so long ago or less lives


class Probe:
    """The probe that is out. `seq` is told apart from those of other probes."""

    __slots__ = ("answered", "asked", "pinged", "rounds", "seq", "since", "target")

    def __init__(self, target: int, seq: int, now: int) -> None:
        self.target = target
        self.seq = seq
        self.since = self.pinged = now
        self.asked: set[int] = set()
        self.rounds = 1
        self.answered = False


class Prober(Sender, ABC):
    """Probes one member a period, round robin."""

    def __init__(
        self,
        own: int,
        size: int,
        now: int,
        rng: Random,
        send: Callable[[int, bytes], None],
        keys: Sequence[bytes],
    ) -> None:
        super().__init__(own, size, now, rng, send, keys)
        self.heard_at: dict[int, int] = {}
        self.seq = rng.getrandbits(16)
        self.probe: Probe | None = None
        self.relayed: dict[int, tuple[int, int, int, int]] = {}  # by seq: who asked, its seq, when, target
        self.order: list[int] = []
        self.next_probe = now

    @abstractmethod
    def suspect(self, number: int, now: int, reason: str) -> None:
        """A member has not answered its probe."""

    def heard(self, number: int, now: int) -> bool:
        return now - self.heard_at.get(number, -HEARD) < HEARD

    def advance_probe(self, now: int) -> None:
        """The probe that is out, and the next one."""
        probe = self.probe
        if probe is not None and not probe.answered:
            gone = now - probe.since
            if now - probe.pinged >= self.health.scaled(AGAIN):
                probe.pinged = now
                self.send_frame(probe.target, [Ping(probe.seq)], now)
            waited = gone - (probe.rounds - 1) * self.health.scaled(PERIOD)
            if waited >= self.health.scaled(DIRECT) and not probe.asked:
                heard = [n for n in self.others if n != probe.target and self.heard(n, now)]
                helpers = self.sample(heard or [n for n in self.others if n != probe.target], HELPERS)
                probe.asked = set(helpers)
                for helper in helpers:
                    self.send_frame(helper, [AskPing(probe.seq, probe.target)], now)
        for mine, (asker, seq, since, _) in list(self.relayed.items()):
            if now - since > PERIOD:
                del self.relayed[mine]
            elif now - since >= DIRECT:
                self.send_frame(asker, [Nack(seq)], now, spare=True)
        if now < self.next_probe:
            return
        self.next_probe = now + self.health.scaled(PERIOD)
        if probe is not None:
            missed = not probe.answered and self.heard_at.get(probe.target, -1) < probe.since
            if missed and probe.rounds < ROUNDS:
                # Failure prevented: under loss many a probe fails once, and the fleet is busy with rumours of
                # suspects that answer the next one.
                probe.rounds += 1
                probe.asked = set()
                return
            self.probe_ended(probe, now)
        target = self.next_target()
        self.probe = None
        if target is not None:
            self.probe = Probe(target, self.next_seq(), now)
            self.send_frame(target, [Ping(self.probe.seq)], now)

    def probe_ended(self, probe: Probe, now: int) -> None:
        """A probe's period has ended."""
        self.health.probed(probe.answered)
        if probe.answered:
            self.health.better()
        elif self.heard_at.get(probe.target, -1) < probe.since:
            self.health.worse()
            unheard = self.view.records[probe.target].epoch == 0
            if self.health.may_declare_dead and not (unheard and now - self.view.since[probe.target] < START):
                self.suspect(probe.target, now, "no answer to a probe")

    def acked(self, number: int, seq: int, now: int) -> None:
        probe = self.probe
        if probe is not None and probe.seq == seq:
            probe.answered = True
            self.health.answered_since_pause = True
        relayed = self.relayed.get(seq)
        if relayed is not None and relayed[3] == number:
            del self.relayed[seq]
            self.send_frame(relayed[0], [Ack(relayed[1])], now)

    def next_target(self) -> int | None:
        """Round robin over a shuffled order, so that nobody waits for more than two rounds."""
        for _ in range(2):
            while self.order:
                target = self.order.pop()
                if self.view.records[target].state <= State.SUSPECT:
                    return target
            self.order = self.others
            self.rng.shuffle(self.order)
        return None

    def next_seq(self) -> int:
        self.seq = (self.seq + 1) & 0xFFFF
        return self.seq
