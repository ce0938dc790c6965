"""Random schedules of faults, each determined by one seed, and their results."""

from __future__ import annotations

from enum import Enum
from random import Random

import attrs
from attrs import frozen
from consensus.checker import Violation
from consensus.disk import DiskTrouble
from consensus.faults import Faults
from consensus.machine import Machine
from consensus.model import FAST, MILLISECOND, SECOND, Model, NetworkConditions

from brackenladder.consensus.messages import Vote, VoteReply

QUIET_START = 800 * MILLISECOND  # the first leader is elected
FAULTS_LAST = 4 * SECOND
CLIENT_EVERY = 70 * MILLISECOND


class Profile(Enum):
    """The kind of faults in a schedule."""

    STORM = "storm"  # all kinds of faults at random times
    POWER = "power"  # slow disks, rival candidates, power loss just after a vote or an acknowledgement
    SHORT_TERMS = "reigns"  # leaders that reach few replicas and are killed soon after their election
    MEMBERS = "members"  # the voters change continually, and the network is partitioned during changes


PROFILES = (
    (Profile.STORM,) * 5 + (Profile.POWER,) * 2 + (Profile.SHORT_TERMS, Profile.MEMBERS, Profile.MEMBERS)
)


@frozen
class ScheduleResult:
    """The result of one schedule."""

    seed: int
    profile: Profile
    fault: str  # empty: no property was violated
    events: int
    acknowledged: int
    reads: int
    terms: int


