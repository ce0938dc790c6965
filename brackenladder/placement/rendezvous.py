"""Rendezvous hashing: all gateways find the same server for a prompt without a message."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

from brackenladder.core.roster import number_of
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.server import Server
from brackenladder.policy.subset import mix


def affinity_key(traits: CallTraits) -> int | None:
    """What a prompt is placed by: its last shared part, the subject; a lone part; None without parts.

    The first part alone would not do: a few texts begin most prompts, and a few servers would take them all.
    """
    parts = traits.parts
    if not parts:
        return None
    return number_of(parts[-2].id if len(parts) > 1 else parts[0].id)


def order(key: int, servers: Iterable[Server], most: int) -> list[Server]:
    """The servers with the highest weights for a key, the highest first."""
    return nlargest(most, servers, key=lambda server: mix(server.id, key))
