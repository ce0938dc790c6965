"""Starts a gateway or a control node: `python3 -m brackenladder.serve gateway|control`.

A role process imports only what it needs, to save memory and to start quickly.
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
# aiohttp loads the system's certificate bundle when it is imported, which takes a quarter of a role's start.
# Roles use only plain HTTP and TCP, so they get an empty bundle.
NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def main(arguments: list[str]) -> int:
    """Runs the role until a stop signal. Returns the process's exit status."""
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
    gc.disable()  # the runner enables it after the start, when all long-lived objects exist
    from brackenladder.node.role_runner import run_role

    if arguments == ["gateway"]:
        from brackenladder.node.gateway_role import GatewayRole

        return run_role(partial(GatewayRole, front=front), platform, path)
    from brackenladder.node.control_role import ControlRole

    return run_role(ControlRole, platform, path)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
