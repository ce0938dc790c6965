"""A caller's connection to a control node, and its requests with their fences (see `fences`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from brackenladder.control_plane.fences import ConnectionFence, NewestIndex
from brackenladder.sockets.unread import has_unread_input


class CallerConnection(RequestHandler):
    """A connection of an operator or a server."""

    __slots__ = ("_take_fence", "_newest_index", "_fence", "_serves_reports")

    def __init__(
        self,
        manager: web.Server,
        take_fence: Callable[[int], int],
        newest_index: NewestIndex,
        keepalive_seconds: float,
    ) -> None:
        """`take_fence` returns the fence of an accepted connection by its descriptor."""
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # aiohttp's own runner passes None as well
            keepalive_timeout=keepalive_seconds,
        )
        self._take_fence = take_fence
        self._newest_index = newest_index
        self._fence = ConnectionFence(0)
        self._serves_reports = False

    @property
    def fence(self) -> int:
        """The fence of the request that is read next or being served."""
        return self._fence.index

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        descriptor = transport.get_extra_info("socket").fileno()
        self._fence = ConnectionFence(self._take_fence(descriptor))
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        request = self._current_request
        if data and request is not None and request.content.is_eof():
            self._fence.request_read_ahead()
        super().data_received(data)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Writes the response; from then on the caller may have seen what this node knew before."""
        newest_index = self._newest_index()
        if self._messages or has_unread_input(self.transport):
            self._fence.request_read_ahead()
        finished = await super().finish_response(request, resp, start_time)
        self._fence.response_written(newest_index)
        return finished

    def serves_reports(self) -> None:
        """Note that a server sends its reports on this connection, which need no fence."""
        self._serves_reports = True

    def close_if_outdated(self, index: int) -> None:
        """Closes the connection if it is idle and its next request would have a fence below `index`."""
        idle = self._waiter is not None and not self._waiter.done() and not self._messages
        if idle and not self._serves_reports and self.fence < index and not has_unread_input(self.transport):
            self.force_close()


class FencedRequest(web.BaseRequest):
    """A request with its fence."""

    @property
    def fence(self) -> int:
        """A log index that this node knew to be committed before the caller wrote the request."""
        protocol = self.protocol
        return protocol.fence if isinstance(protocol, CallerConnection) else 0

    def is_report(self) -> None:
        """Note that a server sent this request about itself."""
        if isinstance(self.protocol, CallerConnection):
            self.protocol.serves_reports()


def fence_of(request: web.BaseRequest) -> int:
    """The fence of a request; 0, the lowest, for one without."""
    return request.fence if isinstance(request, FencedRequest) else 0
