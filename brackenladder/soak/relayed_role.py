"""Starts a role like `brackenladder.serve`, but with its links to control nodes through the soak's relay.

The role dials the usual address on the port at which the relay listens for this role.
"""

from __future__ import annotations

import os
import runpy
from typing import Any

from attrs import evolve

from brackenladder.transport import tcp
from brackenladder.transport.dialer import TcpDialer

PORT_VARIABLE = "BRACKENLADDER_RELAY_PORT"


class RelayedDialer(TcpDialer):
    """Dials the relay's port instead of the node's."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._target = evolve(self._target, port=int(os.environ[PORT_VARIABLE]))


if __name__ == "__main__":
    setattr(tcp, "TcpDialer", RelayedDialer)  # noqa: B010
    runpy.run_module("brackenladder.serve", run_name="__main__")
