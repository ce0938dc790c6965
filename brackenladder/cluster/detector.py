"""The failure detector: SWIM with Lifeguard's measures, as one object of events in and datagrams out. Pure.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, then through others; a failure is a
suspicion, rumours ride on what is sent anyway. Lifeguard: `health.py`, `suspicion.py`, and the suspect is
told first. Beyond both: epochs, deaths that can be refuted, a slow probe of the dead, and `sync.py`.
Times are microseconds of a clock that only goes forward.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import NamedTuple, TypeVar

from brackenladder.cluster.health import Health
from brackenladder.cluster.rumours import Rumours
from brackenladder.cluster.suspicion import LEAST, Suspicion
from brackenladder.cluster.sync import LEAF, differing, digest
from brackenladder.cluster.view import Record, State, View, beyond
from brackenladder.cluster.wire import (
    LARGEST,
    NOBODY,
    ROOM,
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
    framed,
    packed,
    read,
)

TICK = 50_000  # microseconds between two ticks
PERIOD = 300_000  # of a probe
ROUNDS = 2  # periods that a probe may take
AGAIN = 75_000  # a ping without an answer is sent again after it...
DIRECT = 150_000  # ...and helpers are asked after it
HELPERS = 3
GOSSIP = 200_000  # between two rounds of rumours...
LAST_CALL = 500_000  # before a suspect is buried, it and others are asked
FANOUT = 3  # ...to so many members
SYNC = 4_000_000  # between two digests, less a part by chance
DEAD_PROBE = 1_000_000  # between two pings to one of the dead
START = 3_000_000  # a member that nobody has heard has so long to begin
HEARD = 1_000_000  # a member that was heard so long ago or less lives
BYTES_A_SECOND = 3_000  # that a node sends at most, over any long time...
BURST = 12_000  # ...and at once
MOST_RANGES_ANSWERED = 4  # of one digest
MOST_JUMPS = 4  # epochs taken within JUMPS_IN, after which another process must have this number
JUMPS_IN = 60_000_000
TELL_OLD = 1_000_000  # between two words to a process that does not know of its successor
MOST_TRANSITIONS = 100  # that are kept


T = TypeVar("T")


class Transition(NamedTuple):
    """A member changed state in this node's view, or the node itself (`number` its own)."""

    at: int
    number: int
    before: str
    after: str
    epoch: int
    incarnation: int
    reason: str


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


