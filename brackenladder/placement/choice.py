"""Two draws: the server that keeps a prompt, and a random member; the one of lower cost takes the call."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from attrs import frozen

from brackenladder.placement import rendezvous
from brackenladder.placement.cost import CROSS_REGION, CostModel, Job
from brackenladder.placement.site import ServiceSite
from brackenladder.policy.server import Server

RENDEZVOUS_DEPTH = 3  # so many servers in a prompt's order are looked at
ENDING_MARGIN = 300_000  # microseconds before a server's end by which a call must be over
MOST_FAR = 48  # servers of other regions that are looked at, beside those that keep the prompt


@frozen
class Choice:
    """The server for an attempt."""

    server: Server
    cost: float
    unread: float  # tokens that it must read
    adopt: bool = False  # it was found by its prompt and is to be a member of the subset


Usable = Callable[[Server], bool]
Base = Callable[[Server], float]


class Chooser:
    """Draws servers of one service. `may_send`: the cold share; `base`: a call's own time in a region."""

    def __init__(self, site: ServiceSite, costs: CostModel, random: Random) -> None:
        self.site = site
        self.costs = costs
        self.random = random
        self.parameters = site.parameters

    def choose(self, now: int, job: Job, base: Base, may_send: Usable) -> Choice | None:
        """The server that takes the call, None if there is none. Other regions only where that pays."""
        choice = self._draw(now, job, self._pool(job, self.site.local), base, may_send)
        if choice is not None and choice.cost <= CROSS_REGION + self.parameters.region_price:
            return choice
        other = self._draw(now, job, self._pool(job, self._far(now, job)), base, may_send)
        if choice is None or other is not None and other.cost < choice.cost:
            return other
        return choice

    def usable(self, now: int, job: Job, server: Server, may_send: Usable) -> bool:
        """Whether the call may go to the server now."""
        allowed = not server.ejected and self.allows(job, server)
        return allowed and self._in_time(now, server, job) and may_send(server)

    def allows(self, job: Job, server: Server) -> bool:
        """Whether the server may take the call at all: by the homes, and where it was before."""
        place = self.site.places.get(server.id)
        if place is None or not job.traits.permits(place.region):
            return False
        return server.id not in job.excluded

    def _far(self, now: int, job: Job) -> Sequence[Server]:
        """Servers of other regions: all of a few, of many a sample and those that keep the prompt.

        Failure prevented: none of a sample from all regions stands in a small home, and a call that the
        home's servers could take is refused.
        """
        far: list[Server] = []
        for region, servers in self.site.far.items():
            if job.traits.permits(region):
                far += servers
        if len(far) <= MOST_FAR:
            return far
        held = [self.site.far_by_number.get(number) for number in self.costs.held(now, job)]
        holders = [server for server in held if server is not None]
        sample = self.random.sample(far, MOST_FAR)
        return [*holders, *[server for server in sample if server not in holders]]

    def _pool(self, job: Job, servers: Sequence[Server]) -> list[Server]:
        return [server for server in servers if not server.ejected and self.allows(job, server)]

    def _draw(
        self, now: int, job: Job, pool: Sequence[Server], base: Base, may_send: Usable
    ) -> Choice | None:
        able = [server for server in pool if self._in_time(now, server, job) and may_send(server)]
        if not able:
            return None
        keeper = self._keeper(now, job, able, base) if job.key is not None else None
        choices = [] if keeper is None else [self._choice(now, job, keeper, base, own_server=True)]
        near = self._near(job, able, keeper)
        if near is not None:
            choices.append(self._choice(now, job, near, base, own_server=job.key is not None))
        drawn = able if self._is_scanned(job) else self._members(able, keeper)
        others = [server for server in drawn if server is not keeper and server is not near]
        choices += [self._choice(now, job, server, base, own_server=False) for server in others]
        return min(choices, key=_cost_of)

    def _members(self, able: Sequence[Server], keeper: Server | None) -> list[Server]:
        """A random member beside the keeper, two without one."""
        first = self._any_member(able, keeper)
        second = self._any_member(able, first) if keeper is None and first is not None else None
        return [server for server in (first, second) if server is not None]

    def _keeper(self, now: int, job: Job, able: Sequence[Server], base: Base) -> Server:
        """The server that keeps most of the prompt, the prompt's own one where they are alike.

        A server whose wait is longer than reading the prompt anew elsewhere is passed over.
        """
        assert job.key is not None
        order = rendezvous.order(job.key, able, RENDEZVOUS_DEPTH)
        own = self._bounded(now, job, order, base)
        loads = self.costs.loads.servers
        kept = {server.id: loads[server.id].kept.kept(job.chain) for server in able if server.id in loads}
        best = max(able, key=lambda server: (kept.get(server.id, 0), server is own))
        most, least = kept.get(best.id, 0), kept.get(own.id, 0)
        if most > max(least, job.shared) or most >= job.shared > least and self.costs.held(now, job):
            return self._bounded(now, job, (best, own), base)
        return own

    def _is_scanned(self, job: Job) -> bool:
        """Whether the prompt takes so long to read that a queue before it makes it late."""
        least = self.parameters.scanned_tokens
        return 0 < least <= job.traits.prompt_tokens

    def _near(self, job: Job, able: Sequence[Server], keeper: Server | None) -> Server | None:
        """The own server in this zone, or any of it without one.

        None if the keeper stands here, or if no server stands elsewhere: draws find those of the zone anyway.
        """
        if self.parameters.zone_byte <= 0:
            return None
        places = self.site.places
        if keeper is not None and places[keeper.id].zone == self.site.zone:
            return None
        near = [server for server in able if places[server.id].zone == self.site.zone]
        if not near or len(near) == len(able):
            return None
        if job.key is None:
            return near[int(self.random.random() * len(near))]
        return rendezvous.order(job.key, near, 1)[0]

    def _bounded(self, now: int, job: Job, order: Sequence[Server], base: Base) -> Server:
        patience = self.costs.rereading(job)
        for server in order:
            if self.costs.queue(now, server, job, base(server)) <= patience:
                return server
        return order[0]

    def _any_member(self, able: Sequence[Server], other: Server | None) -> Server | None:
        pool = [server for server in able if server.member and server is not other]
        pool = pool or [server for server in able if server is not other]
        return pool[int(self.random.random() * len(pool))] if pool else None

    def _choice(self, now: int, job: Job, server: Server, base: Base, own_server: bool) -> Choice:
        cost = self.costs.cost(now, server, job, base(server), own_server)
        unread = self.costs.unread(now, server, job, own_server)
        return Choice(server, cost, unread, adopt=not server.member)

    def _in_time(self, now: int, server: Server, job: Job) -> bool:
        """Whether the call can be over before a server that is taken away is gone."""
        ends_at = self.site.places[server.id].ends_at
        if ends_at == 0:
            return True
        duration = self.costs.rereading(job) + self.costs.output.time(job.traits.output_tokens)
        return now + duration + ENDING_MARGIN < ends_at


def _cost_of(choice: Choice) -> float:
    return choice.cost
