"""Which servers this node sends to: a slice of all, in a shuffled order; and which calls leave the zone."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from heapq import merge
from itertools import chain, islice
from math import ceil
from operator import attrgetter, itemgetter

from brackenladder.interface import Settings

from .server import SMOOTH, SMOOTH_ALL, Server

SUBSET_LEAST = 4  # size of the subset of a node with hardly any calls in flight
SUBSET_MOST = 24  # largest size of the subset of any node
SUBSET_FLIGHT = 2  # members per call in flight, between SUBSET_LEAST and SUBSET_MOST
SMOOTH_FLIGHT = 0.05  # weight of the newest sample in the mean number of calls in flight
ZONE_PRICE = 0.01  # calls stay in their zone only if crossing costs at least this share of a request's worth
CROSSING = 10  # a crossing cost of a tenth of a request's worth is accepted if crossing halves the latency
SPILL_GAIN = 0.1  # change of `spill` per window and unit of excess of near / far latency over that tolerated
SPILL_STEP = 0.04  # largest change of `spill`, the share of calls that may leave the zone, per window
UNVISITED = 0.05  # with a smaller `spill`, other zones get too few calls to measure their latency
BEST_DECAY = 1.001  # factor on the remembered best latency of the zone in each window, to forget it in time

SHUFFLE_ORDER = attrgetter("shuffle_key", "id")


def mix(number: int, seed: int) -> int:
    """A 64-bit hash of a server's number, the same on every node; each seed sorts servers differently."""
    x = (number + seed * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 31)


def positions(order: list[Server], shift: float, first: int) -> Iterator[tuple[float, int, Server]]:
    """The servers of one kind of machine, evenly spaced on a circle of length 1, from index `first` on."""
    for i in range(first, len(order)):
        yield (i + shift) / len(order), order[i].id, order[i]


