"""Several control nodes and one gateway with slow messages, lost links and restarts of control nodes."""

from __future__ import annotations

import unittest
from collections import deque

from delivery.delivery_samples import AT, FRESH, parse, subscribe
from hypothesis import given, settings
from hypothesis import strategies as st
from registry.registry_samples import MS, SECOND, SILENCE, draining, server

from brackenladder.delivery.messages import Ack, CatalogUpdate
from brackenladder.delivery.publisher import Publisher
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.registry.records import ServerRecord
from brackenladder.registry.registry import ServerRegistry

NAMES = "abc"
STEP = 50 * MS
HALL = frozenset({"hall-a"})


def document(revision: int) -> bytes:
    """The document at a revision; every third change is an evacuation and leaves the document unchanged."""
    return b"{%d}" % (revision - 1 if revision % 3 == 0 else revision)


def evacuated(revision: int) -> frozenset[str]:
    return HALL if revision % 3 == 0 else frozenset()


class ControlNode:
    """A control node: its position in the log, its servers and its link to the gateway."""

    def __init__(self) -> None:
        self.servers = ServerRegistry(SILENCE)
        self.publisher = Publisher(self.servers)
        self.applied = 0
        self.linked = False
        self.down: deque[object] = deque()  # messages in transit to the gateway
        self.up: deque[Ack] = deque()  # acks in transit to the control node

    def apply(self, revision: int) -> None:
        """Apply the log up to a revision, entry by entry."""
        for index in range(self.applied + 1, revision + 1):
            self.publisher.set_catalog(index, document(index), evacuated(index))
        self.applied = max(self.applied, revision)


class Scenario:
    """One gateway and its control nodes."""

    def __init__(self) -> None:
        self.now = AT
        self.revision = 0
        self.seqs = {"i-1": 0, "i-2": 0}
        self.subscriber = Subscriber(parse)
        self.controls = {name: ControlNode() for name in NAMES}
        self.revisions: list[int] = []
        self.subscriber.view.subscribe(lambda _: self.revisions.append(self.subscriber.view.revision))
        for name in NAMES:
            self.link(name)

    def link(self, name: str) -> None:
        control = self.controls[name]
        if not control.linked:
            control.linked = True
            self.subscriber.connected(self.now, name)
            message = subscribe(self.subscriber.view.revision, relay=name == NAMES[0])
            control.publisher.subscribed("gateway", message)

    def unlink(self, name: str) -> None:
        control = self.controls[name]
        if control.linked:
            control.linked = False
            control.down.clear()
            control.up.clear()
            self.subscriber.disconnected(self.now, name)
            control.publisher.disconnected("gateway")

    def restart(self, name: str) -> None:
        self.unlink(name)
        self.controls[name] = ControlNode()
        self.link(name)

    def change(self, name: str) -> None:
        """Change the catalog, and apply the change at one control node."""
        self.revision += 1
        self.controls[name].apply(self.revision)

    def heartbeat(self, name: str, server_id: str) -> None:
        self.seqs[server_id] += 1
        self.controls[name].servers.heartbeat(self.now, self.newest(server_id))

    def newest(self, server_id: str) -> ServerRecord:
        seq = self.seqs[server_id]
        return server(server_id, seq) if seq < 3 else draining(server_id, seq)

    def step(self, name: str) -> None:
        """Deliver the next message, or else the next ack, on a control node's link."""
        control = self.controls[name]
        if control.down:
            replies = self.subscriber.receive(self.now, name, control.down.popleft())
            control.up.extend(reply for reply in replies if isinstance(reply, Ack))
        elif control.up:
            control.publisher.acknowledged("gateway", control.up.popleft())
        control.down.extend(one.message for one in control.publisher.take_messages(self.now, FRESH))
        self.now += STEP
        self.subscriber.tick(self.now)

    def settle(self) -> None:
        """Open all links, bring all control nodes up to date, and deliver everything."""
        for name, control in self.controls.items():
            self.link(name)
            control.apply(self.revision)
            for server_id, seq in self.seqs.items():
                if seq:
                    control.servers.merge(self.now, [self.newest(server_id)])
        for _ in range(60):
            for name in NAMES:
                self.step(name)


NAME = st.sampled_from(NAMES)
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), NAME, st.just("")),
        st.tuples(st.just("heartbeat"), NAME, st.sampled_from(["i-1", "i-2"])),
        st.tuples(st.sampled_from(["link", "unlink", "restart", "step", "step", "step"]), NAME, st.just("")),
    ),
    max_size=40,
)


class DeliveryTest(unittest.TestCase):
    def play(self, events: list[tuple[str, str, str]]) -> Scenario:
        scenario = Scenario()
        for kind, name, server_id in events:
            if kind == "heartbeat":
                scenario.heartbeat(name, server_id)
            else:
                getattr(scenario, kind)(name)
        return scenario

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_revisions_increase_and_match_the_log(self, events: list[tuple[str, str, str]]) -> None:
        scenario = self.play(events)
        view = scenario.subscriber.view
        self.assertEqual(scenario.revisions, sorted(scenario.revisions))
        if view.revision:
            self.assertEqual(view.configuration, document(view.revision))
            self.assertEqual(view.evacuated, evacuated(view.revision))

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_the_gateway_finally_knows_everything(self, events: list[tuple[str, str, str]]) -> None:
        scenario = self.play(events)
        scenario.settle()
        view = scenario.subscriber.view
        self.assertEqual(view.revision, scenario.revision)
        self.assertEqual(scenario.subscriber.complete, view.configuration is not None)
        expected = {server_id: scenario.newest(server_id) for server_id, seq in scenario.seqs.items() if seq}
        self.assertEqual(
            {server_id: record.state for server_id, record in view.servers.items()},
            {server_id: record.state for server_id, record in expected.items()},
        )

    @settings(max_examples=100, deadline=None)
    @given(EVENTS)
    def test_a_restart_of_control_nodes_removes_no_server(self, events: list[tuple[str, str, str]]) -> None:
        scenario = Scenario()
        for server_id in scenario.seqs:
            scenario.heartbeat("a", server_id)
        scenario.settle()
        for kind, name, _ in events:
            if kind in ("link", "unlink", "restart", "step"):
                getattr(scenario, kind)(name)
        self.assertLess(scenario.now, AT + 20 * SECOND)
        self.assertEqual(set(scenario.subscriber.view.servers), {"i-1", "i-2"})

    def test_a_gateway_behind_by_many_changes_gets_one_update(self) -> None:
        scenario = Scenario()
        scenario.unlink("a")
        for _ in range(50):
            scenario.change("a")
        scenario.link("a")
        (catalog, _) = scenario.controls["a"].publisher.take_messages(AT, FRESH)
        self.assertIsInstance(catalog.message, CatalogUpdate)
        self.assertEqual(catalog.message.revision, 50)
