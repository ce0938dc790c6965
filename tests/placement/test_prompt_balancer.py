"""Server selection: by load, prefix cache and region."""

from __future__ import annotations

import unittest
from collections import Counter

from placement_stage import (
    MS,
    SECOND,
    Refused,
    Sent,
    Stage,
    route,
    servers_in,
    traits,
)

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome
from brackenladder.placement.cost import new_job
from brackenladder.placement.parameters import DEFAULT_PARAMETERS, PlacementParameters

NORTH = servers_in("north-1", 4)
SOUTH = servers_in("south-1", 3)
ISLE = servers_in("isle-1", 2)


class LoadBalancingTest(unittest.TestCase):
    def test_calls_without_parts_spread_over_the_region(self) -> None:
        stage = Stage(NORTH | SOUTH)
        for _ in range(400):
            stage.serve()
        counts = stage.counts()
        self.assertEqual(set(counts), set(NORTH))
        self.assertGreater(min(counts.values()), 40)

    def test_the_less_busy_of_two_takes_the_call(self) -> None:
        stage = Stage(NORTH)
        load = Counter(stage.send().server for _ in range(40))
        self.assertLessEqual(max(load.values()) - min(load.values()), 3)

    def test_a_server_that_answers_slowly_is_avoided(self) -> None:
        stage = Stage(NORTH)
        slow = next(iter(NORTH))
        for _ in range(300):
            sent = stage.send()
            latency = 600 * MS if sent.server == slow else 50 * MS
            stage.now += latency
            stage.end(sent, latency=latency)
            stage.module.stream_ended(stage.now, sent.request)
        self.assertLess(stage.counts()[slow], 300 / 4 / 2)

    def test_a_prefill_in_progress_does_not_make_a_server_slow(self) -> None:
        stage = Stage(servers_in("north-1", 2))
        stage.serve()
        reading = stage.send(traits("long", prompt_tokens=20_000))
        server = stage.module.servers[number_of(reading.server)]
        job = new_job(traits("short"), set())
        before = stage.module.costs.cost(stage.now, server, job, 50.0 * MS, assigned=False)
        stage.now += 400 * MS  # the prefill takes half a second
        after = stage.module.costs.cost(stage.now, server, job, 50.0 * MS, assigned=False)
        self.assertLess(after, 1.1 * before)
        stage.now += 1_000 * MS
        silent = stage.module.costs.cost(stage.now, server, job, 50.0 * MS, assigned=False)
        self.assertGreater(silent, 1.5 * before)

    def test_a_server_that_rejected_a_call_is_avoided_for_some_time(self) -> None:
        stage = Stage(NORTH)
        full = stage.send()
        stage.end(full, Outcome.REJECTED, latency=2 * MS)
        soon = Counter(stage.serve(latency=5 * MS).server for _ in range(40))
        self.assertEqual(soon[full.server], 0)
        stage.now += 2 * SECOND
        later = Counter(stage.serve(latency=5 * MS).server for _ in range(100))
        self.assertGreater(later[full.server], 0)

    def test_a_silent_server_is_ejected(self) -> None:
        stage = Stage(NORTH)
        for _ in range(40):
            stage.serve()
        silent = next(iter(NORTH))
        times = []
        for _ in range(80):
            stage.now += 100 * MS
            sent = stage.send()
            if sent.server == silent:
                times.append(stage.now)
            else:
                stage.end(sent)
        self.assertLess(len(times), 8)
        self.assertTrue(stage.module.servers[number_of(silent)].ejected)

    def test_a_server_with_a_long_prefill_is_not_silent(self) -> None:
        stage = Stage(NORTH)
        long = traits(of=route(timeout_ms=20_000), prompt_tokens=120_000)  # prefill: 3 s
        stage.send(long, left=20 * SECOND)
        for _ in range(20):
            stage.now += 100 * MS
            stage.serve()
        self.assertFalse(stage.module.ejected)

    def test_a_server_with_a_full_cache_is_avoided(self) -> None:
        stage = Stage(servers_in("north-1", 2), kv_tokens=20_000)
        servers = Counter(stage.send(traits("subject", f"own-{n}")).server for n in range(6))
        self.assertEqual(sorted(servers.values()), [3, 3])


