"""From what moment on a replica knows that its committed entries are all that were committed."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, Host

from brackenladder.consensus.messages import AppendEntries

RECENT = 600_000  # microseconds; heartbeats, their answers and their echoes take less


class CurrentStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster()
        self.leader = self.cluster.settle()
        self.follower = next(host for host in self.cluster.hosts.values() if host is not self.leader)
        self.cluster.run(SECOND)

    def age(self, host: Host) -> int:
        return self.cluster.now - host.replica.up_to_date_at

    def hear(self, commit: int, term: int | None = None) -> None:
        """The follower gets a word of its leader without entries, two seconds later."""
        self.cluster.now += 2 * SECOND
        leader = self.leader.replica
        message = AppendEntries(
            sender=self.leader.member.replica_id,
            to=self.follower.member.replica_id,
            term=leader.term if term is None else term,
            round=99,
            prev_index=self.follower.replica.last_index,
            prev_term=leader.term,
            commit=commit,
            address=self.leader.member.address,
            entries=(),
            echo=self.cluster.now,
            contact_age=0,
        )
        self.follower.replica.step(self.cluster.now, self.leader.member.replica_id, message)

    def test_all_are_current_in_a_calm(self) -> None:
        for host in self.cluster.hosts.values():
            self.assertLess(self.age(host), RECENT)

    def test_a_word_with_nothing_new_makes_current(self) -> None:
        self.hear(self.leader.replica.commit_index)
        self.assertEqual(self.age(self.follower), 0)
        self.assertFalse(self.follower.replica.lacks_committed)

    def test_whoever_lacks_a_committed_entry_is_not_current(self) -> None:
        self.hear(self.leader.replica.commit_index + 1)
        self.assertEqual(self.cluster.now, self.follower.replica.quorum_contact_at)  # in contact all the same
        self.assertGreaterEqual(self.age(self.follower), 2 * SECOND)
        self.assertTrue(self.follower.replica.lacks_committed)

    def test_a_leader_without_an_entry_of_its_own_does_not_make_current(self) -> None:
        self.hear(self.leader.replica.commit_index, term=self.leader.replica.term + 1)
        self.assertGreaterEqual(self.age(self.follower), 2 * SECOND)
