"""A follower's last contact with a quorum: a delayed message doesn't count as recent contact."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, Host

from brackenladder.consensus.messages import AppendEntries

RECENT = 600_000  # microseconds; longer than a heartbeat, its reply and the echo of the reply take


class ContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster()
        self.leader = self.cluster.settle()
        self.followers = [host for host in self.cluster.hosts.values() if host is not self.leader]
        self.cluster.run(SECOND)

    def age(self, host: Host) -> int:
        return self.cluster.now - host.replica.quorum_contact_at

    def test_all_are_in_contact_without_faults(self) -> None:
        for host in self.cluster.hosts.values():
            self.assertLess(self.age(host), RECENT)

    def test_a_leader_without_a_quorum_gives_its_follower_no_contact(self) -> None:
        for follower in self.followers[1:]:
            follower.isolated = True
        self.followers[0].isolated = False
        others = self.followers[1:]
        for host in others:
            self.cluster.drop(host)
        started = self.cluster.now
        self.followers[0].replica.step(
            self.cluster.now, self.leader.member.replica_id, self.heartbeat(contact_age=5 * SECOND)
        )
        self.assertLessEqual(self.followers[0].replica.quorum_contact_at, started)

    def test_a_message_that_is_read_late_counts_from_its_echo(self) -> None:
        follower = self.followers[0]
        before = follower.replica.quorum_contact_at
        late = self.heartbeat(contact_age=0, echo=before)
        self.cluster.now += 20 * SECOND
        follower.replica.step(self.cluster.now, self.leader.member.replica_id, late)
        self.assertEqual(follower.replica.quorum_contact_at, before)

    def test_a_message_without_an_echo_is_no_contact(self) -> None:
        follower = self.followers[0]
        before = follower.replica.quorum_contact_at
        self.cluster.now += 20 * SECOND
        follower.replica.step(self.cluster.now, self.leader.member.replica_id, self.heartbeat(contact_age=0))
        self.assertEqual(follower.replica.quorum_contact_at, before)

    def heartbeat(self, contact_age: int, echo: int = 0) -> AppendEntries:
        leader = self.leader.replica
        return AppendEntries(
            sender=self.leader.member.replica_id,
            to=self.followers[0].member.replica_id,
            term=leader.term,
            prev_index=0,
            prev_term=0,
            commit=leader.commit_index,
            round=0,
            address=self.leader.member.address,
            contact_age=contact_age,
            echo=echo,
        )
