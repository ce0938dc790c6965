"""A listener: a front that accepts clients at an address and passes their calls to pools."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from brackenladder.operations.pause import ServiceStage


class Front(Protocol):
    """Accepts client connections and turns their requests into calls."""

    def start(self, address: tuple[str, int]) -> None:
        """Binds and listens. Raises OSError if the address can't be bound."""

    def adopt(self, number: int) -> None:
        """Listens on an inherited socket, given as a descriptor. Raises OSError if it isn't a socket."""

    def set_service_stage(self, service: ServiceStage) -> None:
        """Applies the stage that an operator's pause has reached. Called repeatedly during a pause."""

    async def drain(self) -> None:
        """Shuts down after answering the accepted requests."""


@dataclass(frozen=True)
class Listener:
    """A server for client connections, and the address or inherited socket on which it listens."""

    front: Front
    address: tuple[str, int]
    passed: int | None = None  # the descriptor of an inherited socket that already listens

    def start(self) -> None:
        if self.passed is None:
            self.front.start(self.address)
        else:
            self.front.adopt(self.passed)
