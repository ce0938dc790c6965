"""Computes for how long faults have cut a control machine off from a majority of the voters."""

from __future__ import annotations

from attrs import evolve, frozen

from brackenladder.simulation.machines import ControlMachine
from brackenladder.simulation.network import SimulatedNetwork

LONG_AGO = -(1 << 40)  # start of isolation if a process has reached no majority yet
NOT_ENDED = 1 << 62  # end of a span that is still open


@frozen
class _Span:
    begun: int
    until: int
    since: int  # when contact with a majority was lost; LONG_AGO if the process never had it


class Isolation:
    """Tracks the isolation of machines. Call `update` after each fault and each repair, and periodically.

    Times are in microseconds since the start of the run.
    """

    def __init__(self, network: SimulatedNetwork, machines: list[ControlMachine]) -> None:
        self._network = network
        self._machines = machines
        self._voters: frozenset[str] = frozenset()  # replica ids of the newest members seen
        self._newest_log = (0, 0)
        # by machine name: latest start whose process has reached a majority
        self._start_with_contact: dict[str, int] = {}
        self._spans: dict[str, list[_Span]] = {}

    def update(self, now: int) -> None:
        """Recomputes which machines are isolated."""
        self._update_voters()
        for machine in self._machines:
            if machine.running and not self._in_contact(machine):
                had_contact = self._start_with_contact.get(machine.name) == machine.starts
                self._begin(now, machine.name, now if had_contact else LONG_AGO)
            else:
                self._end(now, machine.name)
                if machine.running:
                    self._start_with_contact[machine.name] = machine.starts

    def isolated_for(self, moment: int, name: str) -> int:
        """Returns for how long a running machine had been isolated at a moment; 0 if it was not."""
        for span in self._spans.get(name, ()):
            if span.begun <= moment < span.until:
                return moment - span.since
        return 0

    def _begin(self, now: int, name: str, since: int) -> None:
        spans = self._spans.setdefault(name, [])
        if not spans or spans[-1].until != NOT_ENDED:
            spans.append(_Span(now, NOT_ENDED, since))

    def _end(self, now: int, name: str) -> None:
        spans = self._spans.get(name)
        if spans and spans[-1].until == NOT_ENDED:
            spans[-1] = evolve(spans[-1], until=now)

    def _in_contact(self, machine: ControlMachine) -> bool:
        """Whether the machine, or a possible leader that it is connected to, reaches a majority."""
        return any(
            self._reaches_majority(other) for other in self._machines if self._connected(machine, other)
        )

    def _reaches_majority(self, machine: ControlMachine) -> bool:
        reached = sum(
            other.disk.replica_id in self._voters and self._connected(machine, other)
            for other in self._machines
        )
        return 2 * reached > len(self._voters)

    def _update_voters(self) -> None:
        for machine in self._machines:
            if machine.node is None:
                continue
            replica = machine.node.host.replica
            age = (replica.term, replica.last_index)
            if age >= self._newest_log and replica.members.voters:
                self._newest_log = age
                self._voters = frozenset(voter.replica_id for voter in replica.members.voters)

    def _connected(self, one: ControlMachine, other: ControlMachine) -> bool:
        if one is other:
            return True
        if not other.running:
            return False
        network = self._network
        return not network.is_cut(one.name, other.name) and not network.is_cut(other.name, one.name)
