"""Drives the replica inside the event loop: its clock, its store, its messages and the state machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import logbook
from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.catalog.catalog import Catalog, SnapshotError
from brackenladder.catalog.orders import Outcome
from brackenladder.consensus.command_parts import CommandAssembler
from brackenladder.consensus.messages import UNKNOWN_AGE
from brackenladder.consensus.replica import Output, Replica, Role
from brackenladder.consensus.types import Entry, Member, Snapshot, Write
from brackenladder.control_plane.errors import Unavailable
from brackenladder.storage.log_store import StoreError
from brackenladder.storage.writer import LogWriter

LEADER_TICK_SECONDS = 0.03
FOLLOWER_TICK_SECONDS = 0.05

OrderResult = Result[Outcome, Unavailable]
ReadResult = Result[None, Unavailable]

log = logbook.Logger("consensus")


@frozen
class PendingProposal:
    """A proposal of this leader that is not committed yet."""

    term: int
    answer: asyncio.Future[OrderResult]


class ConsensusHost:
    """The one place that calls the replica.

    Outputs are taken once for all that arrives in one turn of the event loop, so that messages of several
    peers share a write of the store. A store that hangs holds up its own thread only.
    """

    def __init__(
        self,
        replica: Replica,
        writer: LogWriter,
        catalog: Catalog,
        clock: Callable[[], int],
        send: Callable[[str, object], None],
        on_catalog_changed: Callable[[], None],
    ) -> None:
        self.replica = replica
        self.catalog = catalog
        self.applied_index = 0
        self._writer = writer
        self._clock = clock
        self._send = send
        self._on_catalog_changed = on_catalog_changed
        self._loop = asyncio.get_running_loop()
        self._proposals: dict[int, PendingProposal] = {}
        self._reads: dict[int, asyncio.Future[ReadResult]] = {}
        self._last_read_token = 0
        self._compacted_index = 0
        self._bytes_since_compaction = 0
        self._output_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._leader_id = ""
        self._leader_changed: asyncio.Event = asyncio.Event()
        self._revision_changed: asyncio.Event = asyncio.Event()  # of the catalog; each change makes a new one
        self._assembler = CommandAssembler()
        self._snapshot_error: SnapshotError | None = None  # why the catalog is not what the log says
        self._closed = False

    def start(self) -> None:
        """Takes the state that the store held and begins to tick."""
        self._take_output()
        self._tick()

    def close(self) -> None:
        """No more ticks; calls that wait get no clear answer."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._fail_pending()

    @property
    def leads(self) -> bool:
        """This replica is the leader, as far as it knows."""
        return self.replica.role is Role.LEADER

    @property
    def leader(self) -> Member | None:
        """The leader that this replica knows of."""
        return self.replica.leader

    def contact_age(self) -> int:
        """Microseconds since the last contact with a quorum, as the leader or by way of it."""
        if self._snapshot_error is not None:
            return UNKNOWN_AGE
        return self._clock() - self.replica.quorum_contact_at

    def catalog_age(self) -> int:
        """Microseconds since a moment up to which all that was committed is in the catalog here.

        Failure prevented: this node hears its leader, but entries or a snapshot are still on their way, and
        what it tells by its catalog has been replaced.
        """
        if self._snapshot_error is not None:
            return UNKNOWN_AGE
        return self._clock() - self.replica.up_to_date_at

    def lacks_committed(self) -> bool:
        """Whether something is known to be committed that the catalog here does not hold yet."""
        return self.replica.lacks_committed or self.applied_index < self.replica.commit_index

    @property
    def leader_changed(self) -> asyncio.Event:
        """Is set, once, when the known leader changes; each change makes a new event."""
        return self._leader_changed

    async def wait_for_leader_change(self, timeout: float) -> None:
        """Waits until another leader is known, at most `timeout` seconds.

        Failure prevented: `asyncio.wait_for` (before Python 3.12) drops a cancellation that comes in the turn
        in which the leader changes; a caller's own time limit has then passed unseen, and it waits for ever.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._leader_changed.wait()

    def step(self, sender: str, message: object) -> None:
        """A message of another replica has arrived."""
        if self._closed:
            return
        self.replica.step(self._clock(), sender, message)
        self._schedule_output()

    def peer_connected(self, replica_id: str) -> None:
        """A link to another replica has come up."""
        if not self._closed:
            self.replica.link_up(self._clock(), replica_id)
            self._schedule_output()

    def join(self, member: Member) -> None:
        """Another node asks to be taken in; only a leader acts on it."""
        if self._closed or not self.leads:
            return
        self.replica.join(self._clock(), member)
        self._schedule_output()

    def transfer_leadership(self) -> None:
        """Hands leadership over before a planned end."""
        self.replica.transfer_leadership(self._clock())
        self._schedule_output()

    async def wait_for_revision(self, revision: int) -> None:
        """Returns once the catalog here is as new as `revision`."""
        while self.catalog.revision < revision:
            await self._revision_changed.wait()

    async def propose(self, data: bytes) -> OrderResult:
        """The catalog's answer once the command is committed; a failure leaves its fate open."""
        if self._closed or self._snapshot_error is not None:
            return Failure(Unavailable.NO_LEADER)
        match self.replica.propose(self._clock(), data):
            case Success(place):
                pending = PendingProposal(place.term, self._loop.create_future())
                self._proposals[place.index] = pending
                self._schedule_output()
            case _:
                return Failure(Unavailable.NO_LEADER)
        try:
            return await pending.answer
        finally:
            if self._proposals.get(place.index) is pending:
                del self._proposals[place.index]

    async def confirm_read(self) -> ReadResult:
        """Success once the catalog here holds all that was acknowledged before the call; leaders only."""
        if self._closed or self._snapshot_error is not None:
            return Failure(Unavailable.NO_LEADER)
        self._last_read_token += 1
        token = self._last_read_token
        match self.replica.read(self._clock(), token):
            case Success(_):
                confirmed: asyncio.Future[ReadResult] = self._loop.create_future()
                self._reads[token] = confirmed
                self._schedule_output()
            case _:
                return Failure(Unavailable.NO_LEADER)
        try:
            return await confirmed
        finally:
            self._reads.pop(token, None)

    def _tick(self) -> None:
        self.replica.tick(self._clock())
        if self._snapshot_error is not None and self.leads:
            self.replica.transfer_leadership(self._clock())
        self._take_output()
        pause = FOLLOWER_TICK_SECONDS if self.replica.role is Role.FOLLOWER else LEADER_TICK_SECONDS
        self._timer = self._loop.call_later(pause, self._tick)

    def _schedule_output(self) -> None:
        if not self._output_scheduled:
            self._output_scheduled = True
            self._loop.call_soon(self._take_output)

    def _take_output(self) -> None:
        self._output_scheduled = False
        if self._closed:
            return
        output = self.replica.take_output()
        for outgoing in output.messages:
            self._send(outgoing.to, outgoing.message)
        for write in output.writes:
            self._writer.submit(write, self._write_finished)
        self._apply(output)
        self._resolve_reads(output)
        self._check_leader()
        if output.committed:
            self._compact_if_due()

    def _write_finished(self, write: Write, result: Result[None, StoreError]) -> None:
        if self._closed:
            return
        match result:
            case Success(_):
                self.replica.persisted(self._clock(), write.token)
            case Failure(error):
                log.error("store refuses a write: {}", error)
                self.replica.write_failed(self._clock(), write.token)
        self._schedule_output()

    def _apply(self, output: Output) -> None:
        revision = self.catalog.revision
        if output.restore is not None:
            self._restore(output.restore)
        for entry in output.committed:
            self._apply_entry(entry)
        if self.catalog.revision != revision:
            self._revision_changed.set()
            self._revision_changed = asyncio.Event()
            self._on_catalog_changed()

    def _restore(self, snapshot: Snapshot) -> None:
        """Takes a snapshot's state. One that this program can't read leaves the node without a say.

        It goes on as a replica of the log, and hands over leadership, until it gets one that it can read.
        """
        self.applied_index = snapshot.index
        self._compacted_index = snapshot.index
        self._bytes_since_compaction = 0
        self._assembler.reset()
        try:
            self.catalog.restore(snapshot.data)
        except SnapshotError as error:
            log.error("snapshot at {} can't be read, this node answers nothing: {}", snapshot.index, error)
            self._snapshot_error = error
        else:
            self._snapshot_error = None

    def _apply_entry(self, entry: Entry) -> None:
        self.applied_index = entry.index
        self._bytes_since_compaction += len(entry.data)
        answer: OrderResult = Failure(Unavailable.LOST)
        command = self._assembler.take(entry)
        if command is not None and self._snapshot_error is None:
            answer = Success(self.catalog.apply(entry.index, command))
        pending = self._proposals.pop(entry.index, None)
        if pending is None or pending.answer.done():
            return
        pending.answer.set_result(answer if pending.term == entry.term else Failure(Unavailable.LOST))

    def _resolve_reads(self, output: Output) -> None:
        for ready in output.reads:
            self._resolve_read(ready.token, Success(None))
        for token in output.reads_failed:
            self._resolve_read(token, Failure(Unavailable.LOST))

    def _resolve_read(self, token: int, result: ReadResult) -> None:
        confirmed = self._reads.pop(token, None)
        if confirmed is not None and not confirmed.done():
            confirmed.set_result(result)

    def _check_leader(self) -> None:
        leader = self.replica.leader
        leader_id = leader.replica_id if leader is not None else ""
        if not self.leads:
            self._fail_pending()
        if leader_id == self._leader_id:
            return
        log.info("term {}: leader {} ({})", self.replica.term, leader_id or "none", self.replica.role.name)
        self._leader_id = leader_id
        self._leader_changed.set()
        self._leader_changed = asyncio.Event()

    def _fail_pending(self) -> None:
        """Leadership is gone: whether these will be committed is not known here."""
        proposals = list(self._proposals.values())
        self._proposals.clear()
        for pending in proposals:
            if not pending.answer.done():
                pending.answer.set_result(Failure(Unavailable.LOST))
        for token in list(self._reads):
            self._resolve_read(token, Failure(Unavailable.LOST))

    def _compact_if_due(self) -> None:
        entries = self.applied_index - self._compacted_index
        timing = self.replica.timing
        if entries < timing.compact_entries and self._bytes_since_compaction < timing.compact_bytes:
            return
        if self._snapshot_error is not None or not self._assembler.between_commands:
            return
        self._compacted_index = self.applied_index
        self._bytes_since_compaction = 0
        self.replica.compact(self._clock(), self.applied_index, self.catalog.snapshot())
        self._schedule_output()
