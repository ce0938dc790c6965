"""Runs one stand-in: `python -m brackenladder.rehearsal.standins ROLE`, started by the runner."""

from __future__ import annotations

import sys
from collections.abc import Callable

from brackenladder.rehearsal.standins.clients import Clients
from brackenladder.rehearsal.standins.network import Network
from brackenladder.rehearsal.standins.process import Host, Role, main
from brackenladder.rehearsal.standins.servers import Servers

ROLES: dict[str, Callable[[Host], Role]] = {"servers": Servers, "network": Network, "clients": Clients}

if __name__ == "__main__":
    main(ROLES[sys.argv[1]])
