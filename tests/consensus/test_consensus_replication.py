"""Replication of entries, and when they are committed."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, commands, seeds
from consensus.lone_replica import heartbeat, lone_replica

from brackenladder.consensus.members import GENESIS_INDEX
from brackenladder.consensus.messages import (
    AppendReply,
)
from brackenladder.consensus.replica import Timing
from brackenladder.consensus.types import Members


class ReplicationTest(unittest.TestCase):
    """Replication and commit."""

    def test_commands_reach_all_replicas(self):
        cluster = Cluster()
        leader = cluster.settle()
        places = [leader.replica.propose(cluster.now, b"%d" % number).unwrap() for number in range(5)]
        cluster.pump()
        for host in cluster.hosts.values():
            self.assertEqual(commands(host.committed), [b"0", b"1", b"2", b"3", b"4"])
        self.assertEqual([place.index for place in places], list(range(places[0].index, places[0].index + 5)))

    def test_proposals_made_together_share_a_write_and_a_message(self):
        cluster = Cluster()
        leader = cluster.settle()
        for number in range(5):
            leader.replica.propose(cluster.now, b"%d" % number).unwrap()
        output = leader.replica.take_output()
        self.assertEqual([len(write.entries) for write in output.writes], [5])
        self.assertEqual([len(each.message.entries) for each in output.messages], [5, 5])

    def test_a_follower_answers_once_its_store_has_the_entries(self):
        cluster = Cluster()
        leader = cluster.settle()
        slow = cluster.followers(leader)[0]
        slow.store_hangs = True
        cluster.drop(next(host for host in cluster.followers(leader) if host is not slow))
        cluster.propose(leader, b"x")
        self.assertEqual(commands(leader.committed), [])
        slow.store_hangs = False
        cluster.pump()
        self.assertEqual(commands(leader.committed), [b"x"])

    def test_a_leader_counts_itself_once_its_store_has_the_entries(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.store_hangs = True
        cluster.drop(cluster.followers(leader)[0])
        cluster.propose(leader, b"x")
        self.assertEqual(commands(leader.committed), [])
        leader.store_hangs = False
        cluster.pump()
        self.assertEqual(commands(leader.committed), [b"x"])

    def test_entries_commit_without_the_leaders_own_store(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.store_hangs = True
        cluster.propose(leader, b"x")
        self.assertEqual(commands(leader.committed), [b"x"])

    def test_lost_messages_are_sent_again(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.isolated = True
        cluster.propose(leader, b"x")
        follower.isolated = False
        cluster.run(SECOND // 2)
        self.assertEqual(commands(follower.committed), [b"x"])

    def test_unacknowledged_entries_for_a_silent_follower_are_bounded(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        size = Timing().append_bytes
        sent = 0
        for _ in range(60):
            leader.replica.propose(cluster.now, bytes(size)).unwrap()
            for outgoing in leader.replica.take_output().messages:
                if outgoing.to == follower.member.replica_id:
                    sent += sum(len(entry.data) for entry in outgoing.message.entries)
        self.assertLessEqual(sent, Timing().inflight_bytes + size)
        self.assertGreaterEqual(sent, Timing().inflight_bytes - size)

    def test_a_long_divergent_log_is_resolved_in_few_steps(self):
        cluster = Cluster()
        former = cluster.settle()
        former.isolated = True
        for number in range(300):
            former.replica.propose(cluster.now, b"wrong-%d" % number).unwrap()
        cluster.run(3 * SECOND)
        leader = next(host for host in cluster.followers(former) if host.replica.leads)
        for number in range(300):
            cluster.propose(leader, b"right-%d" % number)
        former.isolated = False
        refusals = 0
        step = leader.replica.step

        def counted(now, sender, message):
            nonlocal refusals
            refusals += isinstance(message, AppendReply) and not message.ok
            step(now, sender, message)

        leader.replica.step = counted
        cluster.run(SECOND // 2)
        self.assertEqual(commands(former.committed), [b"right-%d" % number for number in range(300)])
        self.assertLessEqual(refusals, 3)

    def test_a_follower_refuses_entries_that_do_not_match_its_log(self):
        replica = lone_replica(Members(voters=seeds(3)))
        replica.step(1, "other", heartbeat(replica, prev_index=40, prev_term=4))
        replica.persisted(2, replica.take_output().writes[0].token)
        reply = replica.take_output().messages[-1].message
        self.assertEqual((reply.ok, reply.hint_index, reply.hint_term), (False, GENESIS_INDEX, 1))

    def test_a_lagging_follower_gets_a_snapshot(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.isolated = True
        big = bytes(Timing().kept_bytes)
        for _ in range(3):
            cluster.propose(leader, big)
        leader.replica.compact(cluster.now, leader.replica.commit_index, b"state")
        cluster.propose(leader, b"after")
        follower.isolated = False
        leader.replica.link_up(cluster.now, follower.member.replica_id)
        cluster.run(SECOND)
        self.assertEqual([snapshot.data for snapshot in follower.restored], [b"state"])
        self.assertEqual(commands(follower.committed), [b"after"])
        again = cluster.restart(follower)
        again.take(again.replica.take_output())
        self.assertEqual([snapshot.data for snapshot in again.restored], [b"state"])

    def test_a_slightly_lagging_follower_needs_no_snapshot(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.isolated = True
        cluster.propose(leader, b"x")
        leader.replica.compact(cluster.now, leader.replica.commit_index, b"state")
        cluster.pump()
        follower.isolated = False
        cluster.run(SECOND)
        self.assertEqual((follower.restored, commands(follower.committed)), ([], [b"x"]))
