"""Policy that sees the true state with a delay, as a reference for policies with delayed information."""

from __future__ import annotations

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest

STALENESS = 400_000  # microseconds for which a server's state is cached
SAMPLED_SERVERS = 6  # servers sampled per request; with all of them every node would pick the same one
ROOM_SHARE = 0.7  # share of its overload threshold up to which a server gets requests


class StaleOracle(BaselinePolicy):
    """Picks the sampled server that should finish first by its cached state, or refuses if that is too late.

    It keeps servers below their overload threshold, and reserves an equal part of the remaining time for each
    further tier.
    """

    seen: dict[int, tuple[int, int, bool]]  # by server: (time of the look-up, wait, had room)

    def look(self, now: int, server: int) -> tuple[int, bool]:
        """The wait at a server, and whether it has room: its cached state plus this node's later requests."""
        if not hasattr(self, "seen"):
            self.seen = {}
        at, wait, room = self.seen.get(server, (-STALENESS, 0, True))
        if now - at >= STALENESS:
            assert self.true_state is not None
            at, wait, room = now, self.true_state.wait(server), self.true_state.room(server, ROOM_SHARE)
            self.seen[server] = at, wait, room
        return max(0, wait - (now - at)), room

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        assert self.true_state is not None
        settings = self.settings
        drawn = (
            candidates if len(candidates) <= SAMPLED_SERVERS else self.rng.sample(candidates, SAMPLED_SERVERS)
        )
        best: tuple[int, int, KnownServer] | None = None
        for m in drawn:
            number = m.entry.server
            wait, room = self.look(now, number)
            if room:
                work = self.true_state.work(open_request.id, number)
                end = (wait + work * (1 + m.in_flight), number, m)
                if best is None or end[:2] < best[:2]:
                    best = end
        begun = open_request.sent_at if open_request.attempts else now
        left = min(open_request.until, begun + settings.classes[open_request.klass].aim) - now
        if best is None or best[0] > left / (settings.tiers - settings.tier):
            return None
        at, wait, room = self.seen[best[1]]
        self.seen[best[1]] = at, wait + self.true_state.work(open_request.id, best[1]) // 2, room
        return best[2]
