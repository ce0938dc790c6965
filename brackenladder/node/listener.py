"""A listener: a front towards clients, at its address, that feeds pools."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from brackenladder.operations.pause import Service


class Front(Protocol):
    """Takes clients' connections and turns what they bring into calls."""

    def start(self, address: tuple[str, int]) -> None:
        """Binds and listens. An OSError if the address cannot be had."""

    def adopt(self, number: int) -> None:
        """Listens on a socket that was handed down as a descriptor. An OSError if it is no such socket."""

    def set_service_state(self, service: Service) -> None:
        """An operator's pause has come so far, or is over. Called again and again while it lasts."""

    async def drain(self) -> None:
        """Answers what was taken, and ends."""


@dataclass(frozen=True)
class Listener:
    """What a node starts and drains."""

    front: Front
    address: tuple[str, int]
    passed: int | None = None  # the descriptor of a socket that listens already

    def start(self) -> None:
        if self.passed is None:
            self.front.start(self.address)
        else:
            self.front.adopt(self.passed)