class Schedule:
    """A schedule of faults; subclasses choose the faults."""

    machine_counts: tuple[int, ...] = (3, 3, 3, 4, 5, 5, 6)
    timing = FAST

    def __init__(self, seed: int, model_type: type[Model]) -> None:
        self.random = Random(seed * 2 + 1)
        self._over = False
        self._seeds = 1 if self.random.random() < 0.03 else 3
        machines = self.random.choice(self.machine_counts)
        self.model = model_type(seed, machines, self._seeds, self.timing)
        self.faults = Faults(self.model, self.random)
        for machine in self.model.machines:
            machine.compact_every = self.random.choice((0, 4, 15))

    def play(self) -> None:
        """Runs the start without faults, the time with faults, and the recovery."""
        model = self.model
        model.begin_clients(CLIENT_EVERY)
        if self._seeds > 1 and self.random.random() < 0.05:
            model.at(MILLISECOND // 2, lambda _: self.faults.lose_genesis(), None)
        model.run_until(QUIET_START)
        self.begin()
        model.run_until(QUIET_START + FAULTS_LAST)
        self._over = True
        model.heal()
        model.settle()

    def begin(self) -> None:
        """Starts the faults."""
        raise NotImplementedError

    def repeat(self, pace: int) -> None:
        """Injects faults repeatedly, about every `pace`."""
        self.model.after(int(pace * (0.3 + 1.4 * self.random.random())), self._inject_next, pace)

    def _inject_next(self, pace: int) -> None:
        if not self._over:
            self.inject()
            self.repeat(pace)

    def inject(self) -> None:
        """Injects one fault."""
        raise NotImplementedError


class _Storm(Schedule):
    def begin(self) -> None:
        random = self.random
        self.model.network = NetworkConditions(
            loss=random.choice((0.0, 0.0, 0.02, 0.1)),
            twice=random.choice((0.0, 0.0, 0.1)),
            late=random.choice((0.0, 0.0, 0.1)),
            latency=random.choice((2, 5, 15)) * MILLISECOND,
        )
        self._near_acknowledged = random.choice((0.0, 0.01))
        self._near_joint = random.choice((0.0, 0.3))
        self.model.on_acknowledged = self._after_acknowledged
        self.model.on_joint = self._after_joint
        self.repeat(random.choice((150, 300, 600)) * MILLISECOND)

    def inject(self) -> None:
        faults = self.faults
        kinds = (
            faults.cut_one,
            faults.cut_one_way,
            faults.split,
            faults.isolate_leader,
            faults.pause,
            faults.pause_leader,
            faults.kill,
            faults.kill,
            faults.kill_all,
            faults.wipe,
            faults.wipe,
            faults.wipe_and_lose_power,
            faults.disk_trouble,
            faults.disk_trouble,
            faults.transfer,
            faults.retire,
        )
        self.random.choice(kinds)()

    def _after_acknowledged(self) -> None:
        if self.random.random() < self._near_acknowledged:
            faults = self.faults
            fault = self.random.choice((faults.wipe_and_lose_power, faults.kill_all, faults.isolate_leader))
            self.model.after(0, lambda _: fault(), None)

    def _after_joint(self, leader: Machine) -> None:
        if self.random.random() >= self._near_joint:
            return
        others = [number for number in self.faults.numbers() if number != leader.number]
        self.random.shuffle(others)
        side = {leader.number, *others[: self.random.randint(0, len(others))]}
        span = self.faults.span()
        self.model.after(self.faults.shortly(30), lambda _: self.faults.divide(side, span), None)


class _Power(Schedule):
    machine_counts = (3, 3, 3, 5)
    timing = attrs.evolve(
        FAST,
        heartbeat=60 * MILLISECOND,
        election_min=200 * MILLISECOND,
        election_max=203 * MILLISECOND,
        write_limit=600 * MILLISECOND,
    )

    def begin(self) -> None:
        random = self.random
        self.model.tick = random.choice((12, 40)) * MILLISECOND
        late = random.choice((0.1, 0.5))
        self.model.network = NetworkConditions(0.0, late / 2, late, 3 * MILLISECOND)
        if random.random() < 0.5:
            for machine in self.model.machines:
                if random.random() < 0.7:
                    machine.disk.begin_trouble(DiskTrouble.SLOW, self.model.now + FAULTS_LAST)
        self._near_vote = random.choice((0.1, 0.5))
        self.model.on_sent = self._after_sent
        self.model.on_leader = self._after_election
        self.model.on_acknowledged = self._after_acknowledged
        self.repeat(300 * MILLISECOND)

    def inject(self) -> None:
        faults = self.faults
        kinds = (
            faults.isolate_leader,
            faults.kill,
            faults.kill_all,
            faults.kill_all_leader_late,
            faults.wipe,
            faults.disk_trouble,
        )
        self.random.choice(kinds)()

    def _after_election(self, leader: Machine) -> None:
        """Cuts links from the new leader, so that a rival of the same term may not learn that it lost."""
        others = [number for number in self.faults.numbers() if number != leader.number]
        cut_links = [(leader.number, other) for other in others if self.random.random() < 0.6]
        self.faults.cut(cut_links, self.faults.shortly(500))

    def _after_sent(self, machine: Machine, message: object) -> None:
        match message:
            case VoteReply(granted=True, pre_vote=False):
                if self.random.random() < self._near_vote:
                    self._kill_soon(machine)
            case Vote(pre_vote=False):
                if self.random.random() < 0.1 * self._near_vote:
                    self._kill_soon(machine)

    def _kill_soon(self, machine: Machine) -> None:
        start = machine.start

        def kill_machine(_: None) -> None:
            if machine.start == start:
                self.faults.kill_machine(machine, self.faults.shortly(4))

        self.model.after(self.random.choice((0, self.faults.shortly(5))), kill_machine, None)

    def _after_acknowledged(self) -> None:
        if self.random.random() < 0.05:
            faults = self.faults
            fault = self.random.choice((faults.wipe_and_lose_power, faults.kill_all_leader_late))
            self.model.after(0, lambda _: fault(), None)


class _ShortTerms(Schedule):
    machine_counts = (3, 4, 5, 5)
    timing = attrs.evolve(
        FAST,
        heartbeat=40 * MILLISECOND,
        election_min=120 * MILLISECOND,
        election_max=240 * MILLISECOND,
        append_bytes=20,
        inflight_bytes=40,
    )

    def begin(self) -> None:
        self.model.tick = 20 * MILLISECOND
        self.model.network = NetworkConditions(0.0, 0.0, 0.0, self.random.choice((2, 10)) * MILLISECOND)
        self.model.on_leader = self._after_election
        self.repeat(400 * MILLISECOND)

    def inject(self) -> None:
        faults = self.faults
        self.random.choice((faults.isolate_leader, faults.kill, faults.transfer))()

    def _after_election(self, leader: Machine) -> None:
        heard = self.random.choice((0.0, 0.4, 0.8, 1.0))
        others = [number for number in self.faults.numbers() if number != leader.number]
        cut_links = [(leader.number, other) for other in others if self.random.random() >= heard]
        self.faults.cut(cut_links, self.faults.shortly(200))
        for command in range(self.random.choice((0, 1, 4))):
            leader.propose(b"early-%d-%d" % (self.model.checker.newest_term, command))
        if self.random.random() < 0.7:
            start = leader.start

            def kill_leader(_: None) -> None:
                if leader.start == start:
                    self.faults.kill_machine(leader, self.faults.shortly(600))

            self.model.after(self.faults.shortly(60), kill_leader, None)


class _Members(Schedule):
    machine_counts = (4, 5, 5, 6)

    def __init__(self, seed: int, model_type: type[Model]) -> None:
        most = Random(seed).choice((3, 3, 5))
        self.timing = attrs.evolve(FAST, max_voters=most, replace_after=700 * MILLISECOND)
        super().__init__(seed, model_type)

    def begin(self) -> None:
        random = self.random
        self.model.network = NetworkConditions(random.choice((0.0, 0.05)), 0.0, 0.0, 5 * MILLISECOND)
        self.model.on_joint = self._after_joint
        self.repeat(random.choice((150, 300)) * MILLISECOND)

    def inject(self) -> None:
        faults = self.faults
        kinds = (
            faults.retire,
            faults.retire,
            faults.retire,
            faults.retire,
            faults.wipe,
            faults.kill,
            faults.pause,
            faults.transfer,
        )
        self.random.choice(kinds)()

    def _after_joint(self, leader: Machine) -> None:
        """Partitions the network so that the leader's side may have a majority of only one voter set."""
        replica = leader.replica
        if replica is None or self.random.random() < 0.4:
            return
        joining = {member.replica_id for member in replica.members.voters} - {
            member.replica_id for member in replica.members.outgoing
        }
        location = self.model.location
        side = {leader.number} | {location[replica_id] for replica_id in joining}
        side |= {number for number in self.faults.numbers() if self.random.random() < 0.15}
        span = int((300 + 1500 * self.random.random()) * MILLISECOND)
        self.faults.divide(side, span)


_SCHEDULES: dict[Profile, type[Schedule]] = {
    Profile.STORM: _Storm,
    Profile.POWER: _Power,
    Profile.SHORT_TERMS: _ShortTerms,
    Profile.MEMBERS: _Members,
}


def play(seed: int, model_type: type[Model] = Model, profile: Profile | None = None) -> ScheduleResult:
    """Runs one schedule; without a profile the seed determines it."""
    chosen = profile or PROFILES[seed % len(PROFILES)]
    schedule = _SCHEDULES[chosen](seed, model_type)
    fault = ""
    try:
        schedule.play()
    except Violation as violation:
        fault = str(violation)
    except Exception as error:  # a crash of a replica counts as a fault too
        fault = f"{type(error).__name__}: {error}"
    model = schedule.model
    checker = model.checker
    return ScheduleResult(
        seed, chosen, fault, model.events, checker.acknowledged, checker.reads, checker.newest_term
    )
