"""The time up to which a replica knows that it has all committed entries."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, Host

from brackenladder.consensus.messages import AppendEntries

RECENT = 600_000  # microseconds; longer than a heartbeat, its reply and the echo of the reply take


class CurrentStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster()
        self.leader = self.cluster.settle()
        self.follower = next(host for host in self.cluster.hosts.values() if host is not self.leader)
        self.cluster.run(SECOND)

    def age(self, host: Host) -> int:
        return self.cluster.now - host.replica.up_to_date_at

    def hear(self, commit: int, term: int | None = None) -> None:
        """The follower receives a heartbeat of its leader two seconds later."""
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

    def test_all_are_up_to_date_without_faults(self) -> None:
        for host in self.cluster.hosts.values():
            self.assertLess(self.age(host), RECENT)

    def test_a_heartbeat_without_news_makes_a_follower_up_to_date(self) -> None:
        self.hear(self.leader.replica.commit_index)
        self.assertEqual(self.age(self.follower), 0)
        self.assertFalse(self.follower.replica.lacks_committed)

    def test_a_follower_that_lacks_a_committed_entry_is_not_up_to_date(self) -> None:
        self.hear(self.leader.replica.commit_index + 1)
        self.assertEqual(self.cluster.now, self.follower.replica.quorum_contact_at)  # nevertheless in contact
        self.assertGreaterEqual(self.age(self.follower), 2 * SECOND)
        self.assertTrue(self.follower.replica.lacks_committed)

    def test_a_leader_without_a_committed_entry_of_its_term_makes_nobody_up_to_date(self) -> None:
        self.hear(self.leader.replica.commit_index, term=self.leader.replica.term + 1)
        self.assertGreaterEqual(self.age(self.follower), 2 * SECOND)
