"""One that sees the true state of all servers: what was possible, as far as choosing and refusing goes."""

from __future__ import annotations

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest

MARGIN = 2_000  # microseconds for the way there and back


class Oracle(BaselinePolicy):
    """The server where the request ends first; refused if it would not be served within its aim there.

    It knows each queue and each request's work, not what is still to come: it is no bound. One that refuses
    costly requests for cheap ones would serve more of them. A node learns of a server from its list only.
    """

    def pick(self, now: int, r: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        assert self.true_state is not None
        true_state = self.true_state
        ends = [
            (true_state.wait(m.entry.server) + true_state.work(r.id, m.entry.server), m.entry.server, m)
            for m in among
        ]
        end, _, best = min(ends, key=lambda e: e[:2])
        aim = self.settings.classes[r.klass].aim
        begun = r.sent_at if r.attempts else now
        left = min(r.until, begun + aim) - now
        return best if end + MARGIN <= left else None
