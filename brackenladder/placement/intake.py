"""A server that has just joined takes in the prefixes that traffic leans on, by single chosen requests.

Only requests of clients may run, so a prefix is brought in by one of them: its carrier, a prompt that begins
with the prefix and whose own subject nobody keeps, so that it has to be read wherever it goes. Until the
carrier was sent, other prompts with the prefix go to servers that keep it. Gateways agree without a message:
each has its own moment for a server and a prefix, and the first one's notice tells the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from brackenladder.placement.cost import CostModel, Job
from brackenladder.placement.prefix_uses import PrefixUses
from brackenladder.placement.prefixes import ChainLink
from brackenladder.placement.site import ServiceSite
from brackenladder.policy.server import Server
from brackenladder.policy.subset import mix

FRESH_TIME = 20_000_000  # microseconds after which a server that has joined is like any other
TURN_TIME = 1_000_000  # microseconds over which the gateways' moments are spread
HASH_RANGE = 2.0**64
AWAIT_TIME = 3_000_000  # microseconds after which its ordinary calls wait for no carrier
LEAST_TOKENS = 500  # of a prefix that is worth a carrier
US_PER_MS = 1_000
AIM_PART = 0.6  # of its aim that a carrier may be expected to take

Able = Callable[[Server], bool]
Base = Callable[[Server], float]


class PrefixIntake:
    """The servers of a service that have just joined, and what they still lack."""

    def __init__(self, site: ServiceSite, costs: CostModel, gateway: int) -> None:
        """`gateway`: a number by which this gateway differs from the others."""
        self._site = site
        self._costs = costs
        self._gateway = gateway
        self._uses = PrefixUses()
        self._listed: frozenset[int] = frozenset()
        self._joined: dict[int, int] = {}  # moment by server

    def listed(self, now: int, servers: Iterable[int]) -> None:
        """The servers that may be used from now on. Those of a gateway's first list are not fresh."""
        current = frozenset(servers)
        if self._listed:
            self._joined.update(dict.fromkeys(current - self._listed, now))
        self._joined = {
            server: at for server, at in self._joined.items() if server in current and now - at < FRESH_TIME
        }
        self._listed = current

    def asked(self, now: int, job: Job) -> None:
        """A request came, wherever it will go."""
        self._uses.add(now, job.chain[:-1])

    def carrier_for(
        self, now: int, job: Job, servers: Sequence[Server], able: Able, base: Base
    ) -> Server | None:
        """The server that this request is to bring a prefix to; None where it is an ordinary one.

        `servers`: those of the region; `base`: a call's own time at a server, microseconds.
        """
        if not self._joined or len(job.chain) < 2 or self._costs.held(now, job):
            return None
        for server in servers:
            if self._is_due(now, server, job) and able(server) and self._in_time(now, server, job, base):
                return server
        return None

    def awaits_carrier(self, now: int, server: Server, job: Job) -> bool:
        """Whether an ordinary call with this prompt had better go elsewhere for a moment.

        Failure prevented: all prompts that begin with a prefix are sent to the server that has just joined,
        and each of them has it read anew.
        """
        joined_at = self._joined.get(server.id)
        if joined_at is None or now - joined_at >= AWAIT_TIME:
            return False
        return self._lacking(now, server, job) is not None

    def _is_due(self, now: int, server: Server, job: Job) -> bool:
        joined_at = self._joined.get(server.id)
        if joined_at is None or now - joined_at >= FRESH_TIME:
            return False
        lacking = self._lacking(now, server, job)
        if lacking is None:
            return False
        turn = mix(self._gateway, mix(server.id, lacking.key)) / HASH_RANGE * TURN_TIME
        return now - joined_at >= turn

    def _lacking(self, now: int, server: Server, job: Job) -> ChainLink | None:
        """The first shared part that the server does not keep, if traffic leans on it and others keep it."""
        loads = self._costs.loads.servers
        load = loads.get(server.id)
        for link in job.chain[:-1]:
            if load is not None and link.key in load.kept.links:
                continue
            leaned_on = link.tokens >= LEAST_TOKENS and self._uses.leaned_on(now, link.key)
            kept_elsewhere = any(
                link.key in loads[other].kept.links for other in self._site.places if other in loads
            )
            return link if leaned_on and kept_elsewhere else None
        return None

    def _is_kept(self, link: ChainLink) -> bool:
        loads = self._costs.loads.servers
        return any(number in loads and link.key in loads[number].kept.links for number in self._site.places)

    def _in_time(self, now: int, server: Server, job: Job, base: Base) -> bool:
        own = base(server)
        expected = own + self._costs.queue(now, server, job, own) + self._costs.rereading(job)
        return expected <= AIM_PART * job.traits.route.target_latency_ms * US_PER_MS
