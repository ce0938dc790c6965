"""What a planted fault is, and how one is planted for a while."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any

from attrs import frozen

Fault = AbstractContextManager[None]

LOST_ORDER_RULES = frozenset(
    {
        "order-lost",
        "two-winners",
        "broken-chain",
        "stale-read",
        "wrong-refusal",
        "repeated-order",
        "refused-in-force",
    }
)  # an order that was acknowledged and is gone shows by any of these


@frozen
class Mutant:
    """A fault, the profile that brings it out and the rules of which one has to convict it."""

    name: str
    description: str
    profile: str
    rules: frozenset[str]
    plant: Callable[[], Fault]


@contextmanager
def replaced(owner: Any, **attributes: Any) -> Iterator[None]:
    """Gives an object other attributes for a while."""
    before = {name: getattr(owner, name) for name in attributes}
    for name, value in attributes.items():
        setattr(owner, name, value)
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(owner, name, value)
