"""Recovery at a node's start: its saved state, and newer state from other nodes.

Each state has a generation: a counter of changes and a digest. Imported only if the operator file has
`[recovery]`.
"""

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

POLL_INTERVAL = 0.05  # seconds between two checks of the progress of recovery
PING_INTERVAL = 500_000  # microseconds between two rounds of pinging nodes that haven't answered
MAX_PINGS = 24  # nodes pinged in one round
COUNTER_LIMIT = 1 << 32  # every counter of state changes is smaller


class Recovery:
    """Recovers the state of `pools` and keeps it saved.

    `members` carries the messages to and from other nodes. `store` is None if the operator file has no
    `[state]`. `serve_alone`: whether to serve even if no other node answers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pools: Pools,
        members: Members,
        store: StateStore | None,
        serve_alone: bool,
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
        self.refused = ""  # why the newest state was not accepted
        self.phases: list[tuple[Phase, int]] = []  # the phases so far, with the time at which each began
        self.startup = StartupRecovery(members.now(), len(members.detector.view) - 1, serve_alone)
        self.timer: asyncio.TimerHandle | None = None
        self.writing: asyncio.Future[bool] | None = None
        self.unwritten: SavedState | None = None
        self.next_ping_at = 0
        pools.changed = self.on_plan_applied
        members.detector.extra_messages = self.messages_to_send
        members.detector.on_other_message = self.on_message

    # ---- the start ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Applies the saved state and starts to poll. Requests are refused until recovery allows service."""
        saved = self.store.load() if self.store is not None else None
        if saved is not None:
            why = self.apply_state(saved.state.encode(), saved.counter, "kept")
            if why:
                self.log(f"recovery: the saved state {saved.counter} is rejected: {why}")
        self.poll()

    def poll(self) -> None:
        self.timer = self.loop.call_later(POLL_INTERVAL, self.poll)
        now = self.members.now()
        for number in [n for n in self.known.heard if not self.members.is_present(n)]:
            self.known.forget(number)
        newest = self.known.newest(self.mine)
        if newest.digest == self.mine.digest and newest.counter > self.counter:
            self.counter = newest.counter  # another node has the same state under a higher counter of changes
            self.save()
        unheard = [n for n in self.members.detector.others if n not in self.known.heard]
        phase = self.startup.update(now, self.mine, self.known, self.refused, len(unheard))
        if phase in ("asking", "alone", "refusing") and now >= self.next_ping_at:
            self.next_ping_at = now + PING_INTERVAL
            for number in self.random.sample(unheard, min(len(unheard), MAX_PINGS)):
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
            self.fetch_state(newest, now)

    def fetch_state(self, newest: Generation, now: int) -> None:
        """Requests the missing pieces of the newest state."""
        if self.fetch is None or self.fetch.wanted != newest:
            self.fetch = StateFetch(newest, self.random)
        for due in self.fetch.due_requests(self.known.holders(newest), now):
            request = AskPiece(bytes.fromhex(newest.digest), due.offset)
            self.members.detector.send_frame(due.holder, [request], now)
        if self.fetch.failed:
            self.refused = self.fetch.failed

    # ---- the state ------------------------------------------------------------------------------------

    @property
    def mine(self) -> Generation:
        return Generation(self.counter, digest(canonical(self.pools.state)))

    def apply_state(self, data: bytes, counter: int, source: str) -> str:
        """Switches to a state within one loop iteration. Returns why it can't, or ""."""
        try:
            desired: DesiredState = validate(msgspec.json.decode(data))
            check_references(desired, self.pools.config.classes, self.pools.config.tenants)
        except (StateError, msgspec.DecodeError, RecursionError) as e:
            return str(e)
        if not 0 <= counter < COUNTER_LIMIT:
            return f"generation {counter}"
        self.pools.restore_state(desired)
        self.counter = counter
        self.log(f"recovery: applied generation {counter} {self.mine.digest}, {source}")
        return ""

    def on_plan_applied(self) -> None:
        """Numbers the state anew (a new generation) after an operator's plan changed it here."""
        self.counter = max(self.counter, self.known.newest(self.mine).counter) + 1
        self.refused = ""
        self.save()

    def save(self) -> None:
        """Writes the state in another thread. During a write, only the newest of further states is queued."""
        if self.store is None:
            return
        mine = self.mine
        state = SavedState(mine.counter, mine.digest, canonical(self.pools.state).decode(), time())
        if self.writing is not None and not self.writing.done():
            self.unwritten = state
            return
        self.writing = self.loop.run_in_executor(None, self.store.save, state)
        self.writing.add_done_callback(self.on_written)

    def on_written(self, _: asyncio.Future[bool]) -> None:
        state, self.unwritten = self.unwritten, None
        if state is not None:
            self.save()

    # ---- messages between nodes -----------------------------------------------------------------------

    def messages_to_send(self) -> Sequence[Message]:
        mine = self.mine
        return (Holds(mine.counter, bytes.fromhex(mine.digest)),)

    def on_message(self, number: int, message: Message, now: int) -> None:
        match message:
            case Holds(counter, state_digest):
                self.known.record(number, Generation(counter, state_digest.hex()))
            case AskPiece(state_digest, offset):
                state = canonical(self.pools.state)
                piece = piece_of(state, offset)
                if state_digest.hex() == self.mine.digest and piece is not None:
                    answer = Piece(state_digest, offset, len(state), piece)
                    self.members.detector.send_frame(number, [answer], now, low_priority=True)
            case Piece(state_digest, offset, size, data):
                fetch = self.fetch
                complete = (
                    fetch.receive_piece(state_digest.hex(), offset, size, data) if fetch is not None else None
                )
                if complete is not None and fetch is not None:
                    self.on_fetched(complete, fetch.wanted)

    def on_fetched(self, data: bytes, wanted: Generation) -> None:
        """Validates and applies a completely fetched state if it is still newer than this node's."""
        self.fetch = None
        if compare(self.mine, wanted) != Comparison.OLDER:
            return
        self.refused = self.apply_state(data, wanted.counter, "from others")
        if not self.refused:
            self.save()
        self.poll_now()

    def poll_now(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.poll()

    def end(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def status(self) -> dict[str, Any]:
        """Returns the recovery part of the command `show`: phases, and this and other nodes' generations."""
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
