"""The failure detector: SWIM with the Lifeguard extensions. Pure: events in, datagrams out.

From SWIM (Das, Gupta, Motivala 2002): in each period one member is probed, first directly and then through
others; a failed probe makes it a suspect; records spread by gossip that is piggybacked on other messages.
From Lifeguard: local health (`health.py`), adaptive suspicion timeouts (`suspicion.py`), and a suspect is
notified first. Additions: epochs, deaths that can be refuted, occasional probes of dead members, and
anti-entropy (`sync.py`). Times are microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from brackenladder.cluster.prober import HELPERS, PROBE_PERIOD, Prober
from brackenladder.cluster.sender import BYTES_PER_SECOND, FANOUT
from brackenladder.cluster.suspicion import MIN_TIMEOUT, Suspicion
from brackenladder.cluster.sync import RECORDS_PER_FRAME
from brackenladder.cluster.view import Record, State, epoch_above
from brackenladder.cluster.wire import (
    Ack,
    AskPing,
    Digest,
    Dropped,
    Frame,
    Message,
    Nack,
    Ping,
    Range,
    Recorded,
    ReplayWindow,
    decode_frame,
)

TICK = 50_000  # microseconds between two ticks
GOSSIP_INTERVAL = 200_000  # microseconds between two gossip rounds
# Microseconds before the end of a suspicion at which the suspect and others are asked again.
CONFIRM_BEFORE_DEATH = 500_000
SYNC_INTERVAL = 4_000_000  # microseconds between two digests; shortened by a random part
DEAD_PROBE_INTERVAL = 1_000_000  # microseconds between two pings to dead members
# More raises of this node's epoch within EPOCH_RAISE_WINDOW mean that another process uses its number.
MAX_EPOCH_RAISES = 4
EPOCH_RAISE_WINDOW = 60_000_000
# Microseconds between two notices to a process that another one has replaced.
SUCCESSOR_NOTICE_INTERVAL = 1_000_000
MAX_TRANSITIONS = 100  # transitions kept for display


class Transition(NamedTuple):
    """A state change of a member in this node's view, or of this node itself (`number` is its own)."""

    at: int
    number: int
    before: str
    after: str
    epoch: int
    incarnation: int
    reason: str


