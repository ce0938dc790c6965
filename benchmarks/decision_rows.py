"""The rows that benchmarks/decisions.py plays: what each replaces in a copy of the tree."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Replacement:
    """A text of a file below `brackenladder/`, and what stands in its place."""

    path: str
    old: str
    new: str


PARAMETERS = "placement/parameters.py"


def parameter(name: str, kind: str, value: str, new: str) -> Replacement:
    """Another default of a placement parameter."""
    if kind == "bool":
        return Replacement(PARAMETERS, f"{name}: bool = {value}", f"{name}: bool = {new}")
    return Replacement(
        PARAMETERS, f"{name}: {kind} = field(default={value},", f"{name}: {kind} = field(default={new},"
    )


AGAIN_OFF = Replacement("placement/pool.py", "self.site.again = again or None", "self.site.again = again")
BY_LENGTH_OFF = Replacement("placement/urgency.py", "MOST_BY_LENGTH = 3", "MOST_BY_LENGTH = 0")
ZONE_BYTES = parameter("zone_byte", "float", "0.0", "1.2")
BEGINNINGS = parameter("beginning_headroom", "float", "0.0", "2.0")
DOUBTS = parameter("doubt_weight", "int", "0", "3")
QUICK = parameter("quick_retry", "bool", "False", "True")
NOTICES = Replacement("prefix_cache/announcer.py", "    1_000  # tokens", "    300  # tokens")

LOG_LATENCY = Replacement(
    "placement/in_flight.py",
    """        load = loads.of(placed.server)
        place = self._site.places.get(placed.server)
""",
    """        load = loads.of(placed.server)
        place = self._site.places.get(placed.server)
        import sys
        where = place and ("zone" if place.zone == self._site.zone else place.region == self._site.region)
        print("PLACED", now, outcome, latency, placed.tokens - placed.output_tokens, int(placed.unread),
              placed.output_tokens, int(placed.known_cost), int(placed.waiting), placed.server % 997, where,
              int(self.first_event.longest), round(self._costs.prefill.rate, 4), file=sys.stderr)
""",
)
KEEP_WAITING = Replacement(
    "placement/in_flight.py",
    "        self.out[request] = placed\n",
    "        self.out[request] = placed\n        placed.waiting = waiting\n",
)
WAITING = Replacement(
    "placement/load.py", "    overdue: bool = False", "    waiting: float = 0.0\n    overdue: bool = False"
)

UNREAD = Replacement("prefix_cache/announcer.py", "LEAST_UNREAD = 4_000", "LEAST_UNREAD = 1_500")
SCAN = parameter("scanned_tokens", "int", "0", "4_000")
BEGINNINGS_4 = parameter("beginning_headroom", "float", "0.0", "4.0")
ALL = (ZONE_BYTES, BEGINNINGS, DOUBTS, QUICK)

ROWS: dict[str, tuple[Replacement, ...]] = {
    "base": (AGAIN_OFF,),
    "again": (),
    "urgency": (BY_LENGTH_OFF,),
    "zones": (ZONE_BYTES,),
    "beginnings": (BEGINNINGS,),
    "zones-beginnings": (ZONE_BYTES, BEGINNINGS),
    "notices": (NOTICES,),
    "doubts": (DOUBTS,),
    "quick": (DOUBTS, QUICK),
    "quick-zones": (ZONE_BYTES, DOUBTS, QUICK),
    "all": ALL,
    "no-beginnings": (ZONE_BYTES, DOUBTS, QUICK),
    "beginnings-4": (ZONE_BYTES, BEGINNINGS_4, DOUBTS, QUICK),
    "all-notices": (*ALL, NOTICES),
    "notices-scan": (*ALL, NOTICES, SCAN),
    "all-unread": (*ALL, UNREAD),
    "all-scan": (*ALL, UNREAD, SCAN),
    "log": (ZONE_BYTES, BEGINNINGS, DOUBTS, QUICK, LOG_LATENCY, KEEP_WAITING, WAITING),
}
