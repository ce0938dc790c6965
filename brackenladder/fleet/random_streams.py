"""Random numbers of a run: one named stream per component.

So more or fewer draws in one component do not change those of another.
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np


class RandomStreams:
    """Derives an independent random generator for each component name from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> np.random.Generator:
        """A new generator for a component; equal in every process and on every machine."""
        word = int.from_bytes(blake2b(name.encode(), digest_size=16).digest(), "big")
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, word])))
