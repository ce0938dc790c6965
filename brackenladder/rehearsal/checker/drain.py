"""The rule `drain`: no new requests to a server that a node has known as not ready for a grace period."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Sequence

from brackenladder.rehearsal.checker.evidence import RuleCheck
from brackenladder.rehearsal.checker.history import NEVER, Attempt, Request
from brackenladder.rehearsal.checker.knowledge import Knowledge


class DrainCheck(RuleCheck):
    """Compares when attempts were sent with what their node knew then."""

    def check(self, knowledge: Knowledge) -> None:
        """Checks intervals in which a node knew a server as not ready; attempts count at their first byte."""
        by_pair: defaultdict[tuple[str, str], list[tuple[Attempt, Request]]] = defaultdict(list)
        taken: defaultdict[str, list[int]] = defaultdict(list)
        for request in self.history.requests.values():
            if request.sent is not None:
                taken[request.sent.node].append(request.sent.t)
                for attempt in request.attempts:
                    by_pair[request.sent.node, attempt.server].append((attempt, request))
        for times in taken.values():
            times.sort()
        for node in sorted(set(self.history.told) | set(self.history.began)):
            for server, steps in knowledge.server_states(node).items():
                sends = sorted(by_pair[node, server], key=lambda pair: pair[0].first)
                for i, (t, ready, _) in enumerate(steps):
                    if ready:
                        continue
                    until = steps[i + 1][0] if i + 1 < len(steps) else NEVER
                    self.check_interval(node, server, t, until, sends, taken[node])

    def check_interval(
        self,
        node: str,
        server: str,
        told: int,
        until: int,
        sends: Sequence[tuple[Attempt, Request]],
        taken: Sequence[int],
    ) -> None:
        """Checks one interval, from `told` to `until`, in which the node knew that a server is not ready."""
        limit = told + self.terms.drain
        sure = limit + self.terms.slack
        # The rule could be broken if the node had used the server, and got more requests while the server
        # was known as not ready and still ran.
        reachable = min(
            until, next((x.down for x in self.history.processes[server] if x.up.t <= told < x.down), told)
        )
        if any(a.first <= told for a, _ in sends) and bisect_left(taken, reachable) > bisect_right(
            taken, sure
        ):
            self.evidence.chances["drain"] += 1
        for attempt, request in sends:
            if attempt.queued or not limit < attempt.first < until:
                continue
            late = (attempt.first - told) / 1000
            text = f"sent {late:.0f} ms after {node} was told that {server} is not ready"
            if attempt.first > sure:
                self.evidence.add_break("drain", "sent", attempt.first, request, server, text, True)
            else:
                self.evidence.add_edge_case("drain", "sent", attempt.first, request, server, text)
