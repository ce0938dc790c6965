"""What is checked while a run goes on: gateways and nodes keep up with what was acknowledged."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from brackenladder.registry.records import ServerState
from brackenladder.simulation.errors import Violation
from brackenladder.simulation.history import History, ServerAck
from brackenladder.simulation.isolation import Isolation
from brackenladder.simulation.machines import ControlMachine, GatewayMachine, ViewSeen, leading_machine
from brackenladder.simulation.scenario import SECOND
from brackenladder.simulation.virtual_loop import VirtualEventLoop

CONTACT_TIME = 4 * SECOND  # without faults after which all machines are in touch
CONFIG_TIME = 3 * SECOND  # from an acknowledgement until every gateway in touch follows
DRAIN_TIME = 3 * SECOND
CATCH_UP_TIME = 10 * SECOND  # of calm after which no control node lacks what was committed before


class LiveChecks:
    """Keeps the first thing that it finds. Times are microseconds of the run."""

    def __init__(
        self,
        loop: VirtualEventLoop,
        history: History,
        machines: Sequence[ControlMachine],
        gateways: Sequence[GatewayMachine],
        isolation: Isolation,
        undisturbed_since: Callable[[int], bool],
        catch_up: int,
    ) -> None:
        """`calm_since` tells of a moment whether no fault has disturbed the machines since."""
        self.failure: Violation | None = None
        self._loop = loop
        self._history = history
        self._machines = machines
        self._gateways = gateways
        self._isolation = isolation
        self._undisturbed_since = undisturbed_since
        self._catch_up = max(CATCH_UP_TIME, catch_up)
        self._revisions: dict[tuple[int, int], int] = {}  # revision by gateway and start
        self._committed: deque[tuple[int, int]] = deque()  # time and commit index of the leader then

    def view_changed(self, seen: ViewSeen) -> None:
        """A gateway takes another revision: it never goes back, and shows nothing that was refused."""
        self._history.views.append(seen)
        key = (seen.gateway, seen.start)
        if seen.revision <= self._revisions.get(key, 0):
            self.fail("gateway-back", f"{seen} after revision {self._revisions[key]}")
        self._revisions[key] = max(seen.revision, self._revisions.get(key, 0))
        order = self._history.order(seen.order)
        if order is not None and order.refused:
            self.fail("refused-in-force", f"gateway {seen.gateway} shows order {order.number}")

    def server_acknowledged(self, ack: ServerAck) -> None:
        """A node has acknowledged a server; one that drains is soon sent nothing more."""
        if ack.draining:
            self._check_drain_known(ack)
            self._loop.call_later(DRAIN_TIME / SECOND, self._check_drained, ack)

    def check(self) -> None:
        """Gateways and nodes follow what was acknowledged; to be called now and then."""
        self._check_configurations()
        self._check_caught_up()

    def fail(self, rule: str, detail: str) -> None:
        """Notes the first thing that was found."""
        if self.failure is None:
            self.failure = Violation(rule, f"at {self._loop.microseconds / SECOND:.3f} s: {detail}")

    def _check_drain_known(self, ack: ServerAck) -> None:
        """What a node that is alone acknowledges is known where a majority is."""
        isolated = self._isolation.isolated_for
        if not isolated(ack.answered_at, ack.answered_by):
            return
        now = self._loop.microseconds
        with_majority = [one for one in self._machines if one.running and not isolated(now, one.name)]
        if with_majority and all(one.has_ready_server(ack.server) for one in with_majority):
            self.fail("drain-untold", f"{ack.answered_by} alone has acknowledged {ack.server}")

    def _check_drained(self, ack: ServerAck) -> None:
        if not self._undisturbed_since(ack.answered_at):
            return
        for gateway in self._gateways:
            record = gateway.subscriber.view.servers.get(ack.server)
            if gateway.running and record is not None and record.state is ServerState.READY:
                self.fail("drain", f"gateway {gateway.number} sends to {ack.server}")

    def _check_configurations(self) -> None:
        """Every gateway follows what was acknowledged `CONFIG_TIME` ago."""
        due = self._loop.microseconds - CONFIG_TIME
        if not self._undisturbed_since(due):
            return
        acknowledged = [
            order.version
            for order in self._history.orders
            if order.acknowledged and order.ended_at is not None and order.ended_at <= due
        ]
        newest = max(acknowledged, default=0)
        for gateway in self._gateways:
            configuration = gateway.subscriber.view.configuration
            version = 0 if configuration is None else configuration.version
            if gateway.running and version < newest:
                self.fail("config-late", f"gateway {gateway.number} has {version}, {newest} is acknowledged")

    def _check_caught_up(self) -> None:
        """Every control node has applied what was committed `CATCH_UP_TIME` of calm ago."""
        leader = leading_machine(self._machines)
        if leader is not None and leader.node is not None:
            self._committed.append((self._loop.microseconds, leader.node.host.replica.commit_index))
        due = self._loop.microseconds - self._catch_up
        while len(self._committed) > 1 and self._committed[1][0] <= due:
            self._committed.popleft()
        if (
            not self._committed
            or self._committed[0][0] > due
            or not self._undisturbed_since(due + CONTACT_TIME)
        ):
            return
        for machine in self._machines:
            node = machine.node
            if machine.running and node is not None and node.host.applied_index < self._committed[0][1]:
                detail = f"{machine.name} has applied {node.host.applied_index} of {self._committed[0][1]}"
                self.fail("behind", detail)
