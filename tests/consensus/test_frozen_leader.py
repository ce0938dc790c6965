"""A leader that is suspended beyond its lease and resumes: its uncommitted entries must not take effect."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, commands

from brackenladder.consensus.messages import AppendEntries, AppendReply
from brackenladder.consensus.replica import Role


class FrozenLeaderTest(unittest.TestCase):
    """A leader that is suspended for longer than its lease while it has unfinished writes."""

    def setUp(self) -> None:
        self.cluster = Cluster()
        self.leader = self.cluster.settle()
        self.cluster.propose(self.leader, b"before")
        self.cluster.run(SECOND // 5)
        self.term = self.leader.replica.term
        self.new = self.leader

    def suspend(self) -> None:
        """Suspends the leader; the others elect a new leader, which commits an entry."""
        self.leader.isolated = True
        self.cluster.run(3 * SECOND, suspended=[self.leader])
        self.new = next(host for host in self.cluster.followers(self.leader) if host.replica.leads)
        self.cluster.propose(self.new, b"newer")
        self.assertGreater(self.new.replica.term, self.term)

    def resume(self) -> None:
        self.leader.isolated = self.leader.store_hangs = False

    def assert_agreement(self) -> None:
        """Checks that the old leader follows and that all replicas have committed the same commands."""
        self.cluster.run(SECOND)
        self.assertIs(self.leader.replica.role, Role.FOLLOWER)
        self.assertTrue(self.new.replica.leads)
        for host in self.cluster.hosts.values():
            self.assertEqual(commands(host.committed), [b"before", b"newer"])
        self.assertEqual(self.logs(), [[b"before", b"newer"]] * 3)

    def test_writes_that_were_durable_before_the_suspension(self):
        self.leader.isolated = True
        self.cluster.propose(self.leader, b"durable here only")
        self.suspend()
        self.resume()
        self.assert_agreement()

    def test_writes_that_become_durable_as_it_resumes(self):
        self.leader.isolated = self.leader.store_hangs = True
        self.cluster.propose(self.leader, b"with the store")
        self.suspend()
        self.resume()
        self.cluster.pump()  # the store completes before any message or tick is handled
        self.assert_agreement()

    def test_writes_that_it_accepts_as_it_resumes(self):
        self.suspend()
        self.resume()
        self.assertTrue(self.leader.replica.leads)  # it doesn't know about the new leader yet
        self.leader.replica.propose(self.cluster.now, b"first thing")
        self.cluster.pump()
        self.assert_agreement()

    def test_messages_that_are_sent_as_it_resumes(self):
        self.leader.replica.propose(self.cluster.now, b"on its way")
        self.leader.take(self.leader.replica.take_output())
        sent, self.leader.sent = self.leader.sent, []
        late = [each for each in sent if isinstance(each.message, AppendEntries)]
        self.assertEqual(len(late), 2)
        self.suspend()
        for outgoing in late:
            target = self.cluster.hosts[outgoing.to]
            target.replica.step(self.cluster.now, self.leader.member.replica_id, outgoing.message)
            (answer,) = target.replica.take_output().messages
            self.assertIsInstance(answer.message, AppendReply)
            self.assertEqual((answer.message.ok, answer.message.term), (False, self.new.replica.term))
        self.resume()
        self.assert_agreement()

    def test_a_write_that_a_quorum_holds_survives_the_suspension(self):
        holder, other = self.cluster.followers(self.leader)
        for restarts in (False, True):
            with self.subTest(restarts=restarts):
                other.isolated = True
                self.cluster.propose(self.leader, b"acknowledged")
                self.assertEqual(commands(self.leader.committed)[-1], b"acknowledged")
                other.isolated, self.leader.isolated = False, True
                if restarts:
                    holder = self.cluster.restart(holder)
                self.cluster.run(3 * SECOND, suspended=[self.leader])
                self.assertTrue(holder.replica.leads)
                self.resume()
                self.cluster.run(SECOND)
                self.assertEqual(self.logs(), [[b"before", b"acknowledged"]] * 3)
            self.setUp()
            holder, other = self.cluster.followers(self.leader)

    def logs(self) -> list[list[bytes]]:
        """The commands in each store."""
        return [commands(host.store.load().unwrap().entries) for host in self.cluster.hosts.values()]
