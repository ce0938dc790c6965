"""Linearizable reads in single steps."""

from __future__ import annotations

import unittest

from consensus.cluster import Cluster
from returns.result import Failure

from brackenladder.consensus.messages import (
    AppendReply,
)
from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.replica import NotLeader


class ReadTest(unittest.TestCase):
    """Linearizable reads."""

    def test_a_read_is_ready_after_a_round_with_the_newest_index(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"x")
        leader.replica.read(cluster.now, 5).unwrap()
        leader.take(leader.replica.take_output())
        self.assertEqual(leader.ready, [])
        cluster.pump()
        self.assertEqual(leader.ready, [ReadReady(5, leader.replica.commit_index)])

    def test_followers_name_the_leader(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0].replica
        self.assertEqual(follower.read(cluster.now, 1), Failure(NotLeader(leader.member)))
        self.assertEqual(follower.propose(cluster.now, b"x"), Failure(NotLeader(leader.member)))
        self.assertEqual(follower.join(cluster.now, leader.member), Failure(NotLeader(leader.member)))

    def test_an_answer_to_an_earlier_round_confirms_nothing(self):
        cluster = Cluster()
        leader = cluster.settle()
        followers = cluster.followers(leader)
        leader.replica.read(cluster.now, 1).unwrap()
        cluster.pump()
        for follower in followers:
            follower.isolated = True
        leader.replica.read(cluster.now, 2).unwrap()
        cluster.pump()
        late = AppendReply(
            followers[0].member.replica_id, leader.member.replica_id, leader.replica.term, True, 1, 1, 1, 1
        )
        leader.replica.step(cluster.now, late.sender, late)
        cluster.pump()
        self.assertEqual([ready.token for ready in leader.ready], [1])
