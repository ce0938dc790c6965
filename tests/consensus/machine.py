"""One machine of the model: a disk, and a process with a replica and a simple host for it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from consensus.checker import Violation, state_of
from consensus.disk import ModelDisk
from returns.result import Failure, Success

from brackenladder.consensus.members import GENESIS_INDEX
from brackenladder.consensus.messages import JoinRequest
from brackenladder.consensus.output import Output
from brackenladder.consensus.replica import Replica
from brackenladder.consensus.types import EntryKind, Member, Members, Write

if TYPE_CHECKING:
    from consensus.model import Model

JOIN_AFTER = 400_000  # microseconds without contact with a leader after which a machine asks to join
JOIN_EVERY = 200_000
MAX_FORWARDS = 3


class Machine:
    """A machine. The replica id belongs to its disk, the address to the machine."""

    def __init__(self, model: Model, number: int, random: Random) -> None:
        self._model = model
        self._random = random
        self.number = number
        self.address = f"m{number}:1"
        self.disk = ModelDisk(random)
        self.member = Member(f"joiner-{number}", self.address)
        self.replica: Replica | None = None
        self.start = 0  # number of process starts and kills so far
        self.paused = False
        self.wiped_at = -(1 << 60)
        self.applied = GENESIS_INDEX
        self.digest = 0
        self.compact_every = 0
        self._inbox: list[Callable[[], None]] = []
        self._proposals: dict[
            int, tuple[int, int]
        ] = {}  # by index: the term, and the checker's floor at that time
        self._reads: dict[int, int] = {}  # by token: the checker's floor at that time
        self._next_read = 0
        self._joined_at = 0

    # -- life cycle

    def boot(self, members: Members | None) -> None:
        """Starts the process from the state on the disk."""
        model = self._model
        self.start += 1
        self.paused = False
        self.applied = GENESIS_INDEX
        self.digest = 0
        self._inbox.clear()
        self._proposals.clear()
        self._reads.clear()
        state = self.disk.load()
        if state.snapshot is not None:
            members = None
        self.replica = model.replica_type(self.member, state, model.timing, self._random, model.now, members)
        self.take_output()
        self._schedule_tick()

    def kill(self) -> None:
        """Ends the process; the pending writes are lost as in a power loss."""
        self.replica = None
        self.start += 1
        self.disk.lose_power()

    def pause(self) -> None:
        """Suspends the process; events are queued meanwhile."""
        self.paused = True

    def resume(self) -> None:
        """Resumes the process. A tick may be handled before the queued events."""
        if not self.paused:
            return
        self.paused = False
        waiting = list(self._inbox)
        self._inbox.clear()
        if self._random.random() < 0.5:
            self.tick(self.start)
        for action in waiting:
            action()

    def _run(self, start: int, action: Callable[[], None]) -> None:
        """Runs `action` now or after the process resumes, unless the process has ended since `start`."""
        if start != self.start or self.replica is None:
            return
        if self.paused:
            self._inbox.append(lambda: self._run(start, action))
            return
        action()

    def _schedule_tick(self) -> None:
        model = self._model
        model.after(int(model.tick * (0.7 + 0.6 * self._random.random())), self._on_timer, self.start)

    def _on_timer(self, start: int) -> None:
        if start != self.start or self.replica is None:
            return
        if not self.paused:
            self.tick(start)
        self._schedule_tick()

    def tick(self, start: int) -> None:
        """Handles a tick of the process."""
        replica = self.replica
        if replica is None or start != self.start:
            return
        replica.tick(self._model.now)
        self._ask_to_join(replica)
        self.take_output()

    def _ask_to_join(self, replica: Replica) -> None:
        now = self._model.now
        if now - replica.quorum_contact_at < JOIN_AFTER or now - self._joined_at < JOIN_EVERY:
            return
        self._joined_at = now
        self._model.post(
            self.number, self._random.randrange(len(self._model.machines)), JoinRequest(self.member)
        )

    # -- messages

    def receive(self, sender: str, message: object) -> None:
        """Handles an incoming message."""
        self._run(self.start, lambda: self._take(sender, message))

    def _take(self, sender: str, message: object) -> None:
        replica = self.replica
        if replica is None:
            return
        if isinstance(message, JoinRequest):
            self._on_join(replica, message)
        else:
            replica.step(self._model.now, sender, message)
        self.take_output()

    def _on_join(self, replica: Replica, request: JoinRequest) -> None:
        match replica.join(self._model.now, request.member):
            case Failure(refusal) if refusal.leader is not None and request.forwarded < MAX_FORWARDS:
                target = self._model.location.get(refusal.leader.replica_id)
                if target is not None:
                    self._model.post(self.number, target, JoinRequest(request.member, request.forwarded + 1))

    # -- output

    def take_output(self) -> None:
        """Carries out the replica's output."""
        replica = self.replica
        if replica is None:
            return
        output = replica.take_output()
        for write in output.writes:
            self._submit(write)
        for outgoing in output.messages:
            self._model.send(self.number, self.member.replica_id, outgoing)
        self._take_committed(output)
        for token in output.reads_failed:
            self._reads.pop(token, None)
        for ready in output.reads:
            self._model.checker.answer(ready.index, self.applied, self._reads.pop(ready.token))
        if replica.leads:
            self._model.watch_leader(self, replica)
        self._compact(replica)

    def _take_committed(self, output: Output) -> None:
        checker = self._model.checker
        if output.restore is not None:
            checker.restored(output.restore)
            self.applied = output.restore.index
            self.digest = int(output.restore.data)
        for entry in output.committed:
            self.digest = checker.committed(self.applied, entry)
            self.applied = entry.index
            if entry.kind is EntryKind.COMMAND and entry.index in self._proposals:
                term, floor = self._proposals.pop(entry.index)
                if term == entry.term:
                    checker.acknowledge(entry.index, floor)
                    self._model.acknowledged()

    def _compact(self, replica: Replica) -> None:
        state = self.disk.snapshot
        if self.compact_every and state is not None and self.applied - state.index > self.compact_every:
            replica.compact(self._model.now, self.applied, state_of(self.digest))

    def _submit(self, write: Write) -> None:
        start = self.start
        ends = self.disk.submit(self._model.now, write)
        self._model.at(ends, self._on_written, (start, write))

    def _on_written(self, argument: tuple[int, Write]) -> None:
        start, write = argument
        if start != self.start:
            return
        refused = self.disk.refuses(self._model.now)
        if refused:
            self.disk.refuse(write)
        else:
            self.disk.finish(write)
        self._run(start, lambda: self._report(write.token, refused))

    def _report(self, token: int, refused: bool) -> None:
        replica = self.replica
        if replica is None:
            return
        if refused:
            replica.write_failed(self._model.now, token)
        else:
            replica.persisted(self._model.now, token)
        self.take_output()

    # -- clients

    def propose(self, data: bytes) -> None:
        """Proposes a client's command."""
        replica = self.replica
        if replica is None or self.paused:
            return
        match replica.propose(self._model.now, data):
            case Success(place):
                self._proposals[place.index] = (place.term, self._model.checker.floor)
                self.take_output()

    def read(self) -> None:
        """Requests a client's read."""
        replica = self.replica
        if replica is None or self.paused:
            return
        self._next_read += 1
        match replica.read(self._model.now, self._next_read):
            case Success():
                self._reads[self._next_read] = self._model.checker.floor
                self.take_output()

    def leads(self) -> bool:
        """Whether this machine's replica believes that it is the leader."""
        return self.replica is not None and self.replica.leads

    def settled_on(self, last_index: int) -> bool:
        """Whether this machine has applied every committed entry, the last of which is `last_index`."""
        if self.replica is None or self.applied < last_index:
            return False
        if self.applied > last_index:
            raise Violation(f"{self.member.replica_id} has applied {self.applied} of {last_index} entries")
        return True
