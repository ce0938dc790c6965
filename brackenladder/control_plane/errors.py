"""Why a control node has no clear answer."""

from __future__ import annotations

from enum import Enum


class Unavailable(Enum):
    """Whatever was asked may have taken effect or not; the caller may ask again, anywhere."""

    NO_LEADER = "no leader is known"
    LOST = "leadership changed meanwhile"
    TIMEOUT = "no answer in time"
