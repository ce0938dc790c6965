"""Common part of all baseline policies: server list, calls, attempt limits and rules for repeats."""

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
    """The true state of the servers, for reference policies that may see it. Times in microseconds."""

    def wait(self, server: int) -> int:
        """Time until a core is free for a request that arrives now."""

    def work(self, request: int, server: int) -> int:
        """Time that a core of this server would need for this node's request."""

    def room(self, server: int, share: float) -> bool:
        """Whether the server holds fewer requests than this share of its overload threshold."""


class KnownServer:
    """A policy's record of a server: list entry, calls in flight, failures in a row and ejections."""

    __slots__ = ("entry", "in_flight", "known_since", "consecutive_failures", "ejected_until", "ejections")

    def __init__(self, entry: ServerEntry, now: int) -> None:
        self.entry = entry
        self.in_flight = 0
        self.known_since = now
        self.consecutive_failures = 0
        self.ejected_until = 0
        self.ejections = 0


class OpenRequest:
    """A policy's record of an open request: its class, time limit and attempts."""

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
    """Sends each request to the server that `pick` returns, as often as settings and effect allow.

    `true_state` is set for the oracles only.
    """

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, true_state: TrueStateView | None = None
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = Random(seed)
        self.true_state = true_state
        self.members: dict[int, KnownServer] = {}  # servers listed as ready
        self.all: dict[int, KnownServer] = {}  # listed servers, and others with open calls
        self.requests: dict[int, OpenRequest] = {}

    # ---- decisions of a policy ------------------------------------------------------------------------

    def admits(self, now: int, open_request: OpenRequest) -> bool:
        """Whether to make a first attempt or to refuse the request."""
        return True

    def may_retry(self, now: int, open_request: OpenRequest) -> bool:
        """Whether to make a further attempt; asked only if the rules allow one."""
        return True

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        """Returns one of the servers in `candidates` (sorted by number), or None to refuse."""
        raise NotImplementedError

    def ended(
        self, now: int, open_request: OpenRequest | None, member: KnownServer, outcome: Outcome, latency: int
    ) -> None:
        """Hook for the end of an attempt; does nothing unless a policy overrides it."""

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
        open_request = OpenRequest(request, klass, self.settings.classes[klass].effect, now + time_left)
        self.requests[request] = open_request
        if self.admits(now, open_request):
            self.attempt(now, open_request)
        else:
            self.finish(open_request, refuse=True)

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
        open_request = self.requests.get(request)
        member = self.all.get(server)
        if member is not None and member.in_flight:
            member.in_flight -= 1
            self.ended(now, open_request, member, outcome, latency)
        if open_request is None or open_request.out is None or attempt != open_request.attempts - 1:
            return
        open_request.out = None
        if final or outcome == Outcome.OK:
            del self.requests[request]
            return
        if outcome not in NEVER_RAN and open_request.ran_on is None:
            open_request.ran_on, open_request.ran_at = member, open_request.sent_at
        ran = open_request.ran_on is not None
        window = self.settings.classes[open_request.klass].window
        allowed = (
            not ran
            or open_request.effect == Effect.SAFE
            or (open_request.effect == Effect.KEYED and now < open_request.ran_at + window)
        )
        if (
            allowed
            and open_request.attempts < self.settings.max_attempts
            and now < open_request.until
            and self.may_retry(now, open_request)
        ):
            self.attempt(now, open_request)
        else:
            self.finish(open_request, refuse=not ran or open_request.effect == Effect.SAFE)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Unused: the model has no streams."""

    def client_left(self, now: int, request: int) -> None:
        open_request = self.requests.pop(request, None)
        if open_request is not None and open_request.out is not None and self.settings.cancel:
            self.actions.cancel(request, open_request.attempts - 1)

    def probed(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Unused: baseline policies do not probe."""

    def timer(self, now: int, token: int) -> None:
        self.actions.watch(True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Unused: baseline policies send no peer messages."""

    # ---- requests -------------------------------------------------------------------------------------

    def candidates(self, open_request: OpenRequest) -> list[KnownServer]:
        """Servers that this request may be sent to."""
        first = open_request.ran_on
        if first is None or open_request.effect != Effect.KEYED:
            return list(self.members.values())
        group = self.settings.classes[open_request.klass].group
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

    def attempt(self, now: int, open_request: OpenRequest) -> None:
        candidates = self.candidates(open_request)
        member = self.pick(now, open_request, candidates) if candidates else None
        if member is None:
            self.finish(
                open_request, refuse=open_request.ran_on is None or open_request.effect == Effect.SAFE
            )
            return
        member.in_flight += 1
        open_request.out = member
        open_request.sent_at = now
        open_request.attempts += 1
        self.actions.send(open_request.id, member.entry.server, open_request.until - now)

    def finish(self, open_request: OpenRequest, refuse: bool) -> None:
        del self.requests[open_request.id]
        if refuse:
            wait = self.settings.classes[open_request.klass].aim // 8 if self.settings.retry_after else 0
            self.actions.refuse(open_request.id, min(wait, self.settings.max_retry_after))
        else:
            self.actions.fail(open_request.id)
