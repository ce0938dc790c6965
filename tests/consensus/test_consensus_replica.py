"""Single steps of a replica: elections, replication, reads, stores in trouble, pauses."""

from __future__ import annotations

import unittest
from random import Random

from consensus.cluster import SECOND, TICK, Cluster, empty_state, seeds
from returns.result import Failure, Success

from brackenladder.consensus.members import GENESIS_INDEX
from brackenladder.consensus.messages import (
    AppendEntries,
    AppendReply,
    TimeoutNow,
    Vote,
    VoteReply,
)
from brackenladder.consensus.reads import ReadReady
from brackenladder.consensus.replica import NotLeader, Replica, Role, Timing
from brackenladder.consensus.types import DurableState, EntryKind, Member, Members
from brackenladder.storage.memory_log import MemoryLogStore


def commands(entries):
    return [entry.data for entry in entries if entry.kind is EntryKind.COMMAND]


def lone_replica(members: Members | None = None, state: DurableState | None = None) -> Replica:
    return Replica(seeds(3)[0], state or empty_state(), Timing(), Random(1), 0, members)


def vote(replica: Replica, **changes) -> Vote:
    fields = {
        "sender": "other",
        "to": replica.member.replica_id,
        "term": 5,
        "last_index": 99,
        "last_term": 9,
    }
    return Vote(**{**fields, **changes})


def heartbeat(replica: Replica, **changes) -> AppendEntries:
    fields = {
        "sender": "other",
        "to": replica.member.replica_id,
        "term": 5,
        "prev_index": 0,
        "prev_term": 0,
        "commit": 0,
        "round": 0,
        "address": "10.0.0.9:1",
    }
    return AppendEntries(**{**fields, **changes})


class GenesisTest(unittest.TestCase):
    """The first start, and seeds that lose it."""

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
        self.assertEqual(output.writes[0].hard_state.voted_for, "other")  # one write holds both
        replica.persisted(2, output.writes[0].token)
        granted = replica.take_output().messages[0].message
        self.assertEqual((granted.granted, granted.term), (True, 5))

    def test_the_genesis_goes_through_a_store(self):
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


