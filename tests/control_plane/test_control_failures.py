"""Control nodes that crash, shut down, lose their disk or restart."""

from __future__ import annotations

from http import HTTPStatus
from unittest import IsolatedAsyncioTestCase

from control_cluster import ControlCluster, configuration

from brackenladder.consensus.members import all_members

REPLACE = "/-/Config.Replace"


class FailuresTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = await self.enterAsyncContext(ControlCluster())
        self.leader = await self.cluster.leader()
        self.followers = [number for number in range(3) if number != self.leader]

    async def replace(self, number: int, version: int, base: int) -> None:
        """Submits a configuration, which must be accepted."""
        answer = await self.cluster.post_until_answered(
            number, REPLACE, configuration(version, f"r{version}"), base
        )
        self.assertEqual(answer.status, HTTPStatus.OK, answer.body)

    async def assert_version(self, number: int, version: int) -> None:
        """Checks the version that a confirmed read on a node returns."""
        fetched = await self.cluster.repeat(
            lambda: self.cluster.fetch(number),
            lambda answer: answer.status != HTTPStatus.SERVICE_UNAVAILABLE,
        )
        self.assertEqual(fetched.document["Version"], version)

    async def test_leader_crash_loses_no_acknowledged_order(self) -> None:
        await self.replace(self.leader, 1, 0)
        await self.cluster.crash(self.leader)
        await self.replace(self.followers[0], 2, 1)
        await self.assert_version(self.followers[1], 2)
        await self.cluster.start(self.leader)
        await self.assert_version(self.leader, 2)

    async def test_shutdown_hands_over_leadership(self) -> None:
        await self.replace(self.leader, 1, 0)
        term = self.cluster.node(self.leader).host.replica.term
        await self.cluster.stop(self.leader)
        new_leader = await self.cluster.leader()
        self.assertEqual(self.cluster.node(new_leader).host.replica.term, term + 1)
        await self.replace(self.followers[0], 2, 1)

    async def test_no_definite_answer_without_a_majority(self) -> None:
        await self.replace(self.leader, 1, 0)
        for number in self.followers:
            await self.cluster.crash(number)
        answer = await self.cluster.post(self.leader, REPLACE, configuration(2, "r2"), 1)
        self.assertEqual(answer.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual((await self.cluster.fetch(self.leader)).status, HTTPStatus.SERVICE_UNAVAILABLE)
        await self.cluster.start(self.followers[0])
        await self.replace(self.leader, 2, 1)

    async def test_restart_of_all_nodes(self) -> None:
        await self.replace(self.leader, 1, 0)
        self.assertEqual(
            (await self.cluster.post_until_answered(0, "/-/Evacuations.Begin/hall-1")).status, HTTPStatus.OK
        )
        for number in range(3):
            await self.cluster.crash(number)
        for number in range(3):
            await self.cluster.start(number)
        await self.assert_version(0, 1)
        await self.cluster.until(
            lambda: all(self.cluster.node(number).catalog.evacuated == {"hall-1"} for number in range(3))
        )

    async def test_new_replica_replaces_the_old_one_after_disk_loss(self) -> None:
        await self.replace(self.leader, 1, 0)
        lost = self.followers[0]
        old_id = self.cluster.node(lost).member.replica_id
        await self.cluster.crash(lost)
        self.cluster.wipe(lost)
        await self.cluster.start(lost)
        new_id = self.cluster.node(lost).member.replica_id
        self.assertNotEqual(new_id, old_id)
        await self.cluster.until(lambda: self._voters() == self._running())
        await self.cluster.crash(self.followers[1])
        await self.replace(self.leader, 2, 1)
        await self.assert_version(lost, 2)

    async def test_new_replica_gets_a_snapshot_of_a_compacted_log(self) -> None:
        await self.replace(self.leader, 1, 0)
        for _ in range(110):
            for call in ("Begin", "Finish"):
                answer = await self.cluster.post_until_answered(self.leader, f"/-/Evacuations.{call}/hall-3")
                self.assertEqual(answer.status, HTTPStatus.OK)
        lost = self.followers[0]
        await self.cluster.crash(lost)
        self.cluster.wipe(lost)
        await self.cluster.start(lost)
        await self.assert_version(lost, 1)
        await self.cluster.until(lambda: self._voters() == self._running())

    def _voters(self) -> set[str]:
        """The voters; empty while running nodes disagree on the members, or there are non-voting members."""
        member_lists = [self.cluster.node(number).host.replica.members for number in self.cluster.roles]
        members = all_members(member_lists[0])
        if any(other != member_lists[0] for other in member_lists) or len(members) != len(
            member_lists[0].voters
        ):
            return set()
        return {member.replica_id for member in members}

    def _running(self) -> set[str]:
        return {self.cluster.node(number).member.replica_id for number in self.cluster.roles}
