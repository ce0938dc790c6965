"""The rule `cold`: all nodes together send a cold server no more than a multiple of its capacity."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence
from itertools import accumulate

from brackenladder.rehearsal.checker.evidence import RuleCheck
from brackenladder.rehearsal.checker.history import NEVER, ServerProcess
from brackenladder.rehearsal.checker.knowledge import Knowledge
from brackenladder.rehearsal.checker.verdicts import Finding
from brackenladder.rehearsal.events import Up


class ColdCheck(RuleCheck):
    """Compares the work sent to servers that are warming up with their capacity."""

    def check(self, knowledge: Knowledge) -> None:
        """Checks each cold start over every window of `terms.fall`; so long an overload crashes a server."""
        arrivals: defaultdict[str, list[tuple[int, int, str, str]]] = defaultdict(list)
        for request in self.history.requests.values():
            node = request.sent.node if request.sent is not None else ""
            for attempt in request.attempts:
                name = request.sent.id if request.sent is not None else ""
                arrivals[attempt.server].append((attempt.whole, attempt.work, node, name))
        everything = sorted((t, work) for sent in arrivals.values() for t, work, _, _ in sent)
        all_times = [t for t, _ in everything]
        all_work = [0, *accumulate(work for _, work in everything)]
        known_states = {
            node: knowledge.server_states(node) for node in set(self.history.told) | set(self.history.began)
        }
        for server, processes in self.history.processes.items():
            sent = sorted(arrivals[server])
            for process in processes:
                if process.up.warm:
                    mine = [a for a in sent if process.up.t <= a[0] < process.down]
                    self.check_warming(server, process, mine, known_states, all_times, all_work)

    def check_warming(
        self,
        server: str,
        process: ServerProcess,
        sent: Sequence[tuple[int, int, str, str]],
        known_states: dict[str, dict[str, list[tuple[int, bool, int]]]],
        all_times: Sequence[int],
        all_work: Sequence[int],
    ) -> None:
        """Checks one cold start. `sent`: the server's attempts as (time, work, node, request id)."""
        up, fall = process.up, self.terms.fall
        told_at = {  # when each node was told that this process is ready
            node: min(
                (t for t, ready, started in server_states.get(server, ()) if ready and started == up.started),
                default=NEVER,
            )
            for node, server_states in known_states.items()
        }
        warm_at = up.t + up.warm
        first = 0
        total = 0
        for i, (t, work, _, name) in enumerate(sent):
            total += work
            start = max(up.t, t - fall)
            while sent[first][0] <= start and sent[first][0] < t:
                total -= sent[first][1]
                first += 1
            if start >= warm_at:
                break
            # The latest request's work is allowed on top, since nodes cannot send a part of a request.
            room = self.terms.multiple * capacity_between(up, start, start + fall) + work
            if total <= min(1.0, self.evidence.nearest) * room:
                continue
            window = sent[first : i + 1]
            aware = sum(w for at, w, node, _ in window if told_at.get(node, NEVER) <= at)
            # Over a third of the work came from nodes not yet told that the server is ready.
            if aware * 3 < 2 * total:
                continue
            self.evidence.nearest = max(self.evidence.nearest, total / room)
            if total > room:
                text = (
                    f"{total / 1e6:.2f} core-seconds sent in {fall / 1e6:g} s, {room / 1e6:.2f} are allowed,"
                    f" {(t - up.t) / 1e6:.1f} s after its start"
                )
                self.evidence.findings.append(Finding("cold", "pushed", t, "", server, name, text, True))
                break  # the server counts as crashed from here on
        self.evidence.chances["cold"] += self.overload_chance(process, told_at, warm_at, all_times, all_work)

    def overload_chance(
        self,
        process: ServerProcess,
        told_at: dict[str, int],
        warm_at: int,
        all_times: Sequence[int],
        all_work: Sequence[int],
    ) -> int:
        """1 if the rule could be broken: an equal share of the work would overload the server; else 0."""
        up, fall = process.up, self.terms.fall
        start = max(up.t, min(told_at.values(), default=NEVER))
        while start + fall <= min(warm_at + fall, process.down, self.history.last) and start < warm_at:
            work = all_work[bisect_left(all_times, start + fall)] - all_work[bisect_left(all_times, start)]
            up_count = sum(
                1
                for processes in self.history.processes.values()
                for x in processes
                if x.up.t <= start and x.down > start + fall
            )
            if work / max(1, up_count) > self.terms.multiple * capacity_between(up, start, start + fall):
                return 1
            start += fall // 2
        return 0


def capacity_between(up: Up, start: int, end: int) -> float:
    """The work, in microseconds on a standard core, that a server can do between two moments."""

    def done(t: int) -> float:
        """The work that can be done from the start of the server until `t`."""
        span = max(0, t - up.t)
        warming = min(span, up.warm)
        rise = (1 - up.share) * warming * warming / (2 * up.warm) if up.warm else 0.0
        return up.capacity * (up.share * warming + rise + (span - warming))

    return done(end) - done(start)
