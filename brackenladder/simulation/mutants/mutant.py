"""Planted faults: their description, and how one is applied for a while."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any

from attrs import frozen

Fault = AbstractContextManager[None]

# the loss of an acknowledged order may break any of these rules
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
)


@frozen
class Mutant:
    """A planted fault, the profile that triggers it and the rules by which it may be detected."""

    name: str
    description: str
    profile: str
    rules: frozenset[str]
    plant: Callable[[], Fault]


@contextmanager
def replaced(owner: Any, **attributes: Any) -> Iterator[None]:
    """Replaces attributes of an object within the context."""
    before = {name: getattr(owner, name) for name in attributes}
    for name, value in attributes.items():
        setattr(owner, name, value)
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(owner, name, value)


@contextmanager
def combined(*faults: Fault) -> Iterator[None]:
    """Plants several faults within the context."""
    with ExitStack() as planted:
        for fault in faults:
            planted.enter_context(fault)
        yield
