"""Server selection: compares the server that has the prompt cached with a random member by expected cost."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from attrs import frozen

from brackenladder.placement import rendezvous
from brackenladder.placement.cost import CROSS_REGION, CostModel, Job
from brackenladder.placement.site import ServiceSite
from brackenladder.policy.server import Server

RENDEZVOUS_DEPTH = 3  # number of servers at the head of a prompt's rendezvous order that are considered
ENDING_MARGIN = 300_000  # microseconds before a server's termination by which a call must have ended
MAX_REMOTE = 48  # most servers of other regions that are compared, besides those with the prompt cached


@frozen
class Choice:
    """The server chosen for an attempt, and the expected cost of the call there."""

    server: Server
    cost: float
    uncached_tokens: float  # prompt tokens that the server has to process
    adopt: bool = False  # the server is not yet a member of this gateway's subset and has to be added


Usable = Callable[[Server], bool]
BaseTime = Callable[[Server], float]


class Chooser:
    """Chooses servers of one service.

    In its methods `may_send` tells whether a server may get a call now, and `base_time` is the time in
    microseconds that a call takes at a server without queueing and prefill.
    """

    def __init__(self, site: ServiceSite, costs: CostModel, random: Random) -> None:
        self.site = site
        self.costs = costs
        self.random = random
        self.parameters = site.parameters

    def choose(self, now: int, job: Job, base_time: BaseTime, may_send: Usable) -> Choice | None:
        """The server for the call, None if there is none; one of another region only if its cost is lower."""
        choice = self._draw(now, job, self._allowed(job, self.site.local), base_time, may_send)
        if choice is not None and choice.cost <= CROSS_REGION + self.parameters.region_price:
            return choice
        other = self._draw(
            now, job, self._allowed(job, self._remote_candidates(now, job)), base_time, may_send
        )
        if choice is None or other is not None and other.cost < choice.cost:
            return other
        return choice

    def usable(self, now: int, job: Job, server: Server, may_send: Usable) -> bool:
        """Whether the call may be sent to the server now."""
        allowed = not server.ejected and self.allows(job, server)
        return allowed and self._ends_before_server(now, server, job) and may_send(server)

    def allows(self, job: Job, server: Server) -> bool:
        """Whether the call's home regions and its earlier attempts allow the server."""
        location = self.site.locations.get(server.id)
        if location is None or not job.traits.permits(location.region):
            return False
        return server.id not in job.excluded

    def _remote_candidates(self, now: int, job: Job) -> Sequence[Server]:
        """Servers of other regions: all if there are few, else a sample and those with the prompt cached.

        The sample is of permitted regions only. Otherwise a sample of all regions may have no server of a
        small home region, and a call that could run there is refused.
        """
        remote: list[Server] = []
        for region, servers in self.site.remote.items():
            if job.traits.permits(region):
                remote += servers
        if len(remote) <= MAX_REMOTE:
            return remote
        recent = [self.site.remote_by_number.get(number) for number in self.costs.recent_holders(now, job)]
        holders = [server for server in recent if server is not None]
        sample = self.random.sample(remote, MAX_REMOTE)
        return [*holders, *[server for server in sample if server not in holders]]

    def _allowed(self, job: Job, servers: Sequence[Server]) -> list[Server]:
        return [server for server in servers if not server.ejected and self.allows(job, server)]

    def _draw(
        self, now: int, job: Job, pool: Sequence[Server], base_time: BaseTime, may_send: Usable
    ) -> Choice | None:
        candidates = [
            server for server in pool if self._ends_before_server(now, server, job) and may_send(server)
        ]
        if not candidates:
            return None
        preferred = self._preferred_server(now, job, candidates, base_time) if job.key is not None else None
        choices = [] if preferred is None else [self._choice(now, job, preferred, base_time, assigned=True)]
        near = self._same_zone_server(job, candidates, preferred)
        if near is not None:
            choices.append(self._choice(now, job, near, base_time, assigned=job.key is not None))
        drawn = candidates if self._compares_all(job) else self._random_members(candidates, preferred)
        others = [server for server in drawn if server is not preferred and server is not near]
        choices += [self._choice(now, job, server, base_time, assigned=False) for server in others]
        return min(choices, key=_cost_of)

    def _random_members(self, candidates: Sequence[Server], preferred: Server | None) -> list[Server]:
        """One random member other than the preferred server, or two if there is no preferred server."""
        first = self._random_member(candidates, preferred)
        second = self._random_member(candidates, first) if preferred is None and first is not None else None
        return [server for server in (first, second) if server is not None]

    def _preferred_server(
        self, now: int, job: Job, candidates: Sequence[Server], base_time: BaseTime
    ) -> Server:
        """The server with most of the prompt cached, or the one assigned by hashing if it has no less.

        A server whose queue takes longer than a full prefill elsewhere is skipped.
        """
        assert job.key is not None
        order = rendezvous.order(job.key, candidates, RENDEZVOUS_DEPTH)
        assigned = self._first_with_short_queue(now, job, order, base_time)
        loads = self.costs.loads.servers
        cached = {
            server.id: loads[server.id].cache.cached_tokens(job.chain)
            for server in candidates
            if server.id in loads
        }
        best = max(candidates, key=lambda server: (cached.get(server.id, 0), server is assigned))
        most, least = cached.get(best.id, 0), cached.get(assigned.id, 0)
        if (
            most > max(least, job.shared_tokens)
            or most >= job.shared_tokens > least
            and self.costs.recent_holders(now, job)
        ):
            return self._first_with_short_queue(now, job, (best, assigned), base_time)
        return assigned

    def _compares_all(self, job: Job) -> bool:
        """Whether the prompt is so long that queueing before its prefill would make it late."""
        least = self.parameters.scanned_tokens
        return 0 < least <= job.traits.prompt_tokens

    def _same_zone_server(
        self, job: Job, candidates: Sequence[Server], preferred: Server | None
    ) -> Server | None:
        """The server of this zone that hashing assigns to the prompt, or a random one if it has no key.

        None if the preferred server or every candidate is in this zone, so that no other one is needed.
        """
        if self.parameters.zone_byte <= 0:
            return None
        locations = self.site.locations
        if preferred is not None and locations[preferred.id].zone == self.site.zone:
            return None
        near = [server for server in candidates if locations[server.id].zone == self.site.zone]
        if not near or len(near) == len(candidates):
            return None
        if job.key is None:
            return near[int(self.random.random() * len(near))]
        return rendezvous.order(job.key, near, 1)[0]

    def _first_with_short_queue(
        self, now: int, job: Job, order: Sequence[Server], base_time: BaseTime
    ) -> Server:
        longest = self.costs.full_prefill_time(job)
        for server in order:
            if self.costs.queue_time(now, server, job, base_time(server)) <= longest:
                return server
        return order[0]

    def _random_member(self, candidates: Sequence[Server], other: Server | None) -> Server | None:
        pool = [server for server in candidates if server.member and server is not other]
        pool = pool or [server for server in candidates if server is not other]
        return pool[int(self.random.random() * len(pool))] if pool else None

    def _choice(self, now: int, job: Job, server: Server, base_time: BaseTime, assigned: bool) -> Choice:
        cost = self.costs.cost(now, server, job, base_time(server), assigned)
        uncached_tokens = self.costs.uncached_tokens(now, server, job, assigned)
        return Choice(server, cost, uncached_tokens, adopt=not server.member)

    def _ends_before_server(self, now: int, server: Server, job: Job) -> bool:
        """Whether the call is expected to end before the server is terminated."""
        ends_at = self.site.locations[server.id].ends_at
        if ends_at == 0:
            return True
        duration = self.costs.full_prefill_time(job) + self.costs.output.time(job.traits.output_tokens)
        return now + duration + ENDING_MARGIN < ends_at


def _cost_of(choice: Choice) -> float:
    return choice.cost
