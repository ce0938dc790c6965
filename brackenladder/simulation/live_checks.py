"""Checks made during a run: gateways and control nodes must apply acknowledged orders in time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from brackenladder.registry.records import ServerState
from brackenladder.simulation.errors import Violation
from brackenladder.simulation.history import History, ServerAck, ZoneSeen
from brackenladder.simulation.isolation import Isolation
from brackenladder.simulation.machines import ControlMachine, GatewayMachine, ViewSeen, leading_machine
from brackenladder.simulation.scenario import SECOND
from brackenladder.simulation.virtual_loop import VirtualEventLoop

CONTACT_TIME = 4 * SECOND  # time without faults after which all machines are connected
CONFIG_TIME = 3 * SECOND  # time from an acknowledgement until every connected gateway has the configuration
DRAIN_TIME = 3 * SECOND
CATCH_UP_TIME = 10 * SECOND  # time without faults after which every node has applied all earlier commits


class LiveChecks:
    """Keeps the first violation. Times are in microseconds since the start of the run."""

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
        """`undisturbed_since` tells whether no fault has been active since shortly before a moment."""
        self.failure: Violation | None = None
        self._loop = loop
        self._history = history
        self._machines = machines
        self._gateways = gateways
        self._isolation = isolation
        self._undisturbed_since = undisturbed_since
        self._catch_up = max(CATCH_UP_TIME, catch_up)
        self._revisions: dict[tuple[int, int], int] = {}  # newest revision, by (gateway number, start)
        self._committed: deque[tuple[int, int]] = deque()  # (time, commit index of the leader at that time)

    def view_changed(self, seen: ViewSeen) -> None:
        """A gateway's revision must increase with each change and must not come from a refused order."""
        self._history.views.append(seen)
        key = (seen.gateway, seen.start)
        if seen.revision <= self._revisions.get(key, 0):
            self.fail("gateway-back", f"{seen} after revision {self._revisions[key]}")
        self._revisions[key] = max(seen.revision, self._revisions.get(key, 0))
        order = self._history.order(seen.order)
        if order is not None and order.refused:
            self.fail("refused-in-force", f"gateway {seen.gateway} shows order {order.number}")

    def server_acknowledged(self, ack: ServerAck) -> None:
        """Checks an acknowledgement. Gateways must soon stop sending requests to a draining server."""
        if ack.draining:
            self._check_drain_known(ack)
            self._loop.call_later(DRAIN_TIME / SECOND, self._check_drained, ack)

    def check(self) -> None:
        """Checks that gateways and nodes are up to date. Called periodically."""
        self._note_evacuations()
        self._check_configurations()
        self._check_caught_up()

    def fail(self, rule: str, detail: str) -> None:
        """Records a violation unless one was recorded before."""
        if self.failure is None:
            self.failure = Violation(rule, f"at {self._loop.microseconds / SECOND:.3f} s: {detail}")

    def _note_evacuations(self) -> None:
        for machine in self._machines:
            if machine.node is not None:
                catalog = machine.node.catalog
                for zone, index in catalog.zone_indexes.items():
                    seen = ZoneSeen(zone in catalog.evacuated, self._loop.microseconds)
                    self._history.evacuations.setdefault((zone, index), seen)

    def _check_drain_known(self, ack: ServerAck) -> None:
        """A drain acknowledged by an isolated node must be known to a node with a majority."""
        isolated = self._isolation.isolated_for
        if not isolated(ack.answered_at, ack.answered_by):
            return
        now = self._loop.microseconds
        with_majority = [
            machine for machine in self._machines if machine.running and not isolated(now, machine.name)
        ]
        if with_majority and all(machine.has_ready_server(ack.server) for machine in with_majority):
            self.fail("drain-untold", f"{ack.answered_by} alone has acknowledged {ack.server}")

    def _check_drained(self, ack: ServerAck) -> None:
        if not self._undisturbed_since(ack.answered_at):
            return
        for gateway in self._gateways:
            record = gateway.subscriber.view.servers.get(ack.server)
            if gateway.running and record is not None and record.state is ServerState.READY:
                self.fail("drain", f"gateway {gateway.number} sends to {ack.server}")

    def _check_configurations(self) -> None:
        """Every gateway must have applied the configurations acknowledged at least `CONFIG_TIME` ago."""
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
        """Every node must have applied all commits older than `CATCH_UP_TIME`, unless faults were active."""
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
