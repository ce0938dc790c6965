"""A few replicas with prompt disks and links, for tests that follow single steps."""

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
    """The members of a first start."""
    addresses = [f"10.0.0.{number}:1" for number in range(1, count + 1)]
    return tuple(Member(genesis_replica_id(address), address) for address in addresses)


def commands(entries: Iterable[Entry]) -> list[bytes]:
    """The commands among entries of the log."""
    return [entry.data for entry in entries if entry.kind is EntryKind.COMMAND]


class Host:
    """One replica, its store and what it gave out."""

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
        """Note what the replica gave out."""
        self.committed.extend(output.committed)
        if output.restore is not None:
            self.restored.append(output.restore)
        self.ready.extend(output.reads)
        self.reads_failed.extend(output.reads_failed)
        self.lost.extend(lost.token for lost in output.lost)
        self.writes.extend(output.writes)
        self.sent.extend(output.messages)


class Cluster:
    """Replicas that are pumped until nothing more is to be done."""

    def __init__(self, count: int = 3) -> None:
        self.now = 0
        self.hosts: dict[str, Host] = {}
        members = Members(voters=seeds(count))
        for member in members.voters:
            self.add(member, members)

    def add(
        self, member: Member, members: Members | None = None, store: MemoryLogStore | None = None
    ) -> Host:
        """Start a replica."""
        host = Host(member, store or MemoryLogStore(member.replica_id), self.now, members)
        self.hosts[member.replica_id] = host
        return host

    def restart(self, host: Host) -> Host:
        """Start it again from its store."""
        return self.add(host.member, None, host.store.reopen())

    def drop(self, host: Host) -> None:
        """It is gone for good."""
        del self.hosts[host.member.replica_id]

    def pump(self) -> None:
        """Carry out outputs until there are none."""
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

    def run(self, span: int, standing: Iterable[Host] = ()) -> None:
        """Let time pass for all but those that stand still."""
        still = list(standing)
        until = self.now + span
        while self.now < until:
            self.now += TICK
            for host in list(self.hosts.values()):
                if host not in still:
                    host.replica.tick(self.now)
            self.pump()

    def settle(self) -> Host:
        """Run until there is a leader whose first entry is committed."""
        for _ in range(30):
            self.run(SECOND // 5)
            leaders = [host for host in self.hosts.values() if host.replica.role is Role.LEADER]
            if len(leaders) == 1 and leaders[0].replica.commit_index == leaders[0].replica.last_index:
                return leaders[0]
        raise AssertionError("no leader")

    def followers(self, leader: Host) -> list[Host]:
        """All others."""
        return [host for host in self.hosts.values() if host is not leader]

    def propose(self, leader: Host, data: bytes) -> None:
        """A command that is carried out."""
        leader.replica.propose(self.now, data).unwrap()
        self.pump()


def empty_state() -> DurableState:
    """A store just made."""
    return DurableState()


__all__ = ["SECOND", "TICK", "Cluster", "Host", "empty_state", "seeds"]
