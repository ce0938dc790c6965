"""Planted faults in how orders and reads are answered."""

from __future__ import annotations

import json
from typing import Any

from attrs import evolve
from returns.result import Success

from brackenladder.catalog import catalog as catalog_module
from brackenladder.catalog.accepted_orders import AcceptedOrders
from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import Accepted, decode_order, encode_order
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.orders import OrderService, _reply
from brackenladder.simulation.mutants.mutant import LOST_ORDER_RULES, Fault, Mutant, replaced


def _acknowledged_before_commit() -> Fault:
    propose = ConsensusHost.propose

    async def hasty(self: ConsensusHost, data: bytes) -> Any:
        if not self.leads:
            return await propose(self, data)
        answer = self.catalog.check(decode_order(data))
        self._loop.create_task(propose(self, data))
        return Success(answer)

    return replaced(ConsensusHost, propose=hasty)


def _refused_on_a_followers_state() -> Fault:
    submit_once = OrderService._submit_once

    async def hasty(self: OrderService, order: bytes) -> Any:
        outcome = self._host.catalog.check(decode_order(order))
        if not isinstance(outcome, Accepted):
            return Success(_reply(0, outcome))
        return await submit_once(self, order)

    return replaced(OrderService, _submit_once=hasty)


def _read_without_quorum() -> Fault:
    async def hasty(self: ConsensusHost) -> Any:
        return Success(None)

    return replaced(ConsensusHost, confirm_read=hasty)


def _read_from_the_nodes_own_state() -> Fault:
    async def hasty(self: ConsensusHost, revision: int) -> None:
        return None

    return replaced(ConsensusHost, wait_for_revision=hasty)


def _reply_of_another_order() -> Fault:
    def resolve(self: ReplyTable, link: object, reply: object) -> None:
        for waiting in self._waiting.values():
            if not waiting.reply.done():
                waiting.reply.set_result(reply)
                return

    return replaced(ReplyTable, resolve=resolve)


def _known_by_version_alone() -> Fault:
    def digest(order: Any, content: bytes) -> bytes:
        version = int(json.loads(content)["Version"])
        return version.to_bytes(16, "big")

    return replaced(catalog_module, order_digest=digest)


def _base_not_compared() -> Fault:
    decide = Catalog._decide

    def careless(self: Catalog, order: Any) -> Any:
        return decide(self, evolve(order, base=self._state.version))

    return replaced(Catalog, _decide=careless)


def _taken_missing_from_snapshot() -> Fault:
    return replaced(AcceptedOrders, pack=lambda self: b"")


def _evacuation_not_fenced() -> Fault:
    async def unseen(self: OrderService, order: Any) -> Any:
        return await self._submit_once(encode_order(order))

    return replaced(OrderService, _submit_fenced=unseen)


ORDERS_MUTANTS = (
    Mutant(
        name="acknowledged-before-commit",
        description="an order is acknowledged once it is proposed",
        profile="orders",
        rules=LOST_ORDER_RULES | {"wrong-content"},
        plant=_acknowledged_before_commit,
    ),
    Mutant(
        name="refused-by-follower",
        description="a refusal is decided on the state of the node that was asked",
        profile="isolation",
        rules=frozenset({"wrong-refusal", "repeated-order", "order-alone"}),
        plant=_refused_on_a_followers_state,
    ),
    Mutant(
        name="read-without-quorum",
        description="a leader reads, and refuses, without asking a quorum",
        profile="isolation",
        rules=frozenset({"stale-read", "read-alone", "wrong-refusal", "order-alone"}),
        plant=_read_without_quorum,
    ),
    Mutant(
        name="read-own-state",
        description="a read does not wait for the node's own log",
        profile="answers",
        rules=frozenset({"stale-read"}),
        plant=_read_from_the_nodes_own_state,
    ),
    Mutant(
        name="reply-of-another",
        description="an answer is taken for that of another order passed on",
        profile="answers",
        rules=LOST_ORDER_RULES | {"wrong-answer", "wrong-content", "invalid-acknowledged"},
        plant=_reply_of_another_order,
    ),
    Mutant(
        name="known-by-version",
        description="an order counts as taken if its version was",
        profile="orders",
        rules=frozenset({"two-winners", "repeated-order", "wrong-content", "invalid-acknowledged"}),
        plant=_known_by_version_alone,
    ),
    Mutant(
        name="base-not-compared",
        description="the base of an order is not compared",
        profile="orders",
        rules=LOST_ORDER_RULES,
        plant=_base_not_compared,
    ),
    Mutant(
        name="taken-not-in-snapshot",
        description="a snapshot leaves out which orders were taken",
        profile="snapshots",
        rules=frozenset({"repeated-order", "wrong-refusal"}),
        plant=_taken_missing_from_snapshot,
    ),
    Mutant(
        name="evacuation-not-fenced",
        description="an evacuation that was held up takes effect after what followed it",
        profile="isolation",
        rules=frozenset({"evacuation"}),
        plant=_evacuation_not_fenced,
    ),
)
