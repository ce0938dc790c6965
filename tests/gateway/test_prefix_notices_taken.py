"""Prefix notices that reach a gateway before or after the configuration and the servers that they concern."""

from __future__ import annotations

from gateway.gateway_loopback import SERVICE, GatewayTest, microseconds

from brackenladder.core.roster import number_of
from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices

KEYS, TOKENS = (11, 12), (2_000, 3_000)


class NoticesTakenTest(GatewayTest):
    def configure(self, *arguments: object, **changes: object) -> None:
        """Leave the view empty when the gateway starts."""

    def list_servers(self, *arguments: object, **changes: object) -> None:
        """Leave the view empty when the gateway starts."""

    def tell(self, name: str) -> None:
        notice = PrefixNotice(number_of(name), KEYS, TOKENS, uncached_tokens=9_000)
        self.gateway.receive_prefix_notices(PrefixNotices((notice,)))

    def known(self, name: str) -> bool:
        """Whether the service's pool knows that the server was sent the prefix."""
        pool = self.gateway._context.pools._pools.get(SERVICE)
        if pool is None:
            return False
        holders = pool.balancer.costs.holders.recent(microseconds(), KEYS[-1], pool.site.reread_window)
        return number_of(name) in holders

    async def test_a_notice_before_configuration_and_servers_is_applied_once_they_are_known(self) -> None:
        name = self.stand_ins[0].name
        self.tell(name)
        super().configure()
        self.assertFalse(self.known(name))
        super().list_servers()
        self.assertTrue(self.known(name))

    async def test_a_notice_about_a_known_server_is_applied_at_once(self) -> None:
        super().configure()
        super().list_servers()
        name = self.stand_ins[0].name
        self.tell(name)
        self.assertTrue(self.known(name))
        self.assertFalse(self.known(self.stand_ins[1].name))

    async def test_a_notice_about_an_unknown_server_is_ignored(self) -> None:
        super().configure()
        self.tell("nobody")
        super().list_servers()
        self.assertFalse(self.known("nobody"))
