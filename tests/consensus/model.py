"""A model of replicas, disks, clients and an unreliable network in virtual time, determined by one seed."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from attrs import frozen
from consensus.checker import Checker, Violation
from consensus.machine import Machine

from brackenladder.consensus.members import genesis_replica_id, voting_members
from brackenladder.consensus.messages import VoteReply
from brackenladder.consensus.replica import Outgoing, Replica, Timing
from brackenladder.consensus.types import Member, Members

MILLISECOND = 1_000
SECOND = 1_000_000
RECENTLY = SECOND  # the leader may not have noticed yet that a disk was lost within this time
CHECK_EVERY = 100 * MILLISECOND
SETTLE_LIMIT = 30 * SECOND

FAST = Timing(
    heartbeat=100 * MILLISECOND,
    election_min=300 * MILLISECOND,
    election_max=600 * MILLISECOND,
    write_limit=350 * MILLISECOND,
    write_retry=40 * MILLISECOND,
    pause=200 * MILLISECOND,
    snapshot_retry=400 * MILLISECOND,
    replace_after=1200 * MILLISECOND,
    forget_learner=4 * SECOND,
    max_voters=5,
    catch_up_entries=4,
    append_bytes=120,
    inflight_bytes=300,
    kept_bytes=90,
    snapshot_chunk=5,
    snapshot_window=12,
)


@frozen
class NetworkConditions:
    """How the network of one schedule behaves while faults are injected."""

    loss: float
    twice: float  # share of messages that are delivered twice
    late: float  # share of messages that are delayed, so that others overtake them
    latency: int


class Model:
    """The machines, the network between them and the clients."""

    replica_type: type[Replica] = Replica
    wiped_keeps_id = False
    votes_watched = True  # whether a double vote is reported itself, or only through its consequences

    def __init__(self, seed: int, machines: int, seeds: int = 3, timing: Timing = FAST) -> None:
        self.random = Random(seed)
        self.timing = timing
        self.tick = 50 * MILLISECOND
        self.now = 0
        self.checker = Checker()
        self.network = NetworkConditions(0.0, 0.0, 0.0, 5 * MILLISECOND)
        self.cuts: set[tuple[int, int]] = set()
        self.location: dict[str, int] = {}
        self.events = 0
        self.on_acknowledged: Callable[[], None] | None = None
        self.on_joint: Callable[[Machine], None] | None = None
        self.on_sent: Callable[[Machine, object], None] | None = None
        self.on_leader: Callable[[Machine], None] | None = None
        self._queue: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._sequence = 0
        self._commands = 0
        self._disks = 0
        self._joints_seen: set[Members] = set()
        self.machines = [Machine(self, number, self.random) for number in range(machines)]
        self._genesis(seeds)

    def _genesis(self, seeds: int) -> None:
        for machine in self.machines[:seeds]:
            machine.member = Member(genesis_replica_id(machine.address), machine.address)
        members = Members(voters=tuple(machine.member for machine in self.machines[:seeds]))
        for machine in self.machines:
            self.location[machine.member.replica_id] = machine.number
            machine.boot(members if machine.number < seeds else None)

    # -- time

    def at(self, moment: int, action: Callable[[Any], None], argument: Any) -> None:
        """Schedules `action` for a time."""
        self._sequence += 1
        heappush(self._queue, (moment, self._sequence, action, argument))

    def after(self, delay: int, action: Callable[[Any], None], argument: Any) -> None:
        """Schedules `action` after a delay."""
        self.at(self.now + delay, action, argument)

    def run_until(self, moment: int) -> None:
        """Runs the scheduled actions up to a time."""
        queue = self._queue
        while queue and queue[0][0] <= moment:
            self.now, _, action, argument = heappop(queue)
            self.events += 1
            action(argument)
        self.now = moment

    # -- network

    def send(self, source: int, sender: str, outgoing: Outgoing) -> None:
        """Sends a replica's message to the machine that last had the receiver's replica id."""
        if self.on_sent is not None:
            self.on_sent(self.machines[source], outgoing.message)
        self._watch_vote(outgoing.message)
        target = self.location.get(outgoing.to)
        if target is not None:
            self._transmit(source, target, sender, outgoing.message)

    def _watch_vote(self, message: object) -> None:
        if self.votes_watched and isinstance(message, VoteReply) and message.granted and not message.pre_vote:
            self.checker.votes(message.sender, message.term, message.to)

    def post(self, source: int, target: int, message: object) -> None:
        """Sends a host's message to a machine."""
        self._transmit(source, target, "", message)

    def _transmit(self, source: int, target: int, sender: str, message: object) -> None:
        if (source, target) in self.cuts:
            return
        random = self.random
        network = self.network
        if network.loss and random.random() < network.loss:
            return
        delay = int(network.latency * (0.3 + random.random()))
        if network.late and random.random() < network.late:
            delay += int(40 * network.latency * random.random())
        self.after(delay, self._deliver, (source, target, sender, message))
        if network.twice and random.random() < network.twice:
            again = delay + int(60 * network.latency * random.random())
            self.after(again, self._deliver, (source, target, sender, message))

    def _deliver(self, argument: tuple[int, int, str, object]) -> None:
        source, target, sender, message = argument
        if (source, target) not in self.cuts:
            self.machines[target].receive(sender, message)

    # -- clients

    def begin_clients(self, every: int) -> None:
        """Starts clients that send commands and reads to every replica that believes it is the leader."""
        self.after(every, self._on_client, every)

    def _on_client(self, every: int) -> None:
        random = self.random
        for machine in self.machines:
            if machine.leads():
                if random.random() < 0.6:
                    self._commands += 1
                    machine.propose(b"c%d" % self._commands)
                if random.random() < 0.6:
                    machine.read()
        self.after(int(every * (0.5 + random.random())), self._on_client, every)

    def acknowledged(self) -> None:
        """Called when a command was acknowledged to its client."""
        if self.on_acknowledged is not None:
            self.on_acknowledged()

    def watch_leader(self, machine: Machine, replica: Replica) -> None:
        """Called after each output of a leader, to detect new leaders and joint configuration changes."""
        if replica.term > self.checker.newest_term and self.on_leader is not None:
            self.on_leader(machine)
        self.checker.leads(replica.term, machine.member.replica_id)
        members = replica.members
        if members.outgoing and self.on_joint is not None and members not in self._joints_seen:
            self._joints_seen.add(members)
            self.on_joint(machine)

    # -- disks

    def wipe(self, machine: Machine) -> None:
        """Replaces the machine's disk by an empty one with a new replica id."""
        machine.kill()
        machine.wiped_at = self.now
        machine.disk = type(machine.disk)(self.random)
        if not self.wiped_keeps_id:
            self.new_id(machine)

    def new_id(self, machine: Machine) -> None:
        """Gives the machine a new replica id."""
        self._disks += 1
        machine.member = Member(f"disk-{self._disks}-{machine.number}", machine.address)
        self.location[machine.member.replica_id] = machine.number

    def existing_ids(self) -> set[str]:
        """The replica ids of all existing disks."""
        return {machine.member.replica_id for machine in self.machines}

    def newest_leader(self) -> Machine | None:
        """The machine that is the leader of the newest term, if it still is."""
        leader = self.checker.leader_of_newest_term()
        for machine in self.machines:
            if machine.member.replica_id == leader and machine.leads() and machine.replica is not None:
                return machine if machine.replica.term == self.checker.newest_term else None
        return None

    def may_wipe(self, machine: Machine) -> bool:
        """Whether a majority of the voters keep their disks if this machine loses its disk too."""
        leader = self.newest_leader()
        if leader is None or leader.replica is None or not self._members_settled(leader.replica):
            return False
        members = leader.replica.members
        existing = self.existing_ids() - {machine.member.replica_id}
        lost = {other.address for other in self.machines if self.now - other.wiped_at < RECENTLY}
        lost.add(machine.address)
        for voters in (members.voters, members.outgoing):
            lost_voters = {voter.address for voter in voters if voter.replica_id not in existing}
            if voters and len(lost_voters | lost) > (len(voters) - 1) // 2:
                return False
        return True

    @staticmethod
    def _members_settled(replica: Replica) -> bool:
        core = replica._core
        return core.log.members_index <= core.commit_index and replica.commit_index >= replica.last_index - 50

    # -- the end

    def heal(self) -> None:
        """Ends all faults."""
        self.cuts.clear()
        self.network = NetworkConditions(0.0, 0.0, 0.0, 5 * MILLISECOND)
        self.on_acknowledged = None
        self.on_joint = None
        self.on_sent = None
        self.on_leader = None
        for machine in self.machines:
            machine.disk.end_trouble()
            if machine.replica is None:
                machine.boot(None)
            machine.resume()

    def settle(self) -> None:
        """Waits until commands are accepted, all replicas agree and every voter has a disk."""
        before = self.checker.acknowledged
        deadline = self.now + SETTLE_LIMIT
        while self.now < deadline:
            self.run_until(self.now + CHECK_EVERY)
            if self.checker.acknowledged >= before + 3 and self._is_settled():
                return
        raise Violation(f"no progress after the faults: {self.describe()}")

    def _is_settled(self) -> bool:
        leader = self.newest_leader()
        if leader is None or leader.replica is None:
            return False
        members = leader.replica.members
        voters = voting_members(members)
        if members.outgoing or any(voter.replica_id not in self.existing_ids() for voter in voters):
            return False
        applied = {machine.applied for machine in self.machines if machine.replica is not None}
        present = [machine.replica.leads for machine in self.machines if machine.replica is not None]
        return max(applied) - min(applied) <= 3 and present.count(True) == 1

    def describe(self) -> str:
        """The state of all machines in one line, for the report of a failed run."""
        parts = []
        for machine in self.machines:
            replica = machine.replica
            if replica is None:
                parts.append(f"{machine.member.replica_id}: down")
                continue
            voters = [voter.replica_id for voter in replica.members.voters]
            outgoing = [voter.replica_id for voter in replica.members.outgoing]
            learners = [learner.replica_id for learner in replica.members.learners]
            parts.append(
                f"{machine.member.replica_id}: {replica.role.value} term {replica.term} "
                f"commit {replica.commit_index}/{replica.last_index} {voters} {outgoing} {learners}"
            )
        return "; ".join(parts)
