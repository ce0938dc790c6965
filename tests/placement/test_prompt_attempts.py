"""Refusals, retries, load accounting and cold servers in the balancer of a service."""

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
    def test_nothing_is_refused_while_servers_have_free_slots(self) -> None:
        stage = Stage(servers_in("north-1", 5), gateways=7)
        rng = Random(3)
        out: list[Sent] = []
        for _ in range(2000):  # in bursts, with some slow answers and minRTT passes
            stage.now += int(rng.expovariate(4.0) * SECOND)
            for _ in range(3):
                out.append(stage.send(traits(f"s-{rng.randrange(50)}", str(rng.random()))))
            while out and rng.random() < 0.85:
                sent = out.pop(rng.randrange(len(out)))
                stage.end(sent, latency=rng.choice((60, 90, 200, 2500)) * MS)
                stage.module.stream_ended(stage.now, sent.request)
        self.assertGreater(stage.module.controller.passes, 3)

    def test_calls_beyond_the_share_of_the_slots_are_refused_at_once(self) -> None:
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

    def test_servers_that_reject_calls_have_no_free_slots(self) -> None:
        stage = Stage(servers_in("north-1", 5), gateways=7)
        for _ in range(30):
            sent = stage.ask()
            if isinstance(sent, Sent):
                stage.end(sent, Outcome.REJECTED, latency=MS)
        self.assertLess(stage.module.free_slots(stage.now), 10)
        self.assertEqual(stage.module.free_slots(stage.now + 2 * SECOND), 5 * 64 / 7)

    def test_less_urgent_calls_are_refused_first(self) -> None:
        stage = Stage(servers_in("north-1", 2), gateways=7, slots=32)
        urgent, patient = traits(of=route(priority=0)), traits(of=route(priority=2))
        refused: Counter[int] = Counter()
        for _ in range(100):
            for one in (urgent, patient):
                stage.now += 50 * MS
                refused[one.route.priority] += isinstance(stage.ask(one), Refused)
        self.assertGreater(refused[2], refused[0])

    def test_a_long_prompt_does_not_look_like_overload(self) -> None:
        stage = Stage(NORTH, gateways=2)
        for number in range(200):
            long = traits(f"subject-{number}", f"own-{number}")
            stage.serve(long, latency=170 * MS)  # 5,000 tokens at 40 a millisecond, and 45 ms
        target = stage.module.controller.target[1]
        self.assertLess(stage.module.mean_rtt[1], 0.3 * target)
        self.assertLess(stage.module.controller.sample_rtt, 0.5)

    def test_a_prompt_larger_than_a_server_s_cache_is_refused_at_once(self) -> None:
        stage = Stage(NORTH, kv_tokens=5000)
        self.assertIsInstance(stage.ask(traits("subject")), Refused)
        self.assertEqual((stage.module.jobs, stage.module.requests), ({}, {}))


