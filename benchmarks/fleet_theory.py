"""The model's servers against queueing theory: `PYTHONPATH=. .venv/bin/python benchmarks/fleet_theory.py`.

One server with c cores, Poisson arrivals, exponential work (M/M/1, M/M/c): mean wait by Erlang, the
99th percentile of the wait and Little's law. Says how far each is off.
"""

from __future__ import annotations

import sys
from itertools import count
from math import factorial, log
from random import Random

from brackenladder.fleet.queue import Queue
from brackenladder.fleet.servers import Server
from brackenladder.rehearsal.events import Event
from brackenladder.rehearsal.plan import ServerPlan
from brackenladder.rehearsal.scenario import Rules, Servers

ARRIVALS = 1_000_000
MEAN = 10_000  # microseconds of work


class Customer:
    """A request that notes its wait."""

    klass = 0
    expires = 1 << 60
    node = ""

    def __init__(self, hall: Hall, name: str, work: int) -> None:
        self.hall = hall
        self.id = name
        self.closed_at_server = self.over_limit = self.reset_on_request = False  # also its own connection
        self.attempt_open: object = None
        self.work = work
        self.at = hall.queue.now

    def answered(self, how: str, keep: bool) -> None:
        self.hall.left(self)

    def closed_by_server(self) -> None:
        raise AssertionError("nobody resets")


class Exponential(Server):
    """A server to which the customers bring their work, as their names."""

    def work_for(self, klass: int, name: str) -> int:
        return int(name)


class Hall:
    """M/M/c: `load` of each core."""

    def __init__(self, cores: int, load: float, arrivals: int, seed: int) -> None:
        self.queue = Queue()
        self.rng = Random(seed)
        self.cores = cores
        self.rate = load * cores / MEAN  # arrivals a microsecond
        self.left_over = arrivals
        self.waits: list[int] = []
        self.inside = 0
        self.area = 0  # customers times microseconds
        self.since = 0
        self.worked = 0
        numbers = count()
        plan = ServerPlan("s", "z", 0, cores, 1.0, -1, 0, 0)
        table = Servers(cores=cores, queue=1 << 30, warm_s=0)
        self.server = Exponential(
            plan,
            table,
            Rules(),
            (),
            [],
            self.queue,
            0,
            self.note,
            lambda: next(numbers),
            lambda node: 0,
            lambda plan: None,
        )
        self.server.start(0, cold=False)
        self.queue.after(self.gap(), self.come)

    def note(self, event: Event) -> None:
        """Events are not kept."""

    def gap(self) -> int:
        return round(self.rng.expovariate(self.rate))

    def count(self, change: int) -> None:
        self.area += self.inside * (self.queue.now - self.since)
        self.since = self.queue.now
        self.inside += change

    def come(self) -> None:
        self.count(1)
        work = max(1, round(self.rng.expovariate(1 / MEAN)))
        customer = Customer(self, str(work), work)
        self.server.receive(customer, customer)
        self.left_over -= 1
        if self.left_over:
            self.queue.after(self.gap(), self.come)

    def left(self, customer: Customer) -> None:
        self.count(-1)
        self.worked += customer.work
        self.waits.append(self.queue.now - customer.at - customer.work)


def erlang(cores: int, load: float) -> float:
    """The chance to wait in M/M/c (Erlang C)."""
    offered = cores * load
    top = offered**cores / factorial(cores) / (1 - load)
    return top / (sum(offered**k / factorial(k) for k in range(cores)) + top)


def off(cores: int, load: float, arrivals: int, seed: int = 1) -> dict[str, float]:
    """How far measured figures are from theory, as shares of it."""
    hall = Hall(cores, load, arrivals, seed)
    hall.queue.run(1 << 60)
    waits = sorted(hall.waits)
    chance = erlang(cores, load)
    drain = cores * (1 - load) / MEAN  # of those that wait: exponential with this rate
    mean = chance / drain
    high = max(0.0, log(chance / 0.01) / drain)
    measured = sum(waits) / len(waits)
    spent = hall.since
    little = hall.area / spent  # mean number inside, against rate times mean time inside
    stays = (sum(waits) + hall.worked) / len(waits) * (arrivals / spent)
    return {
        "mean wait": measured / mean - 1,
        "99th percentile": waits[int(0.99 * len(waits))] / high - 1,
        "Little's law": little / stays - 1,
        "served": len(waits) / arrivals - 1,
    }


def main() -> None:
    for cores, load in ((1, 0.5), (1, 0.7), (2, 0.7), (4, 0.8), (16, 0.8)):
        figures = off(cores, load, int(sys.argv[1]) if len(sys.argv) > 1 else ARRIVALS)
        told = ", ".join(f"{name} {value:+.2%}" for name, value in figures.items())
        print(f"M/M/{cores} at {load:g}: off by {told}", flush=True)


if __name__ == "__main__":
    main()
