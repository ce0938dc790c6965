"""The plan of a run, computed from scenario and seed alone, so that both always give the same plan.

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
DEPLOY_AT_ONCE = 0.2  # share of the servers that a deploy takes down at a time
MIN_FAULT_GAP = MICRO // 2  # least time between two faults of the same sort at one server
BOOT_TIME = MICRO  # time from the end of a deployed server to the start of its successor


class ServerPlan(msgspec.Struct, frozen=True):
    """A server. Its `id` is the same at every node, and stays after a restart."""

    id: str
    zone: str
    cell: int
    cores: int
    speed: float
    born: int  # time of its first start; -1: it runs before the run begins
    place: int  # number of its address; a replacement gets the place of its predecessor
    process: int  # number of the stand-in process that hosts it
    tier: int = 0  # 0: called by the nodes; else called by the servers of the tier before


class Step(msgspec.Struct, frozen=True):
    """A fault at one target. `successor`: the server that replaces the target, if one does."""

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
    """A client's request.

    `budgets`: the time for each try; `leave`: when the client disconnects early, or 0; `drop`: it closes its
    connection after the answer.
    """

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
    """The plan of a run: servers, faults and requests."""

    seed: int
    length: int
    servers: tuple[ServerPlan, ...]
    steps: tuple[Step, ...]
    requests: tuple[RequestPlan, ...]


def node_name(number: int) -> str:
    return f"n{number}"


def plan_of(scenario: Scenario, seed: int) -> Plan:
    """Makes the plan. Raises ScenarioError if a fault needs more targets than there are."""
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
    """Microseconds of work on a standard core for a request, the same at every server."""
    rng = Random(f"work {name}")
    low, high = klass.work_ms
    work = 1000 * rng.uniform(low, high)
    if klass.costly and rng.random() < klass.costly:
        work *= klass.costly_times
    return round(work)


def initial_servers(scenario: Scenario, rng: Random) -> list[ServerPlan]:
    """The servers that run at the start."""
    s, zones = scenario.servers, scenario.zones
    pods = -(-s.count // len(zones)) // s.pod + 1  # upper bound of the pods in a zone
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
    """The steps of all faults, and the servers that start during the run."""
    steps: list[Step] = []
    born: list[ServerPlan] = []
    alive = {s.id: s for s in servers}  # servers that no planned fault ends
    numbers = count(len(servers))
    for i, fault in sorted(enumerate(scenario.faults), key=lambda pair: pair[1].at_s):
        at = micro(fault.at_s) + round(rng.random() * micro(fault.jitter_s))
        length = micro(fault.for_s)
        # At one server, faults of answers must not overlap each other, nor may faults of its port or process.
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
                    # Replaces servers in batches; a successor starts once the old server has ended.
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
                del alive[target]  # a server is ended only once, so that no two such faults overlap
            steps.append(step)
    return steps, born


def next_place(servers: list[ServerPlan], born: list[ServerPlan]) -> int:
    return 1 + max(s.place for s in (*servers, *born))


def successor_of(scenario: Scenario, old: ServerPlan, name: str, rng: Random) -> ServerPlan:
    """A successor in the same pod as the old server."""
    speed = round(rng.uniform(*scenario.servers.speed), 3)
    return msgspec.structs.replace(old, id=name, speed=speed)


def targets(
    scenario: Scenario, fault: FaultTable, alive: list[ServerPlan], rng: Random, key: str
) -> list[str]:
    """The names of a fault's targets, drawn by `rng`."""
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
        raise ScenarioError(f"{key}: {wanted} wanted, {whole} available")
    return rng.sample(names, wanted)


def plan_requests(scenario: Scenario, rng: Random) -> tuple[RequestPlan, ...]:
    """The requests; they arrive as a Poisson process until the end of the run."""
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
        # Drawn only if configured, so that other scenarios keep their random sequence.
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
    """The time of the next arrival. `gap`: the time until it at the base rate; surges change that."""
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
    "stall": "does not answer",
    "stall-head": "stops in the head of each answer",
    "stall-body": "stops partway through the body of each answer",
    "drip": "answers byte by byte",
    "reset-early": "resets connections before a request is complete",
    "reset-late": "resets connections after a request's last byte",
    "reset-answer": "resets connections partway through the answer",
    "reject": "rejects requests before it runs them (503 with X-Rejected)",
    "error": "answers 500",
    "closed": "closes its port",
    "backlog": "accepts no connections: its backlog is full",
    "restart": "crashes, and restarts cold with the same id",
    "replace": "crashes; another server starts cold at its address",
    "drain": "drains, then stops",
    "drain-answering": "drains while it writes an answer, then stops",
    "half-list": "returns complete lists without half of the servers",
    "old-list": "returns an old version of the list",
    "silence": "does not answer",
    "datagrams-late": "delivers datagrams late",
    "datagrams-twice": "delivers datagrams twice",
    "datagrams-swapped": "delivers datagrams in another order",
    "datagrams-lost": "loses datagrams",
    "node-kill": "is killed, and starts again",
    "node-term": "gets SIGTERM, and starts again once it has ended",
    "node-move": "is moved to another discovery by SIGHUP",
    "silent-clients": "gets connections that send nothing",
    "unheard": "is cut off from discovery",
    "silent-watch": "gets no answer to its current watch",
    "node-pause": "is paused (SIGSTOP)",
    "node-stall": "is paused (SIGSTOP) while clients go on sending to it",
    "deaf": "receives nothing from other nodes",
    "mute": "is cut off from sending to other nodes",
    "cut-oneway": "is cut off from sending to the next node",
    "cut-group": "is cut off from the nodes outside its group",
    "vanish": "disappears without a reset, and restarts cold",
    "cut": "cannot be reached by some nodes",
    "slow": "works slowly",
}


def describe_plan(scenario: Scenario, plan: Plan) -> list[str]:
    """Describes the plan in words, one line for each step."""
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
