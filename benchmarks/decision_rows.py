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


# The rounds of docs/decisions.md, each as the program was before it.
AGAIN_OFF = Replacement(
    "placement/pool.py", "self.site.reread_window = again or None", "self.site.reread_window = again"
)
ZONE_BYTES_OFF = parameter("zone_byte", "float", "3.6", "0.0")
DOUBTS_OFF = parameter("doubt_weight", "int", "3", "0")
QUICK_OFF = parameter("quick_retry", "bool", "True", "False")
NOTICES_OFF = Replacement("prefix_cache/announcer.py", "LEAST_SHARED = 300", "LEAST_SHARED = 1_000")
SCAN_OFF = parameter("scanned_tokens", "int", "4_000", "0")

# The ablation: each mechanism by itself off, or a figure of it halved or doubled.
BALANCER, CHOICE, COST = "placement/balancer.py", "placement/choice.py", "placement/cost.py"
URGENCY, INTAKE, REGIONS = "placement/urgency.py", "placement/intake.py", "placement/regions.py"
ADMITTED = "return max(GradientController.effective_limit(self), self.free_slots, float(MIN_LIMIT))"
KEEPER = "self._preferred_server(now, job, candidates, base_time) if job.key is not None else None"
DRAWN = "drawn = candidates if self._compares_all(job) else self._random_members(candidates, preferred)"
HELD = "return self.holders.recent(now, job.prefix, self.site.reread_window)"
NOTICED = "shares = bool(keys) and sum(tokens) >= LEAST_SHARED\n"
NO_SUBSET = (
    Replacement("policy/subset.py", "SUBSET_LEAST = 4 ", "SUBSET_LEAST = 10_000 "),
    Replacement("policy/subset.py", "SUBSET_MOST = 24 ", "SUBSET_MOST = 10_000 "),
)
ABLATION: dict[str, tuple[Replacement, ...]] = {
    "gradient-limit": (Replacement("placement/limit.py", ADMITTED, "return 1e9"),),
    "places-floor": (Replacement("placement/limit.py", "self.free_slots, ", ""),),
    "small-subset": NO_SUBSET,
    "ejection": (
        Replacement("policy/balancer.py", "if not srv.member or not srv.ejected and", "if True or"),
    ),
    "silent-zones": (Replacement("placement/silent_zones.py", "if known is None:", "if True:"),),
    "region-times": (Replacement(REGIONS, "if known is None or now", "if True or known is None or now"),),
    "keeper": (Replacement(CHOICE, KEEPER, "None"),),
    "second-draw": (
        Replacement(
            CHOICE, DRAWN, "drawn = self._random_members(candidates, preferred) if preferred is None else []"
        ),
    ),
    "holders": (Replacement(COST, HELD, "return ()"),),
    "prefix-notices": (
        Replacement(
            "prefix_cache/announcer.py", NOTICED, "shares = False\n        if True:\n            return\n"
        ),
    ),
    "intake": (
        Replacement(INTAKE, "if not self._joined or len(job.chain) < 2", "if True or len(job.chain) < 2"),
        Replacement(INTAKE, "if joined_at is None or now - joined_at >= AWAIT_TIME", "if True"),
    ),
    "restart-cache": (
        Replacement(
            "control_plane/restart_cache.py", "        if self._file is None:\n", "        if True:\n"
        ),
    ),
    "urgency-by-length": (Replacement(URGENCY, "MOST_BY_LENGTH = 3", "MOST_BY_LENGTH = 0"),),
    "rank-by-worth": (Replacement(BALANCER, "MOST_RANK = 3 ", "MOST_RANK = 0 "),),
    "gives-way": (Replacement(BALANCER, "if rank == 0 or load is None:", "if True:"),),
    "start-gate": (Replacement("gateway/exchange.py", "if not gate.is_open:", "if False:"),),
    "adoption": (
        Replacement("placement/adoption.py", "if server.in_list and", "if False and server.in_list and"),
    ),
    "early-listener": (
        Replacement(
            "serve.py", 'open_early(platform.listen.front) if arguments == ["gateway"] else None', "None"
        ),
    ),
    "pressed-cost": (parameter("pressed_cost", "float", "300_000.0", "0.0"),),
    "memory-cost": (parameter("memory_cost", "float", "1_000_000.0", "0.0"),),
    "stream-cost": (parameter("stream_cost", "float", "30.0", "0.0"),),
    "stream-cost-x2": (parameter("stream_cost", "float", "30.0", "60.0"),),
    "shared-read": (parameter("shared_read", "float", "0.5", "0.0"),),
    "shared-read-x2": (parameter("shared_read", "float", "0.5", "1.0"),),
    "read-again": (parameter("read_again", "float", "150.0", "0.0"),),
    "read-again-half": (parameter("read_again", "float", "150.0", "75.0"),),
    "read-again-x2": (parameter("read_again", "float", "150.0", "300.0"),),
    "region-price": (parameter("region_price", "float", "100_000.0", "0.0"),),
    "region-price-half": (parameter("region_price", "float", "100_000.0", "50_000.0"),),
    "region-price-x2": (parameter("region_price", "float", "100_000.0", "200_000.0"),),
    "scan": (SCAN_OFF,),
    "notices-of-short": (NOTICES_OFF,),
    "zone-bytes": (ZONE_BYTES_OFF,),
    "zone-bytes-half": (parameter("zone_byte", "float", "3.6", "1.8"),),
    "zone-bytes-x2": (parameter("zone_byte", "float", "3.6", "7.2"),),
    "doubts": (DOUBTS_OFF,),
    "quick-retry": (QUICK_OFF,),
    "standby-documents": (
        Replacement("delivery/subscriptions.py", "STANDBY_TIME = 300_000", "STANDBY_TIME = 0"),
    ),
    "presence-by-nearest": (
        Replacement("control_plane/soft_state.py", "tell_peers=message.relay", "tell_peers=True"),
    ),
}

ROWS: dict[str, tuple[Replacement, ...]] = {
    **ABLATION,
    "service": (),
    "before-rounds": (AGAIN_OFF, ZONE_BYTES_OFF, DOUBTS_OFF, QUICK_OFF, NOTICES_OFF, SCAN_OFF),
    "again": (AGAIN_OFF,),
}
