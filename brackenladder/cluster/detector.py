"""The failure detector: SWIM with Lifeguard's measures, as one object of events in and datagrams out. Pure.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, then through others; a failure is a
suspicion, rumours ride on what is sent anyway. Lifeguard: `health.py`, `suspicion.py`, and the suspect is
told first. Beyond both: epochs, deaths that can be refuted, a slow probe of the dead, and `sync.py`.
Times are microseconds of a clock that only goes forward.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from brackenladder.cluster.prober import HELPERS, PERIOD, Prober
from brackenladder.cluster.sender import BYTES_PER_SECOND, FANOUT
from brackenladder.cluster.suspicion import MIN_TIMEOUT, Suspicion
from brackenladder.cluster.sync import LEAF
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
    Seen,
    read,
)

TICK = 50_000  # microseconds between two ticks
GOSSIP = 200_000  # between two rounds of rumours
ASK_BEFORE_DEATH = 500_000  # before a suspect is declared dead, it and others are asked
SYNC = 4_000_000  # between two digests, less a part by chance
DEAD_PROBE = 1_000_000  # between two pings to one of the dead
MOST_JUMPS = 4  # epochs taken within JUMPS_IN, after which another process must have this number
JUMPS_IN = 60_000_000
TELL_OLD = 1_000_000  # between two words to a process that does not know of its successor
MOST_TRANSITIONS = 100  # that are kept


class Transition(NamedTuple):
    """A member changed state in this node's view, or the node itself (`number` its own)."""

    at: int
    number: int
    before: str
    after: str
    epoch: int
    incarnation: int
    reason: str


