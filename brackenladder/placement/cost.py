"""What a call is expected to cost at a server, in microseconds until its first event."""

from __future__ import annotations

from attrs import define, field

from brackenladder.placement.estimate import OutputTime, PrefillRate
from brackenladder.placement.holders import PrefixHolders
from brackenladder.placement.load import Loads
from brackenladder.placement.prefixes import ChainLink, chain_of, shared_tokens
from brackenladder.placement.rendezvous import affinity_key
from brackenladder.placement.site import ServerPlace, ServiceSite
from brackenladder.placement.traits import CallTraits
from brackenladder.policy.server import Server

IN_ZONE, CROSS_ZONE, CROSS_REGION = 400, 2_000, 90_000  # microseconds there and back
HEAD_BYTES = 600  # of a request's and an answer's head together, measured with the clients' own headers
OUTPUT_TOKEN_BYTES = 16  # of a stream for each token: an event's 60 to 90 bytes hold 4 or 5 of them


@define(eq=False)
class Job:
    """An open call: what it needs, and where it was."""

    traits: CallTraits
    chain: tuple[ChainLink, ...]
    key: int | None  # by which its server is found
    shared: int  # tokens of the parts that others have too
    excluded: set[int] = field(factory=set)  # servers that must not take it
    arrived: int = 0  # attempts that reached a server
    ran: int = 0  # attempts that may have run
    unsent: int = 0  # attempts that reached no server

    @property
    def bytes(self) -> int:
        """What goes to a server and comes back, about."""
        answer = OUTPUT_TOKEN_BYTES * self.traits.output_tokens
        return HEAD_BYTES + self.traits.request_bytes + answer

    @property
    def prefix(self) -> int | None:
        """The key of its longest shared prefix; None if it shares nothing."""
        return self.chain[-2].key if len(self.chain) > 1 else None

    @property
    def tokens(self) -> int:
        """What it takes of a server's memory."""
        return self.traits.prompt_tokens + self.traits.output_tokens


def job_of(traits: CallTraits, excluded: set[int]) -> Job:
    """The job of a fresh call."""
    chain = chain_of(traits.model, traits.parts)
    return Job(traits, chain, affinity_key(traits), shared_tokens(traits), excluded)


class CostModel:
    """Costs by this gateway's own calls. The load that other gateways make is taken to be spread evenly."""

    def __init__(self, site: ServiceSite) -> None:
        self.site = site
        self.parameters = site.parameters
        self.loads = Loads()
        self.prefill = PrefillRate()
        self.output = OutputTime()
        self.holders = PrefixHolders()

    def round_trip(self, place: ServerPlace) -> int:
        """Microseconds to a server and back."""
        if place.zone == self.site.zone:
            return IN_ZONE
        return CROSS_ZONE if place.region == self.site.region else CROSS_REGION

    def held(self, now: int, job: Job) -> tuple[int, ...]:
        """The servers that were sent the call's shared prefix lately, by any gateway that is heard."""
        return self.holders.recent(now, job.prefix, self.site.again)

    def unread(self, now: int, server: Server, job: Job, own_server: bool) -> float:
        """Tokens that the server is expected to read. `own_server`: all gateways send these parts there."""
        kept: float = self._kept(server, job)
        if own_server and self.site.gateways > 1 and not self.held(now, job):
            kept = max(kept, self.parameters.shared_read * job.shared)
        return max(0.0, job.traits.prompt_tokens - kept)

    def charged(self, now: int, server: Server, job: Job, own_server: bool) -> float:
        """Tokens that a call is charged with there. At its own server shared parts nobody keeps are free.

        Failure prevented: a subject is read for the first time, and as nobody is known to keep it, it goes to
        whoever keeps more of the beginning, and each gateway makes another server its keeper.
        """
        kept = self._kept(server, job)
        if own_server and not self.held(now, job):
            kept = max(kept, job.shared)
        return max(0, job.traits.prompt_tokens - kept)

    def reading_again(self, now: int, server: Server, job: Job) -> float:
        """What it costs, beside the time, that the server reads what others have just read."""
        if not self.held(now, job):
            return 0.0
        return self.parameters.read_again * max(0, job.shared - self._kept(server, job))

    def _kept(self, server: Server, job: Job) -> int:
        load = self.loads.servers.get(server.id)
        return load.kept.kept(job.chain) if load is not None else 0

    def queue(self, now: int, server: Server, job: Job, base: float) -> float:
        """Microseconds that the call waits until its prompt is read. `base`: what a call takes by itself."""
        place = self.site.places[server.id]
        load = self.loads.servers.get(server.id)
        streams = tokens = 0
        wait = 0.0
        if load is not None:
            streams, tokens = load.streams, load.tokens
            wait = self.prefill.time(load.unread) + load.others_reading(now)
            wait += self.parameters.pressed_cost * load.pressed(now)
        wait += base * streams / max(1.0, place.slots / self.site.gateways)
        others = (self.site.gateways - 1) / max(1, self.site.size())
        waiting = streams + others * self.loads.streams - place.slots
        if waiting >= 0:
            wait += (waiting + 1) / max(1, place.slots) * self.output.time(job.traits.output_tokens)
        if 0 < self.site.kv_tokens < tokens + others * self.loads.tokens + job.tokens:
            wait += self.parameters.memory_cost
        return wait

    def cost(self, now: int, server: Server, job: Job, base: float, own_server: bool) -> float:
        """The expected time until the first event, with what the output and the way add."""
        place = self.site.places[server.id]
        prefill = self.prefill.time(self.charged(now, server, job, own_server))
        work = base + self.queue(now, server, job, base) + prefill
        # What is being read there is in `work` already: only a silence beyond it makes the server slow.
        slowness = server.slowness(now, work) / server.kind.value
        load = self.loads.servers.get(server.id)
        streams = load.streams if load is not None else 0
        price = self.reading_again(now, server, job)
        if place.region != self.site.region:
            price += self.parameters.region_price
        elif place.zone != self.site.zone:
            price += self.parameters.zone_byte * job.bytes
        crowd = self.parameters.stream_cost * streams * job.traits.output_tokens
        return work * slowness + self.round_trip(place) + price + crowd

    def rereading(self, job: Job) -> float:
        """Microseconds that a server which keeps nothing needs for the prompt."""
        return self.prefill.time(job.traits.prompt_tokens)