class Detector(Prober):
    """The failure detector of one node.

    `send`: sends a datagram to a member. `changed`: called with each transition. `keys`: all of them verify
    incoming frames, the first one signs outgoing frames.
    """

    def __init__(
        self,
        own: int,
        size: int,
        epoch: int,
        now: int,
        rng: Random,
        send: Callable[[int, bytes], None],
        changed: Callable[[Transition], None],
        keys: Sequence[bytes] = (),
    ) -> None:
        super().__init__(own, size, now, rng, send, keys)
        self.changed = changed
        self.suspicions: dict[int, Suspicion] = {}
        self.replay_windows: dict[int, ReplayWindow] = {}
        self.successor_told_at: dict[int, int] = {}
        # Handler for messages that the detector itself doesn't handle.
        self.on_other_message: Callable[[int, Message, int], None] = lambda number, message, now: None
        self.transitions: deque[Transition] = deque(maxlen=MAX_TRANSITIONS)
        self.epoch_raises: deque[int] = deque(maxlen=MAX_EPOCH_RAISES)
        self.number_taken = False  # another process keeps using this node's number
        self.next_gossip = now + rng.randrange(GOSSIP_INTERVAL)
        self.next_probe = now + rng.randrange(PROBE_PERIOD)
        self.next_sync = now + rng.randrange(SYNC_INTERVAL)
        self.next_dead = now + rng.randrange(DEAD_PROBE_INTERVAL)
        self.view.merge(own, Record(epoch, 0, State.ALIVE), now)

    # ---- membership -----------------------------------------------------------------------------------

    def address_changed(self, number: int) -> None:
        """The member with this number has a new address: forgets what was received from the old one."""
        self.heard_at.pop(number, None)
        self.replay_windows.pop(number, None)

    def resize(self, size: int, now: int) -> None:
        """Changes the number of configured members."""
        self.view.resize(size, now)
        for known in (
            self.suspicions,
            self.reported_by,
            self.heard_at,
            self.replay_windows,
            self.successor_told_at,
            self.gossip_queue.sends,
        ):
            for number in [n for n in known if n >= size]:
                del known[number]
        self.probe_order = []
        if self.probe is not None and self.probe.target >= size:
            self.probe = None

    def ping_member(self, number: int, now: int) -> None:
        """Pings a member in addition to the regular probes."""
        self.send_frame(number, [Ping(self.next_seq())], now)

    def leave(self, now: int) -> None:
        """Announces that this process ends to a few members, which pass it on."""
        self.leaving = True
        self.apply_record(self.own, self.me._replace(state=State.LEFT), now, self.own, "leaving the tier")
        for number in self.sample(self.others, 2 * FANOUT):
            self.send_frame(number, [], now)

    # ---- events ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Runs the timers; to be called every TICK."""
        self.check_pause(now)
        dead = self.view.in_state(State.DEAD)
        before = self.health.connectivity
        connectivity, diagnosis = self.health.assess(now, self.other_count + len(dead))
        if connectivity != before or diagnosis:
            self.record_transition(
                now, self.own, before, connectivity, diagnosis or f"this node is {connectivity}"
            )
        if not self.health.may_declare_dead:
            for suspicion in self.suspicions.values():
                suspicion.restart(now)
        if self.leaving or self.number_taken:
            return
        self.advance_probe(now)
        self.declare_dead(now)
        if now >= self.next_gossip:
            self.next_gossip = now + GOSSIP_INTERVAL
            self.gossip(now)
            if connectivity == "isolated":  # others may still receive what this node sends
                for number in self.sample(self.others, 2 * FANOUT):
                    self.send_frame(number, [Ping(self.next_seq())], now)
        if now >= self.next_sync:
            self.next_sync = now + SYNC_INTERVAL - self.rng.randrange(SYNC_INTERVAL // 4)
            self.sync(now)
        if now >= self.next_dead:
            self.next_dead = now + DEAD_PROBE_INTERVAL
            if dead:
                self.send_frame(self.rng.choice(dead), [Ping(self.next_seq())], now)

    def datagram(self, number: int, data: bytes, now: int) -> None:
        """Handles a datagram from a member's address."""
        self.check_pause(now)
        try:
            frame = decode_frame(self.keys, data)
            if (
                number >= len(self.view)
                or frame.sender != number
                or frame.to != self.own
                or number == self.own
            ):
                raise Dropped("misdirected")
            if frame.epoch < self.view.records[number].epoch:
                raise Dropped("old_epoch")
            self.replay_windows.setdefault(number, ReplayWindow()).take(frame.epoch, frame.counter)
        except Dropped as e:
            self.counters[str(e)] += 1
            if (
                str(e) == "old_epoch"
                and now - self.successor_told_at.get(number, -SUCCESSOR_NOTICE_INTERVAL)
                >= SUCCESSOR_NOTICE_INTERVAL
            ):
                self.successor_told_at[number] = now
                self.send_frame(number, [], now, about=number)
            return
        self.counters["received"] += 1
        self.handle_frame(number, frame, now)

    def check_pause(self, now: int) -> None:
        """After a suspension of this process, drops queued gossip and pending probes, which are outdated."""
        suspended_for = self.health.detect_pause(now)
        if not suspended_for:
            return
        self.gossip_queue.clear()
        self.probe = None
        self.relayed.clear()
        self.heard_at.clear()
        for suspicion in self.suspicions.values():
            suspicion.restart(now)
        self.record_transition(
            now, self.own, "ok", "paused", f"this node was suspended for {suspended_for / 1e6:.1f} s"
        )

    def handle_frame(self, number: int, frame: Frame, now: int) -> None:
        """Handles a valid frame of a member."""
        self.health.heard(now)
        self.heard_at[number] = now
        self.apply_record(
            number,
            Record(frame.epoch, frame.incarnation, State.ALIVE),
            now,
            number,
            "received a frame from it",
        )
        requested_ranges: list[Range] = []
        newer_here: list[int] = []
        for message in frame.messages:
            match message:
                case Ping(seq):
                    self.send_frame(number, [Ack(seq)], now)
                case Ack(seq):
                    self.handle_ack(number, seq, now)
                case Nack(seq):
                    if self.probe is not None and self.probe.seq == seq:
                        self.probe.asked.discard(number)
                case AskPing(seq, target):
                    if target < len(self.view) and target != self.own and len(self.relayed) < 64:
                        own_seq = self.next_seq()
                        self.relayed[own_seq] = (number, seq, now, target)
                        self.send_frame(target, [Ping(own_seq)], now)
                case Recorded(about, record, by):
                    if about < len(self.view):
                        self.apply_record(about, record, now, by, f"told by {number}")
                        if self.view.records[about] > record:
                            newer_here.append(about)
                            if record.state in (State.SUSPECT, State.DEAD):
                                # The sender has an older record of the member than this node.
                                self.gossip_queue.add_if_absent(about)
                case Digest():
                    self.handle_digest(number, message, now)
                case Range():
                    requested_ranges.append(message)
                case _:
                    self.on_other_message(number, message, now)
        # Replies with the requested records that the sender lacks or has in an older version.
        if requested_ranges:
            requested = [n for r in requested_ranges for n in range(r.low, min(r.high, len(self.view)))]
            received_numbers = {m.number for m in frame.messages if isinstance(m, Recorded)}
            reply = [
                n
                for n in requested
                if n in newer_here or (n not in received_numbers and self.view.records[n] > (0, 0, 0))
            ]
            for at in range(0, len(reply), RECORDS_PER_FRAME):
                self.send_frame(
                    number, self.recorded(reply[at : at + RECORDS_PER_FRAME]), now, low_priority=True
                )

    # ---- records --------------------------------------------------------------------------------------

    def apply_record(self, number: int, record: Record, now: int, by: int, reason: str) -> None:
        """Merges a record of a member, from whatever source. `by`: the member that reported it."""
        if number == self.own and not self.leaving:
            self.apply_own_record(record, now, by)
            return
        known = self.view.records[number]
        recently_suspected = (
            number in self.suspicions and now - self.suspicions[number].since < MIN_TIMEOUT // 2
        )
        if (
            record.state == State.DEAD
            and by != self.own
            and (known.state == State.ALIVE or (known.state == State.SUSPECT and recently_suspected))
            and known.epoch == record.epoch
        ):
            # A member that is alive here, or has only just become a suspect, is suspected first. A death is
            # accepted directly only of a member that has been a suspect for a while. Otherwise, when a
            # network partition heals, each side would accept the other's claim that its members are dead.
            record = record._replace(state=State.SUSPECT)
        if record == known and record.state == State.SUSPECT:
            suspicion = self.suspicions.get(number)
            if suspicion is not None and suspicion.confirm(by):
                self.reported_by[number] = by
                self.gossip_queue.add(number)
            return
        before = self.view.merge(number, record, now)
        if before is None:
            return
        if record.state == State.SUSPECT:
            self.suspicions[number] = Suspicion(now, by, self.other_count - 2)
        else:
            self.suspicions.pop(number, None)
        if record.state in (State.SUSPECT, State.DEAD):
            self.reported_by[number] = by
        else:
            self.reported_by.pop(number, None)
        if before.epoch or record.state != State.ALIVE:  # probes and syncs find members that just started
            self.gossip_queue.add(number)
        if record.state != before.state or record.epoch != before.epoch:
            self.record_transition(now, number, before.state.name.lower(), record.state.name.lower(), reason)

    def apply_own_record(self, record: Record, now: int, by: int) -> None:
        """Handles what others report about this node: refutes it, or takes a higher epoch."""
        me = self.me
        if record.epoch > me.epoch:
            if len(self.epoch_raises) == MAX_EPOCH_RAISES and now - self.epoch_raises[0] < EPOCH_RAISE_WINDOW:
                if not self.number_taken:
                    self.number_taken = True
                    self.record_transition(
                        now, self.own, "ok", "twin", "another process uses this node's number"
                    )
                return
            self.epoch_raises.append(now)
            epoch = epoch_above(record.epoch, me.epoch)
            self.view.merge(self.own, Record(epoch, 0, State.ALIVE), now)
            self.counter = 0
            self.gossip_queue.add(self.own)
        elif record.epoch == me.epoch and record > me:
            diagnosis = self.health.declared_dead(now) if record.state == State.DEAD else ""
            self.health.degrade()
            self.counters["refuted"] += 1
            self.view.merge(self.own, Record(me.epoch, record.incarnation + 1, State.ALIVE), now)
            self.gossip_queue.add(self.own)
            for other in sorted({by, *self.sample(self.others, 2 * FANOUT)} - {self.own}):
                if other < len(self.view):
                    self.send_frame(other, [], now)
            if record.state == State.DEAD or diagnosis:
                self.record_transition(now, self.own, "dead", "alive", diagnosis or "refuted its death")

    def suspect(self, number: int, now: int, reason: str) -> None:
        record = self.view.records[number]
        if record.state == State.SUSPECT:
            self.apply_record(number, record, now, self.own, reason)  # confirms the suspicion
        elif record.state == State.ALIVE:
            self.apply_record(number, record._replace(state=State.SUSPECT), now, self.own, reason)
        else:
            return
        # Tells the suspect before the others, so that it can refute the suspicion early.
        self.send_frame(number, [], now)

    def declare_dead(self, now: int) -> None:
        """Declares suspects dead whose timeout is over, unless something was received from them."""
        if not self.health.may_declare_dead:
            return
        queue_time = (
            (len(self.suspicions) - 1)
            * self.gossip_queue.cost(len(self.view))
            * 1_000_000
            // BYTES_PER_SECOND
        )
        for number, suspicion in list(self.suspicions.items()):
            deadline = suspicion.deadline(queue_time)
            if now < deadline:
                if now >= deadline - CONFIRM_BEFORE_DEATH and not suspicion.confirmation_requested:
                    suspicion.confirmation_requested = True
                    self.ask_before_death(number, now)
                continue
            if self.heard_at.get(number, -1) > suspicion.since:
                suspicion.restart(now)
                continue
            record = self.view.records[number]._replace(state=State.DEAD)
            names = ", ".join(str(n) for n in sorted(suspicion.reporters))
            self.apply_record(number, record, now, self.own, f"suspected by {names}, not refuted")

    def ask_before_death(self, number: int, now: int) -> None:
        """Pings the suspect and asks others for their records of it, before it is declared dead.

        Without this, a node that has missed a refutation by chance would declare dead the member that sent
        the refutation.
        """
        self.send_frame(number, [Ping(self.next_seq())], now)
        for other in self.sample([n for n in self.others if n != number], HELPERS):
            self.send_frame(other, [Range(number, number + 1), *self.recorded([number])], now)

    # ---- transitions ----------------------------------------------------------------------------------

    def record_transition(self, now: int, number: int, before: str, after: str, reason: str) -> None:
        record = self.view.records[number]
        transition = Transition(now, number, before, after, record.epoch, record.incarnation, reason)
        self.transitions.append(transition)
        self.changed(transition)
