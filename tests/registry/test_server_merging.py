"""Merging gives the same result in whatever order records arrive, and when they arrive repeatedly."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st
from registry.registry_samples import SILENCE, deregistered, draining, expired, server

from brackenladder.registry.records import HeardServer, ServerRecord, ServerState
from brackenladder.registry.registry import ServerRegistry

NOW = 100_000_000
IDS = ("i-1", "i-2")


def record_at(server_id: str, seq: int) -> ServerRecord:
    """The record of a server at a `seq`, the same from every node; the server drains from `seq` 6 on."""
    return server(server_id, seq) if seq < 6 else draining(server_id, seq)


def heartbeat_at(server_id: str, seq: int) -> HeardServer:
    """A heartbeat of such a server, with the `seq` at which its record last changed."""
    return HeardServer(server_id, seq, age=0, changed_seq=0 if seq < 6 else 6)


SEQS = st.integers(min_value=0, max_value=10)
LIVE_RECORDS = st.builds(record_at, st.sampled_from(IDS), SEQS)
EXPIRED_RECORDS = st.builds(expired, st.sampled_from(IDS), SEQS)
DEREGISTERED_RECORDS = st.builds(deregistered, st.sampled_from(IDS), SEQS)
HEARTBEATS = st.builds(heartbeat_at, st.sampled_from(IDS), SEQS)
RECORDS = st.lists(st.one_of(LIVE_RECORDS, EXPIRED_RECORDS, DEREGISTERED_RECORDS), max_size=12)
UPDATES = st.lists(st.one_of(LIVE_RECORDS, LIVE_RECORDS, EXPIRED_RECORDS, HEARTBEATS), max_size=12)


def visible_state(registry: ServerRegistry) -> dict[str, tuple[ServerState, int]]:
    """State and seq of each server in a registry; seq counts as 0 for a final end, where it may differ."""
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
        self.assertEqual(visible_state(merged(records)), visible_state(merged(shuffled)))

    @given(RECORDS)
    def test_merging_twice_changes_nothing(self, records: list[ServerRecord]) -> None:
        once = merged(records)
        version = once.version
        before = visible_state(once)
        refuted = [record for record in records if once.newer_records(NOW, [record])]
        changed = once.merge(NOW, records)
        self.assertEqual(visible_state(once), before)
        self.assertLessEqual(len(changed), len(refuted))
        self.assertLessEqual(once.version - version, len(refuted))

    @given(RECORDS, RECORDS)
    def test_two_nodes_that_exchange_records_agree(
        self, here: list[ServerRecord], there: list[ServerRecord]
    ) -> None:
        one, other = merged(here), merged(there)
        records = one.records(NOW)
        one.merge(NOW, other.records(NOW))
        other.merge(NOW, records)
        self.assertEqual(visible_state(one), visible_state(other))

    @given(RECORDS)
    def test_the_newest_record_holds_unless_the_server_ended(self, records: list[ServerRecord]) -> None:
        view = visible_state(merged(records))
        for server_id in IDS:
            own = [record for record in records if record.id == server_id]
            alive = [record.seq for record in own if record.state is not ServerState.GONE]
            ended = [record.seq for record in own if record.expired]
            if any(record.state is ServerState.GONE and not record.expired for record in own):
                self.assertEqual(view[server_id][0], ServerState.GONE)
            elif alive and max(alive) > max(ended, default=-1):
                self.assertEqual(view[server_id], (record_at(server_id, max(alive)).state, max(alive)))
            elif ended:
                self.assertEqual(view[server_id], (ServerState.GONE, max(ended)))


class HeartbeatOrderTest(unittest.TestCase):
    @given(UPDATES, st.randoms(use_true_random=False))
    def test_with_requested_records_any_order_gives_the_same_state(
        self, updates: list[ServerRecord | HeardServer], random: object
    ) -> None:
        shuffled = list(updates)
        random.shuffle(shuffled)  # type: ignore[attr-defined]
        self.assertEqual(self._states(updates), self._states(shuffled))

    @given(UPDATES)
    def test_an_old_record_never_gets_a_newer_seq(self, updates: list[ServerRecord | HeardServer]) -> None:
        registry = ServerRegistry(SILENCE)
        for one in updates:
            self._take(registry, one, answer=False)
        for record in registry.alive(NOW):
            self.assertEqual(record.state, record_at(record.id, record.seq).state)

    def _states(self, updates: list[ServerRecord | HeardServer]) -> dict[str, ServerState]:
        registry = ServerRegistry(SILENCE)
        for one in updates:
            self._take(registry, one, answer=True)
        return {record.id: record.state for record in registry.records(NOW)}

    def _take(self, registry: ServerRegistry, one: ServerRecord | HeardServer, answer: bool) -> None:
        if isinstance(one, ServerRecord):
            registry.merge(NOW, [one])
            return
        wanted = registry.merge_heartbeats(NOW, [one])
        if answer and wanted:
            registry.merge(NOW, [record_at(one.id, one.seq)])
