"""Snapshot transfer in chunks that are lost, repeated or damaged, and transfers that are resumed."""

from __future__ import annotations

import unittest
from itertools import count

from attrs import evolve
from consensus.cluster import Cluster

from brackenladder.consensus.log import Log
from brackenladder.consensus.messages import InstallSnapshot, InstallSnapshotReply
from brackenladder.consensus.progress import Progress
from brackenladder.consensus.snapshots import SnapshotReceiver, SnapshotSender
from brackenladder.consensus.timing import Timing
from brackenladder.consensus.types import DurableState, Entry, EntryKind, HardState, Member, Members, Snapshot

TIMING = Timing(snapshot_retry=100, snapshot_chunk=10, snapshot_window=30)
SNAPSHOT = Snapshot(50, 3, Members((Member("a", "a:1"),)), bytes(range(95)))


def reply(match: int = 0, received: int = 0, index: int = 50) -> InstallSnapshotReply:
    return InstallSnapshotReply("b", "a", 3, match, index, received)


class SnapshotTransferTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sender = SnapshotSender(0, SNAPSHOT, TIMING)
        self.receiver = SnapshotReceiver()

    def chunks(self, now: int = 0) -> list[InstallSnapshot]:
        return self.sender.chunks(now, "a", "b", 3, "a:1")

    def transfer(self) -> Snapshot | None:
        """Sends chunks without loss until the follower has the whole snapshot."""
        for _ in range(20):
            for chunk in self.chunks():
                whole = self.receiver.take(chunk)
                self.sender.on_reply(0, reply(received=self.receiver.received(50)))
                if whole is not None:
                    return whole
        return None

    def test_a_snapshot_arrives_whole(self) -> None:
        self.assertEqual(self.transfer(), SNAPSHOT)

    def test_an_empty_snapshot_is_one_chunk(self) -> None:
        self.sender = SnapshotSender(0, evolve(SNAPSHOT, data=b""), TIMING)
        chunks = self.chunks()
        self.assertEqual(len(chunks), 1)
        self.assertEqual(self.receiver.take(chunks[0]), evolve(SNAPSHOT, data=b""))
        self.assertEqual(self.chunks(), [])

    def test_no_more_than_the_window_is_unacknowledged(self) -> None:
        self.assertEqual([chunk.offset for chunk in self.chunks()], [0, 10, 20])
        self.assertEqual(self.chunks(), [])
        self.sender.on_reply(0, reply(received=10))
        self.assertEqual([chunk.offset for chunk in self.chunks()], [30])

    def test_unacknowledged_chunks_are_resent_with_backoff(self) -> None:
        self.chunks()
        self.sender.on_reply(0, reply(received=20))
        self.assertEqual([chunk.offset for chunk in self.chunks(99)], [30, 40])
        self.assertEqual([chunk.offset for chunk in self.chunks(100)], [20, 30, 40])
        self.assertEqual(self.chunks(299), [])
        self.assertEqual([chunk.offset for chunk in self.chunks(300)], [20, 30, 40])

    def test_a_new_link_resumes_the_transfer_immediately(self) -> None:
        self.chunks()
        self.sender.on_reply(0, reply(received=10))
        self.chunks()
        self.sender.link_up(1)
        self.assertEqual([chunk.offset for chunk in self.chunks(1)], [10, 20, 30])

    def test_progress_resets_the_backoff(self) -> None:
        self.chunks()
        self.chunks(100)
        self.sender.on_reply(250, reply(received=10))
        self.chunks(250)
        self.assertEqual([chunk.offset for chunk in self.chunks(350)], [10, 20, 30])

    def test_gaps_are_filled_and_duplicate_chunks_count_once(self) -> None:
        first, second, third = self.chunks()
        for chunk in (third, first, first, second, third):
            self.receiver.take(chunk)
        self.assertEqual(self.receiver.received(50), 30)

    def test_damaged_chunks_are_detected_and_resent(self) -> None:
        first, *others = self.chunks()
        damaged = evolve(first, snapshot=evolve(first.snapshot, data=bytes(10)))
        for chunk in (damaged, *others):
            self.receiver.take(chunk)
        self.sender.on_reply(0, reply(received=30))
        self.assertEqual(self.transfer(), SNAPSHOT)

    def test_chunks_that_the_follower_has_lost_are_resent(self) -> None:
        self.chunks()
        self.sender.on_reply(0, reply(received=30))
        self.sender.on_reply(0, reply(received=0))
        self.assertEqual([chunk.offset for chunk in self.chunks()], [0, 10, 20])

    def test_another_leader_resumes_the_transfer(self) -> None:
        for chunk in self.chunks():
            self.receiver.take(chunk)
        self.sender = SnapshotSender(0, SNAPSHOT, TIMING)
        first = self.chunks()[0]
        self.receiver.take(first)
        self.sender.on_reply(0, reply(received=self.receiver.received(50)))
        self.assertEqual([chunk.offset for chunk in self.chunks()], [30, 40, 50])

    def test_another_snapshot_starts_from_the_beginning(self) -> None:
        for chunk in self.chunks():
            self.receiver.take(chunk)
        self.sender = SnapshotSender(0, evolve(SNAPSHOT, index=60), TIMING)
        self.receiver.take(self.chunks()[0])
        self.assertEqual((self.receiver.received(50), self.receiver.received(60)), (0, 10))

    def test_replies_of_another_transfer_change_nothing(self) -> None:
        self.chunks()
        self.assertFalse(self.sender.on_reply(0, reply(received=30, index=40)))
        self.assertEqual(self.chunks(), [])

    def test_the_transfer_ends_when_the_follower_confirms_the_snapshot(self) -> None:
        progress = Progress(1, 0)
        progress.begin_transfer(self.sender)
        progress.record_match(0, 0)  # a reply to a heartbeat
        self.assertIsNotNone(progress.transfer)
        progress.record_snapshot_reply(0, reply(match=50))
        self.assertEqual((progress.next, progress.match, progress.transfer), (51, 50, None))