class RetriesTest(unittest.TestCase):
    def unsafe(self, attempts: int = 2) -> Stage:
        stage = Stage(NORTH)
        self.traits = traits(of=route(kind=RouteKind.UNSAFE, max_attempts=attempts))
        for _ in range(20):
            stage.serve(self.traits)
        return stage

    def test_an_unsafe_call_that_may_have_run_is_not_retried(self) -> None:
        for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.UNKNOWN):
            stage = self.unsafe()
            self.assertIsInstance(stage.end(stage.send(self.traits), outcome), Failed)

    def test_a_call_that_never_ran_is_retried_at_another_server(self) -> None:
        for outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            stage = self.unsafe(attempts=1)
            sent = stage.send(self.traits)
            again = stage.end(sent, outcome)
            assert isinstance(again, Sent)
            self.assertNotEqual(again.server, sent.server)

    def test_a_call_rejected_twice_is_refused(self) -> None:
        stage = self.unsafe(attempts=1)
        again = stage.end(stage.send(self.traits), Outcome.REJECTED)
        assert isinstance(again, Sent)
        self.assertIsInstance(stage.end(again, Outcome.REJECTED, attempt=1), Refused)

    def test_a_call_rejected_and_then_reset_is_failed_not_refused(self) -> None:
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

    def test_the_first_attempt_leaves_time_for_a_retry(self) -> None:
        stage = Stage(NORTH)
        safe = traits(of=route(max_attempts=2, resumable=True), idempotent=True)
        self.assertLess(stage.send(safe, left=3 * SECOND).timeout, 2 * SECOND)
        once = traits(of=route(max_attempts=1, resumable=True), idempotent=True)
        self.assertEqual(stage.send(once, left=3 * SECOND).timeout, 3 * SECOND)

    def test_retries_respect_the_budget_and_unsent_attempts_are_free(self) -> None:
        stage = Stage(servers_in("north-1", 12), gateways=7)
        retries = 0
        for _ in range(200):
            sent = stage.ask()
            if isinstance(sent, Sent):
                stage.now += 10 * MS
                retries += isinstance(stage.end(sent, Outcome.REJECTED, latency=MS), Sent)
        self.assertGreater(retries, 2)
        self.assertLessEqual(retries, 0.5 * BUDGET.ratio * 200 + 0.7 * BUDGET.slack / 7)
        stage.now += 20 * SECOND
        unsent = [stage.end(stage.send(), Outcome.CONNECT_FAILED, latency=MS) for _ in range(2)]
        self.assertTrue(all(isinstance(one, Sent) for one in unsent))

    def test_without_the_number_of_gateways_nothing_is_retried(self) -> None:
        stage = Stage(NORTH)
        stage.site.gateways_known = False
        self.assertIsInstance(stage.end(stage.send(), Outcome.REJECTED, latency=MS), Refused)
        stage.site.gateways_known = True
        self.assertIsInstance(stage.end(stage.send(), Outcome.REJECTED, latency=MS), Sent)

    def test_a_resumed_stream_uses_the_retry_budget(self) -> None:
        stage = Stage(NORTH, gateways=54)  # 0.7 of a retry from the slack
        first = next(iter(NORTH))
        resumed = traits(
            of=route(max_attempts=2, resumable=True), idempotent=True, exclude=frozenset((first,))
        )
        self.assertIsInstance(stage.ask(resumed), Refused)
        for _ in range(10):
            stage.serve(latency=MS)
        self.assertIsInstance(stage.ask(resumed), Sent)
        self.assertIsInstance(stage.ask(resumed), Refused)

    def test_a_resumed_stream_respects_the_attempt_limit_of_its_route(self) -> None:
        stage = Stage(NORTH)
        first, second, *_ = NORTH
        asked = traits(
            of=route(max_attempts=2, resumable=True), idempotent=True, exclude=frozenset((first, second))
        )
        self.assertIsInstance(stage.ask(asked), Refused)

    def test_a_trial_respects_home_regions_and_the_cold_share(self) -> None:
        stage = Stage(NORTH, cold=COLD)
        ejected = next(iter(NORTH))
        server = stage.module.servers[number_of(ejected)]
        stage.module.eject(stage.now, server, silent=False)
        stage.now += 20 * SECOND
        elsewhere = traits(of=route(homes=("isle",), resumable=True), idempotent=True)
        self.assertIsInstance(stage.ask(elsewhere), Refused)
        stage.cold_until[ejected] = stage.now + 3 * SECOND
        safe = traits(of=route(resumable=True), idempotent=True)
        self.assertNotEqual(stage.serve(safe).server, ejected)
        stage.cold_until[ejected] = 0
        self.assertEqual(stage.serve(safe).server, ejected)

    def test_an_ejected_server_gets_a_trial_even_if_all_calls_are_unsafe(self) -> None:
        stage = self.unsafe()
        bad = next(iter(NORTH))
        stage.module.eject(stage.now, stage.module.servers[number_of(bad)], silent=False)
        self.assertNotIn(bad, [stage.serve(self.traits, latency=20 * MS).server for _ in range(30)])
        stage.now += 10 * SECOND
        found = [stage.serve(self.traits, latency=20 * MS).server for _ in range(30)]
        self.assertIn(bad, found)
        self.assertFalse(stage.module.ejected)


class LoadTest(unittest.TestCase):
    def test_all_load_is_released_when_calls_have_ended(self) -> None:
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
                elif rng.random() < 0.2:  # the stream ends before its first event is reported
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
            (stage.module.jobs, stage.module.in_flight.attempts, stage.module.in_flight.streams), ({}, {}, {})
        )

    def test_loads_of_removed_servers_are_dropped(self) -> None:
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

    def test_without_the_number_of_gateways_the_cold_bound_holds(self) -> None:
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

    def test_calls_are_refused_if_all_servers_are_cold_and_their_shares_used(self) -> None:
        stage = Stage(NORTH, gateways=7, cold=COLD)
        for server in NORTH:
            stage.cold_until[server] = stage.now + 3 * SECOND
        asked = [stage.ask() for _ in range(50)]
        self.assertLessEqual(sum(isinstance(one, Sent) for one in asked), len(NORTH))


if __name__ == "__main__":
    unittest.main()
