"""Planted faults: the simulation proves something only if it convicts each of them in few schedules."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any

from attrs import evolve, frozen
from returns.result import Success

from brackenladder.catalog import catalog as catalog_module
from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.orders import Accepted, decode_order, encode_order
from brackenladder.catalog.taken import TakenOrders
from brackenladder.consensus import following
from brackenladder.consensus.command_parts import CommandAssembler
from brackenladder.consensus.election import Election
from brackenladder.consensus.leadership import Leadership
from brackenladder.consensus.planning import _Planner
from brackenladder.consensus.replica import Replica
from brackenladder.control_plane import control_node as control_node_module
from brackenladder.control_plane.consensus_host import ConsensusHost
from brackenladder.control_plane.forwarding import ReplyTable
from brackenladder.control_plane.orders import OrderService, _reply
from brackenladder.control_plane.restart_gate import RestartGate
from brackenladder.control_plane.soft_state import SoftState
from brackenladder.delivery.subscriber import Subscriber

MOST_VOTERS = 5


@frozen
class Mutant:
    """A fault, the profile that brings it out and the rules of which one has to convict it."""

    name: str
    about: str
    profile: str
    rules: frozenset[str]
    plant: Callable[[], AbstractContextManager[None]]


@contextmanager
def _replaced(owner: Any, **attributes: Any) -> Iterator[None]:
    """Gives an object other attributes for a while."""
    before = {name: getattr(owner, name) for name in attributes}
    for name, value in attributes.items():
        setattr(owner, name, value)
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(owner, name, value)


# -- orders and reads


def _acknowledged_before_commit() -> AbstractContextManager[None]:
    propose = ConsensusHost.propose

    async def hasty(self: ConsensusHost, data: bytes) -> Any:
        if not self.leads:
            return await propose(self, data)
        answer = self.catalog.check(decode_order(data))
        self._loop.create_task(propose(self, data))
        return Success(answer)

    return _replaced(ConsensusHost, propose=hasty)


def _refused_on_a_followers_state() -> AbstractContextManager[None]:
    submit_once = OrderService._submit_once

    async def hasty(self: OrderService, order: bytes) -> Any:
        outcome = self._host.catalog.check(decode_order(order))
        if not isinstance(outcome, Accepted):
            return Success(_reply(0, outcome))
        return await submit_once(self, order)

    return _replaced(OrderService, _submit_once=hasty)


def _read_without_quorum() -> AbstractContextManager[None]:
    async def hasty(self: ConsensusHost) -> Any:
        return Success(None)

    return _replaced(ConsensusHost, confirm_read=hasty)


def _read_from_the_nodes_own_state() -> AbstractContextManager[None]:
    async def hasty(self: ConsensusHost, revision: int) -> None:
        return None

    return _replaced(ConsensusHost, catalog_at=hasty)


def _reply_of_another_order() -> AbstractContextManager[None]:
    def resolve(self: ReplyTable, link: object, reply: object) -> None:
        for waiting in self._waiting.values():
            if not waiting.reply.done():
                waiting.reply.set_result(reply)
                return

    return _replaced(ReplyTable, resolve=resolve)


def _known_by_version_alone() -> AbstractContextManager[None]:
    def digest(order: Any, content: bytes) -> bytes:
        version = decode_version(content)
        return version.to_bytes(16, "big")

    def decode_version(content: bytes) -> int:
        import json

        return int(json.loads(content)["Version"])

    return _replaced(catalog_module, order_digest=digest)


def _base_not_compared() -> AbstractContextManager[None]:
    decide = Catalog._decide

    def careless(self: Catalog, order: Any) -> Any:
        return decide(self, evolve(order, base=self._state.version))

    return _replaced(Catalog, _decide=careless)


def _taken_missing_from_snapshot() -> AbstractContextManager[None]:
    return _replaced(TakenOrders, pack=lambda self: b"")


def _evacuation_not_fenced() -> AbstractContextManager[None]:
    async def unseen(self: OrderService, order: Any) -> Any:
        return await self._submit_once(encode_order(order))

    return _replaced(OrderService, _submit_seen=unseen)


# -- contact with a majority


def _acknowledged_alone() -> AbstractContextManager[None]:
    return _replaced(SoftState, _in_touch=lambda self: True)


def _catalog_told_alone() -> AbstractContextManager[None]:
    return _replaced(SoftState, _tells_catalog=lambda self, now: True)


def _remembered_told_alone() -> AbstractContextManager[None]:
    return _replaced(RestartGate, confirms=lambda self, members, revision: True)


def _contact_when_read() -> AbstractContextManager[None]:
    def note(self: Replica, message: object) -> None:
        self._contact_at = self._now

    return _replaced(Replica, _note_contact=note)


# -- the log, elections and members


def _acknowledged_before_durable() -> AbstractContextManager[None]:
    accept = following._accept

    def hasty(core: Any, now: int, request: Any, received: int) -> None:
        durable, core.log.durable_index = core.log.durable_index, received
        accept(core, now, request, received)
        core.log.durable_index = durable

    return _replaced(following, _accept=hasty)


def _vote_without_a_look_at_the_log() -> AbstractContextManager[None]:
    answer = Election.answer

    def trusting(self: Election, vote: Any) -> bool:
        return answer(self, evolve(vote, last_term=1 << 40))

    return _replaced(Election, answer=trusting)


def _voters_replaced_at_once() -> AbstractContextManager[None]:
    changed = _Planner._changed

    def single(self: _Planner, out: Any, in_: Any) -> Any:
        members = changed(self, out, in_)
        return None if members is None else evolve(members, outgoing=())

    return _replaced(_Planner, _changed=single)


def _learner_counted_before_it_caught_up() -> AbstractContextManager[None]:
    stack = ExitStack()
    stack.enter_context(_replaced(_Planner, _caught_up=lambda self, member: True))
    stack.enter_context(_voters_replaced_at_once())
    return stack  # type: ignore[return-value]  # an ExitStack is a context manager of its own


def _voters_added_for_ever() -> AbstractContextManager[None]:
    return _replaced(control_node_module, max_voters=lambda losses: MOST_VOTERS)


# -- snapshots and delivery


def _transfer_begun_anew() -> AbstractContextManager[None]:
    send_chunks = Leadership._send_chunks

    def restless(self: Leadership, now: int, replica_id: str, transfer: Any) -> None:
        snapshot = self._core.log.snapshot
        if snapshot is not None and snapshot.index > transfer.snapshot.index:
            self._begin_snapshot(now, self._progress[replica_id])
            transfer = self._progress[replica_id].transfer
        send_chunks(self, now, replica_id, transfer)

    return _replaced(Leadership, _send_chunks=restless, oldest_transfer=lambda self: None)


def _snapshot_within_a_command() -> AbstractContextManager[None]:
    return _replaced(CommandAssembler, between_commands=True)


def _older_revision_taken() -> AbstractContextManager[None]:
    catalog = Subscriber._catalog

    def forgetful(self: Subscriber, now: int, source: Any, message: Any) -> Any:
        if message.revision < self.view.revision and message.document:
            self.view.revision = self._reader._revision = 0
        return catalog(self, now, source, message)

    return _replaced(Subscriber, _catalog=forgetful)


def _mutants() -> Iterator[Mutant]:
    def mutant(
        name: str, about: str, profile: str, rules: str, plant: Callable[[], AbstractContextManager[None]]
    ) -> Mutant:
        return Mutant(name, about, profile, frozenset(rules.split()), plant)

    lost = "order-lost two-winners broken-chain stale-read wrong-refusal repeated-order refused-in-force"
    yield mutant(
        "acknowledged-before-commit",
        "an order is acknowledged once it is proposed",
        "orders",
        lost + " wrong-content",
        _acknowledged_before_commit,
    )
    yield mutant(
        "refused-by-follower",
        "a refusal is decided on the state of the node that was asked",
        "isolation",
        "wrong-refusal repeated-order order-alone",
        _refused_on_a_followers_state,
    )
    yield mutant(
        "read-without-quorum",
        "a leader reads, and refuses, without asking a quorum",
        "isolation",
        "stale-read read-alone wrong-refusal order-alone",
        _read_without_quorum,
    )
    yield mutant(
        "read-own-state",
        "a read does not wait for the node's own log",
        "answers",
        "stale-read",
        _read_from_the_nodes_own_state,
    )
    yield mutant(
        "reply-of-another",
        "an answer is taken for that of another order passed on",
        "answers",
        lost + " wrong-answer wrong-content invalid-acknowledged",
        _reply_of_another_order,
    )
    yield mutant(
        "known-by-version",
        "an order counts as taken if its version was",
        "orders",
        "two-winners repeated-order wrong-content invalid-acknowledged",
        _known_by_version_alone,
    )
    yield mutant(
        "base-not-compared", "the base of an order is not compared", "orders", lost, _base_not_compared
    )
    yield mutant(
        "taken-not-in-snapshot",
        "a snapshot leaves out which orders were taken",
        "snapshots",
        "repeated-order wrong-refusal",
        _taken_missing_from_snapshot,
    )
    yield mutant(
        "evacuation-not-fenced",
        "an evacuation that was held up takes effect after what followed it",
        "isolation",
        "evacuation",
        _evacuation_not_fenced,
    )
    yield mutant(
        "acknowledged-alone",
        "servers are acknowledged without contact with a majority",
        "isolation",
        "ack-alone",
        _acknowledged_alone,
    )
    yield mutant(
        "catalog-alone",
        "a node without contact tells its catalog to gateways that start",
        "isolation",
        "catalog-alone",
        _catalog_told_alone,
    )
    yield mutant(
        "remembered-alone",
        "a remembered catalog is told before a majority confirms it",
        "isolation",
        "catalog-alone",
        _remembered_told_alone,
    )
    yield mutant(
        "contact-when-read",
        "a leader's word counts as contact from when it is read",
        "isolation",
        "ack-alone catalog-alone",
        _contact_when_read,
    )
    yield mutant(
        "acknowledged-before-durable",
        "a follower acknowledges entries before they are durable",
        "orders",
        lost + " gateway-back no-recovery",
        _acknowledged_before_durable,
    )
    yield mutant(
        "stale-leader",
        "votes are given without a look at the candidate's log",
        "orders",
        lost + " gateway-back no-recovery ValueError",
        _vote_without_a_look_at_the_log,
    )
    yield mutant(
        "voters-replaced-at-once",
        "voters change without a joint majority",
        "members",
        lost + " no-recovery gateway-back",
        _voters_replaced_at_once,
    )
    yield mutant(
        "learner-counted-early",
        "a learner becomes a voter before it has caught up",
        "members",
        lost + " no-recovery gateway-back",
        _learner_counted_before_it_caught_up,
    )
    yield mutant(
        "voters-for-ever",
        "voters are added beyond what is to be borne, and stay when they are gone",
        "members",
        "no-recovery",
        _voters_added_for_ever,
    )
    yield mutant(
        "transfer-begun-anew",
        "each new snapshot begins the transfer of the last one anew",
        "snapshots",
        "behind no-recovery",
        _transfer_begun_anew,
    )
    yield mutant(
        "snapshot-within-command",
        "a snapshot is taken between the parts of a large order",
        "large",
        lost + " no-recovery behind",
        _snapshot_within_a_command,
    )
    yield mutant(
        "older-revision",
        "a gateway takes an older catalog after a new link",
        "isolation",
        "gateway-back config-late",
        _older_revision_taken,
    )


MUTANTS: dict[str, Mutant] = {mutant.name: mutant for mutant in _mutants()}
