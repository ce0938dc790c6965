"""Control nodes without contact to a majority, in a simulated system.

They must not acknowledge reports or orders, nor publish a catalog that may be outdated.
"""

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
from brackenladder.simulation.operators import OperatorSettings
from brackenladder.simulation.scenario import Scenario
from brackenladder.simulation.virtual_loop import VirtualEventLoop
from brackenladder.simulation.world import World

ZONE = "north-1"
IDLE = Scenario(operator_settings=OperatorSettings(), operators=0, servers=0)


def run_in_world(scenario: Callable[[World], Awaitable[None]]) -> None:
    """Runs `scenario` in a simulated system of three control nodes and three gateways."""
    loop = VirtualEventLoop()

    async def main() -> None:
        world = World(loop, 1, IDLE)
        world.boot()
        await asyncio.sleep(3)
        await scenario(world)

    loop.run_until_complete(main())
    loop.close()


def large_configuration(version: int) -> bytes:
    """A configuration of several hundred kilobytes, whose transfer takes a while."""
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


def isolate(world: World, machine: ControlMachine) -> None:
    for other in world.machines:
        if other is not machine:
            world.network.cut(machine.name, other.name)


class ContactFirstTest(TestCase):
    def test_isolated_node_acknowledges_nothing(self) -> None:
        async def scenario(world: World) -> None:
            machine = world.machines[0]
            node = machine.node
            assert node is not None
            self.assertTrue(node.soft_state.in_touch)
            isolate(world, machine)
            await asyncio.sleep(2)
            self.assertFalse(node.soft_state.in_touch)
            self.assertFalse(node.soft_state.deregister("server"))
            reply = await node.orders.submit(encode_order(BeginEvacuation(ZONE)))
            self.assertEqual(reply.outcome, OrderOutcome.UNAVAILABLE)
            self.assertNotIsInstance(await node.orders.fetch(), Success)

        run_in_world(scenario)

    def test_resumed_process_is_not_in_contact(self) -> None:
        async def scenario(world: World) -> None:
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

        run_in_world(scenario)

    def test_lagging_node_does_not_publish_its_old_catalog(self) -> None:
        async def scenario(world: World) -> None:
            leader = world.leader()
            assert leader is not None and leader.node is not None
            lagging = next(machine for machine in world.machines if machine is not leader)
            assert lagging.node is not None
            isolate(world, lagging)
            await asyncio.sleep(2)
            for version in (1, 2, 3):
                order = encode_order(ReplaceConfiguration(version - 1, large_configuration(version)))
                self.assertEqual((await leader.node.orders.submit(order)).outcome, OrderOutcome.ACCEPTED)
            newest = leader.node.catalog.revision
            world.network.heal_all()
            in_touch_while_outdated = 0
            while lagging.node.catalog.revision < newest:
                self.assertFalse(lagging.node.soft_state.may_publish_catalog)
                in_touch_while_outdated += lagging.node.soft_state.in_touch
                await asyncio.sleep(0.01)
            self.assertGreater(in_touch_while_outdated, 0)  # otherwise the test has not covered the case
            await asyncio.sleep(1)
            self.assertTrue(lagging.node.soft_state.may_publish_catalog)

        run_in_world(scenario)

    def test_overtaken_evacuation_is_not_applied(self) -> None:
        async def scenario(world: World) -> None:
            leader = world.leader()
            assert leader is not None and leader.node is not None
            for machine in world.machines:
                assert machine.node is not None
                orders = machine.node.orders
                fence = orders.newest_index()
                started = await orders.submit_evacuation(BeginEvacuation(ZONE), fence)
                self.assertEqual(started.outcome, OrderOutcome.ACCEPTED)
                for cancelled_after in (None, 0.0, 0.01, 0.08):
                    call = world.loop.create_task(orders.submit_evacuation(FinishEvacuation(ZONE), fence))
                    if cancelled_after is not None:
                        await asyncio.sleep(cancelled_after)
                        call.cancel()
                    else:
                        overtaken = await call
                        self.assertEqual(overtaken.outcome, OrderOutcome.UNAVAILABLE)
                        self.assertTrue(overtaken.outdated)
                    await asyncio.sleep(2)
                    self.assertEqual(leader.node.catalog.evacuated, {ZONE})
                finished = await orders.submit_evacuation(FinishEvacuation(ZONE), orders.newest_index())
                self.assertEqual(finished.outcome, OrderOutcome.ACCEPTED)
                self.assertEqual(leader.node.catalog.evacuated, frozenset())

        run_in_world(scenario)

    def test_outdated_evacuation_may_be_repeated_at_any_node(self) -> None:
        """A node that lags learns from the leader's reply how far the log was applied."""

        async def scenario(world: World) -> None:
            leader = world.leader()
            assert leader is not None and leader.node is not None
            for machine in world.machines:
                assert machine.node is not None
                newest = leader.node.orders.newest_index()
                started = await leader.node.orders.submit_evacuation(BeginEvacuation(ZONE), newest)
                self.assertEqual(started.outcome, OrderOutcome.ACCEPTED)
                orders = machine.node.orders  # has not heard of the commit yet, unless it leads
                finished = await orders.submit_evacuation(FinishEvacuation(ZONE), 0)
                self.assertTrue(finished.outdated)
                finished = await orders.submit_evacuation(FinishEvacuation(ZONE), orders.newest_index())
                self.assertEqual(finished.outcome, OrderOutcome.ACCEPTED)

        run_in_world(scenario)


class MaxVotersTest(TestCase):
    def test_number_of_voters_for_tolerated_losses(self) -> None:
        self.assertEqual([max_voters(losses) for losses in range(5)], [3, 3, 5, 7, 9])
