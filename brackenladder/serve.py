"""Starts one role of the whole system: `python3 -m brackenladder.serve gateway|control`.

A role process imports no more than it needs: its memory and its start are paid for.
"""

from __future__ import annotations

import gc
import os
import sys
from functools import partial

from returns.result import Failure, Success

from brackenladder.node import blocked_signals
from brackenladder.node.early_listener import open_early
from brackenladder.platform_settings import load_platform

SETTINGS_VARIABLE = "BRACKENLADDER_CONFIG"
SETTINGS_PATH = "/etc/brackenladder/local.toml"
EXIT_USAGE = 2
USAGE = "usage: python3 -m brackenladder.serve gateway|control"
# aiohttp reads the machine's certificate bundle as it is imported, a quarter of a role's start. Roles speak
# plain HTTP and TCP only, so they are given an empty one.
NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def main(arguments: list[str]) -> int:
    """Runs the role until it is told to end; the process's exit status."""
    blocked_signals.block()
    if arguments not in (["gateway"], ["control"]):
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    match load_platform(path):
        case Success(platform):
            pass
        case Failure(faults):
            for fault in faults:
                print(f"{path}: {fault}", file=sys.stderr)
            return EXIT_USAGE
    os.environ.update(NO_CERTIFICATES)
    front = open_early(platform.listen.front) if arguments == ["gateway"] else None
    gc.disable()  # the runner enables it once all that stays has been loaded
    from brackenladder.node.role_runner import run_role

    if arguments == ["gateway"]:
        from brackenladder.node.gateway_role import GatewayRole

        return run_role(partial(GatewayRole, front=front), platform, path)
    from brackenladder.node.control_role import ControlRole

    return run_role(ControlRole, platform, path)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
