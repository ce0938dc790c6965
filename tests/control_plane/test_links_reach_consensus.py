"""A control node tells its replica of each link to another one that comes up."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase, mock

from control_cluster import ControlCluster

from brackenladder.control_plane.consensus_host import ConsensusHost


class LinksReachConsensusTest(IsolatedAsyncioTestCase):
    async def test_every_replica_hears_of_every_other(self) -> None:
        reached: set[tuple[str, str]] = set()

        def note(host: ConsensusHost, replica_id: str) -> None:
            reached.add((host.replica.member.replica_id, replica_id))

        with mock.patch.object(ConsensusHost, "peer_connected", note):
            async with ControlCluster() as cluster:
                ids = {cluster.node(number).member.replica_id for number in cluster.roles}
                pairs = {(one, other) for one in ids for other in ids if one != other}
                await cluster.until(lambda: reached == pairs)
