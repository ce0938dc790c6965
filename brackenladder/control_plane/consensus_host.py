"""Runs the consensus replica in the event loop, and connects it to clock, store, peers and state machine."""

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
    """A command that this leader has proposed and that is not committed yet."""

    term: int
    result: asyncio.Future[OrderResult]


class ConsensusHost:
    """The only caller of the replica.

    The replica's output is taken once per iteration of the event loop, so that the messages of several peers
    share one write to the store. A store that hangs blocks only its own thread.
    """

    def __init__(
        self,
        replica: Replica,
        writer: LogWriter,
        catalog: Catalog,
        clock: Callable[[], int],
        send: Callable[[str, object], None],
        on_catalog_changed: Callable[[], None],
        on_applied: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_applied` is called after log entries or a snapshot have been applied."""
        self.replica = replica
        self.catalog = catalog
        self.applied_index = 0
        self._writer = writer
        self._clock = clock
        self._send = send
        self._on_catalog_changed = on_catalog_changed
        self._on_applied = on_applied
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
        self._revision_changed: asyncio.Event = asyncio.Event()  # set at the next change, then replaced
        self._assembler = CommandAssembler()
        self._snapshot_error: SnapshotError | None = None  # why the last snapshot could not be restored
        self._closed = False

    def start(self) -> None:
        """Applies the state that was loaded from the store, and starts the timer."""
        self._take_output()
        self._tick()

    def close(self) -> None:
        """Stops the timer; waiting calls fail with an unknown result."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._fail_pending()

    @property
    def leads(self) -> bool:
        """Whether this replica believes itself to be the leader."""
        return self.replica.role is Role.LEADER

    @property
    def leader(self) -> Member | None:
        """The leader that this replica knows, if any."""
        return self.replica.leader

    def contact_age(self) -> int:
        """Microseconds since the last contact with a quorum, directly or through the leader."""
        if self._snapshot_error is not None:
            return UNKNOWN_AGE
        return self._clock() - self.replica.quorum_contact_at

    def catalog_age(self) -> int:
        """An upper bound in microseconds on how stale this node's catalog is.

        All entries that were committed that long ago have been applied.

        Otherwise a node that is in contact with its leader while entries or a snapshot are still in transit
        answers from a catalog that has been replaced.
        """
        if self._snapshot_error is not None:
            return UNKNOWN_AGE
        return self._clock() - self.replica.up_to_date_at

    def lacks_committed(self) -> bool:
        """Whether this node knows of a committed entry that is not applied to its catalog yet."""
        return self.replica.lacks_committed or self.applied_index < self.replica.commit_index

    @property
    def leader_changed(self) -> asyncio.Event:
        """The event that is set at the next change of the known leader; each change creates a new one."""
        return self._leader_changed

    async def wait_for_leader_change(self, timeout: float) -> None:
        """Waits until the known leader changes, for at most `timeout` seconds.

        `asyncio.wait_for` is not used: before Python 3.12 it loses a cancellation that comes in the same
        event loop iteration as the leader change. A caller's time limit then has no effect, and the caller
        waits for ever.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._leader_changed.wait()

    def step(self, sender: str, message: object) -> None:
        """Handles a message of another replica."""
        if self._closed:
            return
        self.replica.step(self._clock(), sender, message)
        self._schedule_output()

    def peer_connected(self, replica_id: str) -> None:
        """A link to another replica has been established."""
        if not self._closed:
            self.replica.link_up(self._clock(), replica_id)
            self._schedule_output()

    def join(self, member: Member) -> None:
        """Another node asks to become a member; only a leader acts on it."""
        if self._closed or not self.leads:
            return
        self.replica.join(self._clock(), member)
        self._schedule_output()

    def transfer_leadership(self) -> None:
        """Hands leadership to another voter, before a planned shutdown."""
        self.replica.transfer_leadership(self._clock())
        self._schedule_output()

    async def wait_for_revision(self, revision: int) -> None:
        """Returns once this node's catalog has reached `revision`."""
        while self.catalog.revision < revision:
            await self._revision_changed.wait()

    async def propose(self, data: bytes) -> OrderResult:
        """The catalog's outcome once the command is committed. After a failure it may still be committed."""
        if self._closed or self._snapshot_error is not None:
            return Failure(Unavailable.NO_LEADER)
        match self.replica.propose(self._clock(), data):
            case Success(position):
                pending = PendingProposal(position.term, self._loop.create_future())
                self._proposals[position.index] = pending
                self._schedule_output()
            case _:
                return Failure(Unavailable.NO_LEADER)
        try:
            return await pending.result
        finally:
            if self._proposals.get(position.index) is pending:
                del self._proposals[position.index]

    async def confirm_read(self) -> ReadResult:
        """Succeeds once the catalog holds all orders acknowledged before the call. Only on the leader."""
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
        interval = FOLLOWER_TICK_SECONDS if self.replica.role is Role.FOLLOWER else LEADER_TICK_SECONDS
        self._timer = self._loop.call_later(interval, self._tick)

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
                log.error("write to the store failed: {}", error)
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
        if output.restore is not None or output.committed:
            self._on_applied()

    def _restore(self, snapshot: Snapshot) -> None:
        """Restores the catalog from a snapshot.

        If this program version cannot read the snapshot, the node still replicates the log, but answers no
        call and hands over leadership until it gets a readable snapshot.
        """
        self.applied_index = snapshot.index
        self._compacted_index = snapshot.index
        self._bytes_since_compaction = 0
        self._assembler.reset()
        try:
            self.catalog.restore(snapshot.data)
        except SnapshotError as error:
            log.error("snapshot at {} is unreadable, this node answers no calls: {}", snapshot.index, error)
            self._snapshot_error = error
        else:
            self._snapshot_error = None

    def _apply_entry(self, entry: Entry) -> None:
        self.applied_index = entry.index
        self._bytes_since_compaction += len(entry.data)
        result: OrderResult = Failure(Unavailable.LOST)
        command = self._assembler.take(entry)
        if command is not None and self._snapshot_error is None:
            result = Success(self.catalog.apply(entry.index, command))
        pending = self._proposals.pop(entry.index, None)
        if pending is None or pending.result.done():
            return
        pending.result.set_result(result if pending.term == entry.term else Failure(Unavailable.LOST))

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
        """Fails all waiting calls: without leadership, this node cannot tell whether they will commit."""
        proposals = list(self._proposals.values())
        self._proposals.clear()
        for pending in proposals:
            if not pending.result.done():
                pending.result.set_result(Failure(Unavailable.LOST))
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
