"""What a control node does not do before it has contact with a majority, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from unittest import TestCase

from returns.result import Success

from brackenladder.catalog.orders import (
    BeginEvacuation,
    FinishEvacuation,
    ReplaceConfiguration,
    encode_order,
)
from brackenladder.control_plane.membership import max_voters
from brackenladder.control_plane.messages import OrderOutcome
from brackenladder.simulation.machines import ControlMachine
from brackenladder.simulation.operators import Habits
from brackenladder.simulation.scenario import Scenario
from brackenladder.simulation.virtual_loop import VirtualEventLoop
from brackenladder.simulation.world import World

ZONE = "north-1"
IDLE = Scenario(habits=Habits(), operators=0, servers=0)


def in_a_world(play: Callable[[World], Awaitable[None]]) -> None:
    """Boots three control nodes and three gateways, and plays."""
    loop = VirtualEventLoop()

    async def main() -> None:
        world = World(loop, 1, IDLE)
        world.boot()
        await asyncio.sleep(3)
        await play(world)

    loop.run_until_complete(main())
    loop.close()


def large_configuration(version: int) -> bytes:
    """Some hundred kilobytes, which take a while to travel."""
    routes = [
        {
            "Name": f"route-{number}",
            "Hostname": "host.example",
            "PathPrefix": f"/{number}/",
            "Kind": "safe",
            "TimeoutMs": 1000,
            "Backend": "service",
            "Note": "x" * 400,
        }
        for number in range(1500)
    ]
    return json.dumps({"Version": version, "Routes": routes, "Services": [{"Name": "service"}]}).encode()


def cut_off(world: World, machine: ControlMachine) -> None:
    for other in world.machines:
        if other is not machine:
            world.network.cut(machine.name, other.name)


class ContactFirstTest(TestCase):
    def test_alone_nothing_is_acknowledged_after_a_while(self) -> None:
        async def play(world: World) -> None:
            machine = world.machines[0]
            node = machine.node
            assert node is not None
            self.assertTrue(node.soft_state.in_touch)
            cut_off(world, machine)
            await asyncio.sleep(2)
            self.assertFalse(node.soft_state.in_touch)
            self.assertFalse(node.soft_state.deregister("server"))
            reply = await node.orders.submit(encode_order(BeginEvacuation(ZONE)))
            self.assertEqual(reply.outcome, OrderOutcome.UNAVAILABLE)
            self.assertNotIsInstance(await node.orders.fetch(), Success)

        in_a_world(play)

    def test_a_node_that_stood_still_is_not_in_contact_when_it_wakes(self) -> None:
        async def play(world: World) -> None:
            machine = world.machines[0]
            assert machine.process is not None and machine.node is not None
            ages: list[int] = []
            node = machine.node
            machine.process.freeze()
            await asyncio.sleep(20)
            machine.process.when_running(lambda: ages.append(node.host.contact_age()))
            machine.process.thaw()
            await asyncio.sleep(0)
            self.assertGreater(ages[0], 15_000_000)
            await asyncio.sleep(2)
            self.assertTrue(node.soft_state.in_touch)

        in_a_world(play)

    def test_a_node_that_catches_up_does_not_tell_what_it_had_before(self) -> None:
        async def play(world: World) -> None:
            leader = world.leader()
            assert leader is not None and leader.node is not None
            late = next(machine for machine in world.machines if machine is not leader)
            assert late.node is not None
            cut_off(world, late)
            await asyncio.sleep(2)
            for version in (1, 2, 3):
                order = encode_order(ReplaceConfiguration(version - 1, large_configuration(version)))
                self.assertEqual((await leader.node.orders.submit(order)).outcome, OrderOutcome.ACCEPTED)
            newest = leader.node.catalog.revision
            world.network.heal_all()
            old_in_contact = 0
            while late.node.catalog.revision < newest:
                self.assertFalse(late.node.soft_state.may_publish_catalog)
                old_in_contact += late.node.soft_state.in_touch
                await asyncio.sleep(0.01)
            self.assertGreater(old_in_contact, 0)  # else the test shows nothing
            await asyncio.sleep(1)
            self.assertTrue(late.node.soft_state.may_publish_catalog)

        in_a_world(play)

    def test_an_evacuation_whose_caller_has_left_is_not_carried_out(self) -> None:
        async def play(world: World) -> None:
            leader = world.leader()
            assert leader is not None
            follower = next(machine for machine in world.machines if machine is not leader)
            node = follower.node
            assert node is not None and leader.node is not None
            call = world.loop.create_task(node.orders.submit_evacuation(BeginEvacuation(ZONE)))
            await asyncio.sleep(0.01)  # the round trip to the leader takes 0.07
            call.cancel()
            await asyncio.sleep(2)
            self.assertEqual(leader.node.catalog.evacuated, frozenset())

        in_a_world(play)

    def test_an_evacuation_that_another_order_overtook_is_decided_anew(self) -> None:
        async def play(world: World) -> None:
            leader = world.leader()
            assert leader is not None and leader.node is not None
            orders = leader.node.orders
            begun = await orders.submit_evacuation(BeginEvacuation(ZONE))
            self.assertEqual(begun.outcome, OrderOutcome.ACCEPTED)
            late = await orders.submit(encode_order(FinishEvacuation(ZONE, seen_revision=0)))
            self.assertEqual(late.outcome, OrderOutcome.UNAVAILABLE)
            self.assertEqual(leader.node.catalog.evacuated, {ZONE})
            finished = await orders.submit_evacuation(FinishEvacuation(ZONE))
            self.assertEqual(finished.outcome, OrderOutcome.ACCEPTED)
            self.assertEqual(leader.node.catalog.evacuated, frozenset())

        in_a_world(play)


class VotersTest(TestCase):
    def test_as_many_as_bear_the_losses_and_no_fewer_than_three(self) -> None:
        self.assertEqual([max_voters(losses) for losses in range(5)], [3, 3, 5, 7, 9])
