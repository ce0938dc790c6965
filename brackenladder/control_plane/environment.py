"""What a control node meets beside its links, its clock and its log; a simulation gives its own."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from brackenladder.control_plane.health_checks import HealthChecks, HttpHealthChecks
from brackenladder.control_plane.http_server import Handler, HttpListener, Listener
from brackenladder.control_plane.restart_file import DiskRestartFile, RestartFile
from brackenladder.platform_settings import Platform


@frozen
class NodeEnvironment:
    """Where a node listens for calls, keeps its restart file and asks servers for their health.

    `restart_file` is None where nothing is kept over a restart.
    """

    listener: Callable[[Handler], Listener]
    restart_file: RestartFile | None
    health_checks: Callable[[], HealthChecks]


def host_environment(platform: Platform) -> NodeEnvironment:
    """HTTP over sockets, the folder of the settings as disk."""
    restart_file = DiskRestartFile(platform.data_dir) if platform.data_dir else None
    return NodeEnvironment(HttpListener, restart_file, HttpHealthChecks)
