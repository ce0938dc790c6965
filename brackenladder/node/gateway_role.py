"""The gateway role of a process: receives the configuration from the control nodes and serves clients."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from socket import socket

import logbook
from attrs import frozen

from brackenladder.control_plane.wire import gateway_codec
from brackenladder.delivery.presence import Presence
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.gateway.connections import OpenSocket, server_socket
from brackenladder.gateway.server import Gateway
from brackenladder.node.control_links import ControlLinks
from brackenladder.node.role_runner import RoleError, monotonic_microseconds
from brackenladder.platform_settings import Platform
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.relay_choice import RelayChoice
from brackenladder.registry.gateways import GatewayState
from brackenladder.transport.link import LinkTiming, Transport
from brackenladder.transport.tcp import TcpTransport

TICK_SECONDS = 0.2
STARTING_TICK_SECONDS = 0.05  # instead of `TICK_SECONDS` until the gateway is ready, to notice that sooner
# Microseconds that a starting gateway waits for other gateways' prefix notices, which say which server has
# which prompt prefixes cached.
PREFIX_NOTICES_TIMEOUT = 300_000
NOTICE_SECONDS = 0.01  # prefix notices of this many seconds are collected and sent in one message

log = logbook.Logger("gateway")


def _tcp_transport(name: str) -> Transport:
    return TcpTransport(gateway_codec(), LinkTiming(), Random(), name=name)


@frozen
class GatewayEnvironment:
    """The clocks, random numbers, links and sockets that a gateway uses. Simulations replace them."""

    clock: Callable[[], int] = monotonic_microseconds
    # Microseconds. The value at the start identifies this run of the process.
    wall_clock: Callable[[], int] = lambda: time.time_ns() // 1000
    random: Callable[[], Random] = Random
    transport: Callable[[str], Transport] = _tcp_transport  # called with the node's name
    open_socket: OpenSocket = server_socket


class GatewayRole:
    """Runs a gateway in this process, as a `RoleProcess`."""

    def __init__(
        self,
        platform: Platform,
        front: socket | None = None,
        environment: GatewayEnvironment | None = None,
    ) -> None:
        """`front` is a socket that already listens for clients."""
        self._environment = environment = environment or GatewayEnvironment()
        self._platform = platform
        self._subscriber = Subscriber()
        self._presence = Presence(
            platform.node_name,
            platform.listen.front,
            platform.zone,
            platform.region,
            environment.wall_clock(),
        )
        self._announcer = PrefixAnnouncer(self._notices_pending)
        self._gateway = Gateway(
            platform,
            self._subscriber.view,
            environment.clock,
            environment.random(),
            self._announcer,
            front=front,
            open_socket=environment.open_socket,
        )
        self._timer: asyncio.TimerHandle | None = None
        self._unreadable_logged = 0  # the last revision that was logged as unreadable
        self._complete_at: int | None = None  # when the wait for only the prefix notices began
        self._loop: asyncio.AbstractEventLoop
        self._transport: Transport
        self._links: ControlLinks

    async def start(self) -> None:
        """Starts listening and connects to the control nodes.

        It reports ready once it has the configuration and, unless these time out, the server list and other
        gateways' prefix notices.
        """
        self._loop = asyncio.get_running_loop()
        self._transport = self._environment.transport(self._platform.node_name)
        self._links = ControlLinks(
            self._transport,
            self._subscriber,
            self._presence,
            self._environment.clock,
            self._environment.random(),
            RelayChoice(self._platform.node_name, self._platform.zone, self._platform.zones),
            self._gateway.receive_prefix_notices,
        )
        try:
            await self._gateway.start()
        except OSError as error:
            raise RoleError(f"can't listen: {error}") from error
        self._links.set_seeds(self._platform.seed_inner_addresses)
        self._tick()

    def reload(self, platform: Platform) -> None:
        """Applies changed seeds: the addresses of the control nodes to contact first."""
        self._platform = platform
        self._links.set_seeds(platform.seed_inner_addresses)

    async def stop(self) -> None:
        """Announces that it is leaving, finishes the open requests, then closes."""
        if self._timer is None:
            return  # the start didn't get as far as listening
        self._gateway.ready = False
        self._presence.set_state(GatewayState.LEAVING)
        self._links.announce_presence()
        await self._gateway.drain(self._platform.bounds.grace_s)
        self._timer.cancel()
        await self._gateway.close()
        await self._transport.close()

    def _tick(self) -> None:
        starting = self._presence.state is GatewayState.STARTING
        self._timer = self._loop.call_later(STARTING_TICK_SECONDS if starting else TICK_SECONDS, self._tick)
        now = self._environment.clock()
        self._subscriber.tick(now)
        self._log_unreadable()
        self._links.tick()
        self._gateway.check_held_calls()
        if starting and self._subscriber.complete_or_timed_out(now) and self._prefixes_ready(now):
            self._become_ready()

    def _log_unreadable(self) -> None:
        """Logs that a configuration from a newer program version can't be read, so the old one stays."""
        revision = self._subscriber.unreadable_revision
        if revision != self._unreadable_logged:
            self._unreadable_logged = revision
            log.error(
                "configuration of revision {} can't be read by this program; it is not in force", revision
            )

    def _prefixes_ready(self, now: int) -> bool:
        """Whether other gateways' prefix notices have arrived or the wait for them has timed out."""
        if self._complete_at is None:
            self._complete_at = now
        return self._links.has_prefix_notices or now - self._complete_at >= PREFIX_NOTICES_TIMEOUT

    def _notices_pending(self) -> None:
        self._loop.call_later(NOTICE_SECONDS, self._send_notices)

    def _send_notices(self) -> None:
        notices = self._announcer.take()
        if notices is not None:
            self._links.send_prefix_notices(notices)

    def _become_ready(self) -> None:
        view = self._subscriber.view
        log.info("ready: catalog {}, {} servers", view.revision, len(view.servers))
        self._gateway.ready = True
        self._presence.set_state(GatewayState.READY)
