"""Random numbers of a run: one named stream a component.

So a change in one place shifts nothing elsewhere.
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np


class RandomStreams:
    """Of one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> np.random.Generator:
        """The stream of a component, from its beginning: the same in every process and on every machine."""
        word = int.from_bytes(blake2b(name.encode(), digest_size=16).digest(), "big")
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, word])))
