"""The interface between a load balancer and its host: settings, servers, outcomes, actions and events.

Times are integer microseconds of one monotonic clock that the host passes in as `now`.
This file has all that a host needs to know to embed `brackenladder.policy.balancer.Balancer`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Effect(IntEnum):
    """Whether a request may be executed more than once."""

    SAFE = 0  # may run any number of times
    KEYED = 1  # has an idempotency key: the servers of a Group discard repeats for some time
    UNSAFE = 2  # must never run twice; also used for any effect that the host does not know


class Group(IntEnum):
    """Which servers discard the repeats of a keyed request: all, those in one zone, or those in one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended. With the first three values, the server certainly did not run the request."""

    REJECTED = 0  # refused before execution: the queue is full or the server drains
    CONNECT_FAILED = 1
    NOT_SENT = 2
    OK = 3
    ERROR = 4
    TIMEOUT = 5
    RESET = 6
    CANCELLED = 7
    UNKNOWN = 8  # any other outcome: the request may have run


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class State(IntEnum):
    """A server's state in the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What kind of list a `server_list` event contains."""

    CHANGES = 0
    FULL = 1
    CACHED = 2  # a full list from before this instance started; may be out of date
    FAILED = 3  # a watch or fetch failed; the last list stays valid


@dataclass(frozen=True)
class ClassSettings:
    """How requests of one class may be retried, how long they may take and what they are worth."""

    effect: Effect
    aim: int  # an answer within this time earns the full worth
    deadline: int  # how long the client waits in total, including its own retries
    worth: float
    late_worth: float = 0.0  # part of the worth that an answer later than `aim` still earns
    group: Group = Group.ALL
    window: int = 0  # how long the servers of a group discard repeats of a keyed request
    stream: bool = False


@dataclass(frozen=True)
class TenantSettings:
    """Settings of one tenant: its quota in requests per second over all nodes (0: no quota)."""

    quota: float = 0.0


@dataclass(frozen=True)
class Settings:
    """Settings of one Balancer instance."""

    classes: Sequence[ClassSettings]
    tenants: Sequence[TenantSettings] = ()
    tier: int = 0  # the tier of servers that this instance sends to; above 0 its callers are servers too
    tiers: int = 1
    zone: int = 0
    instances: int = 1  # number of instances that send to this tier, including this one
    index: int = 0
    tick: int = 1000  # shortest time between two batches of events
    max_attempts: int = 1
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    max_open: int = 20000
    list_on_request: bool = False  # the Balancer has to request the server list from the host
    list_ask_within: int = 0  # longest time allowed between two requests for the list
    list_weights: bool = False  # the weights in the server list may be compared with each other
    cold_time: int = 0  # a server is warm at the latest this long after its start
    cold_share: float = 1.0  # least part of its full capacity that a server has when it starts
    fall_multiple: float = 0.0  # load, as a multiple of its present capacity, above which a server fails
    fall_time: int = 0  # a server fails if its load is above `fall_multiple` for this long
    answer_slack: int = 0
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0
    report_fields: Sequence[str] = ()

    def __post_init__(self) -> None:
        def need(ok: bool, key: str) -> None:
            if not ok:  # also for NaN, since comparisons with it are false
                raise ValueError(f"settings: impossible value for {key}")

        need(len(self.classes) > 0, "classes")
        for i, c in enumerate(self.classes):
            need(c.aim > 0, f"classes[{i}].aim")
            need(c.deadline > 0, f"classes[{i}].deadline")
            need(c.worth >= 0, f"classes[{i}].worth")
            need(c.late_worth >= 0, f"classes[{i}].late_worth")
            need(c.window >= 0, f"classes[{i}].window")
        for i, t in enumerate(self.tenants):
            need(t.quota >= 0, f"tenants[{i}].quota")
        need(0 <= self.tier < self.tiers, "tier")
        need(self.instances >= 1, "instances")
        need(self.max_attempts >= 1, "max_attempts")
        need(self.max_open >= 1, "max_open")
        need(self.tick > 0, "tick")
        need(self.cold_time >= 0, "cold_time")
        need(0 < self.cold_share <= 1, "cold_share")
        need(self.fall_multiple >= 0, "fall_multiple")
        need(self.fall_time >= 0, "fall_time")
        need(self.index >= 0, "index")
        need(self.zone >= 0, "zone")
        need(self.max_retry_after >= 0, "max_retry_after")
        need(self.list_ask_within >= 0, "list_ask_within")
        need(self.cross_zone_price >= 0, "cross_zone_price")
        need(self.over_share_worth >= 0, "over_share_worth")


@dataclass(frozen=True)
class ServerEntry:
    """One line of the server list."""

    server: int
    state: State = State.READY
    cell: int = 0
    zone: int = 0
    kind: int = 0
    weight: float = 1.0
    ready_at: int = 0  # when it last became ready; 0: long ago
    share: float = 1.0  # weight set by an operator; above 0
    pools: int = 1  # how many of this node's pools have this server; they share its slow-start allowance


class Actions(Protocol):
    """What a Balancer calls on its host. Calls take effect at the `now` of the event being handled."""

    def send(self, request: int, server: int, timeout: int) -> None:
        """Start the request's next attempt; exactly one `outcome` follows, at the latest after `timeout`."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt; its outcome still follows."""

    def refuse(self, request: int, retry_after: int) -> None:
        """Give the final answer: the request was not served and is safe to retry."""

    def fail(self, request: int) -> None:
        """Give the final answer: the request was not served but may have had effects."""

    def probe(self, server: int) -> None:
        """Test a server; one `probed` event follows."""

    def set_timer(self, delay: int, token: int) -> None:
        """Request a `timer` event after `delay`; timers cannot be cancelled."""

    def tell(self, peer: int, data: bytes) -> None:
        """Send a short message to another instance of this tier (-1: to all of them)."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes of the server list, or unsubscribe."""

    def fetch(self) -> None:
        """Request the full server list once."""

    def close(self, server: int) -> None:
        """Close idle connections to a server."""

    def log(self, text: str) -> None:
        """Log a change of state."""


class Events(Protocol):
    """The events that a host reports to a Balancer, which implements all of them.

    `now` never decreases. `start` comes first and once, then a server list, so that requests find servers.
    Actions are called only while an event is being handled. An event about a request, attempt or server that
    is no longer known is ignored.
    """

    def start(self, now: int) -> None:
        """The instance starts. It requests the server list if the settings say that it must."""

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """A full server list or changes to it, in order of version; without entries if its request failed.

        From now on no request is sent to a server that is not ready or is missing in a full list.
        """

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        """A new request, with a new id. It must get one final answer within `time_left`.

        That is `refuse`, `fail` or an outcome with `final`. A request of an unknown class is never retried if
        it may have run; an unknown tenant has no quota.
        """

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """An attempt has ended. There is exactly one such event per `send`, also after the request's end.

        `final`: the request is finished, for example because its answer was forwarded. If it is false and the
        request is open, the Balancer answers it or starts another attempt at once.
        """

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """The response has started, so the request is not retried; the attempt's outcome still follows."""

    def client_left(self, now: int, request: int) -> None:
        """The client no longer waits: no answer is needed. Attempts in flight still get their outcomes."""

    def probed(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """The result of a `probe`."""

    def timer(self, now: int, token: int) -> None:
        """A timer is due; `token` is the one given to `set_timer`. Not sent during the event that set it."""

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Another instance of this tier has sent `data` by `tell`."""
