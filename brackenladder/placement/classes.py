"""The request classes of a service, which change with its routes at run time.

The policy's Balancer keeps limits and latencies per class and gets its classes when it is created. Here a
class is a combination of idempotence, latency target, timeout and priority: a CallShape. Since routes may be
added later, a class is added to the Balancer with the first request that has a new combination.
"""

from __future__ import annotations

from dataclasses import replace

from attrs import frozen

from brackenladder.interface import ClassSettings, Effect
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.limit import AIM_SHARE
from brackenladder.policy.server import PRIOR, SMOOTH_ALL, Average

MAX_CLASSES = 64  # beyond this many classes, a request with a new shape uses the most similar class
LATE_WORTH = 0.3  # part of its worth that a late answer keeps; at 0, requests would be cancelled at their aim
US_PER_MS = 1000


@frozen
class CallShape:
    """The properties that distinguish classes of requests."""

    idempotent: bool
    aim: int  # latency target in microseconds
    timeout: int  # microseconds
    priority: int  # 0 is the most urgent

    def settings(self) -> ClassSettings:
        """The settings of this shape's class; the worth of an answer halves with each step of urgency."""
        effect = Effect.SAFE if self.idempotent else Effect.UNSAFE
        return ClassSettings(effect, self.aim, self.timeout, 0.5**self.priority, LATE_WORTH)

    def distance(self, other: CallShape) -> float:
        """How different two shapes are: relative difference of targets plus difference of priorities."""
        return abs(self.aim - other.aim) / self.aim + abs(self.priority - other.priority)


def shape_of(traits: CallTraits) -> CallShape:
    """The shape of a call, from the configuration of its route."""
    route = traits.route
    timeout = max(route.timeout_ms, 1) * US_PER_MS
    aim = max(route.target_latency_ms, 1) * US_PER_MS
    return CallShape(traits.idempotent, aim, timeout, max(route.priority, 0))


class ClassTable:
    """Maps call shapes to class numbers of a Balancer. Class 0, of shape `first`, exists from the start."""

    def __init__(self, first: CallShape) -> None:
        self.numbers: dict[CallShape, int] = {first: 0}

    def find(self, shape: CallShape) -> int | None:
        """The class number for a shape; None if the shape is new and its class can still be added.

        Once there are MAX_CLASSES classes, a new shape gets the class of the most similar shape with the same
        idempotence; None if there is no such class.
        """
        number = self.numbers.get(shape)
        if number is not None or len(self.numbers) < MAX_CLASSES:
            return number
        similar = [known for known in self.numbers if known.idempotent == shape.idempotent]
        if not similar:
            return None
        return self.numbers[min(similar, key=shape.distance)]

    def add(self, shape: CallShape) -> int:
        """Adds a class for a new shape and returns its number."""
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
