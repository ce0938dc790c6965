"""Signals of the platform while a role process is loaded: they wait until the role can take them.

Failure prevented: the settings change, or a planned end comes, while a process starts, and the signal that
says so ends the process at once, as it ends every program that has not yet said what it does with it. A
gateway listens by then, and what waits in its queue would be reset.
"""

from __future__ import annotations

import signal

BLOCKED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM})


def block() -> None:
    """From now on these signals wait."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)


def unblock() -> None:
    """What has waited comes now, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
