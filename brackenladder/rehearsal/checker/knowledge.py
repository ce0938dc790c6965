"""What each node knew of the servers and since when, including changes that it should have fetched."""

from __future__ import annotations

from collections import defaultdict

from brackenladder.rehearsal.checker.history import NEVER, History
from brackenladder.rehearsal.events import Asked, Changed, Told, Untold

ASK_WITHIN = 10_000_000  # microseconds without a discovery call, after which changes count as told
FAILED_CALL_FACTOR = 4  # after a failed call, ASK_WITHIN is multiplied by this
SILENCE_LIMIT = 6_000_000  # microseconds after which changes that a silenced call missed count as told
WAIT_MARGIN = 2_000_000  # microseconds added to a silenced call's wait before missed changes count as told


class Knowledge:
    """Reconstructs the nodes' knowledge from the history of their discovery calls."""

    def __init__(self, history: History) -> None:
        self.history = history

    def server_states(self, node: str) -> dict[str, list[tuple[int, bool, int]]]:
        """For each server the states that the node knew, by time, as (time, ready, started_ms).

        A list older than the newest one received is ignored. Versions are compared only within one
        discovery source.
        """
        out: dict[str, list[tuple[int, bool, int]]] = defaultdict(list)
        state: dict[str, tuple[bool, int]] = {}
        source, version = -1, -1
        pending = self.treated_as_told(node)
        steps: list[tuple[int, Told | Changed]] = [(told.t, told) for told in self.history.told[node]]
        steps += pending
        steps.sort(key=lambda step: step[0])

        def put(t: int, server: str, ready: bool, started: int) -> None:
            if state.get(server) != (ready, started):
                state[server] = (ready, started)
                out[server].append((t, ready, started))

        for t, step in steps:
            if isinstance(step, Changed):
                if step.source == source and step.version > version:
                    put(t, step.server, step.state == "ready", step.started)
                continue
            if step.source != source:
                source, version = step.source, -1
            if step.version < version:
                continue
            version = step.version
            for server, line_state, started in step.servers:
                put(t, server, line_state == "ready", started)
            if step.full:
                listed = {server for server, _, _ in step.servers}
                for server in [s for s in state if s not in listed]:
                    put(t, server, False, state[server][1])
        return out

    def treated_as_told(self, node: str) -> list[tuple[int, Told | Changed]]:
        """Changes that count as told without an answer: the node made no call in time, or was silenced."""
        spans: list[
            tuple[int, int, int]
        ] = []  # periods without an open call: (from, to, wait until changes count as told)
        calls = self.history.calls[node]
        out_since: set[int] = set()
        free_since, wait = 0, ASK_WITHIN
        for call in calls:
            if isinstance(call, Asked):
                if not out_since and call.t - free_since >= wait:
                    spans.append((free_since, call.t, wait))
                out_since.add(call.call)
            else:
                out_since.discard(call.call)
                wait = ASK_WITHIN * (FAILED_CALL_FACTOR if isinstance(call, Untold) else 1)
                free_since = call.t
        if not out_since and (calls or self.history.began[node]):
            spans.append((free_since, self.history.last, wait))
        found: list[tuple[int, Told | Changed]] = []
        start = min(self.history.began[node], default=0)
        for begin, end, wait in spans:
            begin = max(begin, start)
            for change in self.history.changed:
                time = max(change.t, begin) + wait
                if change.t < end and time <= end:
                    found.append((time, change))
        return found + self.missed_changes(node)

    def missed_changes(self, node: str) -> list[tuple[int, Told | Changed]]:
        """Changes that a node's silenced calls missed, with the time from which they count as told."""
        found: list[tuple[int, Told | Changed]] = []
        asked: dict[int, Asked] = {}
        for call in self.history.calls[node]:
            if isinstance(call, Asked):
                asked[call.call] = call
        over = {call.call: call.t for call in self.history.calls[node] if isinstance(call, Untold)}
        for number, hushed in self.history.hushed[node].items():
            call_start = asked[number]
            due = max(hushed + SILENCE_LIMIT, call_start.t + call_start.wait + WAIT_MARGIN)
            for change in self.history.changed:
                if hushed <= change.t < min(due, over.get(number, NEVER)):
                    found.append((due, change))
        return found
