"""Single faults that a schedule injects into a model. Most of them end by themselves after a while."""

from __future__ import annotations

from random import Random

from consensus.disk import DiskTrouble
from consensus.machine import Machine
from consensus.model import MILLISECOND, Model

Link = tuple[int, int]


class Faults:
    """Injects faults; targets and durations come from its own random source."""

    def __init__(self, model: Model, random: Random) -> None:
        self.model = model
        self.random = random

    def any_machine(self) -> Machine:
        """A random machine."""
        return self.random.choice(self.model.machines)

    def leader(self) -> Machine:
        """The leader's machine, or a random one if there is no leader."""
        return self.model.newest_leader() or self.any_machine()

    def span(self) -> int:
        """A random duration of a fault."""
        longest = self.random.choice((50, 300, 900, 1800)) * MILLISECOND
        return int(longest * (0.5 + self.random.random()))

    def shortly(self, longest_ms: int) -> int:
        """A random duration of at most `longest_ms`."""
        return int(self.random.random() * longest_ms * MILLISECOND)

    def numbers(self) -> range:
        """The numbers of all machines."""
        return range(len(self.model.machines))

    # -- links

    def cut(self, links: list[Link], span: int) -> None:
        """Cuts these links, each in one direction, for `span`."""
        self.model.cuts.update(links)
        self.model.after(span, self._join, links)

    def _join(self, links: list[Link]) -> None:
        self.model.cuts.difference_update(links)

    def cut_one(self) -> None:
        """Cuts the link between two random machines in both directions."""
        one, other = self.any_machine().number, self.any_machine().number
        self.cut([(one, other), (other, one)], self.span())

    def cut_one_way(self) -> None:
        """Cuts most links from, or to, a random machine."""
        one = self.any_machine().number
        links = [(one, other) for other in self.numbers() if other != one and self.random.random() < 0.7]
        self.cut(links if self.random.random() < 0.5 else [(b, a) for a, b in links], self.span())

    def split(self) -> None:
        """Partitions the machines randomly into two sides."""
        self.divide({number for number in self.numbers() if self.random.random() < 0.5}, self.span())

    def divide(self, side: set[int], span: int) -> None:
        """Partitions the network between the machines of `side` and the others."""
        links = [(a, b) for a in self.numbers() for b in self.numbers() if (a in side) != (b in side)]
        self.cut(links, span)

    def isolate_leader(self) -> None:
        """Isolates the leader from all others."""
        self.divide({self.leader().number}, self.span())

    # -- processes

    def pause(self) -> None:
        """Suspends a random machine."""
        self.pause_machine(self.any_machine())

    def pause_leader(self) -> None:
        """Suspends the leader."""
        self.pause_machine(self.leader())

    def pause_machine(self, machine: Machine) -> None:
        """Suspends this machine for a random time."""
        if machine.replica is not None and not machine.paused:
            machine.pause()
            self.model.after(self.span(), lambda _: machine.resume(), None)

    def kill(self) -> None:
        """A random machine loses power."""
        self.kill_machine(self.any_machine(), self.span())

    def kill_all(self) -> None:
        """Nearly all machines lose power at the same time."""
        for machine in self.model.machines:
            if self.random.random() < 0.9:
                self.kill_machine(machine, self.shortly(300))

    def kill_all_leader_late(self) -> None:
        """All machines lose power, and the leader restarts long after the others."""
        leader = self.leader()
        for machine in self.model.machines:
            late = 1500 * MILLISECOND if machine is leader else 0
            self.kill_machine(machine, late + self.shortly(50))

    def kill_machine(self, machine: Machine, down_for: int) -> None:
        """This machine loses power and restarts after `down_for`."""
        if machine.replica is None:
            return
        machine.kill()
        self.model.after(down_for, self.boot, (machine, machine.start))

    def boot(self, argument: tuple[Machine, int]) -> None:
        """Starts the machine unless it was killed again meanwhile."""
        machine, start = argument
        if machine.start == start:
            machine.boot(None)

    # -- disks

    def wipe(self) -> None:
        """A random machine loses its disk."""
        self.wipe_machine(self.any_machine(), self.span())

    def wipe_machine(self, machine: Machine, down_for: int) -> bool:
        """This machine loses its disk, if the system is meant to survive that. Returns whether it did."""
        if not self.model.may_wipe(machine):
            return False
        self.model.wipe(machine)
        self.model.after(down_for, self.boot, (machine, machine.start))
        return True

    def wipe_and_lose_power(self) -> None:
        """One machine loses its disk while all others lose power."""
        wiped = self.any_machine()
        if not self.wipe_machine(wiped, self.shortly(300)):
            return
        for machine in self.model.machines:
            if machine is not wiped:
                self.kill_machine(machine, self.shortly(300))

    def lose_genesis(self) -> None:
        """A seed loses power before its first write is durable; it may come back with a new replica id."""
        machine = self.model.machines[0]
        machine.kill()
        if machine.disk.snapshot is None and self.random.random() < 0.5:
            self.model.new_id(machine)
        self.boot((machine, machine.start))

    def disk_trouble(self) -> None:
        """A disk, often the leader's, is slow, hangs or refuses writes."""
        machine = self.leader() if self.random.random() < 0.5 else self.any_machine()
        trouble = self.random.choice((DiskTrouble.SLOW, DiskTrouble.HANGS, DiskTrouble.REFUSES))
        machine.disk.begin_trouble(trouble, self.model.now + self.span())

    # -- requests to the leader

    def transfer(self) -> None:
        """Asks the leader to transfer leadership."""
        machine = self.leader()
        if machine.replica is not None and not machine.paused:
            machine.replica.transfer_leadership(self.model.now)
            machine.take_output()

    def retire(self) -> None:
        """Asks the leader to remove a random member."""
        machine = self.leader()
        if machine.replica is not None and not machine.paused:
            machine.replica.remove(self.model.now, self.any_machine().member.replica_id)
            machine.take_output()
