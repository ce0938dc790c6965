"""Several control nodes and one gateway, messages slow, links lost, control nodes restarted."""

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
    """The configuration as of a revision: each third change is an evacuation and leaves it as it was."""
    return b"{%d}" % (revision - 1 if revision % 3 == 0 else revision)


def evacuated(revision: int) -> frozenset[str]:
    return HALL if revision % 3 == 0 else frozenset()


class Control:
    """A control node: what it has applied of the log, what it knows of servers, its link to the gateway."""

    def __init__(self) -> None:
        self.servers = ServerRegistry(SILENCE)
        self.publisher = Publisher(self.servers)
        self.applied = 0
        self.linked = False
        self.down: deque[object] = deque()  # to the gateway
        self.up: deque[Ack] = deque()

    def apply(self, revision: int) -> None:
        """Apply the log up to a revision, one by one."""
        for index in range(self.applied + 1, revision + 1):
            self.publisher.set_catalog(index, document(index), evacuated(index))
        self.applied = max(self.applied, revision)


class Scene:
    """The gateway before its control nodes."""

    def __init__(self) -> None:
        self.now = AT
        self.revision = 0
        self.seqs = {"i-1": 0, "i-2": 0}
        self.subscriber = Subscriber(parse)
        self.controls = {name: Control() for name in NAMES}
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
        self.controls[name] = Control()
        self.link(name)

    def change(self, name: str) -> None:
        """The catalog changes, and one control node has applied it."""
        self.revision += 1
        self.controls[name].apply(self.revision)

    def heartbeat(self, name: str, server_id: str) -> None:
        self.seqs[server_id] += 1
        self.controls[name].servers.heartbeat(self.now, self.newest(server_id))

    def newest(self, server_id: str) -> ServerRecord:
        seq = self.seqs[server_id]
        return server(server_id, seq) if seq < 3 else draining(server_id, seq)

    def step(self, name: str) -> None:
        """One message and one ack of a control node's link arrive."""
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
        """All links stand, all control nodes catch up and know the servers; everything arrives."""
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
    def play(self, events: list[tuple[str, str, str]]) -> Scene:
        scene = Scene()
        for kind, name, server_id in events:
            if kind == "heartbeat":
                scene.heartbeat(name, server_id)
            else:
                getattr(scene, kind)(name)
        return scene

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_revisions_only_rise_and_hold_what_was_decided(self, events: list[tuple[str, str, str]]) -> None:
        scene = self.play(events)
        view = scene.subscriber.view
        self.assertEqual(scene.revisions, sorted(scene.revisions))
        if view.revision:
            self.assertEqual(view.configuration, document(view.revision))
            self.assertEqual(view.evacuated, evacuated(view.revision))

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_in_the_end_the_gateway_knows_all(self, events: list[tuple[str, str, str]]) -> None:
        scene = self.play(events)
        scene.settle()
        view = scene.subscriber.view
        self.assertEqual(view.revision, scene.revision)
        self.assertEqual(scene.subscriber.complete, view.configuration is not None)
        expected = {server_id: scene.newest(server_id) for server_id, seq in scene.seqs.items() if seq}
        self.assertEqual(
            {server_id: record.state for server_id, record in view.servers.items()},
            {server_id: record.state for server_id, record in expected.items()},
        )

    @settings(max_examples=100, deadline=None)
    @given(EVENTS)
    def test_a_restart_of_control_nodes_removes_no_server(self, events: list[tuple[str, str, str]]) -> None:
        scene = Scene()
        for server_id in scene.seqs:
            scene.heartbeat("a", server_id)
        scene.settle()
        for kind, name, _ in events:
            if kind in ("link", "unlink", "restart", "step"):
                getattr(scene, kind)(name)
        self.assertLess(scene.now, AT + 20 * SECOND)
        self.assertEqual(set(scene.subscriber.view.servers), {"i-1", "i-2"})

    def test_a_gateway_behind_by_many_changes_gets_one_update(self) -> None:
        scene = Scene()
        scene.unlink("a")
        for _ in range(50):
            scene.change("a")
        scene.link("a")
        (catalog, _) = scene.controls["a"].publisher.take_messages(AT, FRESH)
        self.assertIsInstance(catalog.message, CatalogUpdate)
        self.assertEqual(catalog.message.revision, 50)
