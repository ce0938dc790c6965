"""What a run will do, from a scenario and a seed: pure, and the same for the same two.

All times are microseconds from the run's start.
"""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate, count
from random import Random

import msgspec

from brackenladder.rehearsal.scenario import (
    ANSWER_FAULTS,
    DATAGRAM_FAULTS,
    DISCOVERY_FAULTS,
    NODE_FAULTS,
    Class,
    Clients,
    FaultTable,
    Scenario,
    ScenarioError,
)

MICRO = 1_000_000
DEPLOY_AT_ONCE = 0.2  # a deploy takes down this part of the fleet at a time
MIN_FAULT_GAP = MICRO // 2  # between two faults at one server
BOOT_TIME = MICRO  # from the end of a server to the start of its successor


class ServerPlan(msgspec.Struct, frozen=True):
    """A server: `id` is the same at every node and after a restart."""

    id: str
    zone: str
    cell: int
    cores: int
    speed: float
    born: int  # -1: it stood before the run; else the time of its first start
    place: int  # servers of one place have one address, one after another
    process: int  # which stand-in process hosts it
    tier: int = 0  # 0: clients' nodes send there; above: the servers of the tier before


class Step(msgspec.Struct, frozen=True):
    """A fault at one target. `successor`: the server that takes a replaced or drained one's part."""

    at: int
    length: int
    kind: str
    target: str
    successor: str = ""
    share: float = 1.0
    count: int = 0

    @property
    def end(self) -> int:
        return self.at + self.length


class RequestPlan(msgspec.Struct, frozen=True):
    """A client's request. `budgets`: one a try; `leave`: the client's patience if it leaves early, or 0."""

    at: int
    id: str
    node: int
    klass: int
    tenant: int
    object: str
    budgets: tuple[int, ...]
    waits: tuple[int, ...]
    leave: int
    drop: bool


class Plan(msgspec.Struct, frozen=True):
    """The whole run."""

    seed: int
    length: int
    servers: tuple[ServerPlan, ...]
    steps: tuple[Step, ...]
    requests: tuple[RequestPlan, ...]


def node_name(number: int) -> str:
    return f"n{number}"


def plan_of(scenario: Scenario, seed: int) -> Plan:
    """The plan; a ScenarioError if the faults ask for more targets than there are."""
    servers = initial_servers(scenario, Random(f"fleet {seed}"))
    steps, born = plan_faults(scenario, servers, Random(f"faults {seed}"))
    return Plan(
        seed=seed,
        length=micro(scenario.length_s),
        servers=(*servers, *born),
        steps=tuple(sorted(steps, key=lambda s: (s.at, s.kind, s.target))),
        requests=plan_requests(scenario, Random(f"requests {seed}")),
    )


def micro(seconds: float) -> int:
    return round(seconds * MICRO)


def work_of(klass: Class, name: str) -> int:
    """Microseconds of a standard core that a request takes, whichever server it comes to."""
    rng = Random(f"work {name}")
    low, high = klass.work_ms
    work = 1000 * rng.uniform(low, high)
    if klass.costly and rng.random() < klass.costly:
        work *= klass.costly_times
    return round(work)


