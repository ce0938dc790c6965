"""SIGHUP while a role process is loaded: it waits until the role can take it.

Failure prevented: the settings change while a process starts, and the signal that says so ends the process,
as it ends every program that has not yet said what it does with it.
"""

from __future__ import annotations

import signal

HELD = frozenset({signal.SIGHUP})


def hold() -> None:
    """From now on SIGHUP waits."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def release() -> None:
    """What has waited comes now, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)
