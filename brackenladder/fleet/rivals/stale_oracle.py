"""One that sees the true state late: what a policy with good, old news could have done."""

from __future__ import annotations

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest

STALENESS = 400_000  # microseconds between two looks at a server
SAMPLED_SERVERS = 6  # servers that a request may go to: all of them would send it where all others go
ROOM_SHARE = 0.7  # of what turns a server slow may be held there


class StaleOracle(BaselinePolicy):
    """Of a few servers drawn the one whose queue was shortest when last seen; refused where none is in time.

    It keeps servers below what turns them slow. Of the time left it leaves each further tier an equal part.
    """

    seen: dict[int, tuple[int, int, bool]]  # server: when, its wait, whether it had room

    def look(self, now: int, server: int) -> tuple[int, bool]:
        """A server's wait and whether it has room, as last seen, with what this node sent there since."""
        if not hasattr(self, "seen"):
            self.seen = {}
        at, wait, room = self.seen.get(server, (-STALENESS, 0, True))
        if now - at >= STALENESS:
            assert self.true_state is not None
            at, wait, room = now, self.true_state.wait(server), self.true_state.room(server, ROOM_SHARE)
            self.seen[server] = at, wait, room
        return max(0, wait - (now - at)), room

    def pick(self, now: int, r: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        assert self.true_state is not None
        s = self.settings
        drawn = among if len(among) <= SAMPLED_SERVERS else self.rng.sample(among, SAMPLED_SERVERS)
        best: tuple[int, int, KnownServer] | None = None
        for m in drawn:
            number = m.entry.server
            wait, room = self.look(now, number)
            if room:
                work = self.true_state.work(r.id, number)
                end = (wait + work * (1 + m.in_flight), number, m)
                if best is None or end[:2] < best[:2]:
                    best = end
        begun = r.sent_at if r.attempts else now
        left = min(r.until, begun + s.classes[r.klass].aim) - now
        if best is None or best[0] > left / (s.tiers - s.tier):
            return None
        at, wait, room = self.seen[best[1]]
        self.seen[best[1]] = at, wait + self.true_state.work(r.id, best[1]) // 2, room
        return best[2]
