"""Handles operators' orders and reads on any control node; the leader decides them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import TypeVar

import logbook
from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from brackenladder.catalog.orders import (
    Accepted,
    Conflict,
    EvacuationOrder,
    Invalid,
    OrderDecodeError,
    Outcome,
    Outdated,
    decode_order,
    encode_order,
)
from brackenladder.control_plane.consensus_host import ConsensusHost, OrderResult
from brackenladder.control_plane.errors import Unavailable
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.messages import (
    ForwardOrder,
    ForwardRead,
    OrderOutcome,
    OrderPart,
    OrderPartReceived,
    OrderReply,
    ReadReply,
)
from brackenladder.control_plane.order_parts import PART_BYTES, OrderReceiver, OrderSender
from brackenladder.control_plane.peers import PeerLinks
from brackenladder.held_calls import HeldCalls
from brackenladder.transport.link import Link

CALL_SECONDS = 2.5  # longest time that a call waits for a definite answer
ATTEMPT_SECONDS = 1.5  # seconds without a reply of the leader after which the call is repeated
RETRY_SECONDS = 0.1
# Longest wait for a quorum to confirm a drain; the server waits 1 s for the acknowledgement.
DEPARTURE_TIMEOUT_SECONDS = 0.7
SLOWEST_BYTES_PER_SECOND = 500_000  # lowest expected transfer rate of a large order
MICROSECONDS_PER_SECOND = 1_000_000
NO_DEFINITE_REPLY = OrderReply(0, OrderOutcome.UNAVAILABLE)

Clear = TypeVar("Clear")

log = logbook.Logger("orders")


@frozen
class Document:
    """The newest configuration as JSON, and its catalog revision."""

    revision: int
    body: bytes


class OrderService:
    """Forwards orders to the leader, or decides them if this node is the leader.

    An order may be committed more than once during a change of leader. The catalog accepts a repeated order
    without changing anything, so it is always safe to repeat one.
    """

    def __init__(
        self,
        host: ConsensusHost,
        peers: PeerLinks,
        clock: Callable[[], int],
        newest_index_risen: Callable[[], None],
    ) -> None:
        """`newest_index_risen` is called when the leader reports an index that this node has not applied."""
        self.held_calls = HeldCalls()
        self._newest_index_risen = newest_index_risen
        self._reported_index = 0  # the highest index that leaders have reported as applied
        self._host = host
        self._peers = peers
        self._clock = clock
        self._replies = ReplyTable()
        self._senders: dict[int, OrderSender] = {}  # the large orders that are being sent, by request number
        self._receivers: dict[Link, OrderReceiver] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def submit(self, order: bytes) -> OrderReply:
        """The outcome of an encoded order, or UNAVAILABLE if it is not known in time.

        The time limit is `CALL_SECONDS` plus the expected transfer time of the order.
        """
        seconds = CALL_SECONDS + len(order) / SLOWEST_BYTES_PER_SECOND
        result = await self._retry(lambda: self._submit_once(order), seconds)
        return result.value_or(NO_DEFINITE_REPLY)

    async def submit_evacuation(self, order: EvacuationOrder, fence: int) -> OrderReply:
        """Submits an evacuation order. It has no base version by which the catalog could reject a late copy.

        Instead, the order takes effect only if no order for its zone was accepted after the log index
        `fence`, which this node knew to be committed before the operator wrote the order. Every attempt has
        the fence of the order's arrival.
        """
        encoded = encode_order(evolve(order, seen_index=fence))
        result = await self._retry(lambda: self._submit_once(encoded))
        return result.value_or(NO_DEFINITE_REPLY)

    def newest_index(self) -> int:
        """The highest log index that this node knows to be committed."""
        return max(self._host.applied_index, self._reported_index)

    async def fetch(self) -> Result[Document, Unavailable]:
        """The newest configuration; a quorum confirms that no newer one is committed."""
        return await self._retry(self._fetch_once)

    async def reaches_quorum(self) -> bool:
        """Whether a quorum has received all that this node wrote to its links before the call.

        Updates for other nodes use the same links as consensus, in sequence. So if another node is
        the leader and confirms a read, it has received the updates; if this node leads, the quorum that
        answered its read has received them.
        """
        return isinstance(await self._retry(self._newest_revision, DEPARTURE_TIMEOUT_SECONDS), Success)

    def received(self, link: Link, message: object) -> bool:
        """Handles a message of another control node; False if the message is for another component."""
        match message:
            case ForwardOrder():
                self._spawn(self._serve_order(link, message))
            case ForwardRead():
                self._spawn(self._serve_read(link, message))
            case OrderPart():
                self._part_received(link, message)
            case OrderPartReceived():
                self._part_acknowledged(link, message)
            case OrderReply() | ReadReply():
                self._replies.resolve(link, message)
            case _:
                return False
        return True

    async def _retry(
        self, attempt: Callable[[], Awaitable[Result[Clear, Unavailable]]], seconds: float = CALL_SECONDS
    ) -> Result[Clear, Unavailable]:
        """Repeats an attempt until it succeeds or the time is up."""
        result: Result[Clear, Unavailable] = Failure(Unavailable.TIMEOUT)
        limit = self._clock() + int(seconds * MICROSECONDS_PER_SECOND)
        with self.held_calls.track(f"a call with {seconds:.1f} s", limit):
            try:
                async with asyncio.timeout(seconds):
                    while True:
                        result = await attempt()
                        if isinstance(result, Success):
                            return result
                        await self._host.wait_for_leader_change(RETRY_SECONDS)
            except TimeoutError:
                return result

    async def _newest_revision(self) -> Result[int, Unavailable]:
        if self._host.leads:
            confirmed = await self._host.confirm_read()
            return confirmed.map(lambda _: self._host.catalog.revision)
        reply = await self._ask_leader()
        return reply.bind(lambda answer: _confirmed_only(answer).map(lambda read: read.revision))

    async def _submit_once(self, order: bytes) -> Result[OrderReply, Unavailable]:
        if self._host.leads:
            answer = await self._decide(order)
            return answer.map(lambda decided: _reply(0, decided, self._host.applied_index)).bind(
                _definite_only
            )
        leader = self._leader_link()
        if leader is None:
            return Failure(Unavailable.NO_LEADER)
        request = self._replies.open(leader)
        if len(order) <= PART_BYTES:
            sent = leader.send(ForwardOrder(request, order))
        else:
            sent = self._begin_parts(leader, request, order)
        if not sent:
            return self._replies.abort(request)
        timeout = ATTEMPT_SECONDS + len(order) / SLOWEST_BYTES_PER_SECOND
        try:
            reply = await self._replies.wait(request, OrderReply, self._host.leader_changed, timeout)
        finally:
            self._senders.pop(request, None)
        return reply.map(self._learn_index).bind(_definite_only)

    def _learn_index(self, reply: OrderReply) -> OrderReply:
        """Notes up to which index the leader has applied the log; this node may not know of that yet."""
        if reply.applied_index > self.newest_index():
            self._reported_index = reply.applied_index
            self._newest_index_risen()
        return reply

    def _begin_parts(self, leader: Link, request: int, order: bytes) -> bool:
        sender = self._senders[request] = OrderSender(request, order)
        return all(leader.send(part) for part in sender.next_parts())

    def _part_acknowledged(self, link: Link, message: OrderPartReceived) -> None:
        sender = self._senders.get(message.request)
        if sender is None:
            return
        sender.acknowledged(message.received)
        for part in sender.next_parts():
            link.send(part)

    def _part_received(self, link: Link, part: OrderPart) -> None:
        receiver = self._receivers.setdefault(link, OrderReceiver())
        result = receiver.receive(part)
        if isinstance(result, OrderPartReceived):
            link.send(result)
        elif result is not None:
            self._spawn(self._serve_order(link, ForwardOrder(part.request, result)))

    def link_closed(self, link: Link) -> None:
        """Drops the partial orders that have arrived over a closed link."""
        self._receivers.pop(link, None)

    async def _decide(self, order: bytes) -> OrderResult:
        """Decides an order as the leader.

        If the order would be refused, this is confirmed against the newest state; a refusal is not logged.
        """
        if not self._host.leads:
            return Failure(Unavailable.NO_LEADER)
        decoded = decode_order(order)
        if not isinstance(self._host.catalog.check(decoded), Accepted):
            confirmed = await self._host.confirm_read()
            if isinstance(confirmed, Failure):
                return confirmed
            refusal = self._host.catalog.check(decoded)
            if not isinstance(refusal, Accepted):
                return Success(refusal)
        return await self._host.propose(order)

    async def _fetch_once(self) -> Result[Document, Unavailable]:
        revision = await self._newest_revision()
        if isinstance(revision, Failure):
            return revision
        await self._host.wait_for_revision(revision.unwrap())
        catalog = self._host.catalog
        return Success(Document(catalog.revision, catalog.document))

    async def _ask_leader(self) -> Result[ReadReply, Unavailable]:
        leader = self._leader_link()
        if leader is None:
            return Failure(Unavailable.NO_LEADER)
        request = self._replies.open(leader)
        if not leader.send(ForwardRead(request, self._host.catalog.revision, document=False)):
            return self._replies.abort(request)
        return await self._replies.wait(request, ReadReply, self._host.leader_changed, ATTEMPT_SECONDS)

    def _leader_link(self) -> Link | None:
        leader = self._host.leader
        return None if leader is None else self._peers.link(leader.replica_id)

    async def _serve_order(self, link: Link, call: ForwardOrder) -> None:
        reply = OrderReply(call.request, OrderOutcome.UNAVAILABLE)
        try:
            answer = await self._decide(call.order)
        except OrderDecodeError as error:  # the sender runs a later program version
            log.warning("order cannot be decoded: {}", error)
        else:
            if isinstance(answer, Success):
                reply = _reply(call.request, answer.unwrap(), self._host.applied_index)
        link.send(reply)

    async def _serve_read(self, link: Link, call: ForwardRead) -> None:
        confirmed = await self._host.confirm_read()
        if isinstance(confirmed, Failure):
            link.send(ReadReply(call.request, confirmed=False))
            return
        catalog = self._host.catalog
        wanted = call.document and catalog.revision != call.revision
        document = catalog.document if wanted else b""
        link.send(ReadReply(call.request, True, catalog.revision, document))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _reply(request: int, answer: Outcome, applied_index: int) -> OrderReply:
    match answer:
        case Accepted(version=version):
            return OrderReply(request, OrderOutcome.ACCEPTED, version, applied_index=applied_index)
        case Conflict(current=current):
            return OrderReply(request, OrderOutcome.CONFLICT, current, applied_index=applied_index)
        case Invalid(faults=faults):
            texts = tuple(str(fault) for fault in faults)
            return OrderReply(request, OrderOutcome.INVALID, 0, texts, applied_index=applied_index)
        case Outdated():
            return OrderReply(request, OrderOutcome.UNAVAILABLE, outdated=True, applied_index=applied_index)


def _definite_only(reply: OrderReply) -> Result[OrderReply, Unavailable]:
    if reply.outcome is OrderOutcome.UNAVAILABLE and not reply.outdated:
        return Failure(Unavailable.LOST)
    return Success(reply)


def _confirmed_only(reply: ReadReply) -> Result[ReadReply, Unavailable]:
    return Success(reply) if reply.confirmed else Failure(Unavailable.LOST)
