"""A node that comes back: its kept state, its peers' generations. Imported only with `[recovery]`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import SystemRandom
from time import time
from typing import Any

import msgspec

from brackenladder.cluster.wire import AskPiece, Holds, Message, Piece
from brackenladder.control.state import (
    DesiredState,
    StateError,
    canonical,
    check_references,
    digest,
    validate,
)
from brackenladder.node.members import Members
from brackenladder.node.pools import Pools
from brackenladder.recovery.fetch import StateFetch, piece_of
from brackenladder.recovery.generation import Comparison, Generation, KnownGenerations, compare
from brackenladder.recovery.startup import Phase, StartupRecovery
from brackenladder.storage.state_store import SavedState, StateStore

EVERY = 0.05  # seconds between two looks
GREET = 500_000  # microseconds between two rounds of asking who is there...
GREETED = 24  # ...so many of them at most
COUNTERS = 1 << 32  # generations are below it


class Recovery:
    """`members` carries what is said; `pools` has the state; `store` is None without `[state]`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pools: Pools,
        members: Members,
        store: StateStore | None,
        alone: bool,
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.pools = pools
        self.members = members
        self.store = store
        self.log = log
        self.known = KnownGenerations()
        self.random = SystemRandom()
        self.counter = 0
        self.fetch: StateFetch | None = None
        self.refused = ""  # why the newest state is not taken
        self.phases: list[tuple[Phase, int]] = []  # with the moment that each began
        self.startup = StartupRecovery(members.now(), len(members.detector.view) - 1, alone)
        self.timer: asyncio.TimerHandle | None = None
        self.writing: asyncio.Future[bool] | None = None
        self.unwritten: SavedState | None = None
        self.greet_at = 0
        pools.changed = self.applied
        members.detector.extra_messages = self.said
        members.detector.on_other_message = self.heard

    # ---- the start ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Takes what was kept, shuts the fronts, and begins to ask."""
        kept = self.store.load() if self.store is not None else None
        if kept is not None:
            why = self.take(kept.state.encode(), kept.counter, "kept")
            if why:
                self.log(f"recovery: the kept state {kept.counter} is not taken: {why}")
        self.look()

    def look(self) -> None:
        self.timer = self.loop.call_later(EVERY, self.look)
        now = self.members.now()
        for number in [n for n in self.known.heard if not self.members.there(n)]:
            self.known.forget(number)
        newest = self.known.newest(self.mine)
        if newest.digest == self.mine.digest and newest.counter > self.counter:
            self.counter = newest.counter  # the same state, by another count of changes
            self.keep()
        unheard = [n for n in self.members.detector.others if n not in self.known.heard]
        phase = self.startup.update(now, self.mine, self.known, self.refused, len(unheard))
        if phase in ("asking", "alone", "refusing") and now >= self.greet_at:
            self.greet_at = now + GREET
            for number in self.random.sample(unheard, min(len(unheard), GREETED)):
                self.members.detector.ping_member(number, now)
        if not self.phases or self.phases[-1][0] != phase:
            self.phases.append((phase, now))
            self.log(f"recovery: {phase}, generation {self.counter} {self.mine.digest}")
            if phase == "conflict":
                others = ", ".join(map(str, self.known.conflicts(self.mine)))
                self.log(
                    f"recovery: conflict: nodes {others} have another state under generation {newest.counter}"
                )
        self.pools.set_closed(not self.startup.serves)
        if phase in ("fetching", "behind") and not self.startup.settled and not self.refused:
            self.bring(newest, now)

    def bring(self, newest: Generation, now: int) -> None:
        """Asks for what is missing of the newest state."""
        if self.fetch is None or self.fetch.wanted != newest:
            self.fetch = StateFetch(newest, self.random)
        for want in self.fetch.due_requests(self.known.holders(newest), now):
            ask = AskPiece(bytes.fromhex(newest.digest), want.offset)
            self.members.detector.send_frame(want.holder, [ask], now)
        if self.fetch.failed:
            self.refused = self.fetch.failed

    # ---- the state ------------------------------------------------------------------------------------

    @property
    def mine(self) -> Generation:
        return Generation(self.counter, digest(canonical(self.pools.state)))

    def take(self, data: bytes, counter: int, whence: str) -> str:
        """Switches to a state in one step of the loop; why not, if it cannot."""
        try:
            desired: DesiredState = validate(msgspec.json.decode(data))
            check_references(desired, self.pools.config.classes, self.pools.config.tenants)
        except (StateError, msgspec.DecodeError, RecursionError) as e:
            return str(e)
        if not 0 <= counter < COUNTERS:
            return f"generation {counter}"
        self.pools.restore_state(desired)
        self.counter = counter
        self.log(f"recovery: took generation {counter} {self.mine.digest}, {whence}")
        return ""

    def applied(self) -> None:
        """An operator's plan was applied here."""
        self.counter = max(self.counter, self.known.newest(self.mine).counter) + 1
        self.refused = ""
        self.keep()

    def keep(self) -> None:
        """Writes the state, off the loop; the newest one if several come at once."""
        if self.store is None:
            return
        mine = self.mine
        kept = SavedState(mine.counter, mine.digest, canonical(self.pools.state).decode(), time())
        if self.writing is not None and not self.writing.done():
            self.unwritten = kept
            return
        self.writing = self.loop.run_in_executor(None, self.store.save, kept)
        self.writing.add_done_callback(self.written)

    def written(self, _: asyncio.Future[bool]) -> None:
        kept, self.unwritten = self.unwritten, None
        if kept is not None:
            self.keep()

    # ---- what members say -----------------------------------------------------------------------------

    def said(self) -> Sequence[Message]:
        mine = self.mine
        return (Holds(mine.counter, bytes.fromhex(mine.digest)),)

    def heard(self, number: int, message: Message, now: int) -> None:
        match message:
            case Holds(counter, about):
                self.known.record(number, Generation(counter, about.hex()))
            case AskPiece(about, offset):
                state = canonical(self.pools.state)
                piece = piece_of(state, offset)
                if about.hex() == self.mine.digest and piece is not None:
                    answer = Piece(about, offset, len(state), piece)
                    self.members.detector.send_frame(number, [answer], now, low_priority=True)
            case Piece(about, offset, size, data):
                fetch = self.fetch
                whole = fetch.receive_piece(about.hex(), offset, size, data) if fetch is not None else None
                if whole is not None and fetch is not None:
                    self.arrived(whole, fetch.wanted)

    def arrived(self, whole: bytes, wanted: Generation) -> None:
        """The newest state is here: judged by this node, and taken in one step if it still is the newest."""
        self.fetch = None
        if compare(self.mine, wanted) != Comparison.OLDER:
            return
        self.refused = self.take(whole, wanted.counter, "from others")
        if not self.refused:
            self.keep()
        self.look_again()

    def look_again(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.look()

    def end(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def shown(self) -> dict[str, Any]:
        """For `show`: the generation, the phase, and who has another one."""
        now, mine = self.members.now(), self.mine
        return {
            "generation": mine.counter,
            "digest": mine.digest,
            "phase": self.phases[-1][0] if self.phases else "asking",
            "phases": [{"phase": phase, "ago_ms": (now - at) // 1000} for phase, at in self.phases[-20:]],
            "settled": self.startup.settled,
            "refused": self.refused,
            "others": {
                str(n): {"generation": g.counter, "digest": g.digest, "stand": compare(mine, g).value}
                for n, g in sorted(self.known.heard.items())
            },
        }