class Detector(Prober):
    """One node. `send`: a datagram to a member; `changed`: hears each transition; `keys`: the first signs."""

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
        self.seen: dict[int, Seen] = {}
        self.told_old: dict[int, int] = {}
        # What others make of messages that are not the detector's.
        self.on_other_message: Callable[[int, Message, int], None] = lambda number, message, now: None
        self.transitions: deque[Transition] = deque(maxlen=MOST_TRANSITIONS)
        self.jumps: deque[int] = deque(maxlen=MOST_JUMPS)
        self.number_taken = False  # another process has this number, and keeps it
        self.next_gossip = now + rng.randrange(GOSSIP)
        self.next_probe = now + rng.randrange(PERIOD)
        self.next_sync = now + rng.randrange(SYNC)
        self.next_dead = now + rng.randrange(DEAD_PROBE)
        self.view.merge(own, Record(epoch, 0, State.ALIVE), now)

    # ---- membership -----------------------------------------------------------------------------------

    def address_changed(self, number: int) -> None:
        """Whoever has this number now is somewhere else: what was heard of it says nothing any more."""
        self.heard_at.pop(number, None)
        self.seen.pop(number, None)

    def resize(self, size: int, now: int) -> None:
        """The configuration names so many members from now on."""
        self.view.resize(size, now)
        for known in (
            self.suspicions,
            self.by,
            self.heard_at,
            self.seen,
            self.told_old,
            self.gossip_queue.told,
        ):
            for number in [n for n in known if n >= size]:
                del known[number]
        self.order = []
        if self.probe is not None and self.probe.target >= size:
            self.probe = None

    def ping_member(self, number: int, now: int) -> None:
        """Asks a member for a sign, beside the probes."""
        self.send_frame(number, [Ping(self.next_seq())], now)

    def leave(self, now: int) -> None:
        """This process ends: it says so to some, who pass it on."""
        self.leaving = True
        self.apply_record(self.own, self.me._replace(state=State.LEFT), now, self.own, "it leaves")
        for number in self.sample(self.others, 2 * FANOUT):
            self.send_frame(number, [], now)

    # ---- events ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Time goes on; to be called every TICK."""
        self.check_pause(now)
        dead = self.view.in_state(State.DEAD)
        before = self.health.connectivity
        connectivity, said = self.health.assess(now, self.other_count + len(dead))
        if connectivity != before or said:
            self.note(now, self.own, before, connectivity, said or f"this node is {connectivity}")
        if not self.health.may_declare_dead:
            for suspicion in self.suspicions.values():
                suspicion.hold(now)
        if self.leaving or self.number_taken:
            return
        self.advance_probe(now)
        self.declare_dead(now)
        if now >= self.next_gossip:
            self.next_gossip = now + GOSSIP
            self.gossip(now)
            if connectivity == "isolated":  # it may still be heard
                for number in self.sample(self.others, 2 * FANOUT):
                    self.send_frame(number, [Ping(self.next_seq())], now)
        if now >= self.next_sync:
            self.next_sync = now + SYNC - self.rng.randrange(SYNC // 4)
            self.sync(now)
        if now >= self.next_dead:
            self.next_dead = now + DEAD_PROBE
            if dead:
                self.send_frame(self.rng.choice(dead), [Ping(self.next_seq())], now)

    def datagram(self, number: int, data: bytes, now: int) -> None:
        """Something came from a member's address."""
        self.check_pause(now)
        try:
            frame = read(self.keys, data)
            if (
                number >= len(self.view)
                or frame.sender != number
                or frame.to != self.own
                or number == self.own
            ):
                raise Dropped("misdirected")
            if frame.epoch < self.view.records[number].epoch:
                raise Dropped("old_epoch")
            self.seen.setdefault(number, Seen()).take(frame.epoch, frame.counter)
        except Dropped as e:
            self.counters[str(e)] += 1
            if str(e) == "old_epoch" and now - self.told_old.get(number, -TELL_OLD) >= TELL_OLD:
                self.told_old[number] = now
                self.send_frame(number, [], now, first=number)
            return
        self.counters["received"] += 1
        self.handle_frame(number, frame, now)

    def check_pause(self, now: int) -> None:
        """If this process stood still, what it meant to say is old, and what it waited for says nothing."""
        gone = self.health.gap(now)
        if not gone:
            return
        self.gossip_queue.clear()
        self.probe = None
        self.relayed.clear()
        self.heard_at.clear()
        for suspicion in self.suspicions.values():
            suspicion.hold(now)
        self.note(now, self.own, "ok", "paused", f"this node stood still for {gone / 1e6:.1f} s")

    def handle_frame(self, number: int, frame: Frame, now: int) -> None:
        """A frame of a member."""
        self.health.heard(now)
        self.heard_at[number] = now
        self.apply_record(
            number, Record(frame.epoch, frame.incarnation, State.ALIVE), now, number, "it was heard"
        )
        asked: list[Range] = []
        better: list[int] = []
        for message in frame.messages:
            match message:
                case Ping(seq):
                    self.send_frame(number, [Ack(seq)], now)
                case Ack(seq):
                    self.acked(number, seq, now)
                case Nack(seq):
                    if self.probe is not None and self.probe.seq == seq:
                        self.probe.asked.discard(number)
                case AskPing(seq, target):
                    if target < len(self.view) and target != self.own and len(self.relayed) < 64:
                        mine = self.next_seq()
                        self.relayed[mine] = (number, seq, now, target)
                        self.send_frame(target, [Ping(mine)], now)
                case Recorded(about, record, by):
                    if about < len(self.view):
                        self.apply_record(about, record, now, by, f"told by {number}")
                        if self.view.records[about] > record:
                            better.append(about)
                            if record.state in (State.SUSPECT, State.DEAD):
                                self.gossip_queue.again(about)  # whoever believes it has not heard better
                case Digest():
                    self.compare(number, message, now)
                case Range():
                    asked.append(message)
                case _:
                    self.on_other_message(number, message, now)
        if asked:  # the other side of a sync: what is known better here
            lacking = [n for r in asked for n in range(r.low, min(r.high, len(self.view)))]
            given = {m.number for m in frame.messages if isinstance(m, Recorded)}
            back = [
                n for n in lacking if n in better or (n not in given and self.view.records[n] > (0, 0, 0))
            ]
            for at in range(0, len(back), LEAF):
                self.send_frame(number, self.recorded(back[at : at + LEAF]), now, spare=True)

    # ---- records --------------------------------------------------------------------------------------

    def apply_record(self, number: int, record: Record, now: int, by: int, reason: str) -> None:
        """Takes an account of a member in, whoever gave it."""
        if number == self.own and not self.leaving:
            self.apply_own_record(record, now, by)
            return
        known = self.view.records[number]
        young = number in self.suspicions and now - self.suspicions[number].since < MIN_TIMEOUT // 2
        if (
            record.state == State.DEAD
            and by != self.own
            and (known.state == State.ALIVE or (known.state == State.SUSPECT and young))
            and known.epoch == record.epoch
        ):
            # Failure prevented: two halves find each other again, and each takes the other's word that its
            # own half is dead. Whoever is alive here is asked first; the dead have been suspected for long.
            record = record._replace(state=State.SUSPECT)
        if record == known and record.state == State.SUSPECT:
            suspicion = self.suspicions.get(number)
            if suspicion is not None and suspicion.confirm(by):
                self.by[number] = by
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
            self.by[number] = by
        else:
            self.by.pop(number, None)
        if before.epoch or record.state != State.ALIVE:  # who has just begun is met by probes and syncs
            self.gossip_queue.add(number)
        if record.state != before.state or record.epoch != before.epoch:
            self.note(now, number, before.state.name.lower(), record.state.name.lower(), reason)

    def apply_own_record(self, record: Record, now: int, by: int) -> None:
        """What others say of this node: refuted, or outdone by a higher epoch."""
        me = self.me
        if record.epoch > me.epoch:
            if len(self.jumps) == MOST_JUMPS and now - self.jumps[0] < JUMPS_IN:
                if not self.number_taken:
                    self.number_taken = True
                    self.note(now, self.own, "ok", "twin", "another process has this node's number")
                return
            self.jumps.append(now)
            epoch = epoch_above(record.epoch, me.epoch)
            self.view.merge(self.own, Record(epoch, 0, State.ALIVE), now)
            self.counter = 0
            self.gossip_queue.add(self.own)
        elif record.epoch == me.epoch and record > me:
            said = self.health.declared_dead(now) if record.state == State.DEAD else ""
            self.health.worse()
            self.counters["refuted"] += 1
            self.view.merge(self.own, Record(me.epoch, record.incarnation + 1, State.ALIVE), now)
            self.gossip_queue.add(self.own)
            for other in sorted({by, *self.sample(self.others, 2 * FANOUT)} - {self.own}):
                if other < len(self.view):
                    self.send_frame(other, [], now)
            if record.state == State.DEAD or said:
                self.note(now, self.own, "dead", "alive", said or "refuted its death")

    def suspect(self, number: int, now: int, reason: str) -> None:
        record = self.view.records[number]
        if record.state == State.SUSPECT:
            self.apply_record(number, record, now, self.own, reason)  # a confirmation
        elif record.state == State.ALIVE:
            self.apply_record(number, record._replace(state=State.SUSPECT), now, self.own, reason)
        else:
            return
        self.send_frame(number, [], now)  # the suspect is told first

    def declare_dead(self, now: int) -> None:
        """Suspects whose time is over are dead, unless they are heard."""
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
                if now >= deadline - ASK_BEFORE_DEATH and not suspicion.called:
                    suspicion.called = True
                    self.ask_before_death(number, now)
                continue
            if self.heard_at.get(number, -1) > suspicion.since:
                suspicion.hold(now)
                continue
            record = self.view.records[number]._replace(state=State.DEAD)
            names = ", ".join(str(n) for n in sorted(suspicion.by))
            self.apply_record(number, record, now, self.own, f"suspected by {names}, not refuted")

    def ask_before_death(self, number: int, now: int) -> None:
        """Asks the suspect, and others what they know of it, before it is declared dead.

        Failure prevented: a refutation misses one node by chance, and that node declares its author dead.
        """
        self.send_frame(number, [Ping(self.next_seq())], now)
        for other in self.sample([n for n in self.others if n != number], HELPERS):
            self.send_frame(other, [Range(number, number + 1), *self.recorded([number])], now)

    # ---- log ------------------------------------------------------------------------------------------

    def note(self, now: int, number: int, before: str, after: str, reason: str) -> None:
        record = self.view.records[number]
        transition = Transition(now, number, before, after, record.epoch, record.incarnation, reason)
        self.transitions.append(transition)
        self.changed(transition)
