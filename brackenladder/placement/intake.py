"""Seeds the prefix cache of a server that has just joined: one chosen request for each popular prefix.

Only requests of clients may run, so a prefix is seeded by one of them that is sent to the new server: a
prompt that begins with the prefix and whose last shared part is cached nowhere, so that it needs a prefill
at any server. Until such a request has been sent, other prompts with the prefix go to servers that have it
cached. Gateways coordinate without extra messages: each waits for its own delay per server and prefix, and
the notice that the first one sends tells the others that the prefix is seeded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from brackenladder.placement.cost import CostModel, Job
from brackenladder.placement.prefix_uses import PrefixUses
from brackenladder.placement.prefixes import ChainLink
from brackenladder.placement.site import ServiceSite
from brackenladder.policy.server import Server
from brackenladder.policy.subset import mix

FRESH_TIME = 20_000_000  # microseconds after a server joined in which its cache is seeded
SPREAD_TIME = 1_000_000  # microseconds over which the gateways' delays are distributed
HASH_RANGE = 2.0**64
AWAIT_TIME = 3_000_000  # microseconds after a server joined in which prompts avoid it if it lacks the prefix
LEAST_TOKENS = 500  # shortest prefix, in tokens, that is worth seeding
US_PER_MS = 1_000
AIM_PART = 0.6  # part of its latency target that a seeding request may be expected to take

Usable = Callable[[Server], bool]
BaseTime = Callable[[Server], float]


class PrefixSeeding:
    """The servers of a service that have just joined, and the prefixes that they are missing."""

    def __init__(self, site: ServiceSite, costs: CostModel, gateway: int) -> None:
        """`gateway`: a number that is different for each gateway."""
        self._site = site
        self._costs = costs
        self._gateway = gateway
        self._uses = PrefixUses()
        self._listed: frozenset[int] = frozenset()
        self._joined: dict[int, int] = {}  # time of joining by server

    def set_servers(self, now: int, servers: Iterable[int]) -> None:
        """Sets the usable servers. The servers of the first list do not count as having just joined."""
        current = frozenset(servers)
        if self._listed:
            self._joined.update(dict.fromkeys(current - self._listed, now))
        self._joined = {
            server: at for server, at in self._joined.items() if server in current and now - at < FRESH_TIME
        }
        self._listed = current

    def record_request(self, now: int, job: Job) -> None:
        """Counts the use of the request's shared prefixes, whichever server it will be sent to."""
        self._uses.add(now, job.chain[:-1])

    def server_to_seed(
        self, now: int, job: Job, servers: Sequence[Server], usable: Usable, base_time: BaseTime
    ) -> Server | None:
        """The server whose cache this request should seed with a prefix; None if there is none.

        `servers`: those of this region; `base_time`: microseconds of a call without queueing and prefill.
        """
        if not self._joined or len(job.chain) < 2 or self._costs.recent_holders(now, job):
            return None
        for server in servers:
            if (
                self._is_due(now, server, job)
                and usable(server)
                and self._ends_in_time(now, server, job, base_time)
            ):
                return server
        return None

    def awaits_seeding(self, now: int, server: Server, job: Job) -> bool:
        """Whether a prompt should avoid the server until it has been seeded.

        Without this, many prompts with one prefix are sent at once to the server that has just joined, and
        each of them needs a prefill of the prefix.
        """
        joined_at = self._joined.get(server.id)
        if joined_at is None or now - joined_at >= AWAIT_TIME:
            return False
        return self._missing_prefix(now, server, job) is not None

    def _is_due(self, now: int, server: Server, job: Job) -> bool:
        joined_at = self._joined.get(server.id)
        if joined_at is None or now - joined_at >= FRESH_TIME:
            return False
        missing = self._missing_prefix(now, server, job)
        if missing is None:
            return False
        delay = mix(self._gateway, mix(server.id, missing.key)) / HASH_RANGE * SPREAD_TIME
        return now - joined_at >= delay

    def _missing_prefix(self, now: int, server: Server, job: Job) -> ChainLink | None:
        """The first shared part that the server has not cached; None if unpopular or cached nowhere else."""
        loads = self._costs.loads.servers
        load = loads.get(server.id)
        for link in job.chain[:-1]:
            if load is not None and link.key in load.cache.links:
                continue
            popular = link.tokens >= LEAST_TOKENS and self._uses.is_popular(now, link.key)
            cached_elsewhere = any(
                link.key in loads[other].cache.links for other in self._site.locations if other in loads
            )
            return link if popular and cached_elsewhere else None
        return None

    def _is_cached(self, link: ChainLink) -> bool:
        loads = self._costs.loads.servers
        return any(
            number in loads and link.key in loads[number].cache.links for number in self._site.locations
        )

    def _ends_in_time(self, now: int, server: Server, job: Job, base_time: BaseTime) -> bool:
        own = base_time(server)
        expected = own + self._costs.queue_time(now, server, job, own) + self._costs.full_prefill_time(job)
        return expected <= AIM_PART * job.traits.route.target_latency_ms * US_PER_MS
