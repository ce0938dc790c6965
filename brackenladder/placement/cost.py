"""The expected cost of a call at a server, in microseconds until its first event."""

from __future__ import annotations

from attrs import define, field

from brackenladder.placement.estimate import OutputTime, PrefillRate
from brackenladder.placement.holders import PrefixHolders
from brackenladder.placement.load import Loads
from brackenladder.placement.prefixes import ChainLink, chain_of, shared_tokens_of
from brackenladder.placement.rendezvous import affinity_key
from brackenladder.placement.site import ServerLocation, ServiceSite
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.server import Server

IN_ZONE, CROSS_ZONE, CROSS_REGION = 400, 2_000, 90_000  # assumed network round trips in microseconds
HEAD_BYTES = 600  # HTTP headers of a request and its answer together
OUTPUT_TOKEN_BYTES = 16  # bytes of a stream per token: an event of 60 to 90 bytes has 4 or 5 tokens


@define(eq=False)
class Job:
    """An open call: its requirements and its attempts so far."""

    traits: CallTraits
    chain: tuple[ChainLink, ...]
    key: int | None  # key for rendezvous hashing, which assigns a server to the prompt; None: no server
    shared_tokens: int  # prompt tokens of the parts that other requests may share
    excluded: set[int] = field(factory=set)  # numbers of servers that must not get this call
    arrived: int = 0  # attempts that reached a server
    may_have_run: int = 0  # attempts that may have been executed
    unsent: int = 0  # attempts that reached no server

    @property
    def bytes(self) -> int:
        """Approximate bytes sent to the server and back."""
        answer = OUTPUT_TOKEN_BYTES * self.traits.output_tokens
        return HEAD_BYTES + self.traits.request_bytes + answer

    @property
    def prefix(self) -> int | None:
        """The key of the longest prefix that other requests may share; None if there is none."""
        return self.chain[-2].key if len(self.chain) > 1 else None

    @property
    def tokens(self) -> int:
        """Tokens that the call needs in a server's KV cache."""
        return self.traits.prompt_tokens + self.traits.output_tokens


def new_job(traits: CallTraits, excluded: set[int]) -> Job:
    """Creates the job of a new call, with the cache keys of its prompt. `excluded`: numbers of servers."""
    chain = chain_of(traits.model, traits.parts)
    return Job(traits, chain, affinity_key(traits), shared_tokens_of(traits), excluded)


class CostModel:
    """Estimates costs from this gateway's own calls; assumes that those of others are evenly distributed."""

    def __init__(self, site: ServiceSite) -> None:
        self.site = site
        self.parameters = site.parameters
        self.loads = Loads()
        self.prefill = PrefillRate()
        self.output = OutputTime()
        self.holders = PrefixHolders()

    def round_trip(self, location: ServerLocation) -> int:
        """The assumed microseconds of a network round trip to a server, by its zone and region."""
        if location.zone == self.site.zone:
            return IN_ZONE
        return CROSS_ZONE if location.region == self.site.region else CROSS_REGION

    def recent_holders(self, now: int, job: Job) -> tuple[int, ...]:
        """The servers that were recently sent the call's shared prefix, by any gateway that sends notices."""
        return self.holders.recent(now, job.prefix, self.site.reread_window)

    def uncached_tokens(self, now: int, server: Server, job: Job, assigned: bool) -> float:
        """Prompt tokens that the server is expected not to have cached.

        `assigned`: hashing assigns the prompt to this server, so other gateways probably sent
        its shared parts there too.
        """
        cached: float = self._cached_tokens(server, job)
        if assigned and self.site.gateways > 1 and not self.recent_holders(now, job):
            cached = max(cached, self.parameters.shared_read * job.shared_tokens)
        return max(0.0, job.traits.prompt_tokens - cached)

    def charged_tokens(self, now: int, server: Server, job: Job, assigned: bool) -> float:
        """Prompt tokens whose prefill counts as cost.

        At the server that hashing assigns to the prompt, shared parts that no server was recently sent count
        as cached.

        Otherwise, since a new shared prefix is cached nowhere, each gateway sends it to another server that
        has a part of it cached, and several servers prefill and cache the whole.
        """
        cached = self._cached_tokens(server, job)
        if assigned and not self.recent_holders(now, job):
            cached = max(cached, job.shared_tokens)
        return max(0, job.traits.prompt_tokens - cached)

    def reread_price(self, now: int, server: Server, job: Job) -> float:
        """The price, besides its time, of a prefill of shared parts that other servers have done recently."""
        if not self.recent_holders(now, job):
            return 0.0
        return self.parameters.read_again * max(0, job.shared_tokens - self._cached_tokens(server, job))

    def _cached_tokens(self, server: Server, job: Job) -> int:
        load = self.loads.servers.get(server.id)
        return load.cache.cached_tokens(job.chain) if load is not None else 0

    def queue_time(self, now: int, server: Server, job: Job, base_time: float) -> float:
        """Microseconds until the prefill of the call starts; `base_time`: time of a call without queueing."""
        location = self.site.locations[server.id]
        load = self.loads.servers.get(server.id)
        streams = tokens = 0
        wait = 0.0
        if load is not None:
            streams, tokens = load.streams, load.tokens
            wait = self.prefill.time(load.pending_prefill) + load.remote_prefill_time(now)
            wait += self.parameters.pressed_cost * load.rejection_pressure(now)
        wait += base_time * streams / max(1.0, location.slots / self.site.gateways)
        others = (self.site.gateways - 1) / max(1, self.site.size())
        waiting = streams + others * self.loads.streams - location.slots
        if waiting >= 0:
            wait += (waiting + 1) / max(1, location.slots) * self.output.time(job.traits.output_tokens)
        if 0 < self.site.kv_tokens < tokens + others * self.loads.tokens + job.tokens:
            wait += self.parameters.memory_cost
        return wait

    def cost(self, now: int, server: Server, job: Job, base_time: float, assigned: bool) -> float:
        """The expected time until the first event, with prices for output, distance and repeated prefill."""
        location = self.site.locations[server.id]
        prefill = self.prefill.time(self.charged_tokens(now, server, job, assigned))
        work = base_time + self.queue_time(now, server, job, base_time) + prefill
        # A server without answers counts as slow only after `work`, which includes the prefills in progress.
        slowness = server.slowness(now, work) / server.kind_ratio.value
        load = self.loads.servers.get(server.id)
        streams = load.streams if load is not None else 0
        price = self.reread_price(now, server, job)
        if location.region != self.site.region:
            price += self.parameters.region_price
        elif location.zone != self.site.zone:
            price += self.parameters.zone_byte * job.bytes
        stream_load = self.parameters.stream_cost * streams * job.traits.output_tokens
        return work * slowness + self.round_trip(location) + price + stream_load

    def full_prefill_time(self, job: Job) -> float:
        """Microseconds of the prefill of the whole prompt."""
        return self.prefill.time(job.traits.prompt_tokens)
