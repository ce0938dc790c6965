"""The first start of a system, and starts from a store."""

from __future__ import annotations

import unittest
from random import Random

from consensus.cluster import SECOND, Cluster, commands, empty_state, seeds
from consensus.lone_replica import lone_replica, vote

from brackenladder.consensus.members import GENESIS_INDEX
from brackenladder.consensus.replica import Replica, Timing
from brackenladder.consensus.types import Member, Members
from brackenladder.storage.memory_log import MemoryLogStore


class GenesisTest(unittest.TestCase):
    """The first start, and seeds that lose their first snapshot."""

    def test_all_seeds_write_the_same_genesis_before_anything_else(self):
        members = Members(voters=seeds(3))
        known = Members(voters=tuple(reversed([Member(m.replica_id, m.address, "zone") for m in seeds(3)])))
        one = Replica(seeds(3)[0], empty_state(), Timing(), Random(1), 0, members)
        other = Replica(seeds(3)[1], empty_state(), Timing(), Random(2), 0, known)
        write, again = one.take_output().writes[0], other.take_output().writes[0]
        self.assertEqual(write, again)
        self.assertEqual(write.snapshot.index, GENESIS_INDEX)

    def test_a_vote_waits_for_the_genesis(self):
        replica = lone_replica(Members(voters=seeds(3)))
        replica.step(1, "other", vote(replica))
        output = replica.take_output()
        self.assertEqual(output.messages, ())
        self.assertEqual(
            output.writes[0].hard_state.voted_for, "other"
        )  # one write contains the first snapshot and the vote
        replica.persisted(2, output.writes[0].token)
        granted = replica.take_output().messages[0].message
        self.assertEqual((granted.granted, granted.term), (True, 5))

    def test_the_genesis_survives_a_restart(self):
        cluster = Cluster()
        cluster.settle()
        for host in list(cluster.hosts.values()):
            self.assertEqual(cluster.restart(host).replica.members, Members(voters=seeds(3)))
        cluster.settle()

    def test_nothing_is_restored_from_the_genesis(self):
        cluster = Cluster()
        cluster.settle()
        again = cluster.restart(next(iter(cluster.hosts.values())))
        self.assertIsNone(again.replica.take_output().restore)

    def test_a_seed_without_its_genesis_comes_back_with_a_new_id(self):
        cluster = Cluster()
        lost = next(iter(cluster.hosts.values()))
        cluster.drop(lost)
        leader = cluster.settle()
        member = Member("new-disk", lost.member.address)
        cluster.add(member)
        leader.replica.join(cluster.now, member).unwrap()
        cluster.run(SECOND)
        self.assertIn(member, leader.replica.members.voters)
        self.assertNotIn(lost.member, leader.replica.members.voters)

    def test_a_single_seed_leads_itself(self):
        cluster = Cluster(1)
        leader = cluster.settle()
        cluster.propose(leader, b"alone")
        self.assertEqual(commands(leader.committed), [b"alone"])


class StartTest(unittest.TestCase):
    """Starts of a replica from an existing store."""

    def test_all_restart_with_all_that_was_committed(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"x")
        for host in list(cluster.hosts.values()):
            cluster.restart(host)
        leader = cluster.settle()
        self.assertEqual(commands(leader.committed), [b"x"])

    def test_a_replica_without_members_and_state_does_nothing(self):
        store = MemoryLogStore("new")
        replica = Replica(Member("new", "10.0.0.9:1"), store.load().unwrap(), Timing(), Random(1), 0)
        self.assertEqual(replica.members, Members())
        self.assertIsNone(replica.leader)
        self.assertEqual(replica.take_output().writes, ())
