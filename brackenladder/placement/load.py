"""The load of each server of a service, as far as this gateway knows."""

from __future__ import annotations

from attrs import define, field

from brackenladder.placement.prefixes import CachedPrefixes, ChainLink

PRESSURE_TIME = 1_000_000  # microseconds after a rejected call in which a server counts as full


@define(eq=False)
class ServerLoad:
    """The load of a server: this gateway's calls, prefills of other gateways, and the cached prompts."""

    streams: int = 0  # calls of this gateway that are queued, in prefill or streaming
    tokens: int = 0  # tokens of the prompts and answers of these calls
    pending_prefill: float = 0.0  # uncached tokens of calls without a first event
    remote_prefill_until: int = 0  # end of the prefills that other gateways reported
    rejected_at: int = -PRESSURE_TIME
    cache: CachedPrefixes = field(factory=CachedPrefixes)

    def rejection_pressure(self, now: int) -> float:
        """1 just after the server rejected a call, decreasing to 0 within PRESSURE_TIME."""
        age = now - self.rejected_at
        return 1 - age / PRESSURE_TIME if age < PRESSURE_TIME else 0.0

    def remote_prefill_time(self, now: int) -> int:
        """Microseconds until the prefills that other gateways reported are done."""
        return max(0, self.remote_prefill_until - now)

    def add_remote_prefill(self, now: int, since: int, duration: float) -> None:
        """Records a prompt that another gateway sent at `since`, with its prefill time."""
        begins = max(since, self.remote_prefill_until)
        self.remote_prefill_until = max(now, begins + int(duration))


@define(eq=False)
class PlacedCall:
    """An attempt of a call at a server, until its stream has ended."""

    request: int
    server: int
    chain: tuple[ChainLink, ...]
    uncached_tokens: float  # estimated prompt tokens that the server has to process
    tokens: int  # tokens of the prompt and the answer
    output_tokens: int
    streaming: bool  # the answer is a stream, which continues after its first event
    reading_time: float  # microseconds of the prefill of the uncached tokens
    round_trip: int  # microseconds of a network round trip
    target: int  # microseconds within which its first event is due
    expected_queue: float  # microseconds that the call was expected to be queued
    overdue_at: int = 0  # time from which the first event is late; 0: unknown
    unanswered_at: int = 0  # time from which the call counts as unanswered; 0: unknown
    reported: bool = False  # other gateways were told that the call is late or unanswered
    begun_at: int = 0  # time of the first event
    stream_over: bool = False

    @property
    def known_cost(self) -> float:
        """The part of the time until the first event that does not depend on load: prefill and round trip."""
        return self.reading_time + self.round_trip


class Loads:
    """The loads of all servers of a service."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerLoad] = {}
        self.streams = 0
        self.tokens = 0

    def of(self, server: int) -> ServerLoad:
        """The load of one server; an entry without load is added for a new server."""
        load = self.servers.get(server)
        if load is None:
            load = self.servers[server] = ServerLoad()
        return load

    def add(self, placed: PlacedCall) -> None:
        """Adds a call that is being sent to the load of its server."""
        load = self.of(placed.server)
        load.streams += 1
        load.tokens += placed.tokens
        load.pending_prefill += placed.uncached_tokens
        self.streams += 1
        self.tokens += placed.tokens

    def first_event(self, placed: PlacedCall, now: int, capacity: int) -> None:
        """Records a first event: the prompt has been processed. `capacity`: tokens in the KV cache."""
        self._finish_prefill(placed)
        placed.begun_at = now
        load = self.of(placed.server)
        load.cache.add(placed.chain, capacity - load.tokens)

    def remove(self, placed: PlacedCall) -> None:
        """Removes a call that has ended from the load of its server."""
        self._finish_prefill(placed)
        load = self.of(placed.server)
        load.streams -= 1
        load.tokens -= placed.tokens
        self.streams -= 1
        self.tokens -= placed.tokens

    def forget(self, listed: set[int]) -> None:
        """Drops servers that are no longer listed and have no calls."""
        for server in [s for s, load in self.servers.items() if s not in listed and load.streams == 0]:
            del self.servers[server]

    def _finish_prefill(self, placed: PlacedCall) -> None:
        load = self.of(placed.server)
        load.pending_prefill = max(0.0, load.pending_prefill - placed.uncached_tokens)
        placed.uncached_tokens = 0.0
