"""Planted faults in how orders and reads are answered."""

from __future__ import annotations

import json
from typing import Any

from attrs import evolve
from returns.result import Success

from brackenladder.catalog import catalog as catalog_module
from brackenladder.catalog.accepted_orders import AcceptedOrders
from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import UNFENCED, Accepted, decode_order
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.orders import OrderService, _reply
from brackenladder.simulation.caller_connections import SimulatedListener
from brackenladder.simulation.mutants.mutant import LOST_ORDER_RULES, Fault, Mutant, combined, replaced


def _acknowledged_before_commit() -> Fault:
    propose = ConsensusHost.propose

    async def propose_without_commit(self: ConsensusHost, data: bytes) -> Any:
        if not self.leads:
            return await propose(self, data)
        answer = self.catalog.check(decode_order(data))
        self._loop.create_task(propose(self, data))
        return Success(answer)

    return replaced(ConsensusHost, propose=propose_without_commit)


def _refused_on_a_followers_state() -> Fault:
    submit_once = OrderService._submit_once

    async def check_on_own_state(self: OrderService, order: bytes) -> Any:
        outcome = self._host.catalog.check(decode_order(order))
        if not isinstance(outcome, Accepted):
            return Success(_reply(0, outcome, 0))
        return await submit_once(self, order)

    return replaced(OrderService, _submit_once=check_on_own_state)


def _read_without_quorum() -> Fault:
    async def confirm_without_quorum(self: ConsensusHost) -> Any:
        return Success(None)

    return replaced(ConsensusHost, confirm_read=confirm_without_quorum)


def _read_from_the_nodes_own_state() -> Fault:
    async def do_not_wait(self: ConsensusHost, revision: int) -> None:
        return None

    return replaced(ConsensusHost, wait_for_revision=do_not_wait)


def _reply_of_another_order() -> Fault:
    def resolve(self: ReplyTable, link: object, reply: object) -> None:
        for waiting in self._waiting.values():
            if not waiting.reply.done():
                waiting.reply.set_result(reply)
                return

    return replaced(ReplyTable, resolve=resolve)


def _known_by_version_only() -> Fault:
    def digest(order: Any, content: bytes) -> bytes:
        version = int(json.loads(content)["Version"])
        return version.to_bytes(16, "big")

    return replaced(catalog_module, order_digest=digest)


def _base_not_compared() -> Fault:
    decide = Catalog._decide

    def decide_without_base(self: Catalog, order: Any) -> Any:
        return decide(self, evolve(order, base=self._state.version))

    return replaced(Catalog, _decide=decide_without_base)


def _taken_missing_from_snapshot() -> Fault:
    return replaced(AcceptedOrders, pack=lambda self: b"")


def _evacuation_not_fenced() -> Fault:
    submit = OrderService.submit_evacuation

    async def submit_without_fence(self: OrderService, order: Any, fence: int) -> Any:
        return await submit(self, order, UNFENCED)

    return combined(
        replaced(OrderService, submit_evacuation=submit_without_fence),
        replaced(SimulatedListener, close_outdated=lambda self, index: None),
    )


def _evacuation_fenced_on_arrival() -> Fault:
    submit = OrderService.submit_evacuation

    async def submit_with_the_newest_index(self: OrderService, order: Any, fence: int) -> Any:
        return await submit(self, order, self.newest_index())

    return combined(
        replaced(OrderService, submit_evacuation=submit_with_the_newest_index),
        replaced(SimulatedListener, close_outdated=lambda self, index: None),
    )


def _fenced_when_accepted() -> Fault:
    accept = SimulatedListener.accept

    def accept_with_the_newest_index(self: SimulatedListener, connection: Any) -> None:
        self._fence.found_empty()
        accept(self, connection)

    return replaced(SimulatedListener, accept=accept_with_the_newest_index)


def _fence_without_unchanged_zones() -> Fault:
    evacuate = Catalog._evacuate

    def evacuate_without_fencing(self: Catalog, index: int, order: Any) -> Any:
        before = self._state
        outcome = evacuate(self, index, order)
        if self._state.evacuated == before.evacuated:
            self._state = before
        return outcome

    return replaced(Catalog, _evacuate=evacuate_without_fencing)


ORDERS_MUTANTS = (
    Mutant(
        name="acknowledged-before-commit",
        description="an order is acknowledged when it is proposed",
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
        description="an answer is assigned to another forwarded order",
        profile="answers",
        rules=LOST_ORDER_RULES | {"wrong-answer", "wrong-content", "invalid-acknowledged"},
        plant=_reply_of_another_order,
    ),
    Mutant(
        name="known-by-version",
        description="an order counts as accepted if one with the same version was",
        profile="orders",
        rules=frozenset({"two-winners", "repeated-order", "wrong-content", "invalid-acknowledged"}),
        plant=_known_by_version_only,
    ),
    Mutant(
        name="base-not-compared",
        description="the base version of an order is not checked",
        profile="orders",
        rules=LOST_ORDER_RULES,
        plant=_base_not_compared,
    ),
    Mutant(
        name="taken-not-in-snapshot",
        description="a snapshot omits which orders were accepted",
        profile="snapshots",
        rules=frozenset({"repeated-order", "wrong-refusal"}),
        plant=_taken_missing_from_snapshot,
    ),
    Mutant(
        name="evacuation-not-fenced",
        description="a delayed evacuation order takes effect after later ones",
        profile="overtaken",
        rules=frozenset({"evacuation", "evacuation-undone"}),
        plant=_evacuation_not_fenced,
    ),
    Mutant(
        name="evacuation-fenced-on-arrival",
        description="an evacuation order may undo those that were acknowledged before it arrived",
        profile="overtaken",
        rules=frozenset({"evacuation", "evacuation-undone"}),
        plant=_evacuation_fenced_on_arrival,
    ),
    Mutant(
        name="fenced-when-accepted",
        description="a connection counts as made when the process accepts it",
        profile="overtaken",
        rules=frozenset({"evacuation", "evacuation-undone"}),
        plant=_fenced_when_accepted,
    ),
    Mutant(
        name="unchanged-zone-not-fenced",
        description="an acknowledged evacuation order that changes nothing does not outdate earlier ones",
        profile="overtaken",
        rules=frozenset({"evacuation", "evacuation-undone"}),
        plant=_fence_without_unchanged_zones,
    ),
)
