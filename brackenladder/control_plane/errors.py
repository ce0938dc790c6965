"""Reasons for which a control node cannot give a definite answer."""

from __future__ import annotations

from enum import Enum


class Unavailable(Enum):
    """The call may or may not have taken effect; the caller may repeat it at any control node."""

    NO_LEADER = "no leader is known"
    LOST = "leadership changed meanwhile"
    TIMEOUT = "no answer in time"
