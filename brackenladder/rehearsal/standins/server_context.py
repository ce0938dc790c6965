"""State that the servers of one process share: planned faults, request classes, addresses."""

from __future__ import annotations

from itertools import count
from random import Random

from brackenladder.rehearsal.plan import ServerPlan, Step
from brackenladder.rehearsal.standins.process import Host


class ServerContext:
    """`places`: each place's address; `steps`: each server's faults; `numbers`: source of attempt numbers."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.scenario = host.scenario
        self.classes = {c.name: c for c in host.scenario.classes}
        self.rng = Random(f"reports {host.brief.seed} {host.brief.number}")
        self.numbers = count(host.brief.number << 40)
        self.places: dict[int, str] = {}
        self.steps: dict[str, list[Step]] = {}
        for step in host.plan.steps:
            self.steps.setdefault(step.target, []).append(step)

    def pod(self, plan: ServerPlan) -> str:
        """The name of a server's pod, whose servers share idempotency keys: zone and cell."""
        return f"{plan.zone}/{plan.cell}"
