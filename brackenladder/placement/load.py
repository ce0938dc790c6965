"""What this gateway knows of the work on each server of a service."""

from __future__ import annotations

from attrs import define, field

from brackenladder.placement.prefixes import ChainLink, KeptPrefixes

PRESSED_TIME = 1_000_000  # microseconds for which a server that turned a call away counts as full


@define(eq=False)
class ServerLoad:
    """One server: this gateway's own calls there, and the prompts it has read."""

    streams: int = 0  # calls that are out or answer
    tokens: int = 0  # of their prompts and answers
    unread: float = 0.0  # of the prompts whose first event is still to come
    others_reading_until: int = 0  # when it has read the prompts that other gateways told of
    rejected_at: int = -PRESSED_TIME
    kept: KeptPrefixes = field(factory=KeptPrefixes)

    def pressed(self, now: int) -> float:
        """1 just after the server turned a call away as full, 0 a while later."""
        age = now - self.rejected_at
        return 1 - age / PRESSED_TIME if age < PRESSED_TIME else 0.0

    def others_reading(self, now: int) -> int:
        """Microseconds until it has read what other gateways have told of."""
        return max(0, self.others_reading_until - now)

    def read_for_others(self, now: int, since: int, duration: float) -> None:
        """Another gateway sent it a prompt `since` then, which takes so long to read."""
        begins = max(since, self.others_reading_until)
        self.others_reading_until = max(now, begins + int(duration))


@define(eq=False)
class Placed:
    """An attempt of a call at a server, until its stream has ended."""

    request: int
    server: int
    chain: tuple[ChainLink, ...]
    unread: float  # estimated tokens that the server must read
    tokens: int  # of prompt and answer
    output_tokens: int
    streams: bool  # it goes on after its first event
    reading_time: float  # microseconds that reading the unread tokens takes
    round_trip: int  # microseconds there and back
    target: int  # microseconds within which its first event is due
    expected_queue: float  # microseconds that it was expected to wait
    overdue_at: int = 0  # when its first event is late; 0: not known
    silent_at: int = 0  # when it counts as unanswered
    silent: bool = False  # that was told
    begun_at: int = 0  # the first event
    over: bool = False  # its stream has ended

    @property
    def known_cost(self) -> float:
        """Microseconds of the first event's time that are no load: reading, and the way."""
        return self.reading_time + self.round_trip


class Loads:
    """All servers of a service."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerLoad] = {}
        self.streams = 0
        self.tokens = 0

    def of(self, server: int) -> ServerLoad:
        """The load of one server."""
        load = self.servers.get(server)
        if load is None:
            load = self.servers[server] = ServerLoad()
        return load

    def place(self, placed: Placed) -> None:
        """A call is sent."""
        load = self.of(placed.server)
        load.streams += 1
        load.tokens += placed.tokens
        load.unread += placed.unread
        self.streams += 1
        self.tokens += placed.tokens

    def first_event(self, placed: Placed, now: int, capacity: int) -> None:
        """Its prompt has been read; `capacity`: tokens that the server can keep in all."""
        self._read(placed)
        placed.begun_at = now
        load = self.of(placed.server)
        load.kept.add(placed.chain, capacity - load.tokens)

    def end(self, placed: Placed) -> None:
        """It takes no place any more."""
        self._read(placed)
        load = self.of(placed.server)
        load.streams -= 1
        load.tokens -= placed.tokens
        self.streams -= 1
        self.tokens -= placed.tokens

    def forget(self, listed: set[int]) -> None:
        """Drop what is known of servers that are gone and hold nothing."""
        for server in [s for s, load in self.servers.items() if s not in listed and load.streams == 0]:
            del self.servers[server]

    def _read(self, placed: Placed) -> None:
        load = self.of(placed.server)
        load.unread = max(0.0, load.unread - placed.unread)
        placed.unread = 0.0
