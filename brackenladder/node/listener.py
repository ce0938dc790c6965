"""A listener: a front towards clients, at its address, that feeds pools."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Front(Protocol):
    """Takes clients' connections and turns what they bring into calls."""

    def start(self, address: tuple[str, int]) -> None:
        """Binds and listens. An OSError if the address cannot be had."""

    async def drain(self) -> None:
        """Answers what was taken, and ends."""


@dataclass(frozen=True)
class Listener:
    """What a node starts and drains."""

    front: Front
    address: tuple[str, int]

    def start(self) -> None:
        self.front.start(self.address)
