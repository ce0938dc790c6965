"""The checker reports planted violations, and excuses those that a recorded fault explains."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from random import Random

from attrs import evolve

from brackenladder.soak.checker import judge
from brackenladder.soak.configuration import HOME_HOST, MOVING_HOST, PLAIN_HOST, changed, initial
from brackenladder.soak.contact import CONTACT
from brackenladder.soak.events import (
    Arrived,
    Evacuated,
    Event,
    Handled,
    Lagged,
    LeaveAcknowledged,
    LogFault,
    Ordered,
    Outcome,
    ProcessEnded,
    ReadBack,
    Recovery,
    Resolved,
    Tried,
    Trouble,
    decode,
    encode,
)
from brackenladder.soak.site import SoakLayout
from brackenladder.soak.verdict import Rule

SECOND = 1_000_000
LAYOUT = SoakLayout("127.99.1", Path("/nowhere"))
GATEWAY = LAYOUT.gateways[0]  # in north-a
BEGAN = 100 * SECOND


def order(number: int, base: int, version: int, at: int, outcome: str = "ACKNOWLEDGED") -> Ordered:
    """An acknowledged order of the initial configuration."""
    whole = json.dumps(initial(number, version))
    return Ordered(
        number, "o", base, version, whole, whole, False, True, at, at + SECOND // 10, outcome, version
    )


FIRST = order(1, 0, 1, 0)


def tried(request: str, host: str = PLAIN_HOST, path: str = "/pay/1", kind: str = "unsafe") -> Tried:
    """A request of a client in north that a gateway in north served."""
    return Tried(
        BEGAN,
        request,
        "north",
        GATEWAY.front,
        host,
        path,
        kind,
        4000,
        ended=BEGAN + SECOND // 10,
        read=BEGAN + 1000,
        outcome=Outcome.SERVED,
        status=200,
        detail="cards-5.1",
    )


def arrived(request: str, zone: str = "north-a", service: str = "cards", path: str = "/pay/1") -> Arrived:
    """Arrival of the request at a server 10 ms later."""
    return Arrived(BEGAN + SECOND // 100, request, "cards-5.1", service, zone, path)


def ran(request: str) -> Handled:
    """The server ran the request."""
    return Handled(BEGAN + SECOND // 100, request, "cards-5.1")


VALID_HISTORY: list[Event] = [
    FIRST,
    ReadBack("o", 1000 * SECOND, 1001 * SECOND, 1, 1, "", final=True),
    tried("r"),
    arrived("r"),
    ran("r"),
]


def trouble(kind: str, target: str, planned: bool = False, at: int = BEGAN - SECOND) -> Trouble:
    """A fault of 0.1 s on one target."""
    return Trouble(at, at + SECOND // 10, kind, (target,), planned)


class CheckerTest(unittest.TestCase):
    def broken(self, *events: Event, without: type[Event] | None = None) -> set[Rule]:
        """Rules violated by the valid history plus these events."""
        kept = [event for event in VALID_HISTORY if without is None or not isinstance(event, without)]
        return {breach.rule for breach in judge([*kept, *events], LAYOUT).breaches}

    def broken_by(self, **changes: object) -> set[Rule]:
        """Rules violated if the valid history's request ended with these changes."""
        return self.broken(evolve(tried("r"), **changes), without=Tried)

    def test_a_valid_history_breaks_no_rule(self) -> None:
        self.assertEqual(self.broken(), set())

    def test_events_survive_encoding(self) -> None:
        for event in VALID_HISTORY:
            self.assertEqual(decode(encode(event)), event)

    # -- homes

    def test_home_by_server(self) -> None:
        misrouted = [tried("h", HOME_HOST), arrived("h", "south-a"), ran("h")]
        self.assertEqual(self.broken(*misrouted), {Rule.HOME})

    def test_home_is_excused_by_no_trouble(self) -> None:
        misrouted = [tried("h", HOME_HOST), arrived("h", "south-a"), ran("h")]
        excuses = [trouble("kill", GATEWAY.name), trouble("pause", "control-0")]
        self.assertEqual(self.broken(*misrouted, *excuses), {Rule.HOME})

    def test_home_by_directory(self) -> None:
        answer = Resolved(BEGAN, "east", "east-a", HOME_HOST, LAYOUT.control[0].directory, (GATEWAY.front,))
        south = LAYOUT.gateways[1].front
        self.assertEqual(self.broken(answer), set())
        self.assertEqual(self.broken(evolve(answer, addresses=(GATEWAY.front, south))), {Rule.HOME})
        self.assertEqual(self.broken(evolve(answer, addresses=(south,), host=PLAIN_HOST)), set())

    def test_changed_homes_apply_to_a_gateway_in_contact(self) -> None:
        document = initial(2, 2)
        for route in document["Routes"]:
            if route["Hostname"] == MOVING_HOST:
                route["HomeRegions"] = ["north"]
        moved = evolve(order(2, 1, 2, BEGAN - 10 * SECOND), whole=json.dumps(document))
        misrouted = [moved, tried("m", MOVING_HOST), arrived("m", "south-a"), ran("m")]
        read = ReadBack("o", 1000 * SECOND, 1001 * SECOND, 2, 2, "", final=True)
        self.assertEqual(self.broken(*misrouted, read, without=ReadBack), {Rule.HOME})
        out_of_contact = trouble("pause", GATEWAY.name)
        self.assertEqual(self.broken(*misrouted, read, out_of_contact, without=ReadBack), set())
        late = evolve(moved, ended=BEGAN - SECOND)  # acknowledged less than ConfigMs earlier
        self.assertEqual(self.broken(late, *misrouted[1:], read, without=ReadBack), set())

    # -- requests

    def test_twice(self) -> None:
        self.assertEqual(self.broken(ran("r")), {Rule.TWICE})

    def test_a_safe_request_may_run_twice(self) -> None:
        events = [tried("s", path="/cards/1", kind="safe"), arrived("s", path="/cards/1"), ran("s"), ran("s")]
        self.assertEqual(self.broken(*events), set())

    def test_refused_though_it_ran(self) -> None:
        self.assertEqual(self.broken_by(outcome=Outcome.REFUSED, status=503), {Rule.REFUSED})

    def test_tries_with_one_id_are_judged_separately(self) -> None:
        refused = evolve(tried("t"), began=BEGAN - SECOND, ended=BEGAN - SECOND // 2)
        refused.outcome, refused.status = Outcome.REFUSED, 503
        served = [tried("t"), arrived("t"), ran("t")]
        self.assertEqual(self.broken(refused, *served), set())
        earlier = evolve(ran("t"), at=BEGAN - SECOND // 4)
        self.assertEqual(self.broken(refused, *served[:2], earlier), {Rule.REFUSED})
        self.assertEqual(self.broken(refused, *served, earlier), {Rule.REFUSED, Rule.TWICE})
        refused_later = evolve(served[0], outcome=Outcome.REFUSED, status=503)
        self.assertEqual(self.broken(refused, refused_later, *served[1:]), {Rule.REFUSED})

    def test_an_arrival_belongs_to_the_try_that_had_begun(self) -> None:
        north, south = LAYOUT.gateways[0].front, LAYOUT.gateways[1].front
        refused = evolve(tried("t"), began=BEGAN - SECOND, ended=BEGAN - SECOND // 2, gateway=south)
        refused.outcome, refused.status = Outcome.REFUSED, 503
        left = LeaveAcknowledged(BEGAN - 4 * SECOND, "cards-6.1")
        late = evolve(arrived("t"), server="cards-6.1")
        run = evolve(ran("t"), server="cards-6.1")
        events = [refused, evolve(tried("t"), gateway=north, detail="cards-6.1"), late, run, left]
        self.assertEqual(self.broken(*events), {Rule.DRAIN})
        self.assertEqual(self.broken(*events, trouble("pause", LAYOUT.gateways[1].name)), {Rule.DRAIN})
        self.assertEqual(self.broken(*events, trouble("pause", LAYOUT.gateways[0].name)), set())

    def test_unasked(self) -> None:
        self.assertEqual(self.broken(arrived("x"), ran("x")), {Rule.UNASKED})
        self.assertIn(Rule.UNASKED, self.broken(arrived("r", path="/cards/1")))

    def test_mixed(self) -> None:
        self.assertEqual(self.broken_by(outcome=Outcome.MIXED), {Rule.MIXED})
        self.assertEqual(self.broken_by(detail="cards-6.1"), {Rule.MIXED})
        self.assertEqual(self.broken(without=Handled), {Rule.MIXED})

    def test_denied(self) -> None:
        self.assertEqual(self.broken_by(outcome=Outcome.FAILED, status=404, detail="final"), {Rule.DENIED})

    # -- servers that leave, and zones

    def test_drain(self) -> None:
        left = LeaveAcknowledged(BEGAN - 4 * SECOND, "cards-5.1")
        self.assertEqual(self.broken(left), {Rule.DRAIN})
        self.assertEqual(self.broken(evolve(left, at=BEGAN - 2 * SECOND)), set())

    def test_drain_applies_to_machines_in_contact_and_running_servers(self) -> None:
        left = LeaveAcknowledged(BEGAN - 4 * SECOND, "cards-5.1")
        for target in (GATEWAY.name, "control-1", "servers-north"):
            self.assertEqual(self.broken(left, trouble("pause", target)), set(), target)
        for target in ("gateway-1", "servers-south"):
            self.assertEqual(self.broken(left, trouble("pause", target)), {Rule.DRAIN}, target)
        old = trouble("pause", GATEWAY.name, at=BEGAN - CONTACT - SECOND)
        self.assertEqual(self.broken(left, old), {Rule.DRAIN})
        lag = Lagged(BEGAN - SECOND, BEGAN, "servers-north")
        self.assertEqual(self.broken(left, lag), set())

    def test_a_request_for_another_instance_is_no_drain(self) -> None:
        left = LeaveAcknowledged(BEGAN - 4 * SECOND, "cards-5.1")
        turned = Handled(BEGAN, "o", "cards-5.1", 421)
        refused = evolve(tried("o"), outcome=Outcome.REFUSED, status=503)
        # Only the valid history's request is late.
        self.assertEqual(self.broken(left, refused, arrived("o"), turned), {Rule.DRAIN})
        verdict = judge([*VALID_HISTORY, left, refused, arrived("o"), turned], LAYOUT)
        self.assertEqual(len(verdict.breaches), 1)

    def test_evacuation(self) -> None:
        begun = Evacuated("north-a", True, BEGAN - 7 * SECOND, BEGAN - 6 * SECOND, True)
        finished = Evacuated("north-a", False, BEGAN - SECOND, BEGAN, True)
        self.assertEqual(self.broken(begun), {Rule.EVAC})
        self.assertEqual(self.broken(begun, finished), set())
        self.assertEqual(self.broken(evolve(begun, acknowledged=False)), set())
        self.assertEqual(self.broken(evolve(begun, zone="north-b")), set())
        self.assertEqual(self.broken(evolve(begun, ended=BEGAN - 4 * SECOND)), set())

    # -- configuration

    def test_a_service_that_no_version_names(self) -> None:
        events = [tried("c"), arrived("c", service="forms"), ran("c")]
        self.assertEqual(self.broken(*events), {Rule.CONFIG})

    def test_an_order_that_is_lost(self) -> None:
        # A later read still returns version 1.
        self.assertEqual(self.broken(order(2, 1, 2, 10 * SECOND)), {Rule.CONFIG})

    def test_two_orders_on_one_base(self) -> None:
        orders = [order(2, 1, 2, 10 * SECOND), order(3, 1, 3, 10 * SECOND)]
        read = ReadBack("o", 1000 * SECOND, 1001 * SECOND, 3, 3, "", final=True)
        self.assertEqual(self.broken(*orders, read, without=ReadBack), {Rule.CONFIG})

    def test_a_refused_order_in_force(self) -> None:
        refused = evolve(order(2, 5, 6, 10 * SECOND, "CONFLICT"), told_version=1)
        read = ReadBack("o", 1000 * SECOND, 1001 * SECOND, 6, 2, "", final=True)
        self.assertEqual(self.broken(refused, read, without=ReadBack), {Rule.CONFIG})

    def test_no_configuration_at_the_end(self) -> None:
        self.assertEqual(self.broken(without=ReadBack), {Rule.CONFIG})

    def test_a_repeat_that_is_refused(self) -> None:
        for status, rules in ((412, {Rule.CONFIG}), (200, set()), (0, set())):
            repeated = evolve(FIRST, repeat_status=status)
            self.assertEqual(self.broken(repeated, without=Ordered), rules)

    # -- planned work

    def test_lost(self) -> None:
        self.assertEqual(self.broken_by(outcome=Outcome.CLOSED), {Rule.LOST})

    def test_only_unplanned_faults_excuse_a_lost_request(self) -> None:
        closed = evolve(tried("r"), outcome=Outcome.CLOSED)
        for planned, rules in ((True, {Rule.LOST}), (False, set())):
            near = trouble("roll", GATEWAY.name, planned)
            self.assertEqual(self.broken(closed, near, without=Tried), rules)

    def test_not_lost(self) -> None:
        closed = evolve(tried("n"), outcome=Outcome.CLOSED, ended=BEGAN + SECOND // 100)
        # Sent while the connection was closing, and not forwarded.
        self.assertEqual(self.broken(closed), set())
        self.assertEqual(self.broken(evolve(closed, ended=BEGAN + SECOND)), {Rule.LOST})
        # By then most of its deadline was used.
        self.assertEqual(self.broken(evolve(closed, ended=BEGAN + 3 * SECOND)), set())

    # -- processes

    def test_ended(self) -> None:
        self.assertEqual(self.broken(ProcessEnded(BEGAN, "gateway-0", 1, "ended by itself")), {Rule.ENDED})
        self.assertEqual(self.broken(ProcessEnded(BEGAN, "gateway-0", -9)), set())

    def test_log(self) -> None:
        self.assertEqual(self.broken(LogFault("gateway-0", "invariant broken: HOME")), {Rule.LOG})

    def test_recover(self) -> None:
        back = Recovery(BEGAN, BEGAN, ())
        served = [
            evolve(tried(f"{region} {host}"), region=region, host=host, began=BEGAN + SECOND, read=0)
            for region in ("north", "south", "east")
            for host in (PLAIN_HOST, HOME_HOST, MOVING_HOST)
        ]
        support = [
            event
            for one in served
            for event in (
                arrived(one.request, "south-a" if one.host == MOVING_HOST else "north-a"),
                ran(one.request),
            )
        ]
        self.assertEqual(self.broken(back, *served, *support), set())
        self.assertEqual(self.broken(back, *served[:-1], *support[:-2]), {Rule.RECOVER})
        self.assertEqual(self.broken(evolve(back, missing=("gateway-0 is not ready",))), {Rule.RECOVER})
        # A host without served requests is excused only if all servers in its home regions are leaving.
        refused = [
            evolve(one, outcome=Outcome.REFUSED, status=503) if one.host == MOVING_HOST else one
            for one in served
        ]
        homes = [one.id for one in LAYOUT.servers() if one.service == "cards" and "south" in one.zone]
        leaves = [trouble("server-drain", server, planned=True) for server in homes]
        ran_elsewhere = [
            event
            for event in support
            if not any(one.request == event.request and one.host == MOVING_HOST for one in refused)
        ]
        self.assertEqual(self.broken(back, *refused, *ran_elsewhere, *leaves), set())
        self.assertEqual(self.broken(back, *refused, *ran_elsewhere, *leaves[1:]), {Rule.RECOVER})


class ConfigurationTest(unittest.TestCase):
    def test_a_change_and_its_update_are_valid_and_say_the_same(self) -> None:
        base = initial(1, 1)
        for seed in range(50):
            document, update = changed(base, seed + 2, base["Version"] + 1, Random(seed))
            by_name = {route["Name"]: route for route in base["Routes"]}
            by_name |= {route["Name"]: route for route in update["Upsert"]["Routes"]}
            self.assertEqual(list(by_name.values()), document["Routes"])
            base = document