class Subset:
    """The listed servers in shuffled order, the subset of them that this node uses, and the spill."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.zoned = settings.cross_zone_price >= ZONE_PRICE
        self.spill = 0.0 if self.zoned else 1.0  # share of calls that may leave the zone
        self.spill_least = self.spill
        self.near_ratio = 0.5  # mean of latency / target for servers of this zone
        self.far_ratio = 0.5  # mean of latency / target for servers of other zones
        self.best_ratio = 0.0
        self.shuffles: dict[
            int, dict[int, list[Server]]
        ] = {}  # by zone (0 for all servers if calls need not stay in their zone) and kind of machine
        self.rounds: dict[int, int] = {}  # seed of the shuffle, by zone
        self.members: list[Server] = []
        self.eligible_near: list[Server] = []  # members in this zone that are not ejected
        self.eligible: list[Server] = []  # all members that are not ejected
        self.weighted = False  # an operator has set a weight for some server
        self.listed = 0  # number of ready servers in the list
        self.mean_in_flight = 0.0  # calls in flight, smoothed
        self.size = SUBSET_LEAST  # size of the subset wanted when it was last selected

    def record_zone_ratio(self, zone: int, ratio: float) -> None:
        """Records latency / target of a call to a server of that zone."""
        if zone == self.settings.zone:
            self.near_ratio += SMOOTH_ALL * (ratio - self.near_ratio)
        else:
            self.far_ratio += SMOOTH_ALL * (ratio - self.far_ratio)

    def adjust_spill(self) -> None:
        """Adapts the spill, the share of calls that may leave the zone, at the end of a window.

        Without this, one zone's servers may be overloaded while another's are idle. Other zones that get too
        few calls for measurements are assumed to be as fast as this one was at its best.
        """
        if self.near_ratio < self.best_ratio or self.best_ratio == 0:
            self.best_ratio = self.near_ratio
        if self.spill < UNVISITED:
            self.far_ratio += SMOOTH * (self.best_ratio - self.far_ratio)
        self.best_ratio *= BEST_DECAY
        tolerated = 1 + CROSSING * self.settings.cross_zone_price
        step = SPILL_GAIN * (self.near_ratio / max(self.far_ratio, 1e-9) - tolerated)
        self.spill += min(SPILL_STEP, max(-SPILL_STEP, step))
        self.spill = min(1.0, max(self.spill_least, self.spill))

    def resize_needed(self, in_flight: int) -> bool:
        """Records the calls in flight; returns whether the subset is much too small or too large for them.

        Otherwise a node that suddenly gets a large part of the traffic overloads its few members.
        """
        self.mean_in_flight += SMOOTH_FLIGHT * (in_flight - self.mean_in_flight)
        return not self.size / 2 <= self.wanted_size() <= self.size * 1.25

    def wanted_size(self) -> int:
        size = ceil(SUBSET_FLIGHT * self.mean_in_flight)
        return SUBSET_LEAST if size < SUBSET_LEAST else SUBSET_MOST if size > SUBSET_MOST else size

    def insert(self, srv: Server) -> None:
        """Adds a ready server to the shuffled order of its zone, or of all servers."""
        srv.in_list = True
        zone = srv.zone if self.zoned else 0
        srv.shuffle_key = mix(srv.id, self.rounds.setdefault(zone, 0))
        insort(self.shuffles.setdefault(zone, {}).setdefault(srv.kind_id, []), srv, key=SHUFFLE_ORDER)

    def remove(self, srv: Server) -> None:
        srv.in_list = False
        order = self.shuffles[srv.zone if self.zoned else 0][srv.kind_id]
        del order[bisect_left(order, SHUFFLE_ORDER(srv), key=SHUFFLE_ORDER)]

    def shuffle_slice(self, zone: int) -> list[Server]:
        """This node's slice of the shuffled servers, among which those of each kind are evenly distributed.

        Otherwise, by chance, all members of a node may be machines of a slow kind and are overloaded, while
        the fast members of other nodes are idle.
        """
        kinds = self.shuffles.get(zone, {})
        n = sum(map(len, kinds.values()))
        parts = max(1, n // SUBSET_LEAST)
        seed, part = divmod(self.settings.index, parts)
        if seed != self.rounds.get(zone, 0):
            self.rounds[zone] = seed
            for order in kinds.values():
                for srv in order:
                    srv.shuffle_key = mix(srv.id, seed)
                order.sort(key=SHUFFLE_ORDER)
        start, end = part * n // parts, (part + 1) * n // parts
        count = min(max(end - start, self.size), n)
        # From `start` on, then from the beginning; lazily, so that only the servers taken are processed.
        runs = (self.interleave(kinds, seed, n, first) for first in (start, 0))
        return [srv for _, _, srv in islice(chain.from_iterable(runs), count)]

    def interleave(
        self, kinds: dict[int, list[Server]], seed: int, n: int, start: int
    ) -> Iterator[tuple[float, int, Server]]:
        """The servers in the order of their positions on the circle, without the first `start` of all `n`.

        Fewer than x * n + len(kinds) servers lie before a position x; most of those are skipped unmerged.
        """
        runs, skipped = [], 0
        share = (start - len(kinds) - 1) / n if n else 0.0
        for kind, order in sorted(kinds.items()):
            shift = mix(kind, seed) / 2**64
            first = min(len(order), max(0, ceil(share * len(order) - shift)))
            skipped += first
            runs.append(positions(order, shift, first))
        return islice(merge(*runs, key=itemgetter(0, 1)), start - skipped, None)

    def select_members(self) -> None:
        """Selects this node's members: a slice of the servers in an order that all nodes compute alike.

        Consecutive nodes take consecutive slices, and reshuffle once all are taken. So each server is used by
        equally many nodes without communication, and a change of the list changes few members.
        """
        self.listed = sum(len(o) for kinds in self.shuffles.values() for o in kinds.values())
        self.size = self.wanted_size()
        for srv in self.members:
            srv.member = False
        self.members = []
        # Otherwise a subset over all zones may have one member or none in the zone of this node.
        for zone in sorted(self.shuffles) if self.zoned else [0]:
            self.members += self.shuffle_slice(zone)
        for srv in self.members:
            srv.member = True

    def update_eligible_members(self) -> int:
        """Recomputes which members are not ejected; returns the change of calls that count against the limit.

        Otherwise calls that hang at an ejected, silent member use up the limit for all others.
        """
        change = 0
        self.eligible = []
        for m in self.members:
            excluded = m.ejected
            if not excluded:
                self.eligible.append(m)
            if excluded != m.excluded:
                change += -m.in_flight if excluded else m.in_flight
                m.excluded = excluded
        if self.weighted:
            most = max([m.share for m in self.eligible], default=1.0)
            for m in self.eligible:
                m.weight_penalty = most / m.share
        self.eligible_near = [m for m in self.eligible if m.zone == self.settings.zone]
        if self.zoned and self.eligible:
            # Otherwise a zone with few eligible servers takes all calls of the one node in it. If all nodes
            # send alike, what exceeds the zone's part of the eligible servers must leave the zone.
            part = len(self.eligible_near) * self.settings.instances / len(self.eligible)
            self.spill_least = max(0.0, 1 - part)
            self.spill = max(self.spill, self.spill_least)
        return change
