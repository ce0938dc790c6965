"""A control node's access to HTTP and disk, which a simulation replaces."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from brackenladder.control_plane.fences import NewestIndex
from brackenladder.control_plane.health_checks import HealthChecks, HttpHealthChecks
from brackenladder.control_plane.http_server import Handler, HttpListener, Listener
from brackenladder.control_plane.restart_file import DiskRestartFile, RestartFile
from brackenladder.platform_settings import Platform


@frozen
class NodeEnvironment:
    """Factories for the HTTP listeners and health checks, and the restart file.

    `restart_file` is None if no state is kept across restarts.
    """

    listener: Callable[[Handler, NewestIndex], Listener]
    restart_file: RestartFile | None
    health_checks: Callable[[], HealthChecks]


def host_environment(platform: Platform) -> NodeEnvironment:
    """The real environment: HTTP over sockets, and the data folder of the settings."""
    restart_file = DiskRestartFile(platform.data_dir) if platform.data_dir else None
    return NodeEnvironment(HttpListener, restart_file, HttpHealthChecks)
