"""A leader that is frozen for longer than its lease and wakes up: what it had begun binds nobody."""

from __future__ import annotations

import unittest

from consensus.cluster import SECOND, Cluster, commands

from brackenladder.consensus.messages import AppendEntries, AppendReply
from brackenladder.consensus.replica import Role


class FrozenLeaderTest(unittest.TestCase):
    """A leader that stood still for longer than its lease, with writes in its hands."""

    def setUp(self) -> None:
        self.cluster = Cluster()
        self.leader = self.cluster.settle()
        self.cluster.propose(self.leader, b"before")
        self.cluster.run(SECOND // 5)
        self.term = self.leader.replica.term
        self.new = self.leader

    def freeze(self) -> None:
        """Its machine stands still; the others choose a new leader, which commits."""
        self.leader.isolated = True
        self.cluster.run(3 * SECOND, standing=[self.leader])
        self.new = next(host for host in self.cluster.followers(self.leader) if host.replica.leads)
        self.cluster.propose(self.new, b"newer")
        self.assertGreater(self.new.replica.term, self.term)

    def wake(self) -> None:
        self.leader.isolated = self.leader.store_hangs = False

    def assert_agreement(self) -> None:
        """The old leader follows, and all have carried out the same."""
        self.cluster.run(SECOND)
        self.assertIs(self.leader.replica.role, Role.FOLLOWER)
        self.assertTrue(self.new.replica.leads)
        for host in self.cluster.hosts.values():
            self.assertEqual(commands(host.committed), [b"before", b"newer"])
        self.assertEqual(self.logs(), [[b"before", b"newer"]] * 3)

    def test_writes_that_its_store_had_finished(self):
        self.leader.isolated = True
        self.cluster.propose(self.leader, b"durable here only")
        self.freeze()
        self.wake()
        self.assert_agreement()

    def test_writes_that_its_store_finishes_as_it_wakes(self):
        self.leader.isolated = self.leader.store_hangs = True
        self.cluster.propose(self.leader, b"with the store")
        self.freeze()
        self.wake()
        self.cluster.pump()  # the store answers before any message comes and before any tick
        self.assert_agreement()

    def test_writes_that_it_takes_as_it_wakes(self):
        self.freeze()
        self.wake()
        self.assertTrue(self.leader.replica.leads)  # as far as it knows
        self.leader.replica.propose(self.cluster.now, b"first thing")
        self.cluster.pump()
        self.assert_agreement()

    def test_messages_that_leave_it_as_it_wakes(self):
        self.leader.replica.propose(self.cluster.now, b"on its way")
        self.leader.take(self.leader.replica.take_output())
        sent, self.leader.sent = self.leader.sent, []
        late = [each for each in sent if isinstance(each.message, AppendEntries)]
        self.assertEqual(len(late), 2)
        self.freeze()
        for outgoing in late:
            target = self.cluster.hosts[outgoing.to]
            target.replica.step(self.cluster.now, self.leader.member.replica_id, outgoing.message)
            (answer,) = target.replica.take_output().messages
            self.assertIsInstance(answer.message, AppendReply)
            self.assertEqual((answer.message.ok, answer.message.term), (False, self.new.replica.term))
        self.wake()
        self.assert_agreement()

    def test_a_write_that_a_quorum_holds_outlives_the_freeze(self):
        holder, other = self.cluster.followers(self.leader)
        for restarts in (False, True):
            with self.subTest(restarts=restarts):
                other.isolated = True
                self.cluster.propose(self.leader, b"acknowledged")
                self.assertEqual(commands(self.leader.committed)[-1], b"acknowledged")
                other.isolated, self.leader.isolated = False, True
                if restarts:
                    holder = self.cluster.restart(holder)
                self.cluster.run(3 * SECOND, standing=[self.leader])
                self.assertTrue(holder.replica.leads)
                self.wake()
                self.cluster.run(SECOND)
                self.assertEqual(self.logs(), [[b"before", b"acknowledged"]] * 3)
            self.setUp()
            holder, other = self.cluster.followers(self.leader)

    def logs(self) -> list[list[bytes]]:
        """The commands that the stores hold."""
        return [commands(host.store.load().unwrap().entries) for host in self.cluster.hosts.values()]
