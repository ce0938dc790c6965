"""What is done in a soak, and when: decided by the seed alone."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random

from attrs import frozen

from brackenladder.soak.servers import Leave
from brackenladder.soak.site import REGIONS, ZONES, SoakLayout

CORE_SHARE = 0.5  # of the seeds trouble control nodes too
RELAY_SHARE = 0.5  # of the seeds have links through the relay
WHOLE_REGION_SHARE = 0.6  # of the removals take all gateways of a region
POWER_SHARE = 0.1  # of the kills take all that may be troubled, as a loss of power does
PLANNED_SHARE, STORM_SHARE, LATE_SHARE = 0.3, 0.45, 0.25  # of the time
CALM_SECONDS = 4.5  # before planned work: over ContactMs
FIRST_SECONDS = 0.5  # until the first step of a phase
PAUSES = (0.4, 2.0)  # seconds between two steps, shortest and longest


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


LINKS = frozenset({Kind.HOLD, Kind.HOLD_ONE_WAY, Kind.RESET})
SPANS = {  # seconds, shortest and longest
    Kind.KILL: (0.1, 5.0),
    Kind.PAUSE: (0.2, 5.0),
    Kind.ROLL: (0.0, 2.0),
    Kind.RELOAD: (0.0, 0.0),
    Kind.REMOVE: (6.0, 12.0),
    Kind.SERVER: (2.0, 6.0),
    Kind.SERVERS_PAUSE: (0.5, 3.0),
    Kind.LOSE_ACKNOWLEDGEMENTS: (0.5, 3.0),
    Kind.EVACUATE: (6.0, 10.0),
    **dict.fromkeys(LINKS, (0.3, 6.0)),
}
IN_ORDER = (Leave.DRAIN, Leave.DRAIN, Leave.DEREGISTER_FIRST)
WORK = (Kind.ROLL, Kind.ROLL, Kind.RELOAD, Kind.REMOVE, Kind.EVACUATE, Kind.SERVER, Kind.SERVER)
STORM = (*Kind, Kind.KILL, Kind.PAUSE, Kind.REMOVE)


@frozen
class Step:
    """One thing that is done to its targets, at so many seconds of its phase."""

    at: float
    kind: Kind
    targets: tuple[str, ...]
    seconds: float = 0.0  # how long it lasts, or how long the target is away
    leave: Leave = Leave.CRASH


@frozen
class Phase:
    """Steps that begin within so many seconds."""

    seconds: float
    steps: tuple[Step, ...]


@frozen
class Schedule:
    """The phases of a soak."""

    relayed: bool  # nodes are linked through the relay
    planned: Phase
    storm: Phase
    late: Phase  # planned work again, after all is healed


def make_schedule(seed: int, layout: SoakLayout, seconds: float) -> Schedule:
    """The schedule of a seed."""
    random = Random(f"schedule {seed}")
    core, relayed = random.random() < CORE_SHARE, random.random() < RELAY_SHARE
    planner = _Planner(layout, core, random)
    storm = [kind for kind in STORM if relayed or kind not in LINKS]
    return Schedule(
        relayed,
        planner.phase(PLANNED_SHARE * seconds, WORK, IN_ORDER),
        planner.phase(STORM_SHARE * seconds, storm, tuple(Leave)),
        planner.phase(LATE_SHARE * seconds, WORK, IN_ORDER),
    )


class _Planner:
    """Draws steps; most last longer than the pause to the next, so that they overlap."""

    def __init__(self, layout: SoakLayout, core: bool, random: Random) -> None:
        self._random = random
        self._gateways = layout.gateways
        self._names = [one.name for one in (layout.machines if core else layout.gateways)]
        self._servers = [one.id.partition(".")[0] for one in layout.servers()]
        self._scale = max(1, len(layout.gateways) // 5)  # larger systems see more at a time

    def phase(self, seconds: float, kinds: Sequence[Kind], leaves: Sequence[Leave]) -> Phase:
        """Steps of these kinds."""
        steps, at = [], FIRST_SECONDS
        while at < seconds:
            kind = self._random.choice(kinds)
            lasting = self._random.uniform(*SPANS[kind])
            steps.append(Step(at, kind, self._targets(kind), lasting, self._random.choice(leaves)))
            at += self._random.uniform(*PAUSES)
        return Phase(seconds, tuple(steps))

    def _targets(self, kind: Kind) -> tuple[str, ...]:
        random = self._random
        region = random.choice(REGIONS)
        match kind:
            case Kind.SERVER:
                return (random.choice(self._servers),)
            case Kind.EVACUATE:
                return (random.choice(tuple(ZONES)),)
            case Kind.SERVERS_PAUSE | Kind.LOSE_ACKNOWLEDGEMENTS:
                return (f"servers-{region}",)
            case Kind.REMOVE if random.random() < WHOLE_REGION_SHARE:
                return tuple(one.name for one in self._gateways if one.region == region)
            case Kind.REMOVE:
                return (random.choice(self._gateways).name,)
        if kind is Kind.KILL and random.random() < POWER_SHARE:
            return tuple(self._names)
        number = 1 if kind in LINKS else random.choice((1, 1, 2, 3))
        return tuple(random.sample(self._names, min(number * self._scale, len(self._names))))