class ElectionTest(unittest.TestCase):
    """Who becomes leader, and who does not."""

    def test_a_leader_is_elected_and_known(self):
        cluster = Cluster()
        leader = cluster.settle()
        for follower in cluster.followers(leader):
            self.assertIs(follower.replica.role, Role.FOLLOWER)
            self.assertEqual(follower.replica.leader, leader.member)
            self.assertLess(cluster.now - follower.replica.heard_leader_at, SECOND // 2)

    def test_a_vote_is_told_once_it_is_durable_and_remembered(self):
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

    def test_who_hears_a_leader_refuses_pre_votes_and_ignores_votes(self):
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

    def test_a_cut_off_voter_does_not_raise_its_term(self):
        cluster = Cluster()
        leader = cluster.settle()
        alone = cluster.followers(leader)[0]
        alone.deaf = True
        term = alone.replica.term
        cluster.run(5 * SECOND)
        self.assertEqual(alone.replica.term, term)
        alone.deaf = False
        cluster.run(SECOND)
        self.assertIs(leader.replica.role, Role.LEADER)

    def test_a_leader_without_a_quorum_steps_down(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.deaf = True
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
    """A replica that stood still."""

    def test_it_takes_what_has_waited_before_it_campaigns(self):
        cluster = Cluster()
        leader = cluster.settle()
        paused = cluster.followers(leader)[0]
        paused.deaf = True
        cluster.run(3 * SECOND, standing=[paused])
        paused.replica.tick(cluster.now)
        self.assertIs(paused.replica.role, Role.FOLLOWER)
        paused.deaf = False
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

    def test_a_leader_that_wakes_up_serves_no_read_of_its_own(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.deaf = True
        cluster.run(3 * SECOND, standing=[leader])
        new = next(host for host in cluster.followers(leader) if host.replica.leads)
        cluster.propose(new, b"newer")
        self.assertTrue(leader.replica.leads)
        leader.replica.read(cluster.now, 1).unwrap()
        cluster.pump()
        self.assertEqual(leader.ready, [])
        leader.deaf = False
        cluster.run(SECOND // 5)
        self.assertEqual((leader.ready, leader.reads_failed), ([], [1]))


class ReplicationTest(unittest.TestCase):
    """What gets into the logs, and when it counts."""

    def test_commands_reach_all(self):
        cluster = Cluster()
        leader = cluster.settle()
        places = [leader.replica.propose(cluster.now, b"%d" % number).unwrap() for number in range(5)]
        cluster.pump()
        for host in cluster.hosts.values():
            self.assertEqual(commands(host.committed), [b"0", b"1", b"2", b"3", b"4"])
        self.assertEqual([place.index for place in places], list(range(places[0].index, places[0].index + 5)))

    def test_proposals_of_one_turn_share_a_write_and_a_message(self):
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

    def test_others_may_commit_while_the_leaders_own_store_is_slow(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.store_hangs = True
        cluster.propose(leader, b"x")
        self.assertEqual(commands(leader.committed), [b"x"])

    def test_lost_messages_are_sent_again(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.deaf = True
        cluster.propose(leader, b"x")
        follower.deaf = False
        cluster.run(SECOND // 2)
        self.assertEqual(commands(follower.committed), [b"x"])

    def test_entries_on_their_way_to_a_silent_follower_are_bounded(self):
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

    def test_a_long_wrong_log_is_found_in_few_steps(self):
        cluster = Cluster()
        former = cluster.settle()
        former.deaf = True
        for number in range(300):
            former.replica.propose(cluster.now, b"wrong-%d" % number).unwrap()
        cluster.run(3 * SECOND)
        leader = next(host for host in cluster.followers(former) if host.replica.leads)
        for number in range(300):
            cluster.propose(leader, b"right-%d" % number)
        former.deaf = False
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

    def test_a_follower_refuses_what_does_not_follow_its_log(self):
        replica = lone_replica(Members(voters=seeds(3)))
        replica.step(1, "other", heartbeat(replica, prev_index=40, prev_term=4))
        replica.persisted(2, replica.take_output().writes[0].token)
        reply = replica.take_output().messages[-1].message
        self.assertEqual((reply.ok, reply.hint_index, reply.hint_term), (False, GENESIS_INDEX, 1))

    def test_a_lagging_follower_gets_a_snapshot(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.deaf = True
        big = bytes(Timing().kept_bytes)
        for _ in range(3):
            cluster.propose(leader, big)
        leader.replica.compact(cluster.now, leader.replica.commit_index, b"state")
        cluster.propose(leader, b"after")
        follower.deaf = False
        leader.replica.reached(cluster.now, follower.member.replica_id)
        cluster.run(SECOND)
        self.assertEqual([snapshot.data for snapshot in follower.restored], [b"state"])
        self.assertEqual(commands(follower.committed), [b"after"])
        again = cluster.restart(follower)
        again.take(again.replica.take_output())
        self.assertEqual([snapshot.data for snapshot in again.restored], [b"state"])

    def test_a_follower_that_lags_a_little_needs_no_snapshot(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        follower.deaf = True
        cluster.propose(leader, b"x")
        leader.replica.compact(cluster.now, leader.replica.commit_index, b"state")
        cluster.pump()
        follower.deaf = False
        cluster.run(SECOND)
        self.assertEqual((follower.restored, commands(follower.committed)), ([], [b"x"]))


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
            follower.deaf = True
        leader.replica.read(cluster.now, 2).unwrap()
        cluster.pump()
        late = AppendReply(
            followers[0].member.replica_id, leader.member.replica_id, leader.replica.term, True, 1, 1, 1, 1
        )
        leader.replica.step(cluster.now, late.sender, late)
        cluster.pump()
        self.assertEqual([ready.token for ready in leader.ready], [1])


class StoreTest(unittest.TestCase):
    """Stores that hang or refuse."""

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

    def test_a_refused_write_ends_leadership_and_comes_again(self):
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

    def test_one_write_at_a_time_and_the_rest_together(self):
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

    def test_a_hanging_follower_still_hears_its_leader(self):
        cluster = Cluster()
        leader = cluster.settle()
        slow = cluster.followers(leader)[0]
        slow.store_hangs = True
        cluster.propose(leader, b"x")
        cluster.run(3 * SECOND)
        self.assertLess(cluster.now - slow.replica.heard_leader_at, SECOND // 2)
        self.assertTrue(leader.replica.leads)


class TransferTest(unittest.TestCase):
    """A planned end."""

    def test_leadership_moves_without_an_election_timeout(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.replica.transfer_leadership(cluster.now)
        cluster.pump()
        self.assertFalse(leader.replica.leads)
        self.assertEqual(len([host for host in cluster.hosts.values() if host.replica.leads]), 1)

    def test_no_proposals_while_it_moves(self):
        cluster = Cluster()
        leader = cluster.settle()
        leader.replica.transfer_leadership(cluster.now)
        self.assertEqual(leader.replica.propose(cluster.now, b"x"), Failure(NotLeader(None)))

    def test_it_leads_on_if_nobody_takes_over(self):
        cluster = Cluster()
        leader = cluster.settle()
        for follower in cluster.followers(leader):
            follower.deaf = True
        leader.replica.transfer_leadership(cluster.now)
        cluster.run(Timing().election_min + 2 * TICK)
        self.assertIsInstance(leader.replica.propose(cluster.now, b"x"), Success)

    def test_only_the_own_leaders_word_counts(self):
        cluster = Cluster()
        leader = cluster.settle()
        follower = cluster.followers(leader)[0]
        order = TimeoutNow("other", follower.member.replica_id, follower.replica.term)
        follower.replica.step(cluster.now, "other", order)
        self.assertIs(follower.replica.role, Role.FOLLOWER)


class StartTest(unittest.TestCase):
    """Starts from a store."""

    def test_all_restart_with_all_that_was_committed(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"x")
        for host in list(cluster.hosts.values()):
            cluster.restart(host)
        leader = cluster.settle()
        self.assertEqual(commands(leader.committed), [b"x"])

    def test_an_empty_store_and_no_members_wait_to_be_taken_in(self):
        store = MemoryLogStore("new")
        replica = Replica(Member("new", "10.0.0.9:1"), store.load().unwrap(), Timing(), Random(1), 0)
        self.assertEqual(replica.members, Members())
        self.assertIsNone(replica.leader)
        self.assertEqual(replica.take_output().writes, ())


if __name__ == "__main__":
    unittest.main()
