"""Whose view a local run tells of."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from returns.result import Failure, Success

from brackenladder.system.local.local_system import LocalError, LocalSystem

RESTARTED = SimpleNamespace(applied_index=0)
CURRENT = SimpleNamespace(applied_index=7)


class Nodes:
    """Control nodes of which the one that has just restarted answers first."""

    def __init__(self, first: object) -> None:
        self.first = first

    async def status(self) -> object:
        return self.first

    async def statuses(self) -> dict[str, object]:
        return {"a": Success(RESTARTED), "b": Failure("refused"), "c": Success(CURRENT)}


class LocalStatusTest(IsolatedAsyncioTestCase):
    def system(self, first: object) -> LocalSystem:
        system = LocalSystem.__new__(LocalSystem)
        system.control = Nodes(first)
        return system

    async def test_the_node_that_has_applied_most_is_told_of(self) -> None:
        self.assertIs(await self.system(Success(RESTARTED)).status(), CURRENT)

    async def test_no_node_at_all_is_an_error(self) -> None:
        with self.assertRaises(LocalError):
            await self.system(Failure("no answer")).status()
