"""The request classes of a service, which change with its routes at run time.

A Balancer gets its classes when it is created. As routes are added later, a class is added to the Balancer
with the first request of a new shape.
"""

from __future__ import annotations

from dataclasses import replace

from attrs import frozen

from brackenladder.interface import ClassSettings, Effect
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.limit import AIM_SHARE
from brackenladder.policy.server import PRIOR, SMOOTH_ALL, Average

MAX_CLASSES = 64  # further shapes use the most similar class
LATE_WORTH = 0.3  # part of the worth of a late answer; above 0, so that no request is cancelled at its aim
US_PER_MS = 1000


@frozen
class CallShape:
    """The properties that distinguish classes of requests."""

    idempotent: bool
    aim: int  # microseconds
    timeout: int  # microseconds
    priority: int  # 0 is the most urgent

    def settings(self) -> ClassSettings:
        """The settings of the class: its worth halves with each step of lower urgency."""
        effect = Effect.SAFE if self.idempotent else Effect.UNSAFE
        return ClassSettings(effect, self.aim, self.timeout, 0.5**self.priority, LATE_WORTH)

    def distance(self, other: CallShape) -> float:
        """How different the two shapes are in aim and priority."""
        return abs(self.aim - other.aim) / self.aim + abs(self.priority - other.priority)


def shape_of(traits: CallTraits) -> CallShape:
    """The shape of a call."""
    route = traits.route
    timeout = max(route.timeout_ms, 1) * US_PER_MS
    aim = max(route.target_latency_ms, 1) * US_PER_MS
    return CallShape(traits.idempotent, aim, timeout, max(route.priority, 0))


class ClassTable:
    """The class numbers by shape. Class 0 exists from the start."""

    def __init__(self, first: CallShape) -> None:
        self.numbers: dict[CallShape, int] = {first: 0}

    def find(self, shape: CallShape) -> int | None:
        """The number of the shape, or of the most similar one if there are too many; None if it is new."""
        number = self.numbers.get(shape)
        if number is not None or len(self.numbers) < MAX_CLASSES:
            return number
        similar = [known for known in self.numbers if known.idempotent == shape.idempotent]
        if not similar:
            return None
        return self.numbers[min(similar, key=shape.distance)]

    def add(self, shape: CallShape) -> int:
        """Adds a new shape and returns its number."""
        number = len(self.numbers)
        self.numbers[shape] = number
        return number


def add_class(balancer: Balancer, settings: ClassSettings) -> None:
    """Adds a class to all per-class state of a Balancer, as if it had been created with it."""
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
