"""Schedule of faults and planned operations of a soak, determined by the seed alone."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random

from attrs import frozen

from brackenladder.soak.servers import Leave
from brackenladder.soak.site import REGIONS, ZONES, SoakLayout

CONTROL_FAULT_SHARE = 0.5  # share of seeds in which faults also hit control nodes
RELAY_SHARE = 0.5  # share of seeds in which nodes connect through the relay
WHOLE_REGION_SHARE = 0.6  # share of removals that take down all gateways of a region
POWER_LOSS_SHARE = 0.1  # share of kills that hit all eligible machines, like a power loss
PLANNED_SHARE, STORM_SHARE, LATE_SHARE = 0.3, 0.45, 0.25  # share of the total time that each phase takes
CALM_SECONDS = 4.5  # fault-free seconds before planned work; more than ContactMs (4 s)
FIRST_SECONDS = 0.5  # seconds from the start of a phase to its first step
STEP_GAPS = (0.4, 2.0)  # seconds between two steps, shortest and longest


class Kind(Enum):
    """Kinds of faults and planned operations."""

    KILL = "kill"
    PAUSE = "pause"
    ROLL = "roll"
    RELOAD = "reload"
    REMOVE = "remove"
    HOLD = "hold"  # delay the links of a node, both directions
    HOLD_ONE_WAY = "hold-one-way"
    RESET = "reset"  # reset the links of a node
    SERVER = "server"
    SERVERS_CRASH = "servers-crash"  # all servers of a region
    SERVERS_PAUSE = "servers-pause"
    LOSE_ACKNOWLEDGEMENTS = "lose-acknowledgements"
    SERVERS_FULL = "servers-full"  # servers reject requests, repeat answers and send unproven rejections
    EVACUATE = "evacuate"
    EVACUATE_IN_SERIES = "evacuate-in-series"  # evacuate a zone and take it back, again and again


LINKS = frozenset({Kind.HOLD, Kind.HOLD_ONE_WAY, Kind.RESET})
DURATIONS = {  # duration in seconds, minimum and maximum
    Kind.KILL: (0.1, 5.0),
    Kind.PAUSE: (0.2, 5.0),
    Kind.ROLL: (0.0, 2.0),
    Kind.RELOAD: (0.0, 0.0),
    Kind.REMOVE: (6.0, 12.0),
    Kind.SERVER: (2.0, 6.0),
    Kind.SERVERS_CRASH: (2.0, 4.0),
    Kind.SERVERS_PAUSE: (0.5, 3.0),
    Kind.LOSE_ACKNOWLEDGEMENTS: (0.5, 3.0),
    Kind.SERVERS_FULL: (1.0, 5.0),
    Kind.EVACUATE: (6.0, 10.0),
    Kind.EVACUATE_IN_SERIES: (1.0, 4.0),
    **dict.fromkeys(LINKS, (0.3, 6.0)),
}
PLANNED_LEAVES = (Leave.DRAIN, Leave.DRAIN, Leave.DEREGISTER_FIRST)
PLANNED_KINDS = (
    Kind.ROLL,
    Kind.ROLL,
    Kind.RELOAD,
    Kind.REMOVE,
    Kind.EVACUATE,
    Kind.EVACUATE_IN_SERIES,
    Kind.SERVER,
    Kind.SERVER,
    Kind.SERVERS_FULL,
)
STORM_KINDS = (*Kind, Kind.KILL, Kind.PAUSE, Kind.REMOVE, Kind.SERVERS_CRASH, Kind.SERVERS_CRASH)


@frozen
class Step:
    """A fault or operation on some targets, `at` seconds after the start of its phase."""

    at: float
    kind: Kind
    targets: tuple[str, ...]
    seconds: float = 0.0  # duration of the fault or operation, or time that the target stays down
    leave: Leave = Leave.CRASH


@frozen
class Phase:
    """One part of a soak: the steps that start within its `seconds`."""

    seconds: float
    steps: tuple[Step, ...]


@frozen
class Schedule:
    """The phases of a soak."""

    relayed: bool  # whether nodes connect to control nodes through the relay
    planned: Phase
    storm: Phase
    late: Phase  # second phase of planned work, after the recovery


def make_schedule(seed: int, layout: SoakLayout, seconds: float) -> Schedule:
    """Builds the schedule of a seed."""
    random = Random(f"schedule {seed}")
    with_control, relayed = random.random() < CONTROL_FAULT_SHARE, random.random() < RELAY_SHARE
    planner = _Planner(layout, with_control, random)
    storm = [kind for kind in STORM_KINDS if relayed or kind not in LINKS]
    return Schedule(
        relayed,
        planner.phase(PLANNED_SHARE * seconds, PLANNED_KINDS, PLANNED_LEAVES),
        planner.phase(STORM_SHARE * seconds, storm, tuple(Leave)),
        planner.phase(LATE_SHARE * seconds, PLANNED_KINDS, PLANNED_LEAVES),
    )


class _Planner:
    """Draws random steps; most last longer than the gap to the next one, so that they overlap."""

    def __init__(self, layout: SoakLayout, with_control: bool, random: Random) -> None:
        self._random = random
        self._gateways = layout.gateways
        self._names = [one.name for one in (layout.machines if with_control else layout.gateways)]
        self._servers = [one.id.partition(".")[0] for one in layout.servers()]
        self._scale = max(1, len(layout.gateways) // 5)  # factor on the number of targets of a step

    def phase(self, seconds: float, kinds: Sequence[Kind], leaves: Sequence[Leave]) -> Phase:
        """Draws the steps of a phase from these kinds."""
        steps, at = [], FIRST_SECONDS
        while at < seconds:
            kind = self._random.choice(kinds)
            lasting = self._random.uniform(*DURATIONS[kind])
            steps.append(Step(at, kind, self._targets(kind), lasting, self._random.choice(leaves)))
            at += self._random.uniform(*STEP_GAPS)
        return Phase(seconds, tuple(steps))

    def _targets(self, kind: Kind) -> tuple[str, ...]:
        random = self._random
        region = random.choice(REGIONS)
        match kind:
            case Kind.SERVER:
                return (random.choice(self._servers),)
            case Kind.EVACUATE | Kind.EVACUATE_IN_SERIES:
                return (random.choice(tuple(ZONES)),)
            case Kind.SERVERS_CRASH | Kind.SERVERS_PAUSE | Kind.LOSE_ACKNOWLEDGEMENTS | Kind.SERVERS_FULL:
                return (f"servers-{region}",)
            case Kind.REMOVE if random.random() < WHOLE_REGION_SHARE:
                return tuple(one.name for one in self._gateways if one.region == region)
            case Kind.REMOVE:
                return (random.choice(self._gateways).name,)
        if kind is Kind.KILL and random.random() < POWER_LOSS_SHARE:
            return tuple(self._names)
        number = 1 if kind in LINKS else random.choice((1, 1, 2, 3))
        return tuple(random.sample(self._names, min(number * self._scale, len(self._names))))
