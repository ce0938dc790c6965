"""A few replicas with immediate disks and links, for tests of single steps."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random

from brackenladder.consensus.members import genesis_replica_id
from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.replica import Outgoing, Output, Replica, Role, Timing
from brackenladder.consensus.types import DurableState, Entry, EntryKind, Member, Members, Snapshot, Write
from brackenladder.storage.memory_log import MemoryLogStore

TICK = 30_000
SECOND = 1_000_000


def seeds(count: int) -> tuple[Member, ...]:
    """The members at the first start of a system."""
    addresses = [f"10.0.0.{number}:1" for number in range(1, count + 1)]
    return tuple(Member(genesis_replica_id(address), address) for address in addresses)


def commands(entries: Iterable[Entry]) -> list[bytes]:
    """The data of the commands among log entries."""
    return [entry.data for entry in entries if entry.kind is EntryKind.COMMAND]


class Host:
    """One replica, its store and its collected output."""

    def __init__(self, member: Member, store: MemoryLogStore, now: int, members: Members | None) -> None:
        self.member = member
        self.store = store
        state = store.load().unwrap()
        self.replica = Replica(member, state, Timing(), Random(member.replica_id), now, members)
        self.committed: list[Entry] = []
        self.restored: list[Snapshot] = []
        self.ready: list[ReadReady] = []
        self.reads_failed: list[int] = []
        self.lost: list[int] = []
        self.writes: deque[Write] = deque()
        self.sent: list[Outgoing] = []
        self.store_hangs = False
        self.isolated = False

    def take(self, output: Output) -> None:
        """Collects an output of the replica."""
        self.committed.extend(output.committed)
        if output.restore is not None:
            self.restored.append(output.restore)
        self.ready.extend(output.reads)
        self.reads_failed.extend(output.reads_failed)
        self.lost.extend(lost.token for lost in output.lost)
        self.writes.extend(output.writes)
        self.sent.extend(output.messages)


class Cluster:
    """Replicas whose outputs are carried out until none is left."""

    def __init__(self, count: int = 3) -> None:
        self.now = 0
        self.hosts: dict[str, Host] = {}
        members = Members(voters=seeds(count))
        for member in members.voters:
            self.add(member, members)

    def add(
        self, member: Member, members: Members | None = None, store: MemoryLogStore | None = None
    ) -> Host:
        """Starts a replica."""
        host = Host(member, store or MemoryLogStore(member.replica_id), self.now, members)
        self.hosts[member.replica_id] = host
        return host

    def restart(self, host: Host) -> Host:
        """Restarts a replica from its store."""
        return self.add(host.member, None, host.store.reopen())

    def drop(self, host: Host) -> None:
        """Removes a replica permanently."""
        del self.hosts[host.member.replica_id]

    def pump(self) -> None:
        """Carries out outputs until there are none."""
        busy = True
        while busy:
            served = [self._serve(host) for host in list(self.hosts.values())]
            busy = any(served)

    def _serve(self, host: Host) -> bool:
        host.take(host.replica.take_output())
        busy = False
        while host.writes and not host.store_hangs:
            write = host.writes.popleft()
            host.store.apply(write).unwrap()
            host.replica.persisted(self.now, write.token)
            busy = True
        sent, host.sent = host.sent, []
        for outgoing in sent:
            target = self.hosts.get(outgoing.to)
            if target is not None and not target.isolated and not host.isolated:
                target.replica.step(self.now, host.member.replica_id, outgoing.message)
            busy = True
        return busy

    def run(self, span: int, suspended: Iterable[Host] = ()) -> None:
        """Advances the time for all hosts except the suspended ones."""
        stopped = list(suspended)
        until = self.now + span
        while self.now < until:
            self.now += TICK
            for host in list(self.hosts.values()):
                if host not in stopped:
                    host.replica.tick(self.now)
            self.pump()

    def settle(self) -> Host:
        """Runs until there is one leader and all its entries are committed."""
        for _ in range(30):
            self.run(SECOND // 5)
            leaders = [host for host in self.hosts.values() if host.replica.role is Role.LEADER]
            if len(leaders) == 1 and leaders[0].replica.commit_index == leaders[0].replica.last_index:
                return leaders[0]
        raise AssertionError("no leader")

    def followers(self, leader: Host) -> list[Host]:
        """All hosts except the leader."""
        return [host for host in self.hosts.values() if host is not leader]

    def propose(self, leader: Host, data: bytes) -> None:
        """Proposes a command and carries out all resulting outputs."""
        leader.replica.propose(self.now, data).unwrap()
        self.pump()


def empty_state() -> DurableState:
    """The state of a new store."""
    return DurableState()


__all__ = ["SECOND", "TICK", "Cluster", "Host", "empty_state", "seeds"]
