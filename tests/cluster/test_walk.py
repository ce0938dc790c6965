"""Explores all interleavings of three real detectors with few messages, one crash and one restart.

A state consists of the three views and the messages in transit. The steps from it are: a node sends its whole
view to another; a message arrives (and stays in transit, so that it may arrive late, twice or in any order);
a node suspects another one or declares it dead; a node is killed; its successor starts with a right or a
wrong clock. `python tests/cluster/test_walk.py MESSAGES` explores more and prints the number of states.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import NamedTuple

if __name__ == "__main__":
    sys.path[0] = str(Path(__file__).parents[2])

from brackenladder.cluster.detector import Detector
from brackenladder.cluster.suspicion import Suspicion
from brackenladder.cluster.view import UNHEARD, Record, State, epoch_of
from brackenladder.cluster.wire import Frame, Recorded

NODES = 3
NOW = 10_000_000
FIRST = [epoch_of(100 + n, n + 1) for n in range(NODES)]

Views = tuple[tuple[Record, ...] | None, ...]  # one per node; None: its process has ended


class ViewMessage(NamedTuple):
    """A message with a node's whole view."""

    sender: int
    to: int
    records: tuple[Record, ...]


class SystemState(NamedTuple):
    """The views, the messages in transit, and how many steps of each kind may still follow."""

    views: Views
    messages: frozenset[ViewMessage]
    sends: int
    suspicions: int
    crashes: int
    starts: int


def detector(number: int, records: tuple[Record, ...]) -> Detector:
    """A real detector with these records, at a fixed time."""
    node = Detector(number, NODES, 0, NOW, Random(1), lambda to, data: None, lambda said: None)
    node.view.records = list(records)
    node.view.by_state.clear()
    for other, record in enumerate(records):
        if record.state == State.SUSPECT:
            node.suspicions[other] = Suspicion(NOW, number, 1)
    return node


def records_of(node: Detector) -> tuple[Record, ...]:
    return tuple(node.view.records)


def with_view(state: SystemState, number: int, records: tuple[Record, ...] | None) -> Views:
    return state.views[:number] + (records,) + state.views[number + 1 :]


def receive(number: int, records: tuple[Record, ...], message: ViewMessage) -> tuple[Record, ...]:
    node = detector(number, records)
    sender_record = message.records[message.sender]
    sent_records = tuple(
        Recorded(n, record, message.sender) for n, record in enumerate(message.records) if record != UNHEARD
    )
    if sender_record.epoch < records[message.sender].epoch:
        return records  # `datagram` drops messages of an older process
    node.handle_frame(
        message.sender,
        Frame(message.sender, number, sender_record.epoch, sender_record.incarnation, 1, sent_records),
        NOW,
    )
    return records_of(node)


def steps(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    for number, records in enumerate(state.views):
        if records is None:
            if state.starts:
                for second in (50, 200):  # a clock that was set back; a right one
                    fresh = [UNHEARD] * NODES
                    fresh[number] = Record(epoch_of(second, 9), 0, State.ALIVE)
                    views = with_view(state, number, tuple(fresh))
                    yield f"{number} restarts", state._replace(views=views, starts=state.starts - 1)
            continue
        if state.sends:
            for to in range(NODES):
                message = ViewMessage(number, to, records)
                if to != number and message not in state.messages:
                    yield "tell", state._replace(messages=state.messages | {message}, sends=state.sends - 1)
        for other in range(NODES):
            if other == number:
                continue
            node = detector(number, records)
            if state.suspicions and records[other].state == State.ALIVE:
                node.suspect(other, NOW, "")
                views = with_view(state, number, records_of(node))
                yield "suspect", state._replace(views=views, suspicions=state.suspicions - 1)
            elif records[other].state == State.SUSPECT:
                node.apply_record(other, records[other]._replace(state=State.DEAD), NOW, number, "")
                yield "bury", state._replace(views=with_view(state, number, records_of(node)))
        if state.crashes:
            yield f"{number} dies", state._replace(views=with_view(state, number, None), crashes=0)
    for message in state.messages:
        receiver_records = state.views[message.to]
        if receiver_records is not None:
            yield (
                "hear",
                state._replace(
                    views=with_view(state, message.to, receive(message.to, receiver_records, message))
                ),
            )


def converged(views: Views) -> list[tuple[Record, ...]]:
    """The views after all live nodes have exchanged their views often enough for refutations to spread."""
    now = {n: records for n, records in enumerate(views) if records is not None}
    for turn in range(4 * NODES):
        if turn == 2 * NODES:  # live nodes have refuted by now; the other suspects time out
            for observer, records in now.items():
                timed_out = [r._replace(state=State.DEAD) if r.state == State.SUSPECT else r for r in records]
                now[observer] = tuple(timed_out)
        for sender in now:
            for to in now:
                if sender == to:
                    continue
                message = ViewMessage(sender, to, now[sender])
                if now[sender][sender].epoch < now[to][sender].epoch:  # `datagram` reports the successor
                    reply = ViewMessage(to, sender, now[to])
                    now[sender] = receive(sender, now[sender], reply)
                else:
                    now[to] = receive(to, now[to], message)
    return list(now.values())


def violation(before: SystemState, step: str, after: SystemState) -> str:
    """The property that a step violates; empty if none."""
    for number, (old, new) in enumerate(zip(before.views, after.views, strict=True)):
        if old is None or new is None:
            continue
        if any(b < a for a, b in zip(old, new, strict=True)):
            return f"node {number} replaced a newer record at '{step}'"
        if new[number].state != State.ALIVE:
            return f"node {number} has the state {new[number].state.name} in its own view"
        for other, view in enumerate(after.views):
            own_record = new[number]
            raised = view is not None and view[number][:2] > own_record[:2]
            if view is not None and raised and view[number].epoch == own_record.epoch:
                return f"node {other} raised the incarnation of {number} at '{step}'"
    return ""


def explore(sends: int, suspicions: int) -> int:
    """Explores all states and returns their number; an AssertionError names a violated property."""
    all_know = tuple(Record(epoch, 0, State.ALIVE) for epoch in FIRST)
    first = SystemState((all_know,) * NODES, frozenset(), sends, suspicions, 1, 1)
    seen, todo = {first}, [first]
    agreements: dict[Views, bool] = {}
    while todo:
        state = todo.pop()
        for step, after in steps(state):
            assert not violation(state, step, after), violation(state, step, after)
            if after in seen:
                continue
            seen.add(after)
            todo.append(after)
            if after.views not in agreements:
                views = converged(after.views)
                agreements[after.views] = True
                assert len(set(views)) == 1, (step, views)
                for number, records in enumerate(after.views):
                    assert records is None or views[0][number].state == State.ALIVE, (step, number, views)
    return len(seen)


def test_records_never_go_back_and_all_views_converge_in_every_interleaving() -> None:
    assert explore(sends=2, suspicions=1) > 5_000


if __name__ == "__main__":
    print(f"{explore(int(sys.argv[1]), 1)} states, no property violated")
