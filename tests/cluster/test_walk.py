"""Every interleaving of a small fleet: three real detectors, few words between them, a crash, a successor.

A state is what the three know and what is on its way; from it each step is taken: a node tells another all
it knows, a word arrives (and stays on its way: late, twice, in any order), a node suspects or buries another,
one is killed, its successor begins with a clock that is right or was set back.
`python tests/cluster/test_walk.py WORDS` walks further and says how many states there were.
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

Views = tuple[tuple[Record, ...] | None, ...]  # of each node; None: its process is gone


class Word(NamedTuple):
    """A node's whole view on its way to another."""

    sender: int
    to: int
    records: tuple[Record, ...]


class Walk(NamedTuple):
    """A state, and how many steps of each kind are left."""

    views: Views
    words: frozenset[Word]
    tells: int
    suspicions: int
    crashes: int
    starts: int


def detector(number: int, records: tuple[Record, ...]) -> Detector:
    """A real detector that knows so much; its time stands still."""
    made = Detector(number, NODES, 0, NOW, Random(1), lambda to, data: None, lambda said: None)
    made.view.records = list(records)
    made.view.by_state.clear()
    for other, record in enumerate(records):
        if record.state == State.SUSPECT:
            made.suspicions[other] = Suspicion(NOW, number, 1)
    return made


def known(made: Detector) -> tuple[Record, ...]:
    return tuple(made.view.records)


def with_view(walk: Walk, number: int, records: tuple[Record, ...] | None) -> Views:
    return walk.views[:number] + (records,) + walk.views[number + 1 :]


def hear(number: int, records: tuple[Record, ...], word: Word) -> tuple[Record, ...]:
    made = detector(number, records)
    mine = word.records[word.sender]
    told = tuple(
        Recorded(n, record, word.sender) for n, record in enumerate(word.records) if record != UNHEARD
    )
    if mine.epoch < records[word.sender].epoch:
        return records  # `datagram` drops it: of an older process
    made.handle_frame(word.sender, Frame(word.sender, number, mine.epoch, mine.incarnation, 1, told), NOW)
    return known(made)


def steps(walk: Walk) -> Iterator[tuple[str, Walk]]:
    for number, records in enumerate(walk.views):
        if records is None:
            if walk.starts:
                for second in (50, 200):  # set back; right
                    fresh = [UNHEARD] * NODES
                    fresh[number] = Record(epoch_of(second, 9), 0, State.ALIVE)
                    views = with_view(walk, number, tuple(fresh))
                    yield f"{number} begins anew", walk._replace(views=views, starts=walk.starts - 1)
            continue
        if walk.tells:
            for to in range(NODES):
                word = Word(number, to, records)
                if to != number and word not in walk.words:
                    yield "tell", walk._replace(words=walk.words | {word}, tells=walk.tells - 1)
        for other in range(NODES):
            if other == number:
                continue
            made = detector(number, records)
            if walk.suspicions and records[other].state == State.ALIVE:
                made.suspect(other, NOW, "")
                views = with_view(walk, number, known(made))
                yield "suspect", walk._replace(views=views, suspicions=walk.suspicions - 1)
            elif records[other].state == State.SUSPECT:
                made.apply_record(other, records[other]._replace(state=State.DEAD), NOW, number, "")
                yield "bury", walk._replace(views=with_view(walk, number, known(made)))
        if walk.crashes:
            yield f"{number} dies", walk._replace(views=with_view(walk, number, None), crashes=0)
    for word in walk.words:
        there = walk.views[word.to]
        if there is not None:
            yield "hear", walk._replace(views=with_view(walk, word.to, hear(word.to, there, word)))


def settled(views: Views) -> list[tuple[Record, ...]]:
    """What all that are there know once each has told each, twice for each node: refutations take a round."""
    now = {n: records for n, records in enumerate(views) if records is not None}
    for turn in range(4 * NODES):
        if turn == 2 * NODES:  # whoever is there has refuted; the time of the others is over
            for judge, records in now.items():
                late = [r._replace(state=State.DEAD) if r.state == State.SUSPECT else r for r in records]
                now[judge] = tuple(late)
        for sender in now:
            for to in now:
                if sender == to:
                    continue
                word = Word(sender, to, now[sender])
                if (
                    now[sender][sender].epoch < now[to][sender].epoch
                ):  # told of its successor, as `datagram` does
                    back = Word(to, sender, now[to])
                    now[sender] = hear(sender, now[sender], back)
                else:
                    now[to] = hear(to, now[to], word)
    return list(now.values())


def wrong(before: Walk, step: str, after: Walk) -> str:
    """What a step has broken; empty if nothing."""
    for number, (old, new) in enumerate(zip(before.views, after.views, strict=True)):
        if old is None or new is None:
            continue
        if any(b < a for a, b in zip(old, new, strict=True)):
            return f"node {number} went back at '{step}'"
        if new[number].state != State.ALIVE:
            return f"node {number} takes itself for {new[number].state.name}"
        for other, view in enumerate(after.views):
            mine = new[number]
            raised = view is not None and view[number][:2] > mine[:2]
            if view is not None and raised and view[number].epoch == mine.epoch:
                return f"node {other} raised the incarnation of {number} at '{step}'"
    return ""


def walked(tells: int, suspicions: int) -> int:
    """All states; an AssertionError names what broke."""
    all_know = tuple(Record(epoch, 0, State.ALIVE) for epoch in FIRST)
    first = Walk((all_know,) * NODES, frozenset(), tells, suspicions, 1, 1)
    seen, todo = {first}, [first]
    agreements: dict[Views, bool] = {}
    while todo:
        walk = todo.pop()
        for step, after in steps(walk):
            assert not wrong(walk, step, after), wrong(walk, step, after)
            if after in seen:
                continue
            seen.add(after)
            todo.append(after)
            if after.views not in agreements:
                views = settled(after.views)
                agreements[after.views] = True
                assert len(set(views)) == 1, (step, views)
                for number, records in enumerate(after.views):
                    assert records is None or views[0][number].state == State.ALIVE, (step, number, views)
    return len(seen)


def test_no_interleaving_goes_back_and_all_agree_in_the_end() -> None:
    assert walked(tells=2, suspicions=1) > 5_000


if __name__ == "__main__":
    print(f"{walked(int(sys.argv[1]), 1)} states, nothing broke")
