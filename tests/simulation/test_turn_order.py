"""Turns may begin late and run callbacks in any order, but each source's callbacks keep their order."""

from __future__ import annotations

import asyncio
from asyncio import Handle
from collections.abc import Iterable
from random import Random
from unittest import TestCase

from brackenladder.simulation.profiles import PROFILES
from brackenladder.simulation.run import run
from brackenladder.simulation.turn_order import ReadyCallback, TurnOrder
from brackenladder.simulation.virtual_loop import Process, ProcessState, VirtualEventLoop

DELAY = 20_000  # microseconds


class Link:
    """A link that delivers in one direction."""

    def __init__(self, name: str, seen: list[str]) -> None:
        self.name = name
        self.seen = seen

    def arrive(self, _direction: tuple[str, str], number: int) -> None:
        self.seen.append(f"{self.name}{number}")


class TurnOrderTest(TestCase):
    def play(self, order: TurnOrder | None) -> list[str]:
        """Returns the order in which two links deliver and two tasks run within some milliseconds."""
        loop = VirtualEventLoop(order)
        seen: list[str] = []

        async def task(name: str) -> None:
            for number in range(4):
                await asyncio.sleep(0)
                seen.append(f"{name}{number}")

        async def play() -> None:
            links = [Link("a", seen), Link("b", seen)]
            for number in range(4):
                for at, link in enumerate(links, 1_000 + 500 * number):
                    loop.call_external(at, link.arrive, (link.name, "x"), number)
            await asyncio.gather(task("t"), task("u"))
            await asyncio.sleep(0.1)

        loop.run_until_complete(play())
        loop.close()
        return seen

    def test_callbacks_run_in_ready_order_without_turn_order(self) -> None:
        seen = self.play(None)
        self.assertEqual(seen[:4], ["t0", "u0", "t1", "u1"])
        self.assertEqual(seen[-4:], ["a2", "b2", "a3", "b3"])

    def test_callbacks_of_one_source_keep_their_order(self) -> None:
        orders = set()
        for seed in range(30):
            seen = self.play(TurnOrder(Random(seed), 1.0, DELAY))
            for name in "abtu":
                self.assertEqual([one for one in seen if one[0] == name], [f"{name}{n}" for n in range(4)])
            orders.add(tuple(seen))
        self.assertGreater(len(orders), 20)

    def test_a_seed_gives_one_order(self) -> None:
        first, again = (self.play(TurnOrder(Random(3), 0.5, DELAY)) for _ in range(2))
        self.assertEqual(first, again)

    def test_share_of_late_turns(self) -> None:
        order = TurnOrder(Random(1), 0.25, DELAY)
        delays = [order.delay() for _ in range(4_000)]
        late = [delay for delay in delays if delay]
        self.assertAlmostEqual(len(late) / len(delays), 0.25, delta=0.03)
        self.assertLess(max(late), DELAY)

    def test_a_cancelled_timer_does_not_run(self) -> None:
        loop = VirtualEventLoop(TurnOrder(Random(1), 1.0, DELAY))
        seen: list[str] = []
        for number in range(200):
            loop.call_later(0.001, seen.append, f"timer {number}").cancel()
        loop.call_later(0.002, seen.append, "last")
        loop.run_for(50_000)
        loop.close()
        self.assertEqual(seen, ["last"])


class ThawTest(TestCase):
    """Tasks were lost when the caller of `thaw` resumed them from its own task."""

    def test_frozen_tasks_continue_after_thaw(self) -> None:
        loop = VirtualEventLoop()
        seen: list[int] = []

        async def work(number: int) -> None:
            await asyncio.sleep(0.01)
            seen.append(number)

        async def play() -> None:
            process = Process("one")
            tasks = [process.run(loop.create_task, work(number)) for number in range(3)]
            await asyncio.sleep(0)
            process.freeze()
            await asyncio.sleep(1.0)
            self.assertEqual(seen, [])
            process.thaw()
            self.assertIs(process.state, ProcessState.FROZEN)
            await asyncio.sleep(0)
            self.assertIs(process.state, ProcessState.RUNNING)
            await asyncio.wait(tasks)

        loop.run_until_complete(play())
        loop.close()
        self.assertEqual(sorted(seen), [0, 1, 2])

    def test_process_ended_after_thaw_stays_ended(self) -> None:
        loop = VirtualEventLoop()

        async def play() -> None:
            process = Process("one")
            process.freeze()
            process.thaw()
            process.end()
            await asyncio.sleep(0.01)
            self.assertIs(process.state, ProcessState.ENDED)

        loop.run_until_complete(play())
        loop.close()


class RegressionSeedTest(TestCase):
    def test_disk_slowed_twice_recovers(self) -> None:
        self.assertEqual(run(PROFILES["orders"], 15).rule, "")

    def test_answer_in_the_turn_of_a_thaw(self) -> None:
        self.assertEqual(run(PROFILES["answers"], 2).rule, "")


class FinalizerTest(TestCase):
    def test_a_callback_added_while_a_turn_is_arranged_is_not_lost(self) -> None:
        # The garbage collector may run finalizers then, and these add callbacks to the loop.
        ran: list[str] = []

        class AddingOrder(TurnOrder):
            """Adds a callback while the first turn is arranged, as a finalizer would."""

            def arrange(self, ready: Iterable[ReadyCallback]) -> list[Handle]:
                if not ran:
                    ran.append("added")
                    loop.call_soon(ran.append, "ran")
                return super().arrange(ready)

        loop = VirtualEventLoop(AddingOrder(Random(1), 0.0, DELAY))
        loop.run_until_complete(asyncio.sleep(0.1))
        loop.close()
        self.assertEqual(ran, ["added", "ran"])
