"""Elections of two survivors of three replicas that need each other's vote, over slow links.

Guards against candidates that keep colliding when the latency is close to the difference of their timeouts.
"""

from __future__ import annotations

import heapq
import unittest
from itertools import count

from consensus.cluster import SECOND, TICK, Cluster, Host

from brackenladder.consensus.replica import Role
from brackenladder.consensus.types import Member, Members

MILLISECOND = 1_000
DRAWS = 40
MAX_WAIT = 1_600 * MILLISECOND  # one first election timeout and a few round trips


class DistantCluster(Cluster):
    """Every message takes `latency` microseconds; `draw` determines the random election timeouts."""

    def __init__(self, latency: int, draw: int) -> None:
        super().__init__(count=0)
        self._latency = latency
        self._order = count()
        self._in_transit: list[tuple[int, int, str, str, object]] = []
        self.known = Members(tuple(Member(f"{draw}-{name}", f"10.0.0.{name}:1") for name in range(3)))

    def start(self, member: Member) -> Host:
        """Starts one of the first voters."""
        return self.add(member, self.known)

    def _serve(self, host: Host) -> bool:
        host.take(host.replica.take_output())
        busy = bool(host.writes)
        while host.writes:
            write = host.writes.popleft()
            host.store.apply(write).unwrap()
            host.replica.persisted(self.now, write.token)
        sent, host.sent = host.sent, []
        for outgoing in sent:
            due = self.now + self._latency
            entry = (due, next(self._order), host.member.replica_id, outgoing.to, outgoing.message)
            heapq.heappush(self._in_transit, entry)
        return busy or bool(sent)

    def deliver(self) -> None:
        """Delivers the messages that are due."""
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, _, sender, to, message = heapq.heappop(self._in_transit)
            if to in self.hosts:
                self.hosts[to].replica.step(self.now, sender, message)
                self.pump()

    def run_until_led(self, limit: int) -> int | None:
        """How long it takes until there is a leader; None if longer than `limit`."""
        began = self.now
        while self.now - began < limit:
            self.run(TICK // 6)
            self.deliver()
            if any(host.replica.role is Role.LEADER for host in self.hosts.values()):
                return self.now - began
        return None


class CollisionTest(unittest.TestCase):
    def check_two_of_three(self, latency: int) -> None:
        for draw in range(DRAWS):
            with self.subTest(draw=draw):
                cluster = DistantCluster(latency, draw)
                for member in cluster.known.voters[:2]:
                    cluster.start(member)
                self.assertIsNotNone(cluster.run_until_led(MAX_WAIT))

    def test_over_35_ms(self):
        self.check_two_of_three(35 * MILLISECOND)

    def test_over_55_ms(self):
        self.check_two_of_three(55 * MILLISECOND)

    def test_over_120_ms(self):
        self.check_two_of_three(120 * MILLISECOND)

    def test_two_followers_that_lose_their_leader(self):
        for draw in range(DRAWS // 4):
            with self.subTest(draw=draw):
                cluster = DistantCluster(120 * MILLISECOND, draw)
                for member in cluster.known.voters:
                    cluster.start(member)
                self.assertIsNotNone(cluster.run_until_led(3 * SECOND))
                for _ in range(200):
                    cluster.run(TICK // 3)
                    cluster.deliver()
                leader = next(host for host in cluster.hosts.values() if host.replica.role is Role.LEADER)
                cluster.drop(leader)
                self.assertIsNotNone(cluster.run_until_led(2_400 * MILLISECOND))

    def test_a_latency_longer_than_the_first_election_timeouts(self):
        cluster = DistantCluster(330 * MILLISECOND, 0)
        for member in cluster.known.voters[:2]:
            cluster.start(member)
        self.assertIsNotNone(cluster.run_until_led(8 * SECOND))


if __name__ == "__main__":
    unittest.main()