class Detector:
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
        self.own = own
        self.rng = rng
        self.send_to = send
        self.changed = changed
        self.keys = keys
        self.view = View(size, now)
        self.health = Health(now)
        self.rumours = Rumours()
        self.suspicions: dict[int, Suspicion] = {}
        self.by: dict[int, int] = {}  # who said so of a suspect or dead member, last
        self.heard_at: dict[int, int] = {}
        self.seen: dict[int, Seen] = {}
        self.told_old: dict[int, int] = {}
        self.extra: Callable[[], Sequence[Message]] = (
            tuple  # what others have to say with each ping and answer
        )
        self.other: Callable[[int, Message, int], None] = lambda number, message, now: (
            None
        )  # and what they hear
        self.counters: Counter[str] = Counter()
        self.transitions: deque[Transition] = deque(maxlen=MOST_TRANSITIONS)
        self.jumps: deque[int] = deque(maxlen=MOST_JUMPS)
        self.twin = False  # another process has this number, and keeps it
        self.leaving = False
        self.counter = 0
        self.seq = rng.getrandbits(16)
        self.probe: Probe | None = None
        self.relayed: dict[int, tuple[int, int, int, int]] = {}  # by seq: who asked, its seq, when, target
        self.order: list[int] = []
        self.allowance, self.allowance_at = float(BURST), now
        self.next_gossip = now + rng.randrange(GOSSIP)
        self.next_probe = now + rng.randrange(PERIOD)
        self.next_sync = now + rng.randrange(SYNC)
        self.next_dead = now + rng.randrange(DEAD_PROBE)
        self.view.merge(own, Record(epoch, 0, State.ALIVE), now)

    # ---- what others ask ------------------------------------------------------------------------------

    @property
    def me(self) -> Record:
        return self.view.records[self.own]

    @property
    def others(self) -> list[int]:
        """Members that are taken to be there, without this one."""
        there = self.view.having(State.ALIVE) + self.view.having(State.SUSPECT)
        if self.me.state == State.ALIVE:
            there.remove(self.own)
        return there

    @property
    def others_number(self) -> int:
        """How many these are."""
        there = len(self.view.having(State.ALIVE)) + len(self.view.having(State.SUSPECT))
        return there - (self.me.state == State.ALIVE)

    def address_changed(self, number: int) -> None:
        """Whoever has this number now is somewhere else: what was heard of it says nothing any more."""
        self.heard_at.pop(number, None)
        self.seen.pop(number, None)

    def resize(self, size: int, now: int) -> None:
        """The configuration names so many members from now on."""
        self.view.resize(size, now)
        for known in (self.suspicions, self.by, self.heard_at, self.seen, self.told_old, self.rumours.told):
            for number in [n for n in known if n >= size]:
                del known[number]
        self.order = []
        if self.probe is not None and self.probe.target >= size:
            self.probe = None

    def greet(self, number: int, now: int) -> None:
        """Asks a member for a sign, beside the probes."""
        self.tell(number, [Ping(self.next_seq())], now)

    def leave(self, now: int) -> None:
        """This process ends: it says so to some, who pass it on."""
        self.leaving = True
        self.put(self.own, self.me._replace(state=State.LEFT), now, self.own, "it leaves")
        for number in self.some(self.others, 2 * FANOUT):
            self.tell(number, [], now)

    # ---- events ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Time goes on; to be called every TICK."""
        self.woke(now)
        dead = self.view.having(State.DEAD)
        before = self.health.word
        word, said = self.health.look(now, self.others_number + len(dead))
        if word != before or said:
            self.note(now, self.own, before, word, said or f"this node is {word}")
        if not self.health.may_bury:
            for suspicion in self.suspicions.values():
                suspicion.hold(now)
        if self.leaving or self.twin:
            return
        self.probing(now)
        self.bury(now)
        if now >= self.next_gossip:
            self.next_gossip = now + GOSSIP
            self.gossip(now)
            if word == "isolated":  # it may still be heard
                for number in self.some(self.others, 2 * FANOUT):
                    self.tell(number, [Ping(self.next_seq())], now)
        if now >= self.next_sync:
            self.next_sync = now + SYNC - self.rng.randrange(SYNC // 4)
            self.sync(now)
        if now >= self.next_dead:
            self.next_dead = now + DEAD_PROBE
            if dead:
                self.tell(self.rng.choice(dead), [Ping(self.next_seq())], now)

    def datagram(self, number: int, data: bytes, now: int) -> None:
        """Something came from a member's address."""
        self.woke(now)
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
                self.tell(number, [], now, first=number)
            return
        self.counters["received"] += 1
        self.take(number, frame, now)

    def woke(self, now: int) -> None:
        """If this process stood still, what it meant to say is old, and what it waited for says nothing."""
        gone = self.health.gap(now)
        if not gone:
            return
        self.rumours.clear()
        self.probe = None
        self.relayed.clear()
        self.heard_at.clear()
        for suspicion in self.suspicions.values():
            suspicion.hold(now)
        self.note(now, self.own, "ok", "paused", f"this node stood still for {gone / 1e6:.1f} s")

    def take(self, number: int, frame: Frame, now: int) -> None:
        """A frame of a member."""
        self.health.heard(now)
        self.heard_at[number] = now
        self.put(number, Record(frame.epoch, frame.incarnation, State.ALIVE), now, number, "it was heard")
        asked: list[Range] = []
        better: list[int] = []
        for message in frame.messages:
            match message:
                case Ping(seq):
                    self.tell(number, [Ack(seq)], now)
                case Ack(seq):
                    self.acked(number, seq, now)
                case Nack(seq):
                    if self.probe is not None and self.probe.seq == seq:
                        self.probe.asked.discard(number)
                case AskPing(seq, target):
                    if target < len(self.view) and target != self.own and len(self.relayed) < 64:
                        mine = self.next_seq()
                        self.relayed[mine] = (number, seq, now, target)
                        self.tell(target, [Ping(mine)], now)
                case Recorded(about, record, by):
                    if about < len(self.view):
                        self.put(about, record, now, by, f"told by {number}")
                        if self.view.records[about] > record:
                            better.append(about)
                            if record.state in (State.SUSPECT, State.DEAD):
                                self.rumours.again(about)  # whoever believes it has not heard better
                case Digest():
                    self.compare(number, message, now)
                case Range():
                    asked.append(message)
                case _:
                    self.other(number, message, now)
        if asked:  # the other side of a sync: what is known better here
            lacking = [n for r in asked for n in range(r.low, min(r.high, len(self.view)))]
            given = {m.number for m in frame.messages if isinstance(m, Recorded)}
            back = [
                n for n in lacking if n in better or (n not in given and self.view.records[n] > (0, 0, 0))
            ]
            for at in range(0, len(back), LEAF):
                self.tell(number, self.recorded(back[at : at + LEAF]), now, spare=True)

    # ---- records --------------------------------------------------------------------------------------

    def put(self, number: int, record: Record, now: int, by: int, reason: str) -> None:
        """Takes an account of a member in, whoever gave it."""
        if number == self.own and not self.leaving:
            self.of_self(record, now, by)
            return
        known = self.view.records[number]
        young = number in self.suspicions and now - self.suspicions[number].since < LEAST // 2
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
                self.rumours.add(number)
            return
        before = self.view.merge(number, record, now)
        if before is None:
            return
        if record.state == State.SUSPECT:
            self.suspicions[number] = Suspicion(now, by, self.others_number - 2)
        else:
            self.suspicions.pop(number, None)
        if record.state in (State.SUSPECT, State.DEAD):
            self.by[number] = by
        else:
            self.by.pop(number, None)
        if before.epoch or record.state != State.ALIVE:  # who has just begun is met by probes and syncs
            self.rumours.add(number)
        if record.state != before.state or record.epoch != before.epoch:
            self.note(now, number, before.state.name.lower(), record.state.name.lower(), reason)

    def of_self(self, record: Record, now: int, by: int) -> None:
        """What others say of this node: refuted, or outdone by a higher epoch."""
        me = self.me
        if record.epoch > me.epoch:
            if len(self.jumps) == MOST_JUMPS and now - self.jumps[0] < JUMPS_IN:
                if not self.twin:
                    self.twin = True
                    self.note(now, self.own, "ok", "twin", "another process has this node's number")
                return
            self.jumps.append(now)
            epoch = beyond(record.epoch, me.epoch)
            self.view.merge(self.own, Record(epoch, 0, State.ALIVE), now)
            self.counter = 0
            self.rumours.add(self.own)
        elif record.epoch == me.epoch and record > me:
            said = self.health.buried(now) if record.state == State.DEAD else ""
            self.health.worse()
            self.counters["refuted"] += 1
            self.view.merge(self.own, Record(me.epoch, record.incarnation + 1, State.ALIVE), now)
            self.rumours.add(self.own)
            for other in sorted({by, *self.some(self.others, 2 * FANOUT)} - {self.own}):
                if other < len(self.view):
                    self.tell(other, [], now)
            if record.state == State.DEAD or said:
                self.note(now, self.own, "dead", "alive", said or "refuted its death")

    def suspect(self, number: int, now: int, reason: str) -> None:
        record = self.view.records[number]
        if record.state == State.SUSPECT:
            self.put(number, record, now, self.own, reason)  # a confirmation
        elif record.state == State.ALIVE:
            self.put(number, record._replace(state=State.SUSPECT), now, self.own, reason)
        else:
            return
        self.tell(number, [], now)  # the suspect is told first

    def bury(self, now: int) -> None:
        """Suspects whose time is over are dead, unless they are heard."""
        if not self.health.may_bury:
            return
        crowd = (len(self.suspicions) - 1) * self.rumours.cost(len(self.view)) * 1_000_000 // BYTES_A_SECOND
        for number, suspicion in list(self.suspicions.items()):
            deadline = suspicion.deadline(crowd)
            if now < deadline:
                if now >= deadline - LAST_CALL and not suspicion.called:
                    suspicion.called = True
                    self.last_call(number, now)
                continue
            if self.heard_at.get(number, -1) > suspicion.since:
                suspicion.hold(now)
                continue
            record = self.view.records[number]._replace(state=State.DEAD)
            names = ", ".join(str(n) for n in sorted(suspicion.by))
            self.put(number, record, now, self.own, f"suspected by {names}, not refuted")

    def last_call(self, number: int, now: int) -> None:
        """Asks the suspect, and others what they know of it, before it is buried.

        Failure prevented: a rumour reaches all but one node by chance, and that one buries who has refuted.
        """
        self.tell(number, [Ping(self.next_seq())], now)
        for other in self.some([n for n in self.others if n != number], HELPERS):
            self.tell(other, [Range(number, number + 1), *self.recorded([number])], now)

    def heard(self, number: int, now: int) -> bool:
        return now - self.heard_at.get(number, -HEARD) < HEARD

    # ---- probes ---------------------------------------------------------------------------------------

    def probing(self, now: int) -> None:
        """The probe that is out, and the next one."""
        probe = self.probe
        if probe is not None and not probe.answered:
            gone = now - probe.since
            if now - probe.pinged >= self.health.scaled(AGAIN):
                probe.pinged = now
                self.tell(probe.target, [Ping(probe.seq)], now)
            waited = gone - (probe.rounds - 1) * self.health.scaled(PERIOD)
            if waited >= self.health.scaled(DIRECT) and not probe.asked:
                heard = [n for n in self.others if n != probe.target and self.heard(n, now)]
                helpers = self.some(heard or [n for n in self.others if n != probe.target], HELPERS)
                probe.asked = set(helpers)
                for helper in helpers:
                    self.tell(helper, [AskPing(probe.seq, probe.target)], now)
        for mine, (asker, seq, since, _) in list(self.relayed.items()):
            if now - since > PERIOD:
                del self.relayed[mine]
            elif now - since >= DIRECT:
                self.tell(asker, [Nack(seq)], now, spare=True)
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
            self.over(probe, now)
        target = self.next_target()
        self.probe = None
        if target is not None:
            self.probe = Probe(target, self.next_seq(), now)
            self.tell(target, [Ping(self.probe.seq)], now)

    def over(self, probe: Probe, now: int) -> None:
        """A probe's period has ended."""
        self.health.probed(probe.answered)
        if probe.answered:
            self.health.better()
        elif self.heard_at.get(probe.target, -1) < probe.since:
            self.health.worse()
            unheard = self.view.records[probe.target].epoch == 0
            if self.health.may_bury and not (unheard and now - self.view.since[probe.target] < START):
                self.suspect(probe.target, now, "no answer to a probe")

    def acked(self, number: int, seq: int, now: int) -> None:
        probe = self.probe
        if probe is not None and probe.seq == seq:
            probe.answered = True
            self.health.settled = True
        relayed = self.relayed.get(seq)
        if relayed is not None and relayed[3] == number:
            del self.relayed[seq]
            self.tell(relayed[0], [Ack(relayed[1])], now)

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

    # ---- what goes out --------------------------------------------------------------------------------

    def gossip(self, now: int) -> None:
        """Rumours go to some members by themselves."""
        if not len(self.rumours):
            return
        for number in self.some(self.others, FANOUT):
            self.tell(number, [], now, spare=True)

    def sync(self, now: int) -> None:
        others = self.others
        if others:
            whole = digest(self.view.records, 0, len(self.view))
            self.tell(self.rng.choice(others), [whole], now, spare=True)

    def compare(self, number: int, theirs: Digest, now: int) -> None:
        """Another's digest: what differs is sent, or looked at more closely."""
        parts = differing(self.view.records, theirs)
        for low, high in self.some(parts, MOST_RANGES_ANSWERED):
            if high - low > LEAF:
                self.tell(number, [digest(self.view.records, low, high)], now, spare=True)
            else:
                mine = [n for n in range(low, high) if self.view.records[n] > (0, 0, 0)]
                self.tell(number, [Range(low, high), *self.recorded(mine)], now, spare=True)

    def recorded(self, numbers: Iterable[int]) -> list[Recorded]:
        return [Recorded(n, self.view.records[n], self.by.get(n, NOBODY)) for n in numbers]

    def tell(
        self, number: int, messages: Sequence[Message], now: int, first: int = -1, spare: bool = False
    ) -> None:
        """Sends messages, and as many rumours as fit behind them. `spare`: only if bytes are to spare.

        What is known of the receiver itself goes first if it is not alive, so that it can refute.
        """
        self.allowance = min(BURST, self.allowance + (now - self.allowance_at) * BYTES_A_SECOND / 1e6)
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
            out += self.extra()
        room = ROOM - sum(len(packed(message)) for message in out)
        size = len(packed(Recorded(0, self.me)))
        if self.health.settled or self.leaving:
            given = {message.number for message in out if isinstance(message, Recorded)}
            most = room // size
            fits = self.rumours.take(most, len(self.view)) if most > 0 else ()
            out += self.recorded(n for n in fits if n not in given)
        self.counter += 1
        me = self.me
        frame = Frame(self.own, number, me.epoch, me.incarnation, self.counter, tuple(out))
        data = framed(self.keys, frame)
        self.allowance -= len(data)
        self.counters["sent"] += 1
        self.counters["bytes"] += len(data)
        self.send_to(number, data)

    def some(self, those: Sequence[T], most: int) -> list[T]:
        return self.rng.sample(those, min(most, len(those)))

    def note(self, now: int, number: int, before: str, after: str, reason: str) -> None:
        record = self.view.records[number]
        transition = Transition(now, number, before, after, record.epoch, record.incarnation, reason)
        self.transitions.append(transition)
        self.changed(transition)
