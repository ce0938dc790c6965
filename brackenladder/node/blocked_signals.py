"""Blocks SIGHUP and SIGTERM while a role process starts, until its signal handlers are installed.

The default action of these signals ends the process at once. A gateway already listens early in its start, so
a reload or a planned shutdown at that time would reset the connections that wait in its accept queue.
"""

from __future__ import annotations

import signal

BLOCKED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM})


def block() -> None:
    """Blocks the signals: they stay pending."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)


def unblock() -> None:
    """Unblocks the signals. Pending ones are delivered now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
