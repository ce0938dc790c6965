"""`asyncio.wait_for` loses a cancellation that arrives in the turn in which its wait ends (Python 3.11)."""

from __future__ import annotations

from pathlib import Path
from unittest import TestCase

SOURCES = Path(__file__).parents[2] / "brackenladder"
PLANTED = {"simulation/mutants/waits.py"}
NAME = "asyncio.wait_for("


def users(root: Path) -> set[str]:
    """The files below `root` that call it."""
    return {str(path.relative_to(root)) for path in root.rglob("*.py") if NAME in path.read_text()}


class NoWaitForTest(TestCase):
    def test_the_program_uses_timeouts_that_lose_no_cancellation(self) -> None:
        self.assertEqual(users(SOURCES), PLANTED)
