"""Discovery in virtual time: versioned server lists, long-poll calls, and a node's watch on them."""

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

FETCH_TIMEOUT = 6.0  # seconds to wait for a full list
FIRST_VERSION = (41, 7001)  # first versions of the two sources of a tier, which count independently
ListedLines = tuple[tuple[str, str, int], ...]


class ListCall:
    """A node's call for a list or for changes since a version."""

    __slots__ = ("node", "number", "known_version", "open", "watch", "timer")

    def __init__(self, node: str, number: int, known_version: int, watch: Watch) -> None:
        self.node = node
        self.number = number
        self.known_version = known_version
        self.watch = watch
        self.open = False
        self.timer: Timer | None = None


class Source:
    """One of the two discovery services of a tier: its server list and the waiting calls.

    `silent`: whether it currently leaves a node's calls unanswered. `lines_per_s`: its output rate; 0: no
    limit.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        queue: Queue,
        record: Callable[[Event], None],
        silent: Callable[[str], bool],
        lines_per_s: float,
    ) -> None:
        self.number = number
        self.seed = seed
        self.queue = queue
        self.record = record
        self.silent = silent
        self.lines_per_s = lines_per_s
        self.free_at = 0
        self.version = FIRST_VERSION[number % 2]
        self.lines: dict[str, Line] = {}
        self.changed_in: dict[str, int] = {}  # version that last changed each server's line
        self.snapshots: list[tuple[int, tuple[Line, ...]]] = []
        self.old_list: tuple[int, tuple[Line, ...]] | None = None  # old list served during an old-list fault
        self.omitted_ids: set[str] | None = None  # ids left out of full lists by a half-list fault
        self.waiting: dict[ListCall, None] = {}
        self.answer_cache: dict[
            int, tuple[Listing, ListedLines]
        ] = {}  # answers with the current version, by the version that the caller has
        self.lines_written = 0

    def set_initial_lines(self, lines: list[Line]) -> None:
        """Sets the server list at the start of the run, one line per server, without a new version."""
        for line in lines:
            self.lines[line.id] = line
            self.changed_in[line.id] = self.version

    def update_line(self, line: Line) -> None:
        """Changes a line, which creates a new version, and answers waiting calls."""
        if not self.snapshots:  # only the oldest list is needed, by the old-list fault
            self.snapshots.append((self.version, self.full_list()))
        self.version += 1
        self.lines[line.id] = line
        self.changed_in[line.id] = self.version
        state, started = line.state.name.lower(), line.started // 1000
        self.record(Changed(self.queue.now, self.number, self.version, line.id, state, started))
        self.notify_waiting()

    def full_list(self) -> tuple[Line, ...]:
        """The full list, without servers that are gone."""
        return tuple(line for line in self.lines.values() if line.state != State.GONE)

    def notify_waiting(self) -> None:
        self.answer_cache.clear()
        for call in list(self.waiting):
            self.answer_if_due(call, False)

    def receive_call(self, call: ListCall, wait: int) -> None:
        """Receives a call; one for changes waits up to `wait` microseconds for a new version."""
        call.open = True
        self.record(Asked(self.queue.now, call.node, call.number, call.known_version, wait))
        if self.silent(call.node):
            return
        self.waiting[call] = None
        if call.known_version >= 0:
            call.timer = self.queue.after(wait, self.answer_if_due, call, True)
        self.answer_if_due(call, call.known_version < 0)

    def call_cancelled(self, call: ListCall) -> None:
        """Handles the cancellation of a call by its node."""
        self.waiting.pop(call, None)
        if call.timer is not None:
            call.timer.cancel()
        if call.open:
            call.open = False
            self.record(Untold(self.queue.now, call.node, call.number))

    def answer_if_due(self, call: ListCall, wait_over: bool) -> None:
        """Answers a call if there is a newer version for it or its wait is over."""
        if not call.open or call not in self.waiting:
            return
        old_list = self.old_list
        news = (
            call.known_version != old_list[0] if old_list is not None else call.known_version != self.version
        )
        if news or wait_over:
            self.start_answer(call)

    def listing(self, known_version: int) -> tuple[Listing, ListedLines]:
        """The answer to a caller that has `known_version`: as a listing, and as the event log records it."""
        known = self.answer_cache.get(known_version)
        if known is not None:
            return known
        version, kind = self.version, ListKind.CHANGES
        if self.old_list is not None:
            version, lines = self.old_list
            if known_version == version:
                lines = ()
            else:
                kind = ListKind.FULL
        elif (
            known_version < 0
            or known_version > version
            or (self.omitted_ids is not None and known_version < version)
        ):
            kind = ListKind.FULL
            lines = tuple(
                line
                for line in self.full_list()
                if self.omitted_ids is None or line.id not in self.omitted_ids
            )
        else:
            lines = tuple(line for line in self.lines.values() if self.changed_in[line.id] > known_version)
        seen = tuple((line.id, line.state.name.lower(), line.started // 1000) for line in lines)
        known = self.answer_cache[known_version] = Listing(kind, version, lines), seen
        return known

    def start_answer(self, call: ListCall) -> None:
        """Starts to write an answer, at the rate `lines_per_s`."""
        self.waiting.pop(call, None)
        if call.timer is not None:
            call.timer.cancel()
        listing, seen = self.listing(call.known_version)
        self.lines_written += len(seen)
        if not self.lines_per_s:
            self.finish_answer(call, listing, seen)
            return
        took = round(len(seen) / self.lines_per_s * MICRO)
        self.free_at = max(self.free_at, self.queue.now) + took
        self.queue.at(self.free_at, self.finish_answer, call, listing, seen)

    def finish_answer(self, call: ListCall, listing: Listing, seen: ListedLines) -> None:
        """The last byte of the answer is written; the node counts as informed from now on."""
        if not call.open:
            return
        call.open = False
        full = listing.kind != ListKind.CHANGES
        self.record(Told(self.queue.now, call.node, call.number, self.number, listing.version, full, seen))
        call.watch.on_written(self.number, listing)
        self.queue.after(call.watch.delay, call.watch.answer_arrived, call, listing)

    # ---- faults ---------------------------------------------------------------------------------------

    def begin_fault(self, step: Step) -> None:
        if step.kind == "half-list":
            names = sorted(line.id for line in self.full_list())
            self.omitted_ids = set(Random(f"half {self.seed} {step.at}").sample(names, len(names) // 2))
            self.version += 1
            self.notify_waiting()
        elif step.kind == "old-list":
            self.old_list = self.snapshots[0] if self.snapshots else (self.version, self.full_list())
            self.notify_waiting()
        elif step.kind == "silence":
            self.waiting.clear()

    def end_fault(self, step: Step) -> None:
        if step.kind == "half-list" and self.omitted_ids is not None:
            # Marks the omitted lines as changed, so that nodes that got the list without them receive them.
            self.version += 1
            for name in self.omitted_ids:
                self.changed_in[name] = self.version
            self.omitted_ids = None
            self.notify_waiting()
        elif step.kind == "old-list":
            self.old_list = None
            self.notify_waiting()

    def drop_calls(self, node: str, hushed: bool = False) -> None:
        """Leaves the open calls of a node unanswered; `hushed` records that for each of them."""
        for call in [call for call in self.waiting if call.node == node]:
            del self.waiting[call]
            if hushed:
                self.record(Hushed(self.queue.now, node, call.number))


class Watch:
    """A node's calls to its discovery service, like `discovery/watch.py`: renewed at once, with a timeout.

    `on_list` is called with each list, or with None for a failed call; `on_written` when a source has
    written a list.
    """

    def __init__(
        self,
        node: str,
        source: Source,
        known: Listing,
        nodes: int,
        delay: int,
        queue: Queue,
        on_list: Callable[[Listing | None], None],
        on_written: Callable[[int, Listing], None],
        call_numbers: Callable[[], int],
    ) -> None:
        self.node = node
        self.source = source
        self.current = CurrentList(known, queue.now / MICRO)
        self.wait = watch_wait_ms(nodes)
        self.delay = delay
        self.queue = queue
        self.on_list = on_list
        self.on_written = on_written
        self.call_numbers = call_numbers
        self.watching: ListCall | None = None
        self.fetching: ListCall | None = None
        self.timers: dict[ListCall, Timer] = {}
        self.closed = False
        self.random = Random(f"watch {node} {queue.now}")
        self.retry = WatchRetry()
        self.reopen_timer: Timer | None = None

    def watch(self, on: bool) -> None:
        """Starts or stops the watch; does nothing if it is already started or stopped."""
        if self.closed:
            return
        if self.reopen_timer is not None:
            self.reopen_timer.cancel()
            self.reopen_timer = None
        if on and self.watching is None:
            self.open_watch()
        elif not on and self.watching is not None:
            self.cancel_call(self.watching)
            self.watching = None

    def open_watch(self) -> None:
        version = self.current.version
        if version is None:
            self.watching = self.call(-1, 0, FETCH_TIMEOUT)
        else:
            wait = jittered_wait_ms(self.wait, self.random.random())
            self.watching = self.call(version, wait, wait / 1000 + ANSWER_TIMEOUT)

    def fetch(self) -> None:
        """Requests the full list unless such a call is open."""
        if self.fetching is None and not self.closed:
            self.fetching = self.call(-1, 0, FETCH_TIMEOUT)

    def call(self, known_version: int, wait: int, time: float) -> ListCall:
        call = ListCall(self.node, self.call_numbers(), known_version, self)
        self.queue.after(self.delay, self.source.receive_call, call, wait * 1000)
        self.timers[call] = self.queue.call_later(time, self.call_failed, call)
        return call

    def cancel_call(self, call: ListCall) -> None:
        timer = self.timers.pop(call, None)
        if timer is not None:
            timer.cancel()
            self.queue.after(self.delay, self.source.call_cancelled, call)

    def call_failed(self, call: ListCall) -> None:
        """Handles a call that timed out: cancels it and retries the watch."""
        self.cancel_call(call)
        if call is not self.watching:
            self.fetching = None
            self.on_list(None)
            return
        self.watching = None
        pause = self.retry.failed(True, self.random.random())
        if pause is None:
            self.on_list(None)
        elif pause > 0:
            self.reopen_timer = self.queue.call_later(pause, self.watch, True)
        else:
            self.watch(True)

    def answer_arrived(self, call: ListCall, listing: Listing) -> None:
        timer = self.timers.pop(call, None)
        if timer is None:  # the call was cancelled
            return
        timer.cancel()
        news = self.current.accept(listing, self.queue.now / MICRO)
        if call is self.fetching:
            self.fetching = None
            self.on_list(news)
            return
        if news is None:
            self.watching = None
            self.on_list(None)
            return
        self.retry.answered()
        self.on_list(news)
        if self.watching is call:
            self.open_watch()

    def switch_source(self, source: Source) -> None:
        """Switches to another discovery service, whose versions are independent."""
        for call in (self.watching, self.fetching):
            if call is not None:
                self.cancel_call(call)
        self.watching = self.fetching = None
        self.source = source
        self.retry = WatchRetry()
        self.current = self.current.for_new_discovery(self.queue.now / MICRO)
        self.watch(True)

    def close(self) -> None:
        """Cancels the open discovery calls when the node ends, and marks the client as closed."""
        self.closed = True
        for call in (self.watching, self.fetching):
            if call is not None:
                self.cancel_call(call)


def call_numbering() -> Callable[[], int]:
    """Returns a generator of call numbers for one run."""
    call_numbers = count(1)
    return lambda: next(call_numbers)