class HeldEntriesTest(unittest.TestCase):
    """The entries after a snapshot stay in memory while the snapshot is being transferred."""

    def setUp(self) -> None:
        entries = tuple(Entry(index, 1, EntryKind.COMMAND, bytes(100)) for index in range(1, 41))
        self.log = Log(DurableState(HardState(), None, entries))

    def test_entries_after_a_snapshot_in_transfer_are_held(self) -> None:
        self.log.compact(Snapshot(40, 1, Members(), b""), 300, held_after=10, held_bytes=100_000)
        self.assertEqual((self.log.term(10), self.log.term(11)), (1, 1))
        self.assertIsNone(self.log.term(9))

    def test_no_more_than_the_bound_is_held(self) -> None:
        self.log.compact(Snapshot(40, 1, Members(), b""), 300, held_after=10, held_bytes=1_000)
        self.assertIsNone(self.log.term(11))
        self.assertEqual(self.log.term(35), 1)


class CatchUpTest(unittest.TestCase):
    """A follower that was unreachable, while the leader compacts faster than a snapshot is transferred."""

    def test_a_lagging_follower_catches_up_during_continual_changes(self) -> None:
        cluster = Cluster()
        leader = cluster.settle()
        follower = next(host for host in cluster.hosts.values() if host is not leader)
        follower.isolated = True
        numbers = count()
        self.change(cluster, leader, numbers, 300)
        follower.isolated = False
        target = leader.replica.commit_index
        for _ in range(40):
            self.change(cluster, leader, numbers, 20)
            if follower.replica.commit_index >= target:
                break
        self.assertGreaterEqual(follower.replica.commit_index, target)
        self.assertEqual(len(follower.restored), 1)

    def change(self, cluster: Cluster, leader, numbers, changes: int) -> None:
        for _ in range(changes):
            leader.replica.propose(cluster.now, b"%d" % next(numbers) + bytes(3_000))
        cluster.run(60_000)
        state = bytes(200_000)
        leader.replica.compact(cluster.now, leader.replica.commit_index, state)
        cluster.pump()
