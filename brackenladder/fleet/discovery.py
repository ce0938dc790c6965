"""Discovery in virtual time: versions, whole lists and changes, calls that wait; and a node's watch on it."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random

from brackenladder.fleet.queue import Queue, Timer
from brackenladder.interface import ListKind, State
from brackenladder.membership.current_list import CurrentList, watch_wait_ms
from brackenladder.membership.listing import Line, Listing
from brackenladder.membership.watch_retry import ANSWER_TIMEOUT, WatchRetry, jittered_wait_ms
from brackenladder.rehearsal.events import Asked, Changed, Event, Hushed, Told, Untold
from brackenladder.rehearsal.plan import MICRO, Step

FETCH_TIME = 6.0  # seconds for the whole list, which comes here in one piece
FIRST_VERSION = (41, 7001)  # of each source of a tier; versions of one say nothing of the other's
Seen = tuple[tuple[str, str, int], ...]


class Ask:
    """A node's call."""

    __slots__ = ("node", "number", "since", "open", "watch", "timer")

    def __init__(self, node: str, number: int, since: int, watch: Watch) -> None:
        self.node = node
        self.number = number
        self.since = since
        self.watch = watch
        self.open = False
        self.timer: Timer | None = None


class Source:
    """One discovery of one tier: what it knows, and the calls that wait for more.

    `silent`: whether calls of a node go without an answer now. `lines_per_s`: what it can write; 0: no bound.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        queue: Queue,
        note: Callable[[Event], None],
        silent: Callable[[str], bool],
        lines_per_s: float,
    ) -> None:
        self.number = number
        self.seed = seed
        self.queue = queue
        self.note = note
        self.silent = silent
        self.lines_per_s = lines_per_s
        self.free_at = 0
        self.version = FIRST_VERSION[number % 2]
        self.lines: dict[str, Line] = {}
        self.changed: dict[str, int] = {}  # the version in which each line changed last
        self.snapshots: list[tuple[int, tuple[Line, ...]]] = []
        self.frozen: tuple[int, tuple[Line, ...]] | None = None  # an old version that is given instead
        self.half: set[str] | None = None  # ids that whole lists leave out
        self.waiting: dict[Ask, None] = {}
        self.answers: dict[int, tuple[Listing, Seen]] = {}  # of the present state, by the version asked from
        self.written = 0  # lines

    def begin_with(self, lines: list[Line]) -> None:
        """What stands before the run."""
        for line in lines:
            self.lines[line.id] = line
            self.changed[line.id] = self.version

    def put(self, line: Line) -> None:
        """Discovery knows from now on."""
        if not self.snapshots:  # the oldest is all that a fault gives
            self.snapshots.append((self.version, self.whole()))
        self.version += 1
        self.lines[line.id] = line
        self.changed[line.id] = self.version
        state, started = line.state.name.lower(), line.started // 1000
        self.note(Changed(self.queue.now, self.number, self.version, line.id, state, started))
        self.tell()

    def whole(self) -> tuple[Line, ...]:
        """The whole list: whoever is gone is not on it."""
        return tuple(line for line in self.lines.values() if line.state != State.GONE)

    def tell(self) -> None:
        self.answers.clear()
        for ask in list(self.waiting):
            self.answer(ask, False)

    def asked(self, ask: Ask, wait: int) -> None:
        """A call has come; one for changes waits so many microseconds for news."""
        ask.open = True
        self.note(Asked(self.queue.now, ask.node, ask.number, ask.since, wait))
        if self.silent(ask.node):
            return
        self.waiting[ask] = None
        if ask.since >= 0:
            ask.timer = self.queue.after(wait, self.answer, ask, True)
        self.answer(ask, ask.since < 0)

    def hung_up(self, ask: Ask) -> None:
        """The node has ended its call."""
        self.waiting.pop(ask, None)
        if ask.timer is not None:
            ask.timer.cancel()
        if ask.open:
            ask.open = False
            self.note(Untold(self.queue.now, ask.node, ask.number))

    def answer(self, ask: Ask, now_or_never: bool) -> None:
        """Answers a call if there is news for it, or if its wait is over."""
        if not ask.open or ask not in self.waiting:
            return
        frozen = self.frozen
        news = ask.since != frozen[0] if frozen is not None else ask.since != self.version
        if news or now_or_never:
            self.write(ask)

    def listing(self, since: int) -> tuple[Listing, Seen]:
        """What a call from a version is told now, as a listing and as the journal has it."""
        known = self.answers.get(since)
        if known is not None:
            return known
        version, kind = self.version, ListKind.CHANGES
        if self.frozen is not None:
            version, lines = self.frozen
            if since == version:
                lines = ()
            else:
                kind = ListKind.FULL
        elif since < 0 or since > version or (self.half is not None and since < version):
            kind = ListKind.FULL
            lines = tuple(line for line in self.whole() if self.half is None or line.id not in self.half)
        else:
            lines = tuple(line for line in self.lines.values() if self.changed[line.id] > since)
        seen = tuple((line.id, line.state.name.lower(), line.started // 1000) for line in lines)
        known = self.answers[since] = Listing(kind, version, lines), seen
        return known

    def write(self, ask: Ask) -> None:
        """An answer goes out, as fast as discovery can write."""
        self.waiting.pop(ask, None)
        if ask.timer is not None:
            ask.timer.cancel()
        listing, seen = self.listing(ask.since)
        self.written += len(seen)
        if not self.lines_per_s:
            self.wrote(ask, listing, seen)
            return
        took = round(len(seen) / self.lines_per_s * MICRO)
        self.free_at = max(self.free_at, self.queue.now) + took
        self.queue.at(self.free_at, self.wrote, ask, listing, seen)

    def wrote(self, ask: Ask, listing: Listing, seen: Seen) -> None:
        """The last byte of an answer is written: from this moment on the node can know."""
        if not ask.open:
            return
        ask.open = False
        full = listing.kind != ListKind.CHANGES
        self.note(Told(self.queue.now, ask.node, ask.number, self.number, listing.version, full, seen))
        ask.watch.handed(self.number, listing)
        self.queue.after(ask.watch.way, ask.watch.answered, ask, listing)

    # ---- faults ---------------------------------------------------------------------------------------

    def begin(self, step: Step) -> None:
        if step.kind == "half-list":
            names = sorted(line.id for line in self.whole())
            self.half = set(Random(f"half {self.seed} {step.at}").sample(names, len(names) // 2))
            self.version += 1
            self.tell()
        elif step.kind == "old-list":
            self.frozen = self.snapshots[0] if self.snapshots else (self.version, self.whole())
            self.tell()
        elif step.kind == "silence":
            self.waiting.clear()

    def end(self, step: Step) -> None:
        if step.kind == "half-list" and self.half is not None:
            # The lines that were left out are news again to whoever was given the half.
            self.version += 1
            for name in self.half:
                self.changed[name] = self.version
            self.half = None
            self.tell()
        elif step.kind == "old-list":
            self.frozen = None
            self.tell()

    def drop(self, node: str, hushed: bool = False) -> None:
        """The calls that a node has out are not answered any more; `hushed`: discovery itself goes on."""
        for ask in [ask for ask in self.waiting if ask.node == node]:
            del self.waiting[ask]
            if hushed:
                self.note(Hushed(self.queue.now, node, ask.number))


class Watch:
    """A node's calls to its discovery, as `discovery/watch.py` makes them: renewed at once, failed in time.

    `told` hears of each list, and None of a call that failed; `handed` of a list as its source writes it.
    """

    def __init__(
        self,
        node: str,
        source: Source,
        known: Listing,
        nodes: int,
        way: int,
        queue: Queue,
        told: Callable[[Listing | None], None],
        handed: Callable[[int, Listing], None],
        numbers: Callable[[], int],
    ) -> None:
        self.node = node
        self.source = source
        self.in_hand = CurrentList(known, queue.now / MICRO)
        self.wait = watch_wait_ms(nodes)
        self.way = way
        self.queue = queue
        self.told = told
        self.handed = handed
        self.numbers = numbers
        self.watching: Ask | None = None
        self.fetching: Ask | None = None
        self.timers: dict[Ask, Timer] = {}
        self.closed = False
        self.random = Random(f"watch {node} {queue.now}")
        self.silence = WatchRetry()
        self.reopening: Timer | None = None

    def watch(self, on: bool) -> None:
        """Begins or ends the watch. One that is on already stays."""
        if self.closed:
            return
        if self.reopening is not None:
            self.reopening.cancel()
            self.reopening = None
        if on and self.watching is None:
            self.renew()
        elif not on and self.watching is not None:
            self.hang_up(self.watching)
            self.watching = None

    def renew(self) -> None:
        version = self.in_hand.version
        if version is None:
            self.watching = self.ask(-1, 0, FETCH_TIME)
        else:
            wait = jittered_wait_ms(self.wait, self.random.random())
            self.watching = self.ask(version, wait, wait / 1000 + ANSWER_TIMEOUT)

    def fetch(self) -> None:
        """Asks for the whole list, unless such a call is out already."""
        if self.fetching is None and not self.closed:
            self.fetching = self.ask(-1, 0, FETCH_TIME)

    def ask(self, since: int, wait: int, time: float) -> Ask:
        ask = Ask(self.node, self.numbers(), since, self)
        self.queue.after(self.way, self.source.asked, ask, wait * 1000)
        self.timers[ask] = self.queue.call_later(time, self.failed, ask)
        return ask

    def hang_up(self, ask: Ask) -> None:
        timer = self.timers.pop(ask, None)
        if timer is not None:
            timer.cancel()
            self.queue.after(self.way, self.source.hung_up, ask)

    def failed(self, ask: Ask) -> None:
        """A call was not answered in time."""
        self.hang_up(ask)
        if ask is not self.watching:
            self.fetching = None
            self.told(None)
            return
        self.watching = None
        pause = self.silence.failed(True, self.random.random())
        if pause is None:
            self.told(None)
        elif pause > 0:
            self.reopening = self.queue.call_later(pause, self.watch, True)
        else:
            self.watch(True)

    def answered(self, ask: Ask, listing: Listing) -> None:
        timer = self.timers.pop(ask, None)
        if timer is None:  # hung up
            return
        timer.cancel()
        news = self.in_hand.accept(listing, self.queue.now / MICRO)
        if ask is self.fetching:
            self.fetching = None
            self.told(news)
            return
        if news is None:
            self.watching = None
            self.told(None)
            return
        self.silence.answered()
        self.told(news)
        if self.watching is ask:
            self.renew()

    def move(self, source: Source) -> None:
        """Asks another discovery from now on: versions are numbered otherwise there."""
        for ask in (self.watching, self.fetching):
            if ask is not None:
                self.hang_up(ask)
        self.watching = self.fetching = None
        self.source = source
        self.silence = WatchRetry()
        self.in_hand = self.in_hand.for_new_discovery(self.queue.now / MICRO)
        self.watch(True)

    def close(self) -> None:
        """The node has ended."""
        self.closed = True
        for ask in (self.watching, self.fetching):
            if ask is not None:
                self.hang_up(ask)


def numbered() -> Callable[[], int]:
    """Numbers of the calls of a run."""
    numbers = count(1)
    return lambda: next(numbers)
