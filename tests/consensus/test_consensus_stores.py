"""A replica whose store hangs or refuses writes."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, TICK, Cluster

from brackenladder.consensus.replica import Role, Timing


class StoreTest(unittest.TestCase):
    """Stores that hang or refuse writes."""

    def test_a_leader_whose_write_hangs_hands_over(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.store_hangs = True
        cluster.propose(leader, b"x")
        cluster.run(Timing().write_limit + 2 * TICK)
        self.assertFalse(leader.replica.leads)
        cluster.run(SECOND // 5)
        self.assertTrue(any(host.replica.leads for host in cluster.followers(leader)))

    def test_it_does_not_campaign_while_its_store_hangs(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.store_hangs = True
        cluster.propose(leader, b"x")
        cluster.run(2 * SECOND)
        for host in cluster.followers(leader):
            cluster.drop(host)
        cluster.run(3 * SECOND)
        self.assertIs(leader.replica.role, Role.FOLLOWER)

    def test_a_refused_write_ends_leadership_and_is_retried(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.replica.propose(cluster.now, b"x").unwrap()
        write = leader.replica.take_output().writes[0]
        leader.replica.write_failed(cluster.now, write.token)
        self.assertFalse(leader.replica.leads)
        self.assertEqual(leader.replica.take_output().writes, ())
        leader.replica.tick(cluster.now + Timing().write_retry)
        again = leader.replica.take_output().writes[0]
        self.assertEqual((again.token, again.entries), (write.token, write.entries))
        self.assertEqual(again.truncate_from, write.entries[0].index)

    def test_changes_during_a_write_form_one_later_write(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.replica.propose(cluster.now, b"1").unwrap()
        first = leader.replica.take_output().writes
        for data in (b"2", b"3"):
            leader.replica.propose(cluster.now, data).unwrap()
            self.assertEqual(leader.replica.take_output().writes, ())
        leader.replica.persisted(cluster.now, first[0].token)
        second = leader.replica.take_output().writes
        self.assertEqual([entry.data for entry in second[0].entries], [b"2", b"3"])

    def test_a_follower_with_a_hanging_store_stays_in_contact(self):
        cluster = Cluster()
        leader = cluster.settle()
        slow = cluster.followers(leader)[0]
        slow.store_hangs = True
        cluster.propose(leader, b"x")
        cluster.run(3 * SECOND)
        self.assertLess(cluster.now - slow.replica.quorum_contact_at, SECOND // 2)
        self.assertTrue(leader.replica.leads)
