"""Starts a role whose links to control nodes go through the soak's relay: `serve` in all else.

The role dials the address it knows, with the port that the relay keeps for it.
"""

from __future__ import annotations

import os
import runpy
from random import Random

from attrs import evolve

from brackenladder.transport import tcp
from brackenladder.transport.address import Address
from brackenladder.transport.dialer import TcpDialer
from brackenladder.transport.link import LinkHandler, OnRefused
from brackenladder.transport.tcp_link import LinkSettings

PORT_VARIABLE = "BRACKENLADDER_RELAY_PORT"


class RelayedDialer(TcpDialer):
    """Dials the relay in place of the node."""

    def __init__(
        self,
        settings: LinkSettings,
        address: Address,
        handler: LinkHandler,
        random: Random,
        on_refused: OnRefused,
    ) -> None:
        super().__init__(settings, address, handler, random, on_refused)
        self._target = evolve(address, port=int(os.environ[PORT_VARIABLE]))


if __name__ == "__main__":
    setattr(tcp, "TcpDialer", RelayedDialer)  # noqa: B010
    runpy.run_module("brackenladder.serve", run_name="__main__")