class AffinityTest(unittest.TestCase):
    def agree(self, zone: str, parameters: PlacementParameters) -> None:
        servers = servers_in("north-1", 8) | servers_in("north-2", 6) | SOUTH
        for subject in range(30):
            one = Stage(servers, seed=1, zone="north-1", gateways=7, name="front-1", parameters=parameters)
            two = Stage(servers, seed=2, zone=zone, gateways=7, name="front-2", parameters=parameters)
            here = one.send(traits(f"subject-{subject}", "a"))
            there = two.send(traits(f"subject-{subject}", "b"))
            self.assertEqual(here.server, there.server)

    def test_gateways_of_a_zone_agree_without_communication(self) -> None:
        self.agree("north-1", DEFAULT_PARAMETERS)

    def test_gateways_of_a_region_agree_where_bytes_between_zones_cost_nothing(self) -> None:
        self.agree("north-2", PlacementParameters(zone_byte=0.0))

    def test_gateways_of_a_region_agree_after_a_notice(self) -> None:
        servers = servers_in("north-1", 8) | servers_in("north-2", 6) | SOUTH
        for subject in range(30):
            one = Stage(servers, seed=1, zone="north-1", gateways=7, name="front-1")
            two = Stage(servers, seed=2, zone="north-2", gateways=7, name="front-2")
            here = one.send(traits(f"subject-{subject}", "a"))
            message = one.announcer.take()
            assert message is not None
            two.module.receive_prefix_notices(two.now, message.notices)
            self.assertEqual(two.send(traits(f"subject-{subject}", "b")).server, here.server)

    def test_subjects_spread_over_the_servers(self) -> None:
        servers = servers_in("north-1", 8)
        stage = Stage(servers, gateways=7)
        for subject in range(400):
            stage.serve(traits(f"subject-{subject}", f"own-{subject}"))
        counts = stage.counts()
        self.assertEqual(set(counts), set(servers))
        self.assertLess(max(counts.values()), 400 / 8 * 1.8)

    def test_a_session_stays_at_the_server_that_has_it_cached(self) -> None:
        stage = Stage(servers_in("north-1", 8), gateways=7)
        for session in range(20):
            first = stage.serve(traits("subject", f"session-{session}"))
            for _ in range(3):
                self.assertEqual(stage.serve(traits("subject", f"session-{session}")).server, first.server)

    def test_an_overloaded_server_is_avoided_even_if_it_has_the_prompt_cached(self) -> None:
        stage = Stage(servers_in("north-1", 8), gateways=1)
        servers = [stage.send(traits("hot", f"own-{n}")).server for n in range(60)]
        self.assertGreater(len(set(servers)), 1)
        self.assertLess(Counter(servers).most_common(1)[0][1], 40)

    def test_the_removal_of_a_server_moves_only_its_prompts(self) -> None:
        servers = servers_in("north-1", 6)
        stage = Stage(servers, gateways=7)
        before = {n: stage.serve(traits(f"s-{n}", f"o-{n}")).server for n in range(60)}
        gone = before[0]
        stage.list({server: zone for server, zone in servers.items() if server != gone})
        after = {n: stage.serve(traits(f"s-{n}", f"o-{n}")).server for n in range(60)}
        moved = [n for n in before if before[n] != after[n]]
        self.assertNotIn(gone, after.values())
        self.assertEqual(len(moved), sum(server == gone for server in before.values()))

    def test_servers_chosen_for_their_cache_are_members_and_can_be_ejected(self) -> None:
        stage = Stage(servers_in("north-1", 20), gateways=7)
        server = stage.serve(traits("subject")).server
        self.assertTrue(stage.module.servers[number_of(server)].member)
        lost = 0
        for attempt in range(60):
            stage.now += 100 * MS
            sent = stage.send(traits("subject", f"own-{attempt}"))
            if sent.server == server:
                lost += 1
                again = stage.end(sent, Outcome.CONNECT_FAILED, latency=MS)
                assert isinstance(again, Sent)
                stage.end(again, attempt=1)
            else:
                stage.end(sent)
        self.assertLess(lost, 8)


