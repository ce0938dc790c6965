"""SWIM probes: one direct ping per period, then indirect pings through helpers. Pure."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from brackenladder.cluster.sender import Sender
from brackenladder.cluster.view import State
from brackenladder.cluster.wire import Ack, AskPing, Nack, Ping

PROBE_PERIOD = 300_000  # microseconds
PROBE_ROUNDS = 2  # periods that a probe may take
RESEND_AFTER = 75_000  # microseconds without a reply after which a ping is sent again
INDIRECT_AFTER = 150_000  # microseconds without a reply after which helpers are asked to ping the target
HELPERS = 3
STARTUP_GRACE = 3_000_000  # a member that has never been heard is not suspected for this time
RECENT = 1_000_000  # microseconds; members heard from within this time are preferred as helpers


class Probe:
    """The current probe. Its `seq` distinguishes its replies from those to other probes."""

    __slots__ = ("answered", "asked", "pinged_at", "rounds", "seq", "since", "target")

    def __init__(self, target: int, seq: int, now: int) -> None:
        self.target = target
        self.seq = seq
        self.since = self.pinged_at = now
        self.asked: set[int] = set()
        self.rounds = 1
        self.answered = False


class Prober(Sender, ABC):
    """Probes one member per period in round-robin order."""

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
        # Indirect pings for others, by this node's seq: the asker, its seq, the time and the target.
        self.relayed: dict[int, tuple[int, int, int, int]] = {}
        self.probe_order: list[int] = []
        self.next_probe = now

    @abstractmethod
    def suspect(self, number: int, now: int, reason: str) -> None:
        """Called when a member has not answered its probe."""

    def recently_heard(self, number: int, now: int) -> bool:
        return now - self.heard_at.get(number, -RECENT) < RECENT

    def advance_probe(self, now: int) -> None:
        """Continues the current probe, and starts the next one when its period is over."""
        probe = self.probe
        if probe is not None and not probe.answered:
            elapsed = now - probe.since
            if now - probe.pinged_at >= self.health.scaled(RESEND_AFTER):
                probe.pinged_at = now
                self.send_frame(probe.target, [Ping(probe.seq)], now)
            waited = elapsed - (probe.rounds - 1) * self.health.scaled(PROBE_PERIOD)
            if waited >= self.health.scaled(INDIRECT_AFTER) and not probe.asked:
                heard = [n for n in self.others if n != probe.target and self.recently_heard(n, now)]
                helpers = self.sample(heard or [n for n in self.others if n != probe.target], HELPERS)
                probe.asked = set(helpers)
                for helper in helpers:
                    self.send_frame(helper, [AskPing(probe.seq, probe.target)], now)
        for own_seq, (asker, seq, since, _) in list(self.relayed.items()):
            if now - since > PROBE_PERIOD:
                del self.relayed[own_seq]
            elif now - since >= INDIRECT_AFTER:
                self.send_frame(asker, [Nack(seq)], now, low_priority=True)
        if now < self.next_probe:
            return
        self.next_probe = now + self.health.scaled(PROBE_PERIOD)
        if probe is not None:
            missed = not probe.answered and self.heard_at.get(probe.target, -1) < probe.since
            if missed and probe.rounds < PROBE_ROUNDS:
                # With packet loss many probes fail in their first period. Without a second period the gossip
                # would be full of suspects that answer the next probe.
                probe.rounds += 1
                probe.asked = set()
                return
            self.finish_probe(probe, now)
        target = self.next_target()
        self.probe = None
        if target is not None:
            self.probe = Probe(target, self.next_seq(), now)
            self.send_frame(target, [Ping(self.probe.seq)], now)

    def finish_probe(self, probe: Probe, now: int) -> None:
        """Evaluates a probe at the end of its last period."""
        self.health.record_probe(probe.answered)
        if probe.answered:
            self.health.improve()
        elif self.heard_at.get(probe.target, -1) < probe.since:
            self.health.degrade()
            unheard = self.view.records[probe.target].epoch == 0
            if self.health.may_declare_dead and not (
                unheard and now - self.view.since[probe.target] < STARTUP_GRACE
            ):
                self.suspect(probe.target, now, "no answer to a probe")

    def handle_ack(self, number: int, seq: int, now: int) -> None:
        probe = self.probe
        if probe is not None and probe.seq == seq:
            probe.answered = True
            self.health.answered_since_pause = True
        relayed = self.relayed.get(seq)
        if relayed is not None and relayed[3] == number:
            del self.relayed[seq]
            self.send_frame(relayed[0], [Ack(relayed[1])], now)

    def next_target(self) -> int | None:
        """The next member to probe, in a shuffled round-robin order: none waits longer than two rounds."""
        for _ in range(2):
            while self.probe_order:
                target = self.probe_order.pop()
                if self.view.records[target].state <= State.SUSPECT:
                    return target
            self.probe_order = self.others
            self.rng.shuffle(self.probe_order)
        return None

    def next_seq(self) -> int:
        self.seq = (self.seq + 1) & 0xFFFF
        return self.seq
