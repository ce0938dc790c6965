"""Policy that sees the true state of all servers, as a reference for server selection and refusal."""

from __future__ import annotations

from brackenladder.fleet.rivals.base import BaselinePolicy, KnownServer, OpenRequest

MARGIN = 2_000  # microseconds for the network round trip


class Oracle(BaselinePolicy):
    """Picks the server where the request finishes first; refuses it if it would finish later than its aim.

    It knows all queues and each request's work but not future requests, so it is no upper bound: refusing
    costly requests in favour of cheap ones would serve more. It picks only servers on the node's list.
    """

    def pick(self, now: int, open_request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        assert self.true_state is not None
        true_state = self.true_state
        ends = [
            (
                true_state.wait(m.entry.server) + true_state.work(open_request.id, m.entry.server),
                m.entry.server,
                m,
            )
            for m in candidates
        ]
        end, _, best = min(ends, key=lambda e: e[:2])
        aim = self.settings.classes[open_request.klass].aim
        begun = open_request.sent_at if open_request.attempts else now
        left = min(open_request.until, begun + aim) - now
        return best if end + MARGIN <= left else None
