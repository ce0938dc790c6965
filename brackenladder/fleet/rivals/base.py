"""What every rival does alike: the list, the calls, the bounds on attempts, and what may be repeated."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

from brackenladder.interface import (
    NEVER_RAN,
    Actions,
    Effect,
    Group,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
)


class TrueStateView(Protocol):
    """The true state of the servers, for the rivals that are shown it. Times in microseconds."""

    def wait(self, server: int) -> int:
        """Until a core is free for a request that comes now."""

    def work(self, request: int, server: int) -> int:
        """How long a core of this server would work on this node's request."""

    def room(self, server: int, share: float) -> bool:
        """Whether it holds less than this share of what turns it slow."""


class KnownServer:
    """A server as a rival knows it."""

    __slots__ = ("entry", "in_flight", "known_since", "consecutive_failures", "ejected_until", "ejections")

    def __init__(self, entry: ServerEntry, now: int) -> None:
        self.entry = entry
        self.in_flight = 0
        self.known_since = now
        self.consecutive_failures = 0
        self.ejected_until = 0
        self.ejections = 0


class OpenRequest:
    """An open request."""

    __slots__ = ("id", "klass", "effect", "until", "attempts", "out", "ran_on", "ran_at", "sent_at")

    def __init__(self, request: int, klass: int, effect: Effect, until: int) -> None:
        self.id = request
        self.klass = klass
        self.effect = effect
        self.until = until
        self.attempts = 0
        self.out: KnownServer | None = None
        self.ran_on: KnownServer | None = None
        self.ran_at = 0
        self.sent_at = 0


class BaselinePolicy:
    """Sends each request to whom `pick` names, as often as the settings and its effect allow.

    `sight` is for the oracle and the one that sees late; all others are given none.
    """

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, true_state: TrueStateView | None = None
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = Random(seed)
        self.true_state = true_state
        self.members: dict[int, KnownServer] = {}  # those that are listed as ready
        self.all: dict[int, KnownServer] = {}  # and those that still have calls
        self.requests: dict[int, OpenRequest] = {}

    # ---- what a rival decides -------------------------------------------------------------------------

    def admits(self, now: int, r: OpenRequest) -> bool:
        """Whether a first attempt is made at all."""
        return True

    def may_retry(self, now: int, r: OpenRequest) -> bool:
        """Whether a further attempt is made, where it is allowed."""
        return True

    def pick(self, now: int, r: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        """One of the members, in the order of their numbers; None to refuse."""
        raise NotImplementedError

    def ended(
        self, now: int, r: OpenRequest | None, member: KnownServer, outcome: Outcome, latency: int
    ) -> None:
        """An attempt ended."""

    # ---- events ---------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        if kind == ListKind.FAILED:
            self.actions.set_timer(max(self.settings.tick, self.settings.list_ask_within // 20), 0)
            return
        if kind != ListKind.CHANGES:
            self.members.clear()
        for entry in entries:
            self.members.pop(entry.server, None)
            if entry.state == State.READY:
                known = self.all.get(entry.server)
                if known is None or known.entry.ready_at != entry.ready_at:
                    known = KnownServer(entry, now)
                self.members[entry.server] = self.all[entry.server] = known
        for number in [n for n, m in self.all.items() if n not in self.members and not m.in_flight]:
            del self.all[number]
        self.members = dict(sorted(self.members.items()))

    def request(self, now: int, request: int, klass: int, tenant: int, time_left: int, repeat: bool) -> None:
        r = OpenRequest(request, klass, self.settings.classes[klass].effect, now + time_left)
        self.requests[request] = r
        if self.admits(now, r):
            self.attempt(now, r)
        else:
            self.finish(r, refuse=True)

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
        r = self.requests.get(request)
        member = self.all.get(server)
        if member is not None and member.in_flight:
            member.in_flight -= 1
            self.ended(now, r, member, outcome, latency)
        if r is None or r.out is None or attempt != r.attempts - 1:
            return
        r.out = None
        if final or outcome == Outcome.OK:
            del self.requests[request]
            return
        if outcome not in NEVER_RAN and r.ran_on is None:
            r.ran_on, r.ran_at = member, r.sent_at
        ran = r.ran_on is not None
        window = self.settings.classes[r.klass].window
        allowed = not ran or r.effect == Effect.SAFE or (r.effect == Effect.KEYED and now < r.ran_at + window)
        if allowed and r.attempts < self.settings.max_attempts and now < r.until and self.may_retry(now, r):
            self.attempt(now, r)
        else:
            self.finish(r, refuse=not ran or r.effect == Effect.SAFE)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """No streams in the model."""

    def client_left(self, now: int, request: int) -> None:
        r = self.requests.pop(request, None)
        if r is not None and r.out is not None and self.settings.cancel:
            self.actions.cancel(request, r.attempts - 1)

    def probed(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """No rival probes."""

    def timer(self, now: int, token: int) -> None:
        self.actions.watch(True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """No rival speaks to its peers."""

    # ---- a request's life -----------------------------------------------------------------------------

    def among(self, r: OpenRequest) -> list[KnownServer]:
        """The members that this request may go to."""
        first = r.ran_on
        if first is None or r.effect != Effect.KEYED:
            return list(self.members.values())
        group = self.settings.classes[r.klass].group
        return [
            m
            for m in self.members.values()
            if m is not first
            and (
                group == Group.ALL
                or (group == Group.ZONE and m.entry.zone == first.entry.zone)
                or (group == Group.CELL and m.entry.cell == first.entry.cell)
            )
        ]

    def attempt(self, now: int, r: OpenRequest) -> None:
        among = self.among(r)
        member = self.pick(now, r, among) if among else None
        if member is None:
            self.finish(r, refuse=r.ran_on is None or r.effect == Effect.SAFE)
            return
        member.in_flight += 1
        r.out = member
        r.sent_at = now
        r.attempts += 1
        self.actions.send(r.id, member.entry.server, r.until - now)

    def finish(self, r: OpenRequest, refuse: bool) -> None:
        del self.requests[r.id]
        if refuse:
            wait = self.settings.classes[r.klass].aim // 8 if self.settings.retry_after else 0
            self.actions.refuse(r.id, min(wait, self.settings.max_retry_after))
        else:
            self.actions.fail(r.id)
