"""Replacement of a permanently lost machine by a successor at another address."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, Host

from brackenladder.consensus.types import Member

CATCH_UP = 4 * SECOND  # the platform's default; after it the next machine may be lost
START_DELAY = SECOND  # between the loss and the successor's first join request


class ReplacementTest(unittest.TestCase):
    """The successor has to be a voter, and the lost voter removed, before the next loss is permitted."""

    def replace(self, cluster: Cluster, lost: Host) -> Host:
        cluster.drop(lost)
        cluster.run(START_DELAY)
        successor = cluster.add(Member("successor", "10.0.0.9:1"))
        until = cluster.now + CATCH_UP
        while cluster.now < until:
            leader = next((host for host in cluster.hosts.values() if host.replica.leads), None)
            if leader is not None:
                leader.replica.join(cluster.now, successor.member).unwrap()
            cluster.run(SECOND // 4)
        return successor

    def check_another_loss(self, cluster: Cluster, successor: Host) -> None:
        """Loses one of the two old voters too: committed entries are kept, and new ones can be committed."""
        leader = cluster.settle()
        voters = [voter.replica_id for voter in leader.replica.members.voters]
        self.assertIn("successor", voters)
        self.assertEqual(len(voters), 3)
        self.assertEqual(successor.replica.commit_index, leader.replica.commit_index)
        cluster.drop(next(host for host in cluster.hosts.values() if host is not successor))
        cluster.propose(cluster.settle(), b"after both losses")
        data = [entry.data for entry in successor.committed]
        self.assertIn(b"before", data)
        self.assertIn(b"after both losses", data)

    def test_a_follower_is_replaced_in_time(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"before")
        successor = self.replace(cluster, cluster.followers(leader)[0])
        self.check_another_loss(cluster, successor)

    def test_a_leader_is_replaced_in_time(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"before")
        successor = self.replace(cluster, leader)
        self.check_another_loss(cluster, successor)

    def test_a_planned_successor_stays_on_standby_until_a_voter_is_silent(self):
        cluster = Cluster()
        leader = cluster.settle()
        successor = cluster.add(Member("successor", "10.0.0.9:1"))
        leader.replica.join(cluster.now, successor.member).unwrap()
        cluster.run(3 * SECOND)
        self.assertNotIn(successor.member, leader.replica.members.voters)
        cluster.drop(cluster.followers(leader)[0])
        cluster.run(2 * SECOND)
        self.assertIn(successor.member, leader.replica.members.voters)


if __name__ == "__main__":
    unittest.main()
