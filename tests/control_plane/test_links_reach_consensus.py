"""A control node reports each new link to another control node to its replica."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase, mock

from control_cluster import ControlCluster

from brackenladder.control_plane.consensus_host import ConsensusHost


class LinksReachConsensusTest(IsolatedAsyncioTestCase):
    async def test_every_link_is_reported(self) -> None:
        reported: set[tuple[str, str]] = set()

        def record(host: ConsensusHost, replica_id: str) -> None:
            reported.add((host.replica.member.replica_id, replica_id))

        with mock.patch.object(ConsensusHost, "peer_connected", record):
            async with ControlCluster() as cluster:
                ids = {cluster.node(number).member.replica_id for number in cluster.roles}
                pairs = {(one, other) for one in ids for other in ids if one != other}
                await cluster.until(lambda: reported == pairs)
