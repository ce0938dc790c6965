"""Elections, suspended replicas and planned leadership transfers."""

from __future__ import annotations

import unittest
from random import Random

from consensus.cluster import SECOND, TICK, Cluster, seeds
from consensus.lone_replica import heartbeat, lone_replica, vote
from returns.result import Failure, Success

from brackenladder.consensus.messages import (
    TimeoutNow,
    Vote,
    VoteReply,
)
from brackenladder.consensus.replica import NotLeader, Replica, Role, Timing
from brackenladder.consensus.types import Members


class ElectionTest(unittest.TestCase):
    """Which replica becomes leader."""

    def test_a_leader_is_elected_and_known(self):
        cluster = Cluster()
        leader = cluster.settle()
        for follower in cluster.followers(leader):
            self.assertIs(follower.replica.role, Role.FOLLOWER)
            self.assertEqual(follower.replica.leader, leader.member)
            self.assertLess(cluster.now - follower.replica.quorum_contact_at, SECOND // 2)

    def test_a_vote_is_sent_once_it_is_durable_and_survives_a_restart(self):
        cluster = Cluster()
        cluster.settle()
        host = next(iter(cluster.hosts.values()))
        store = host.store.reopen()
        replica = Replica(host.member, store.load().unwrap(), Timing(), Random(1), 0)
        replica.step(1, "other", vote(replica, term=9))
        output = replica.take_output()
        self.assertEqual(output.messages, ())
        store.apply(output.writes[0])
        replica.persisted(2, output.writes[0].token)
        self.assertTrue(replica.take_output().messages[0].message.granted)
        again = Replica(host.member, store.reopen().load().unwrap(), Timing(), Random(1), 3)
        again.step(4, "rival", vote(again, sender="rival", term=9))
        self.assertFalse(again.take_output().messages[0].message.granted)

    def test_a_candidate_with_an_older_log_gets_no_vote(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"x")
        again = cluster.restart(cluster.followers(leader)[0])
        again.replica.step(cluster.now, "other", vote(again.replica, term=9, last_index=1, last_term=1))
        cluster._serve(again)
        self.assertNotIn(True, [each.message.granted for each in again.sent])

    def test_a_replica_that_hears_a_leader_refuses_pre_votes_and_ignores_votes(self):
        cluster = Cluster()
        leader = cluster.settle()
        term = leader.replica.term
        for host in cluster.hosts.values():
            host.replica.step(cluster.now, "other", vote(host.replica, term=term + 1, pre_vote=True))
            host.take(host.replica.take_output())
            replies = [each.message for each in host.sent if isinstance(each.message, VoteReply)]
            self.assertEqual([reply.granted for reply in replies], [False])
            host.replica.step(cluster.now, "other", vote(host.replica, term=term + 1))
            self.assertEqual(host.replica.term, term)

    def test_an_isolated_voter_does_not_raise_its_term(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.isolated = True
        term = follower.replica.term
        cluster.run(5 * SECOND)
        self.assertEqual(follower.replica.term, term)
        follower.isolated = False
        cluster.run(SECOND)
        self.assertIs(leader.replica.role, Role.LEADER)

    def test_a_leader_without_a_quorum_steps_down(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.isolated = True
        leader.replica.propose(cluster.now, b"lost").unwrap()
        leader.replica.read(cluster.now, 7).unwrap()
        cluster.run(2 * SECOND)
        self.assertIsNot(leader.replica.role, Role.LEADER)
        self.assertEqual(leader.reads_failed, [7])
        self.assertEqual(leader.lost, [leader.replica.last_index])
        self.assertEqual(len([host for host in cluster.hosts.values() if host.replica.leads]), 1)

    def test_messages_for_another_replica_are_ignored(self):
        replica = lone_replica(Members(voters=seeds(3)))
        replica.step(1, "other", vote(replica, to="the-disk-before", term=9))
        self.assertEqual(replica.term, 1)
        replica.step(1, "other", heartbeat(replica, to="the-disk-before", term=9))
        self.assertEqual(replica.term, 1)

    def test_a_leader_of_an_older_term_learns_of_the_newer_one(self):
        replica = lone_replica(Members(voters=seeds(3)))
        replica.step(1, "other", heartbeat(replica, term=6))
        replica.step(2, "former", heartbeat(replica, sender="former", term=4))
        replica.persisted(3, replica.take_output().writes[0].token)
        replies = [each.message for each in replica.take_output().messages if each.to == "former"]
        self.assertEqual([(reply.ok, reply.term) for reply in replies], [(False, 6)])

    def test_a_learner_never_campaigns(self):
        replica = lone_replica(None)
        for moment in range(0, 10 * SECOND, TICK):
            replica.tick(moment)
        self.assertIs(replica.role, Role.LEARNER)
        self.assertEqual(replica.take_output().messages, ())


class PauseTest(unittest.TestCase):
    """A replica that was suspended."""

    def test_it_handles_queued_messages_before_it_campaigns(self):
        cluster = Cluster()
        leader = cluster.settle()
        paused = cluster.followers(leader)[0]
        paused.isolated = True
        cluster.run(3 * SECOND, suspended=[paused])
        paused.replica.tick(cluster.now)
        self.assertIs(paused.replica.role, Role.FOLLOWER)
        paused.isolated = False
        cluster.run(2 * SECOND)
        self.assertIs(leader.replica.role, Role.LEADER)

    def test_long_gaps_between_all_ticks_do_not_prevent_elections(self):
        replica = lone_replica(Members(voters=seeds(3)))
        replica.persisted(0, replica.take_output().writes[0].token)
        asked = False
        for moment in range(SECOND // 2, 10 * SECOND, SECOND // 2):
            replica.tick(moment)
            asked = asked or any(isinstance(each.message, Vote) for each in replica.take_output().messages)
        self.assertTrue(asked)

    def test_a_resumed_leader_answers_no_read_without_a_quorum(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.isolated = True
        cluster.run(3 * SECOND, suspended=[leader])
        new = next(host for host in cluster.followers(leader) if host.replica.leads)
        cluster.propose(new, b"newer")
        self.assertTrue(leader.replica.leads)
        leader.replica.read(cluster.now, 1).unwrap()
        cluster.pump()
        self.assertEqual(leader.ready, [])
        leader.isolated = False
        cluster.run(SECOND // 5)
        self.assertEqual((leader.ready, leader.reads_failed), ([], [1]))


class TransferTest(unittest.TestCase):
    """Leadership transfer before a planned shutdown."""

    def test_leadership_moves_without_an_election_timeout(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.replica.transfer_leadership(cluster.now)
        cluster.pump()
        self.assertFalse(leader.replica.leads)
        self.assertEqual(len([host for host in cluster.hosts.values() if host.replica.leads]), 1)

    def test_no_proposals_during_a_transfer(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.replica.transfer_leadership(cluster.now)
        self.assertEqual(leader.replica.propose(cluster.now, b"x"), Failure(NotLeader(None)))

    def test_it_stays_leader_if_no_replica_takes_over(self):
        cluster = Cluster()
        leader = cluster.settle()
        for follower in cluster.followers(leader):
            follower.isolated = True
        leader.replica.transfer_leadership(cluster.now)
        cluster.run(Timing().election_min + 2 * TICK)
        self.assertIsInstance(leader.replica.propose(cluster.now, b"x"), Success)

    def test_a_timeout_now_message_from_another_replica_is_ignored(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        request = TimeoutNow("other", follower.member.replica_id, follower.replica.term)
        follower.replica.step(cluster.now, "other", request)
        self.assertIs(follower.replica.role, Role.FOLLOWER)
