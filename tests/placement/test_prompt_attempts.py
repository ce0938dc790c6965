"""What a service's module refuses, sends again, books, and sends to cold servers."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from placement_stage import (
    BUDGET,
    COLD,
    MS,
    SECOND,
    Failed,
    Refused,
    Sent,
    Stage,
    route,
    servers_in,
    traits,
)

from brackenladder.catalog.configuration import RouteKind
from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome

NORTH = servers_in("north-1", 4)
SOUTH = servers_in("south-1", 3)
ISLE = servers_in("isle-1", 2)


class LimitTest(unittest.TestCase):
    def test_nothing_is_refused_while_servers_have_free_places(self) -> None:
        stage = Stage(servers_in("north-1", 5), gateways=7)
        rng = Random(3)
        out: list[Sent] = []
        for _ in range(2000):  # in clumps, with slow answers now and then, and minRTT passes between
            stage.now += int(rng.expovariate(4.0) * SECOND)
            for _ in range(3):
                out.append(stage.send(traits(f"s-{rng.randrange(50)}", str(rng.random()))))
            while out and rng.random() < 0.85:
                sent = out.pop(rng.randrange(len(out)))
                stage.end(sent, latency=rng.choice((60, 90, 200, 2500)) * MS)
                stage.module.stream_ended(stage.now, sent.request)
        self.assertGreater(stage.module.controller.passes, 3)

    def test_beyond_the_share_of_the_places_calls_are_refused_at_once(self) -> None:
        stage = Stage(servers_in("north-1", 5), gateways=7)
        asked = []
        for _ in range(120):
            stage.now += 50 * MS
            asked.append(stage.ask())
        sent = sum(isinstance(one, Sent) for one in asked)
        self.assertGreaterEqual(sent, 5 * 64 // 7 - 3)
        self.assertLess(sent, 80)
        last = asked[-1]
        assert isinstance(last, Refused)
        self.assertEqual(last.retry_after, 100 * MS)

    def test_servers_that_turn_calls_away_have_no_free_places(self) -> None:
        stage = Stage(servers_in("north-1", 5), gateways=7)
        for _ in range(30):
            sent = stage.ask()
            if isinstance(sent, Sent):
                stage.end(sent, Outcome.REJECTED, latency=MS)
        self.assertLess(stage.module.free_places(stage.now), 10)
        self.assertEqual(stage.module.free_places(stage.now + 2 * SECOND), 5 * 64 / 7)

    def test_less_urgent_calls_are_refused_first(self) -> None:
        stage = Stage(servers_in("north-1", 2), gateways=7, slots=32)
        urgent, patient = traits(of=route(priority=0)), traits(of=route(priority=2))
        refused: Counter[int] = Counter()
        for _ in range(100):
            for one in (urgent, patient):
                stage.now += 50 * MS
                refused[one.route.priority] += isinstance(stage.ask(one), Refused)
        self.assertGreater(refused[2], refused[0])

    def test_a_long_prompt_is_no_overload(self) -> None:
        stage = Stage(NORTH, gateways=2)
        for number in range(200):
            long = traits(f"subject-{number}", f"own-{number}")
            stage.serve(long, latency=170 * MS)  # 5,000 tokens at 40 a millisecond, and 45 ms
        target = stage.module.controller.target[1]
        self.assertLess(stage.module.mean_rtt[1], 0.3 * target)
        self.assertLess(stage.module.controller.sample_rtt, 0.5)

    def test_what_is_larger_than_a_servers_memory_is_refused_at_once(self) -> None:
        stage = Stage(NORTH, kv_tokens=5000)
        self.assertIsInstance(stage.ask(traits("subject")), Refused)
        self.assertEqual((stage.module.jobs, stage.module.requests), ({}, {}))


class RepeatsTest(unittest.TestCase):
    def unsafe(self, attempts: int = 2) -> Stage:
        stage = Stage(NORTH)
        self.traits = traits(of=route(kind=RouteKind.UNSAFE, max_attempts=attempts))
        for _ in range(20):
            stage.serve(self.traits)
        return stage

    def test_an_unsafe_call_that_may_have_run_is_not_repeated(self) -> None:
        for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.UNKNOWN):
            stage = self.unsafe()
            self.assertIsInstance(stage.end(stage.send(self.traits), outcome), Failed)

    def test_what_never_ran_goes_to_another_server(self) -> None:
        for outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            stage = self.unsafe(attempts=1)
            sent = stage.send(self.traits)
            again = stage.end(sent, outcome)
            assert isinstance(again, Sent)
            self.assertNotEqual(again.server, sent.server)

    def test_turned_away_twice_it_is_refused(self) -> None:
        stage = self.unsafe(attempts=1)
        again = stage.end(stage.send(self.traits), Outcome.REJECTED)
        assert isinstance(again, Sent)
        self.assertIsInstance(stage.end(again, Outcome.REJECTED, attempt=1), Refused)

    def test_turned_away_and_then_lost_it_is_not_promised_not_to_have_run(self) -> None:
        stage = self.unsafe(attempts=2)
        again = stage.end(stage.send(self.traits), Outcome.REJECTED)
        assert isinstance(again, Sent)
        self.assertIsInstance(stage.end(again, Outcome.RESET, attempt=1), Failed)

    def test_an_idempotent_call_runs_on_no_more_servers_than_allowed(self) -> None:
        stage = Stage(NORTH)
        safe = traits(of=route(max_attempts=2, resumable=True), idempotent=True)
        again = stage.end(stage.send(safe), Outcome.RESET)
        assert isinstance(again, Sent)
        self.assertIsInstance(stage.end(again, Outcome.RESET, attempt=1), Refused)

    def test_its_first_try_leaves_time_for_the_second(self) -> None:
        stage = Stage(NORTH)
        safe = traits(of=route(max_attempts=2, resumable=True), idempotent=True)
        self.assertLess(stage.send(safe, left=3 * SECOND).timeout, 2 * SECOND)
        once = traits(of=route(max_attempts=1, resumable=True), idempotent=True)
        self.assertEqual(stage.send(once, left=3 * SECOND).timeout, 3 * SECOND)

    def test_repeats_keep_to_the_budget_and_unsent_ones_are_free(self) -> None:
        stage = Stage(servers_in("north-1", 12), gateways=7)
        repeats = 0
        for _ in range(200):
            sent = stage.ask()
            if isinstance(sent, Sent):
                stage.now += 10 * MS
                repeats += isinstance(stage.end(sent, Outcome.REJECTED, latency=MS), Sent)
        self.assertGreater(repeats, 2)
        self.assertLessEqual(repeats, 0.5 * BUDGET.ratio * 200 + 0.7 * BUDGET.slack / 7)
        stage.now += 20 * SECOND
        unsent = [stage.end(stage.send(), Outcome.CONNECT_FAILED, latency=MS) for _ in range(2)]
        self.assertTrue(all(isinstance(one, Sent) for one in unsent))

    def test_gateways_that_do_not_know_how_many_they_are_repeat_nothing(self) -> None:
        stage = Stage(NORTH)
        stage.site.gateways_known = False
        self.assertIsInstance(stage.end(stage.send(), Outcome.REJECTED, latency=MS), Refused)
        stage.site.gateways_known = True
        self.assertIsInstance(stage.end(stage.send(), Outcome.REJECTED, latency=MS), Sent)

    def test_a_resumed_stream_takes_from_the_budget(self) -> None:
        stage = Stage(NORTH, gateways=54)  # 0.7 of a repeat from the slack
        first = next(iter(NORTH))
        resumed = traits(
            of=route(max_attempts=2, resumable=True), idempotent=True, exclude=frozenset((first,))
        )
        self.assertIsInstance(stage.ask(resumed), Refused)
        for _ in range(10):
            stage.serve(latency=MS)
        self.assertIsInstance(stage.ask(resumed), Sent)
        self.assertIsInstance(stage.ask(resumed), Refused)

    def test_a_resumed_stream_keeps_to_the_attempts_of_its_route(self) -> None:
        stage = Stage(NORTH)
        first, second, *_ = NORTH
        asked = traits(
            of=route(max_attempts=2, resumable=True), idempotent=True, exclude=frozenset((first, second))
        )
        self.assertIsInstance(stage.ask(asked), Refused)

    def test_a_trial_leaves_neither_the_homes_nor_the_cold_share(self) -> None:
        stage = Stage(NORTH, cold=COLD)
        aside = next(iter(NORTH))
        server = stage.module.servers[number_of(aside)]
        stage.module.eject(stage.now, server, silent=False)
        stage.now += 20 * SECOND
        elsewhere = traits(of=route(homes=("isle",), resumable=True), idempotent=True)
        self.assertIsInstance(stage.ask(elsewhere), Refused)
        stage.cold_until[aside] = stage.now + 3 * SECOND
        safe = traits(of=route(resumable=True), idempotent=True)
        self.assertNotEqual(stage.serve(safe).server, aside)
        stage.cold_until[aside] = 0
        self.assertEqual(stage.serve(safe).server, aside)

    def test_a_server_set_aside_gets_a_trial_though_all_calls_are_unsafe(self) -> None:
        stage = self.unsafe()
        bad = next(iter(NORTH))
        stage.module.eject(stage.now, stage.module.servers[number_of(bad)], silent=False)
        self.assertNotIn(bad, [stage.serve(self.traits, latency=20 * MS).server for _ in range(30)])
        stage.now += 10 * SECOND
        found = [stage.serve(self.traits, latency=20 * MS).server for _ in range(30)]
        self.assertIn(bad, found)
        self.assertFalse(stage.module.ejected)


class LoadTest(unittest.TestCase):
    def test_all_that_was_booked_is_given_back(self) -> None:
        stage = Stage(NORTH | SOUTH, gateways=3)
        rng = Random(5)
        out: list[Sent] = []
        running: list[Sent] = []
        for number in range(600):
            stage.now += 20 * MS
            asked = stage.ask(traits(f"s-{rng.randrange(9)}", str(number)))
            if isinstance(asked, Sent):
                out.append(asked)
            if out and rng.random() < 0.7:
                sent = out.pop(rng.randrange(len(out)))
                if rng.random() < 0.2:
                    stage.module.client_left(stage.now, sent.request)
                    stage.end(sent, Outcome.CANCELLED)
                elif rng.random() < 0.2:
                    stage.end(sent, Outcome.RESET)
                elif rng.random() < 0.2:  # the stream is over before the module hears of its first event
                    stage.module.stream_ended(stage.now, sent.request)
                    stage.end(sent)
                else:
                    stage.end(sent)
                    running.append(sent)
        for sent in out:
            stage.end(sent)
        for sent in out + running:
            stage.module.stream_ended(stage.now, sent.request)
        loads = stage.module.costs.loads
        self.assertEqual((loads.streams, loads.tokens), (0, 0))
        self.assertTrue(all(load.streams == load.tokens == 0 for load in loads.servers.values()))
        self.assertEqual(
            (stage.module.jobs, stage.module.in_flight.out, stage.module.in_flight.streams), ({}, {}, {})
        )

    def test_loads_of_servers_that_are_gone_are_forgotten(self) -> None:
        stage = Stage(NORTH)
        stage.serve(traits("subject"))
        stage.list(SOUTH)
        self.assertEqual(stage.module.costs.loads.servers, {})


class ColdTest(unittest.TestCase):
    def test_a_cold_server_gets_its_share_only(self) -> None:
        stage = Stage(NORTH, gateways=7, cold=COLD)
        cold = next(iter(NORTH))
        stage.cold_until[cold] = stage.now + 3 * SECOND
        times: list[int] = []
        for _ in range(300):
            stage.now += 10 * MS
            sent = stage.send()
            stage.end(sent, latency=20 * MS)
            stage.module.stream_ended(stage.now, sent.request)
            if sent.server == cold:
                times.append(stage.now)
        self.assertTrue(2 <= len(times) <= 1 + 3 * (0.75 * COLD.calls / 7 - 1) + 1, times)
        stage.now += SECOND
        warm = Counter(stage.serve(latency=5 * MS).server for _ in range(200))
        self.assertGreater(warm[cold], 25)

    def test_gateways_that_do_not_know_how_many_they_are_keep_the_sum(self) -> None:
        sent = Counter[str]()
        for number in range(7):
            stage = Stage(NORTH, name=f"front-{number}", seed=number, cold=COLD)
            stage.site.gateways_known = False
            cold = next(iter(NORTH))
            stage.cold_until[cold] = stage.now + 3 * SECOND
            for _ in range(100):  # within a second
                stage.now += 10 * MS
                sent[stage.serve(latency=MS).server] += 1
        self.assertLessEqual(sent[cold], COLD.calls)

    def test_where_all_are_cold_and_have_had_their_share_calls_are_refused(self) -> None:
        stage = Stage(NORTH, gateways=7, cold=COLD)
        for server in NORTH:
            stage.cold_until[server] = stage.now + 3 * SECOND
        asked = [stage.ask() for _ in range(50)]
        self.assertLessEqual(sum(isinstance(one, Sent) for one in asked), len(NORTH))


if __name__ == "__main__":
    unittest.main()
