"""A seed determines a run completely, in any process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).parents[2]
COMMAND = (sys.executable, "-m", "brackenladder.system", "simulate", "--profile", "isolation", "--trace")
PATIENCE = 120.0  # seconds; reached only when the test fails


class ReplayTest(TestCase):
    def play(self, seed: int, hash_seed: int) -> str:
        """Returns the trace from a process with this hash seed."""
        told = subprocess.run(
            [*COMMAND, "--replay", str(seed)],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
            capture_output=True,
            text=True,
            timeout=PATIENCE,
            check=True,
        )
        return told.stdout

    def test_trace_does_not_depend_on_hash_seed(self) -> None:
        first = self.play(9, hash_seed=1)
        self.assertGreater(len(first.splitlines()), 50)
        self.assertEqual(first, self.play(9, hash_seed=2))
