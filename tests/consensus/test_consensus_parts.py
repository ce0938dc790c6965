"""Unit tests of a replica's components: log, write queue, progress, reads and pause detection."""

from __future__ import annotations

import unittest

from brackenladder.consensus.log import Log
from brackenladder.consensus.members import encode_members
from brackenladder.consensus.pauses import PauseGuard
from brackenladder.consensus.progress import Progress
from brackenladder.consensus.reads import ReadQueue, ReadReady
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import DurableState, Entry, EntryKind, HardState, Member, Members, Snapshot
from brackenladder.consensus.writes import Outgoing, WriteQueue

RETRY = 1_000


def entry(index: int, term: int = 1, data: bytes = b"") -> Entry:
    return Entry(index, term, EntryKind.COMMAND, data)


def members_entry(index: int, members: Members) -> Entry:
    return Entry(index, 1, EntryKind.MEMBERS, encode_members(members))


def some_members(*names: str) -> Members:
    return Members(voters=tuple(Member(name, f"{name}:1") for name in names))


class LogTest(unittest.TestCase):
    """Entries, terms, members and compaction."""

    def filled(self, last: int) -> Log:
        log = Log(DurableState())
        for index in range(1, last + 1):
            log.append(entry(index, 1 + index // 4, b"12345678"))
        return log

    def test_an_empty_log_begins_before_the_first_entry(self):
        log = Log(DurableState())
        self.assertEqual((log.last_index, log.last_term, log.term(0), log.term(1)), (0, 0, 0, None))

    def test_gaps_are_rejected(self):
        with self.assertRaises(ValueError):
            self.filled(3).append(entry(5))

    def test_truncation_reverts_members_and_durable_index(self):
        log = self.filled(2)
        log.append(members_entry(3, some_members("a")))
        log.append(members_entry(4, some_members("a", "b")))
        log.durable_index = 4
        log.truncate(4)
        self.assertEqual((log.members, log.members_index), (some_members("a"), 3))
        self.assertEqual((log.last_index, log.durable_index), (3, 3))

    def test_compaction_keeps_a_tail_in_memory(self):
        log = self.filled(10)
        log.compact(Snapshot(8, 3, Members(), b""), 80)
        self.assertEqual((log.term(5), log.term(6), log.last_index), (2, 2, 10))
        self.assertIsNone(log.term(4))
        self.assertEqual([each.index for each in log.batch(7, 1 << 20)], [7, 8, 9, 10])

    def test_compaction_may_keep_nothing(self):
        log = self.filled(10)
        log.compact(Snapshot(8, 3, Members(), b""), 0)
        self.assertEqual((log.term(7), log.term(8), log.term(9)), (None, 3, 3))

    def test_members_at_an_index_survive_compaction(self):
        log = Log(DurableState())
        log.append(members_entry(1, some_members("a")))
        log.append(entry(2))
        log.append(members_entry(3, some_members("a", "b")))
        log.compact(Snapshot(2, 1, log.members_at(2), b""), 0)
        self.assertEqual((log.members_at(2), log.members), (some_members("a"), some_members("a", "b")))
        log.truncate(3)
        self.assertEqual(log.members, some_members("a"))

    def test_batches_are_bounded_and_never_empty(self):
        log = self.filled(6)
        self.assertEqual([each.index for each in log.batch(1, 50)], [1, 2])
        self.assertEqual([each.index for each in log.batch(6, 1)], [6])

    def test_agreement_skips_newer_terms(self):
        log = self.filled(10)  # the terms are 1 1 1 2 2 2 2 3 3 3
        self.assertEqual(log.agreement_below(10, 2), 7)
        self.assertEqual(log.agreement_below(99, 3), 10)
        self.assertEqual(log.agreement_below(2, 0), 0)

    def test_a_restart_counts_everything_as_durable(self):
        snapshot = Snapshot(4, 2, some_members("a"), b"s")
        log = Log(DurableState(HardState(), snapshot, (entry(5, 2), entry(6, 3))))
        self.assertEqual((log.last_index, log.last_term, log.durable_index), (6, 3, 6))
        self.assertEqual((log.term(4), log.members), (2, some_members("a")))


class WriteQueueTest(unittest.TestCase):
    """The order of writes, and the messages that wait for them."""

    def test_changes_during_a_write_form_the_next_one(self):
        queue = WriteQueue(RETRY)
        queue.append(entry(1))
        first = queue.take(0)
        queue.append(entry(2))
        queue.set_hard_state(HardState(3, "a"))
        self.assertIsNone(queue.take(1))
        self.assertEqual(queue.persisted(first.token), 1)
        second = queue.take(2)
        self.assertEqual((second.entries, second.hard_state), ((entry(2),), HardState(3, "a")))
        self.assertGreater(second.token, first.token)

    def test_truncation_drops_queued_entries_that_were_never_written(self):
        queue = WriteQueue(RETRY)
        for index in (5, 6, 7):
            queue.append(entry(index))
        queue.truncate(6)
        queue.append(entry(6, 2))
        write = queue.take(0)
        self.assertEqual((write.truncate_from, write.entries), (0, (entry(5), entry(6, 2))))

    def test_truncation_below_queued_entries_is_passed_to_the_store(self):
        queue = WriteQueue(RETRY)
        queue.append(entry(5))
        queue.truncate(3)
        queue.truncate(4)
        queue.append(entry(3, 2))
        self.assertEqual(queue.take(0).truncate_from, 3)

    def test_entries_that_the_next_write_drops_do_not_count_as_durable(self):
        queue = WriteQueue(RETRY)
        for index in (5, 6, 7):
            queue.append(entry(index))
        write = queue.take(0)
        queue.truncate(6)
        self.assertEqual(queue.persisted(write.token), 5)

    def test_a_snapshot_that_replaces_the_log_makes_only_itself_durable(self):
        queue = WriteQueue(RETRY)
        queue.append(entry(5))
        write = queue.take(0)
        queue.snapshot(Snapshot(3, 1, Members(), b""), clear=True)
        self.assertEqual(queue.persisted(write.token), 0)
        install = queue.take(1)
        self.assertTrue(install.clear)
        self.assertEqual(queue.persisted(install.token), 3)

    def test_messages_wait_for_their_write(self):
        queue = WriteQueue(RETRY)
        queue.set_hard_state(HardState(1, ""))
        token = queue.pending_hard_token
        queue.hold(token, Outgoing("a", "message"))
        write = queue.take(0)
        self.assertEqual(queue.released(token - 1), [])
        queue.persisted(write.token)
        self.assertEqual(queue.released(write.token), [Outgoing("a", "message")])
        self.assertEqual((queue.pending_token, queue.pending_hard_token), (0, 0))

    def test_a_refused_write_is_retried_after_a_delay_before_any_other(self):
        queue = WriteQueue(RETRY)
        queue.append(entry(5))
        write = queue.take(0)
        queue.append(entry(6))
        self.assertTrue(queue.failed(10, write.token))
        self.assertTrue(queue.refused)
        self.assertIsNone(queue.take(10 + RETRY - 1))
        again = queue.take(10 + RETRY)
        self.assertEqual((again.token, again.truncate_from), (write.token, 5))
        self.assertEqual(queue.age(10 + RETRY), 10 + RETRY)
        self.assertEqual(queue.persisted(again.token), 5)

    def test_an_unknown_token_is_ignored(self):
        queue = WriteQueue(RETRY)
        queue.append(entry(1))
        write = queue.take(0)
        self.assertIsNone(queue.persisted(write.token + 1))
        self.assertFalse(queue.failed(0, write.token + 1))
        self.assertEqual(queue.persisted(write.token), 1)


class ProgressTest(unittest.TestCase):
    """The leader's view of one follower."""

    def test_durable_entries_free_the_window(self):
        progress = Progress(2, 0)
        progress.record_sent(4, 100)
        self.assertFalse(progress.can_send(100))
        progress.record_match(3, 4)
        self.assertFalse(progress.can_send(100))
        progress.record_match(4, 4)
        self.assertTrue(progress.can_send(100))

    def test_a_refusal_leads_to_one_probe(self):
        progress = Progress(20, 0)
        progress.record_sent(25, 10)
        self.assertTrue(progress.record_refusal(19, 12))
        self.assertFalse(progress.record_refusal(19, 12))  # a duplicate
        self.assertEqual((progress.next, progress.can_send(100)), (13, True))
        progress.record_sent(25, 10)
        self.assertEqual((progress.next, progress.can_send(100)), (13, False))
        progress.record_match(12, 25)
        self.assertEqual((progress.next, progress.can_send(100)), (26, True))

    def test_outdated_refusals_change_nothing(self):
        progress = Progress(20, 0)
        progress.record_match(15, 19)
        self.assertFalse(progress.record_refusal(15, 3))
        self.assertFalse(progress.record_refusal(20, 3))
        self.assertEqual(progress.next, 20)


class ReadQueueTest(unittest.TestCase):
    """Read confirmation rounds."""

    def test_reads_wait_for_a_round_that_starts_after_them(self):
        queue = ReadQueue()
        queue.add(1, 10)
        self.assertTrue(queue.begin_round())
        queue.add(2, 11)
        self.assertEqual(queue.confirmed(1, 0), [ReadReady(1, 10)])
        self.assertTrue(queue.begin_round())
        self.assertFalse(queue.begin_round())
        self.assertEqual(queue.confirmed(2, 15), [ReadReady(2, 15)])

    def test_a_round_that_has_not_started_confirms_nothing(self):
        queue = ReadQueue()
        queue.add(1, 10)
        self.assertEqual(queue.confirmed(1 << 60, 0), [])
        self.assertEqual(queue.abandoned(), (1,))
        self.assertEqual(len(queue), 0)


class PauseGuardTest(unittest.TestCase):
    """The grace period after a suspension of this process."""

    def test_a_grace_period_of_one_heartbeat_after_a_pause(self):
        timing = Timing()
        guard = PauseGuard(timing, 0)
        later = 10 * timing.election_max
        guard.tick(later)
        self.assertTrue(guard.in_grace_period(later + timing.heartbeat - 1))
        self.assertFalse(guard.in_grace_period(later + timing.heartbeat))

    def test_short_gaps_do_not_count_as_a_pause(self):
        timing = Timing()
        guard = PauseGuard(timing, 0)
        for moment in range(0, 10 * timing.election_max, timing.pause):
            guard.tick(moment)
            self.assertFalse(guard.in_grace_period(moment))


if __name__ == "__main__":
    unittest.main()
