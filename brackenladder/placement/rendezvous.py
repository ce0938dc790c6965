"""Rendezvous hashing: all gateways choose the same server for a prompt without communication."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

from brackenladder.core.roster import number_of
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.server import Server
from brackenladder.policy.subset import mix


def affinity_key(traits: CallTraits) -> int | None:
    """The hash key of a prompt: its last shared part, or its only part; None without parts.

    The first part is no good key: most prompts begin with one of a few texts, and a few servers would get
    nearly all of them.
    """
    parts = traits.parts
    if not parts:
        return None
    return number_of(parts[-2].id if len(parts) > 1 else parts[0].id)


def order(key: int, servers: Iterable[Server], most: int) -> list[Server]:
    """The servers with the highest weights for a key, in descending order."""
    return nlargest(most, servers, key=lambda server: mix(server.id, key))