class RegionsTest(unittest.TestCase):
    def test_calls_stay_in_their_home_regions(self) -> None:
        stage = Stage(NORTH | SOUTH | ISLE, zone="isle-1")
        homed = traits(of=route(homes=("north", "south")))
        for _ in range(100):
            stage.serve(homed)
        self.assertFalse(set(stage.counts()) & set(ISLE))

    def test_a_small_home_region_is_found_besides_a_large_region(self) -> None:
        stage = Stage(servers_in("south-1", 400) | servers_in("isle-1", 1))
        homed = traits(of=route(homes=("isle",)))
        for _ in range(20):
            stage.serve(homed)
        self.assertEqual(stage.counts(), {"isle-1-server-0": 20})

    def test_the_first_and_the_newest_home_regions_both_apply(self) -> None:
        stage = Stage(NORTH | SOUTH | ISLE)
        first, newest = route(homes=("north", "south")), route(homes=("south", "isle"))
        for _ in range(40):
            stage.serve(traits(of=first, newest=newest))
        self.assertLessEqual(set(stage.counts()), set(SOUTH))
        apart = traits(of=route(homes=("north",)), newest=route(homes=("isle",)))
        self.assertIsInstance(stage.ask(apart), Refused)

    def test_a_call_is_refused_if_its_home_regions_have_no_server(self) -> None:
        stage = Stage(ISLE, zone="isle-1")
        refused = stage.ask(traits(of=route(homes=("north",))))
        assert isinstance(refused, Refused)
        self.assertEqual(refused.retry_after, 800 * MS)  # not an immediate retry

    def test_the_own_region_is_preferred(self) -> None:
        stage = Stage(NORTH | SOUTH | ISLE, zone="isle-1")
        for number in range(200):
            stage.serve(traits(f"subject-{number % 9}", f"own-{number}"))
        self.assertEqual(set(stage.counts()), set(ISLE))

    def test_calls_leave_an_overloaded_region_and_return_later(self) -> None:
        stage = Stage(NORTH | ISLE, zone="isle-1")
        late = 0
        for _ in range(300):
            sent = stage.send()
            latency = 700 * MS if sent.server in ISLE else 140 * MS
            late += sent.server in ISLE
            stage.now += 100 * MS
            stage.end(sent, latency=latency)
            stage.module.stream_ended(stage.now, sent.request)
        self.assertLess(late, 150)
        stage.now += 10 * SECOND
        for _ in range(100):
            stage.serve(latency=50 * MS)
        back = Counter(stage.serve(latency=50 * MS).server in ISLE for _ in range(50))
        self.assertEqual(back[True], 50)

    def test_a_zone_that_is_no_longer_listed_gets_no_calls(self) -> None:
        stage = Stage(NORTH | SOUTH)
        stage.serve()
        stage.list(SOUTH)
        for _ in range(30):
            self.assertIn(stage.serve().server, SOUTH)

    def test_an_excluded_server_gets_no_calls(self) -> None:
        stage = Stage(servers_in("north-1", 2))
        first, second = servers_in("north-1", 2)
        resumed = traits(of=route(max_attempts=2), idempotent=True, exclude=frozenset((first,)))
        for _ in range(4):
            self.assertEqual(stage.send(resumed).server, second)

    def test_a_server_about_to_terminate_gets_no_long_calls(self) -> None:
        stage = Stage(NORTH)
        leaving = next(iter(NORTH))
        stage.list(NORTH, ends_at={leaving: stage.now + 2 * SECOND})
        long = traits(output_tokens=400)  # about 5 s
        for _ in range(40):
            self.assertNotEqual(stage.send(long).server, leaving)
        short = Counter(stage.serve(traits(output_tokens=10), latency=MS).server for _ in range(40))
        self.assertGreater(short[leaving], 0)
