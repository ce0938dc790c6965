"""Merging does not depend on the order in which records come, nor on how often they come."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st
from registry.registry_samples import SILENCE, deregistered, draining, server, silent

from brackenladder.registry.records import HeardServer, ServerRecord, ServerState
from brackenladder.registry.registry import ServerRegistry

NOW = 100_000_000
IDS = ("i-1", "i-2")


def stated(server_id: str, seq: int) -> ServerRecord:
    """What a server states with a `seq`: the same whoever tells it. It drains from 6 on."""
    return server(server_id, seq) if seq < 6 else draining(server_id, seq)


def evidence(server_id: str, seq: int) -> HeardServer:
    """A heartbeat of such a server, as a node tells that knows when it last said something else."""
    return HeardServer(server_id, seq, age=0, changed_seq=0 if seq < 6 else 6)


SEQS = st.integers(min_value=0, max_value=10)
STATEMENTS = st.builds(stated, st.sampled_from(IDS), SEQS)
SILENCES = st.builds(silent, st.sampled_from(IDS), SEQS)
ENDS = st.builds(deregistered, st.sampled_from(IDS), SEQS)
EVIDENCE = st.builds(evidence, st.sampled_from(IDS), SEQS)
RECORDS = st.lists(st.one_of(STATEMENTS, SILENCES, ENDS), max_size=12)
NEWS = st.lists(st.one_of(STATEMENTS, STATEMENTS, SILENCES, EVIDENCE), max_size=12)


def shown(registry: ServerRegistry) -> dict[str, tuple[ServerState, int]]:
    """What can be seen of a registry's servers; a final end has no seq of its own."""
    return {
        record.id: (
            record.state,
            0 if record.state is ServerState.GONE and not record.expired else record.seq,
        )
        for record in registry.records(NOW)
    }


def merged(records: list[ServerRecord]) -> ServerRegistry:
    registry = ServerRegistry(SILENCE)
    for record in records:
        registry.merge(NOW, [record])
    return registry


class OrderTest(unittest.TestCase):
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_any_order_gives_the_same(self, records: list[ServerRecord], random: object) -> None:
        shuffled = list(records)
        random.shuffle(shuffled)  # type: ignore[attr-defined]
        self.assertEqual(shown(merged(records)), shown(merged(shuffled)))

    @given(RECORDS)
    def test_twice_is_once(self, records: list[ServerRecord]) -> None:
        once = merged(records)
        version = once.version
        before = shown(once)
        refuted = [record for record in records if once.newer_records(NOW, [record])]
        changed = once.merge(NOW, records)
        self.assertEqual(shown(once), before)
        self.assertLessEqual(len(changed), len(refuted))
        self.assertLessEqual(once.version - version, len(refuted))

    @given(RECORDS, RECORDS)
    def test_two_nodes_that_tell_each_other_agree(
        self, here: list[ServerRecord], there: list[ServerRecord]
    ) -> None:
        one, other = merged(here), merged(there)
        told = one.records(NOW)
        one.merge(NOW, other.records(NOW))
        other.merge(NOW, told)
        self.assertEqual(shown(one), shown(other))

    @given(RECORDS)
    def test_the_newest_statement_holds_unless_it_ended(self, records: list[ServerRecord]) -> None:
        view = shown(merged(records))
        for server_id in IDS:
            own = [record for record in records if record.id == server_id]
            alive = [record.seq for record in own if record.state is not ServerState.GONE]
            ended = [record.seq for record in own if record.expired]
            if any(record.state is ServerState.GONE and not record.expired for record in own):
                self.assertEqual(view[server_id][0], ServerState.GONE)
            elif alive and max(alive) > max(ended, default=-1):
                self.assertEqual(view[server_id], (stated(server_id, max(alive)).state, max(alive)))
            elif ended:
                self.assertEqual(view[server_id], (ServerState.GONE, max(ended)))


class EvidenceOrderTest(unittest.TestCase):
    @given(NEWS, st.randoms(use_true_random=False))
    def test_with_what_was_asked_for_any_order_gives_the_same_state(
        self, news: list[ServerRecord | HeardServer], random: object
    ) -> None:
        shuffled = list(news)
        random.shuffle(shuffled)  # type: ignore[attr-defined]
        self.assertEqual(self._states(news), self._states(shuffled))

    @given(NEWS)
    def test_old_words_are_never_passed_on_as_newer(self, news: list[ServerRecord | HeardServer]) -> None:
        registry = ServerRegistry(SILENCE)
        for one in news:
            self._take(registry, one, answer=False)
        for record in registry.alive(NOW):
            self.assertEqual(record.state, stated(record.id, record.seq).state)

    def _states(self, news: list[ServerRecord | HeardServer]) -> dict[str, ServerState]:
        registry = ServerRegistry(SILENCE)
        for one in news:
            self._take(registry, one, answer=True)
        return {record.id: record.state for record in registry.records(NOW)}

    def _take(self, registry: ServerRegistry, one: ServerRecord | HeardServer, answer: bool) -> None:
        if isinstance(one, ServerRecord):
            registry.merge(NOW, [one])
            return
        wanted = registry.merge_heartbeats(NOW, [one])
        if answer and wanted:
            registry.merge(NOW, [stated(one.id, one.seq)])