def initial_servers(scenario: Scenario, rng: Random) -> list[ServerPlan]:
    """The servers that stand at the start."""
    s, zones = scenario.servers, scenario.zones
    pods = -(-s.count // len(zones)) // s.pod + 1  # of one zone, at most
    return [
        ServerPlan(
            id=f"{f't{tier}' * (tier > 0)}s{i}-{rng.getrandbits(24):06x}",
            zone=zones[i % len(zones)],
            cell=(tier * len(zones) + i % len(zones)) * pods + (i // len(zones)) // s.pod,
            cores=s.cores,
            speed=round(rng.uniform(*s.speed), 3),
            born=-1,
            place=tier * s.count + i,
            process=i % s.processes,
            tier=tier,
        )
        for tier in range(scenario.tiers)
        for i in range(s.count)
    ]


def plan_faults(
    scenario: Scenario, servers: list[ServerPlan], rng: Random
) -> tuple[list[Step], list[ServerPlan]]:
    """The faults' steps, and the servers that are born in the run."""
    steps: list[Step] = []
    born: list[ServerPlan] = []
    alive = {s.id: s for s in servers}  # those that no fault has ended or will end
    numbers = count(len(servers))
    for i, fault in sorted(enumerate(scenario.faults), key=lambda pair: pair[1].at_s):
        at = micro(fault.at_s) + round(rng.random() * micro(fault.jitter_s))
        length = micro(fault.for_s)
        # Two faults of a port or a process at one server would cross, and so would two of its answers.
        taken = {
            s.target
            for s in steps
            if (s.kind in ANSWER_FAULTS) == (fault.kind in ANSWER_FAULTS)
            and s.at - MIN_FAULT_GAP < at + length
            and at < s.end + MIN_FAULT_GAP
        }
        free = [s for s in alive.values() if s.id not in taken]
        picked = targets(scenario, fault, free, rng, f"faults[{i}].pick")
        batch = max(1, round(DEPLOY_AT_ONCE * len(alive)))
        waves = -(-len(picked) // batch)
        for k, target in enumerate(picked):
            later = k * fault.waves // len(picked) * micro(fault.spread_s) // fault.waves
            step = Step(at + later, length, fault.kind, target, share=fault.share, count=fault.count)
            if fault.kind in ("replace", "drain", "drain-answering", "deploy"):
                old = alive.pop(target)
                new = successor_of(scenario, old, f"s{next(numbers)}-{rng.getrandbits(24):06x}", rng)
                if fault.kind == "replace":
                    new = msgspec.structs.replace(new, place=old.place, born=step.end)
                    step = msgspec.structs.replace(step, successor=new.id)
                elif fault.kind == "deploy":
                    # In batches over the fault's length; a successor starts when its server has ended.
                    drains = round(fault.drain_s * MICRO)
                    start = step.at + k // batch * length // waves + round(rng.random() * MICRO / 4)
                    new = msgspec.structs.replace(
                        new, place=next_place(servers, born), born=start + drains + BOOT_TIME
                    )
                    step = Step(start, drains, "drain", target, successor=new.id)
                else:
                    steps.append(step)
                    continue
                born.append(new)
            elif fault.kind in ("restart", "vanish"):
                del alive[target]  # one end for each process, lest two faults cross
            steps.append(step)
    return steps, born


def next_place(servers: list[ServerPlan], born: list[ServerPlan]) -> int:
    return 1 + max(s.place for s in (*servers, *born))


def successor_of(scenario: Scenario, old: ServerPlan, name: str, rng: Random) -> ServerPlan:
    """A successor in the old one's pod."""
    speed = round(rng.uniform(*scenario.servers.speed), 3)
    return msgspec.structs.replace(old, id=name, speed=speed)


def targets(
    scenario: Scenario, fault: FaultTable, alive: list[ServerPlan], rng: Random, key: str
) -> list[str]:
    """The names that a fault falls on, drawn from the seed."""
    if fault.kind in DISCOVERY_FAULTS:
        return ["discovery"]
    if fault.kind in DATAGRAM_FAULTS:
        return ["relay"]
    zones = scenario.zones
    if fault.kind in NODE_FAULTS:
        names = [node_name(i) for i in range(scenario.nodes) if fault.zone in ("", zones[i % len(zones)])]
    else:
        names = [s.id for s in alive if fault.zone in ("", s.zone)]
    whole = len(names)
    if fault.pick == "all":
        wanted = whole
    elif fault.pick < 1:
        wanted = max(1, round(fault.pick * whole))
    else:
        wanted = int(fault.pick)
    if wanted > whole or not whole:
        raise ScenarioError(f"{key}: {wanted} wanted, {whole} left that can be picked")
    return rng.sample(names, wanted)


def plan_requests(scenario: Scenario, rng: Random) -> tuple[RequestPlan, ...]:
    """Arrivals at random times (a Poisson process) up to the run's end."""
    clients, classes = scenario.clients, scenario.classes
    bounds = list(accumulate(c.share for c in classes))
    tenants = list(accumulate(clients.tenants))
    out: list[RequestPlan] = []
    time = 0.0
    while True:
        time = next_arrival(clients, time, rng.expovariate(clients.rate))
        if time >= scenario.length_s:
            return tuple(out)
        klass = min(bisect_right(bounds, rng.random() * bounds[-1]), len(classes) - 1)
        deadline = classes[klass].deadline_ms * 1000
        tries = range(clients.retries + 1)
        budgets = tuple(int(deadline * rng.uniform(*clients.budget)) // 1000 * 1000 for _ in tries)
        waits = tuple(round(rng.uniform(*clients.wait_ms) * 1000) for _ in tries)
        leaves = rng.random() < clients.leave
        # Drawn only where it is asked for, so that all else of a seed stays what it was.
        hot = clients.hot > 0 and rng.random() < clients.hot
        tenant = min(bisect_right(tenants, rng.random() * tenants[-1]), len(tenants) - 1) if tenants else -1
        out.append(
            RequestPlan(
                at=micro(time),
                id=f"{rng.getrandbits(64):016x}",
                node=rng.randrange(scenario.nodes) * (not hot),
                klass=klass,
                tenant=rng.randrange(len(scenario.tenants)) if tenant < 0 else tenant,
                object=f"{rng.getrandbits(64):016x}",
                budgets=budgets,
                waits=waits,
                leave=round(rng.uniform(0.01, 0.5) * budgets[0]) if leaves else 0,
                drop=rng.random() < clients.drop,
            )
        )


def next_arrival(clients: Clients, time: float, gap: float) -> float:
    """The moment after `time` at which as many arrivals are due as in `gap` seconds of the plain rate."""
    if not clients.surges:
        return time + gap
    edges = sorted(edge for s in clients.surges for edge in (s.at_s, s.at_s + s.for_s))
    for edge in [*(edge for edge in edges if edge > time), float("inf")]:
        times = 1.0
        for s in clients.surges:
            times *= s.times if s.at_s <= time < s.at_s + s.for_s else 1.0
        if time + gap / times <= edge:
            break
        gap -= (edge - time) * times
        time = edge
    return time + gap / times


DESCRIPTIONS = {
    "stall": "answers nothing",
    "stall-head": "stops in the head of each answer",
    "stall-body": "stops partway through the body of each answer",
    "drip": "answers byte by byte",
    "reset-early": "resets connections before a request is whole",
    "reset-late": "resets connections after a request's last byte",
    "reset-answer": "resets connections partway through the answer",
    "reject": "turns requests away unseen (503 with X-Rejected)",
    "error": "answers 500",
    "closed": "closes its port",
    "backlog": "takes no connections: its backlog is full",
    "restart": "dies, and comes back cold under its id",
    "replace": "dies; another comes up cold at its address",
    "drain": "drains, then ends",
    "drain-answering": "drains as it writes an answer, then ends",
    "half-list": "gives whole lists with half of the servers",
    "old-list": "gives an old version of the list",
    "silence": "says nothing",
    "datagrams-late": "delivers datagrams late",
    "datagrams-twice": "delivers datagrams twice",
    "datagrams-swapped": "delivers datagrams in another order",
    "datagrams-lost": "loses datagrams",
    "node-kill": "is killed, and starts again",
    "node-term": "gets SIGTERM, and starts again once it has ended",
    "node-move": "is moved to another discovery by SIGHUP",
    "silent-clients": "gets connections that say nothing",
    "unheard": "is cut off from discovery",
    "silent-watch": "has its watch fall silent, once",
    "node-pause": "stands still (SIGSTOP)",
    "node-stall": "stands still (SIGSTOP) while clients go on",
    "deaf": "hears no other node",
    "mute": "is heard by no other node",
    "cut-oneway": "is not heard by the next node",
    "cut-group": "is cut off from the nodes outside its group",
    "vanish": "is gone without a reset, and comes back cold",
    "cut": "cannot be reached by some nodes",
    "slow": "works slowly",
}


def describe_plan(scenario: Scenario, plan: Plan) -> list[str]:
    """The run in words, a line for each step."""
    zones = {s.id: s.zone for s in plan.servers}
    lines = [
        f"{scenario.title}: {scenario.nodes} nodes{' over rpc' * (scenario.transport == 'rpc')},"
        f" {scenario.servers.count} servers in {' and '.join(scenario.zones)},"
        f" {len(plan.requests)} requests in {scenario.length_s:g} s,"
        f" seed {plan.seed}"
    ]
    for step in plan.steps:
        where = f" ({zones[step.target]})" if step.target in zones else ""
        text = f"{step.at / MICRO:7.2f} s  {step.target}{where} {DESCRIPTIONS[step.kind]}"
        if step.kind == "silent-clients":
            text += f": {step.count}"
        if step.share < 1:
            text += f", {step.share:.0%} of them"
        text += f", {step.length / MICRO:g} s"
        if step.successor:
            born = next(s.born for s in plan.servers if s.id == step.successor)
            text += f"; {step.successor} starts cold at {born / MICRO:.2f} s"
        lines.append(text)
    return lines
