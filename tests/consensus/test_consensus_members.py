"""Membership changes: which replicas are added, promoted, replaced and removed."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, Host

from brackenladder.consensus.members import decode_members, encode_members, quorum_value
from brackenladder.consensus.messages import JoinReply, JoinRequest
from brackenladder.consensus.planning import Health, plan_change, with_member
from brackenladder.consensus.replica import Role, Timing
from brackenladder.consensus.types import Member, Members

TIMING = Timing()
HEALTHY = Health(0, 0)
LONG_SILENT = Health(TIMING.replace_after, 1_000)
SILENT = Health(TIMING.election_max, 10)
BEHIND = Health(0, TIMING.catch_up_entries + 1)


def member(name: str, address: str = "") -> Member:
    return Member(name, address or f"{name}:1")


def members(voters: str, learners: str = "", outgoing: str = "") -> Members:
    groups = (tuple(member(name) for name in group) for group in (voters, outgoing, learners))
    return Members(*groups)


def plan(present: Members, health=None, joining=(), removing=(), timing: Timing = TIMING) -> Members | None:
    known = health or {}
    return plan_change(present, lambda name: known.get(name, HEALTHY), joining, removing, timing)


def names(group) -> str:
    return "".join(sorted(each.replica_id for each in group))


class PlanTest(unittest.TestCase):
    """The change that a leader decides on."""

    def check(self, planned: Members | None, voters: str, learners: str = "", outgoing: str = "") -> None:
        self.assertIsNotNone(planned)
        found = [names(group) for group in (planned.voters, planned.learners, planned.outgoing)]
        self.assertEqual(found, [voters, learners, outgoing])

    def test_a_joining_member_becomes_a_learner(self):
        self.check(plan(members("abc"), joining=[member("d")]), "abc", "d")

    def test_a_join_request_of_a_member_changes_nothing(self):
        self.assertIsNone(plan(members("abc", "d"), joining=[member("d"), member("a")], health={"d": BEHIND}))

    def test_a_new_address_is_taken(self):
        moved = member("a", "elsewhere:1")
        self.assertIn(moved, with_member(members("abc"), moved).voters)
        learner = member("d", "elsewhere:1")
        self.assertEqual(with_member(members("abc", "d"), learner).learners, (learner,))

    def test_a_second_new_disk_at_an_address_replaces_the_first_learner(self):
        newer = member("e", "d:1")
        self.assertEqual(with_member(members("abc", "d"), newer).learners, (newer,))

    def test_a_new_disk_replaces_the_voter_at_its_address(self):
        present = Members(members("abc").voters, (), (member("x", "b:1"),))
        self.check(plan(present, {"b": SILENT}), "acx", "", "abc")

    def test_it_has_to_catch_up_first(self):
        present = Members(members("abc").voters, (), (member("x", "b:1"),))
        self.assertIsNone(plan(present, {"x": BEHIND}))
        self.assertIsNone(plan(present, {"x": SILENT}))

    def test_a_learner_replaces_a_voter_that_is_silent_for_long(self):
        self.check(plan(members("abc", "d"), {"b": LONG_SILENT}), "acd", "", "abc")
        self.assertIsNone(plan(members("abc", "d"), {"b": SILENT}))

    def test_one_learner_beside_three_voters_stays_on_standby(self):
        self.assertIsNone(plan(members("abc", "d")))

    def test_two_learners_make_five_voters(self):
        self.check(plan(members("abc", "de")), "abcde", "", "abc")

    def test_an_even_number_is_made_odd(self):
        self.check(plan(members("ab", "c")), "abc", "", "ab")

    def test_no_more_voters_than_the_limit(self):
        self.assertIsNone(plan(members("abcde", "fg")))

    def test_a_learner_replaces_a_voter_that_leaves(self):
        self.check(plan(members("abc", "d"), removing={"a"}), "bcd", "", "abc")

    def test_without_a_learner_only_silent_voters_leave_and_an_odd_number_remains(self):
        self.assertIsNone(plan(members("abc"), removing={"a"}))
        self.assertIsNone(plan(members("abcde"), removing={"a"}))
        self.assertIsNone(plan(members("abcde"), {"a": SILENT}, removing={"a", "b"}))
        ended = {"a": SILENT, "b": SILENT}
        self.check(plan(members("abcde"), ended, removing={"a", "b"}), "cde", "", "abcde")
        self.check(plan(members("abcd"), ended, removing={"a"}), "bcd", "", "abcd")

    def test_a_learner_leaves(self):
        self.check(plan(members("abc", "d"), removing={"d"}), "abc", "")

    def test_a_silent_learner_is_removed(self):
        self.check(plan(members("abc", "d"), {"d": Health(TIMING.forget_learner, 10)}), "abc", "")

    def test_no_change_whose_new_voters_are_mostly_silent(self):
        ended = dict.fromkeys("abcd", SILENT)
        self.assertIsNone(plan(members("abcde"), ended, removing={"a", "b"}))

    def test_a_learner_at_a_voters_address_replaces_only_that_voter(self):
        present = Members(members("abc").voters, (), (member("x", "b:1"),))
        self.check(plan(present, {"b": SILENT}, removing={"a"}), "acx", "", "abc")


class MembersTest(unittest.TestCase):
    """Majorities, and the encoding of members."""

    def test_encoded_members_are_decoded_unchanged(self):
        whole = Members((Member("a", "a:1", "z1", "r1"),), (member("b"),), (member("c"),))
        self.assertEqual(decode_members(encode_members(whole)), whole)
        self.assertEqual(decode_members(encode_members(Members())), Members())

    def test_a_majority_of_each_set_is_needed(self):
        values = {"a": 9, "b": 9, "c": 1, "d": 1}
        self.assertEqual(quorum_value(members("abc"), values.__getitem__), 9)
        self.assertEqual(quorum_value(members("abcd"), values.__getitem__), 1)
        self.assertEqual(quorum_value(members("abc", outgoing="bcd"), values.__getitem__), 1)
        self.assertEqual(quorum_value(members("acd", outgoing="abc"), values.__getitem__), 1)

    def test_without_voters_there_is_no_quorum(self):
        self.assertLess(quorum_value(Members(), lambda _: 9), 0)


class JoinTest(unittest.TestCase):
    """Replicas that join and leave."""

    def join(self, cluster: Cluster, leader: Host, name: str, address: str) -> Host:
        host = cluster.add(Member(name, address))
        leader.replica.join(cluster.now, host.member).unwrap()
        cluster.pump()
        return host

    def test_a_joiner_gets_the_log_and_stays_on_standby(self):
        cluster = Cluster()
        leader = cluster.settle()
        cluster.propose(leader, b"x")
        joiner = self.join(cluster, leader, "d", "10.0.0.4:1")
        cluster.run(SECOND)
        self.assertIs(joiner.replica.role, Role.LEARNER)
        self.assertEqual(joiner.replica.commit_index, leader.replica.commit_index)
        self.assertEqual(joiner.replica.leader, leader.member)

    def test_two_joiners_become_voters(self):
        cluster = Cluster()
        leader = cluster.settle()
        self.join(cluster, leader, "d", "10.0.0.4:1")
        self.join(cluster, leader, "e", "10.0.0.5:1")
        cluster.run(SECOND)
        self.assertEqual(len(leader.replica.members.voters), 5)
        self.assertEqual((leader.replica.members.outgoing, leader.replica.members.learners), ((), ()))

    def test_a_leader_with_a_new_disk_replaces_its_former_id(self):
        cluster = Cluster()
        old = cluster.settle()
        cluster.propose(old, b"x")
        cluster.drop(old)
        leader = cluster.settle()
        new = self.join(cluster, leader, "new-disk", old.member.address)
        cluster.run(SECOND)
        self.assertIn(new.member, leader.replica.members.voters)
        self.assertEqual(len(leader.replica.members.voters), 3)
        self.assertEqual(new.replica.commit_index, leader.replica.commit_index)

    def test_the_old_ids_messages_do_not_reach_the_new_disk(self):
        cluster = Cluster()
        old = cluster.followers(cluster.settle())[0]
        cluster.drop(old)
        new = cluster.add(Member("new-disk", old.member.address))
        leader = cluster.settle()
        self.assertEqual(new.replica.term, 0)
        self.assertTrue(leader.replica.leads)

    def test_a_removed_leader_hands_over_once_a_learner_has_replaced_it(self):
        cluster = Cluster()
        leader = cluster.settle()
        self.join(cluster, leader, "d", "10.0.0.4:1")
        cluster.run(SECOND)
        leader.replica.remove(cluster.now, leader.member.replica_id).unwrap()
        cluster.run(SECOND)
        self.assertFalse(leader.replica.leads)
        new = cluster.settle()
        self.assertIn("d", [voter.replica_id for voter in new.replica.members.voters])
        self.assertNotIn(leader.member, new.replica.members.voters)

    def test_a_voter_that_was_replaced_while_unreachable_can_rejoin(self):
        cluster = Cluster()
        leader = cluster.settle()
        self.join(cluster, leader, "d", "10.0.0.4:1")
        replaced = cluster.followers(leader)[0]
        replaced.isolated = True
        cluster.run(Timing().replace_after + SECOND)
        self.assertNotIn(replaced.member, leader.replica.members.voters)
        replaced.isolated = False
        cluster.run(SECOND)
        leader.replica.join(cluster.now, replaced.member).unwrap()
        cluster.run(SECOND)
        self.assertIs(replaced.replica.role, Role.LEARNER)
        self.assertEqual(replaced.replica.commit_index, leader.replica.commit_index)

    def test_a_new_leader_completes_a_joint_change(self):
        cluster = Cluster()
        leader = cluster.settle()
        joiner = self.join(cluster, leader, "new-disk", cluster.followers(leader)[0].member.address)
        for _ in range(200):
            if leader.replica.members.outgoing:
                break
            leader.replica.tick(cluster.now)
            cluster._serve(leader)
            for host in cluster.followers(leader):
                cluster._serve(host)
        cluster.drop(leader)
        new = cluster.settle()
        cluster.run(SECOND)
        self.assertEqual(new.replica.members.outgoing, ())
        self.assertIn(joiner.member, new.replica.members.voters)

    def test_the_hosts_messages_have_defaults(self):
        self.assertEqual(JoinRequest(member("a")).forwarded, 0)
        self.assertIsNone(JoinReply(True).leader)


if __name__ == "__main__":
    unittest.main()
