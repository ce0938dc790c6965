"""What is done in a soak, and when: decided by the seed alone."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from random import Random

from attrs import frozen

from brackenladder.soak.servers import Leave
from brackenladder.soak.site import REGIONS, ZONES, SoakLayout

CORE_SHARE = 0.5  # of the seeds trouble control nodes too
RELAY_SHARE = 0.5  # of the seeds have links through the relay
CALM_SECONDS = 4.5  # before planned work: over ContactMs


class Kind(Enum):
    """What can be done."""

    KILL = "kill"
    PAUSE = "pause"
    ROLL = "roll"
    RELOAD = "reload"
    REMOVE = "remove"
    HOLD = "hold"  # links of a node, both ways
    HOLD_ONE_WAY = "hold-one-way"
    RESET = "reset"  # links of a node
    SERVER = "server"
    SERVERS_PAUSE = "servers-pause"
    LOSE_ACKNOWLEDGEMENTS = "lose-acknowledgements"
    EVACUATE = "evacuate"


PLANNED = frozenset({Kind.ROLL, Kind.RELOAD, Kind.REMOVE, Kind.EVACUATE, Kind.SERVER})


@frozen
class Step:
    """One thing that is done to its targets, at so many seconds of its phase."""

    at: float
    kind: Kind
    targets: tuple[str, ...]
    seconds: float = 0.0  # how long it lasts, or how long the target is away
    leave: Leave = Leave.CRASH


@frozen
class Schedule:
    """The phases of a soak."""

    relayed: bool  # nodes are linked through the relay
    core: bool  # control nodes are troubled too
    planned: tuple[Step, ...]
    storm: tuple[Step, ...]
    late: tuple[Step, ...]  # planned work again, after all is healed
    planned_seconds: float
    storm_seconds: float
    late_seconds: float


def make_schedule(seed: int, layout: SoakLayout, seconds: float) -> Schedule:
    """The schedule of a seed."""
    random = Random(f"schedule {seed}")
    core, relayed = random.random() < CORE_SHARE, random.random() < RELAY_SHARE
    planned_seconds, storm_seconds, late_seconds = 0.3 * seconds, 0.45 * seconds, 0.25 * seconds
    planner = _Planner(layout, core, relayed, random)
    return Schedule(
        relayed,
        core,
        tuple(planner.steps(planned_seconds, planner.planned)),
        tuple(planner.steps(storm_seconds, planner.storm)),
        tuple(planner.steps(late_seconds, planner.planned)),
        planned_seconds,
        storm_seconds,
        late_seconds,
    )


class _Planner:
    """Draws steps; each lasts longer than the pause to the next, so that they overlap."""

    def __init__(self, layout: SoakLayout, core: bool, relayed: bool, random: Random) -> None:
        self._random = random
        self._gateways = [machine.name for machine in layout.gateways]
        self._control = [machine.name for machine in layout.control]
        self._by_region = {
            region: tuple(machine.name for machine in layout.gateways if machine.region == region)
            for region in REGIONS
        }
        self._servers = [one.id.partition(".")[0] for one in layout.servers()]
        self._core = core
        self._relayed = relayed
        self._scale = max(1, len(self._gateways) // 5)  # larger systems see more at a time

    def steps(self, seconds: float, draw: Callable[[float], Step]) -> Iterator[Step]:
        """Steps of one phase, the last of which begins before its end."""
        at = 0.5
        while at < seconds:
            yield draw(at)
            at += self._random.uniform(0.4, 2.0)

    def planned(self, at: float) -> Step:
        """Work that loses nothing."""
        kind = self._random.choice(
            (Kind.ROLL, Kind.ROLL, Kind.RELOAD, Kind.REMOVE, Kind.EVACUATE, Kind.SERVER, Kind.SERVER)
        )
        if kind is Kind.SERVER:
            leave = self._random.choice((Leave.DRAIN, Leave.DRAIN, Leave.DEREGISTER_FIRST))
            return self._server(at, leave)
        return self._step(at, kind)

    def storm(self, at: float) -> Step:
        """Anything."""
        kinds = [kind for kind in Kind if self._relayed or kind not in _LINKS]
        kind = self._random.choice([*kinds, Kind.KILL, Kind.PAUSE, Kind.REMOVE])
        if kind is Kind.SERVER:
            return self._server(at, self._random.choice(tuple(Leave)))
        return self._step(at, kind)

    def _server(self, at: float, leave: Leave) -> Step:
        away = self._random.uniform(2.0, 6.0)
        return Step(at, Kind.SERVER, (self._random.choice(self._servers),), away, leave)

    def _step(self, at: float, kind: Kind) -> Step:
        random = self._random
        if kind is Kind.REMOVE:
            return Step(at, kind, self._removed(), random.uniform(6.0, 12.0))
        if kind is Kind.EVACUATE:
            return Step(at, kind, (random.choice(tuple(ZONES)),), random.uniform(6.0, 10.0))
        if kind in (Kind.SERVERS_PAUSE, Kind.LOSE_ACKNOWLEDGEMENTS):
            return Step(at, kind, (f"servers-{random.choice(REGIONS)}",), random.uniform(0.5, 3.0))
        if kind in _LINKS:
            return Step(at, kind, self._some(1), random.uniform(0.3, 6.0))
        if kind is Kind.RELOAD:
            return Step(at, kind, self._some(random.randint(1, 3)))
        seconds = {Kind.PAUSE: (0.2, 5.0), Kind.KILL: (0.1, 5.0), Kind.ROLL: (0.0, 2.0)}[kind]
        return Step(at, kind, self._some(random.choice((1, 1, 2, 3))), random.uniform(*seconds))

    def _removed(self) -> tuple[str, ...]:
        """All gateways of a region, or one."""
        if self._random.random() < 0.6:
            return self._by_region[self._random.choice(REGIONS)]
        return (self._random.choice(self._gateways),)

    def _some(self, number: int) -> tuple[str, ...]:
        names = self._gateways + (self._control if self._core else [])
        return tuple(self._random.sample(names, min(number * self._scale, len(names))))


_LINKS = frozenset({Kind.HOLD, Kind.HOLD_ONE_WAY, Kind.RESET})
