"""Which control node's status a local run reports."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from returns.result import Failure, Success

from brackenladder.system.local.local_system import LocalError, LocalSystem

RESTARTED = SimpleNamespace(applied_index=0)
CURRENT = SimpleNamespace(applied_index=7)


class FakeControlClient:
    """A client of control nodes of which one that has just restarted answers first."""

    def __init__(self, first: object) -> None:
        self.first = first

    async def status(self) -> object:
        return self.first

    async def statuses(self) -> dict[str, object]:
        return {"a": Success(RESTARTED), "b": Failure("refused"), "c": Success(CURRENT)}


class LocalStatusTest(IsolatedAsyncioTestCase):
    def system(self, first: object) -> LocalSystem:
        system = LocalSystem.__new__(LocalSystem)
        system.control = FakeControlClient(first)
        return system

    async def test_the_status_of_the_node_that_has_applied_most_is_reported(self) -> None:
        self.assertIs(await self.system(Success(RESTARTED)).status(), CURRENT)

    async def test_no_answer_from_any_node_is_an_error(self) -> None:
        with self.assertRaises(LocalError):
            await self.system(Failure("no answer")).status()
