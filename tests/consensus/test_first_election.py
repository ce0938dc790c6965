"""Replicas that have just started elect a leader quickly and don't disturb an existing one."""

from __future__ import annotations

import unittest

from consensus.cluster import TICK, Cluster

from brackenladder.consensus.replica import Role
from brackenladder.consensus.timing import Timing

TIMING = Timing()
MARGIN = 100_000  # microseconds for ticks and messages
MAX_STEPS = 400


def leaders(cluster: Cluster) -> list[str]:
    return [name for name, host in cluster.hosts.items() if host.replica.role is Role.LEADER]


class FirstElectionTest(unittest.TestCase):
    def run_until_led(self, cluster: Cluster) -> int:
        began = cluster.now
        for _ in range(MAX_STEPS):
            if leaders(cluster):
                return cluster.now - began
            cluster.run(TICK)
        self.fail("no leader")

    def led_cluster(self) -> tuple[Cluster, list[str], int]:
        """A cluster some time after its first election, its leader's name and term."""
        cluster = Cluster()
        self.run_until_led(cluster)
        cluster.run(TIMING.election_max)
        leader = leaders(cluster)
        return cluster, leader, cluster.hosts[leader[0]].replica.term

    def test_replicas_that_start_together_elect_within_the_first_timeout(self):
        cluster = Cluster()
        self.assertLess(self.run_until_led(cluster), TIMING.first_election_max + MARGIN)

    def test_replicas_that_restart_together_elect_within_the_first_timeout(self):
        cluster = Cluster()
        self.run_until_led(cluster)
        cluster.run(TIMING.election_max)
        for host in list(cluster.hosts.values()):
            cluster.restart(host)
        self.assertLess(self.run_until_led(cluster), TIMING.first_election_max + MARGIN)

    def test_a_campaign_started_before_the_links_are_up_continues_once_they_are(self):
        cluster = Cluster()
        hosts = list(cluster.hosts.values())
        for host in hosts:
            host.isolated = True
        for _ in range(MAX_STEPS):
            if any(host.replica.role is Role.CANDIDATE for host in hosts):
                break
            cluster.run(TICK)
        for host in hosts:
            host.isolated = False
            for other in hosts:
                if other is not host:
                    host.replica.link_up(cluster.now, other.member.replica_id)
        cluster.pump()
        self.assertEqual(len(leaders(cluster)), 1)

    def test_a_new_link_does_not_disturb_a_leader(self):
        cluster, leader, term = self.led_cluster()
        for host in cluster.hosts.values():
            for other in cluster.hosts:
                host.replica.link_up(cluster.now, other)
        cluster.run(TIMING.election_max)
        self.assertEqual((leaders(cluster), cluster.hosts[leader[0]].replica.term), (leader, term))

    def test_a_restarted_follower_does_not_disturb_the_leader(self):
        cluster, leader, term = self.led_cluster()
        follower = next(host for name, host in cluster.hosts.items() if name not in leader)
        cluster.restart(follower)
        cluster.run(3 * TIMING.election_max)
        self.assertEqual(leaders(cluster), leader)
        self.assertEqual(cluster.hosts[leader[0]].replica.term, term)


if __name__ == "__main__":
    unittest.main()
