"""The classes of requests of a service, which follow its routes while it runs.

A Balancer is told its classes at its start. Routes come and go later, so a class is added to it when the
first request of a new shape comes.
"""

from __future__ import annotations

from dataclasses import replace

from attrs import frozen

from brackenladder.interface import ClassSettings, Effect
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.limit import AIM_SHARE
from brackenladder.policy.server import PRIOR, SMOOTH_ALL, Average

MOST_CLASSES = 64  # further shapes use the class that is most alike
LATE_WORTH = (
    0.3  # share of its worth that a late answer has; above 0, so that no request is given up at its aim
)
US_PER_MS = 1000


@frozen
class CallShape:
    """What tells two classes of requests apart."""

    idempotent: bool
    aim: int  # microseconds
    timeout: int  # microseconds
    priority: int  # 0 is the most urgent

    def settings(self) -> ClassSettings:
        """The class as the decision module has it: the worth halves with each step of urgency."""
        effect = Effect.SAFE if self.idempotent else Effect.UNSAFE
        return ClassSettings(effect, self.aim, self.timeout, 0.5**self.priority, LATE_WORTH)

    def distance(self, other: CallShape) -> float:
        """How much else it is to be treated as `other`."""
        return abs(self.aim - other.aim) / self.aim + abs(self.priority - other.priority)


def shape_of(traits: CallTraits) -> CallShape:
    """The shape of a call's class."""
    route = traits.route
    timeout = max(route.timeout_ms, 1) * US_PER_MS
    aim = max(route.target_latency_ms, 1) * US_PER_MS
    return CallShape(traits.idempotent, aim, timeout, max(route.priority, 0))


class ClassTable:
    """The numbers of the classes, by shape. Class 0 is there from the start."""

    def __init__(self, first: CallShape) -> None:
        self.numbers: dict[CallShape, int] = {first: 0}

    def find(self, shape: CallShape) -> int | None:
        """The shape's number; that of the most similar class once there are too many; None if it is new."""
        number = self.numbers.get(shape)
        if number is not None or len(self.numbers) < MOST_CLASSES:
            return number
        alike = [known for known in self.numbers if known.idempotent == shape.idempotent]
        if not alike:
            return None
        return self.numbers[min(alike, key=shape.distance)]

    def add(self, shape: CallShape) -> int:
        """The number of a new shape."""
        number = len(self.numbers)
        self.numbers[shape] = number
        return number


def add_class(balancer: Balancer, settings: ClassSettings) -> None:
    """Extend all that a Balancer keeps by class, as if it had been told of this one at its start."""
    share = AIM_SHARE * (balancer.settings.tiers - balancer.settings.tier) / balancer.settings.tiers
    balancer.settings = replace(balancer.settings, classes=(*balancer.settings.classes, settings))
    guess = settings.aim * share / 2
    balancer.mean_rtt.append(guess)
    balancer.rtt.append(Average(guess, PRIOR, SMOOTH_ALL))
    allowance = int(settings.aim * share)
    controller = balancer.controller
    controller.allowance = [*controller.allowance, allowance]
    controller.min_rtt.append(0.0)
    controller.target.append(float(allowance))
    if len(controller.pass_samples) < len(controller.allowance):
        controller.pass_samples.append([])
    balancer.rank.append(0)
    balancer.rank_classes(balancer.mean_rtt)
