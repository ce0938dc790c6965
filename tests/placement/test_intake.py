"""A server that joins is seeded with popular prefixes, by one chosen request for each."""

from __future__ import annotations

import unittest

from placement_stage import COLD, MS, SECOND, Sent, Stage, route, servers_in, traits

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome
from brackenladder.placement.cost import new_job
from brackenladder.placement.intake import FRESH_TIME, SPREAD_TIME
from brackenladder.placement.prefix_uses import HALF_LIFE, MAX_PREFIXES, PrefixUses
from brackenladder.placement.prefixes import ChainLink
from brackenladder.placement.traits import CallTraits
from brackenladder.prefix_cache.messages import PrefixNotice

WARM = servers_in("north-1", 2)
NEW = "new"
JOINED = WARM | {NEW: "north-1"}
HEAD_TOKENS = 2_000  # of the part that all prompts of `traits` begin with


class SeedingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stage = self.warm_stage()

    def warm_stage(self, **settings: object) -> Stage:
        """Two servers that have the head and some subjects cached."""
        stage = Stage(WARM, gateways=3, **settings)  # type: ignore[arg-type]
        for number in range(12):
            stage.now += 100 * MS
            stage.serve(traits(f"old-{number}"))
        return stage

    def join(self, stage: Stage | None = None) -> None:
        stage = stage or self.stage
        stage.list(JOINED)
        stage.now += SPREAD_TIME

    def seeded_by(self, stage: Stage, of: CallTraits | None = None) -> str | None:
        """The server that a prompt would seed with a prefix."""
        job = new_job(of or traits("fresh"), set())
        chosen = stage.module.seeding.server_to_seed(
            stage.now, job, stage.site.local, lambda _server: True, lambda _server: 40.0 * MS
        )
        return stage.site.locations[chosen.id].id if chosen is not None else None

    def fresh(self, count: int, stage: Stage | None = None) -> list[Sent]:
        """`count` prompts whose subjects are cached nowhere, at short intervals."""
        stage = stage or self.stage
        sent = []
        for number in range(count):
            stage.now += 20 * MS
            sent.append(stage.send(traits(f"fresh-{stage.now}-{number}")))
        return sent

    def test_the_first_prompt_with_an_uncached_subject_seeds_the_head(self) -> None:
        self.join()
        self.assertEqual(self.fresh(1)[0].server, NEW)

    def test_one_seeding_request_is_enough(self) -> None:
        self.join()
        self.fresh(1)
        servers = {sent.server for sent in self.fresh(6)}
        self.assertTrue(servers & set(WARM))

    def test_a_prompt_whose_subject_is_cached_stays_where_it_is(self) -> None:
        self.join()
        before = self.stage.serve(traits("old-11")).server
        self.assertIn(before, WARM)

    def test_a_seeding_request_of_another_gateway_counts(self) -> None:
        self.join()
        head = new_job(traits("x"), set()).chain[:2]
        notice = PrefixNotice(number_of(NEW), tuple(k.key for k in head), tuple(k.tokens for k in head))
        self.stage.module.receive_prefix_notices(self.stage.now, [notice])
        seeding = self.stage.module.seeding
        job = new_job(traits("fresh"), set())
        chosen = seeding.server_to_seed(
            self.stage.now, job, self.stage.site.local, lambda _s: True, lambda _s: 0.0
        )
        self.assertIsNone(chosen)

    def test_an_unseeded_server_gets_no_other_prompt_with_the_head(self) -> None:
        self.stage.list(JOINED)
        while self.seeded_by(self.stage) is None:
            self.assertIn(self.stage.send(traits(f"s-{self.stage.now}")).server, WARM)
            self.stage.now += 50 * MS
        self.assertIn(self.stage.send(traits("old-3")).server, WARM)

    def test_prompts_without_shared_parts_go_to_a_new_server_at_once(self) -> None:
        self.stage.list(JOINED)
        self.assertIn(NEW, {self.stage.send().server for _ in range(40)})

    def test_gateways_seed_at_different_times(self) -> None:
        """Failure prevented: all gateways send a seeding request before the first one's notice arrives."""
        delays = []
        for name in ("front-1", "front-2", "front-3", "front-4"):
            stage = self.warm_stage(name=name)
            stage.list(JOINED)
            joined_at = stage.now
            while self.seeded_by(stage) is None:
                stage.now += 10 * MS
                self.assertLess(stage.now - joined_at, SPREAD_TIME)
            delays.append(stage.now - joined_at)
        self.assertGreater(max(delays) - min(delays), SPREAD_TIME // 10)

    def test_a_failed_unsafe_seeding_request_is_not_retried(self) -> None:
        """The new server crashes: the unsafe stream is not retried, and other requests are served."""
        self.join()
        seeding = self.fresh(1)[0]
        followed = self.stage.end(seeding, Outcome.RESET, latency=80 * MS)
        self.assertNotIsInstance(followed, Sent)
        self.stage.list(WARM)
        self.assertIn(self.fresh(1)[0].server, WARM)

    def test_two_servers_that_join_together_are_both_seeded(self) -> None:
        self.stage.list(JOINED | {"new-2": "north-1"})
        self.stage.now += SPREAD_TIME
        self.assertEqual({sent.server for sent in self.fresh(2)}, {NEW, "new-2"})

    def test_seeding_respects_the_cold_share(self) -> None:
        stage = self.warm_stage(cold=COLD)
        stage.cold_until[NEW] = stage.now + 10 * SECOND
        self.join(stage)
        stage.module.cold.take(stage.now, number_of(NEW), 3)
        self.assertIn(self.fresh(1, stage)[0].server, WARM)
        stage.now += 2 * SECOND
        self.assertEqual(self.fresh(1, stage)[0].server, NEW)

    def test_a_request_that_would_be_late_does_not_seed(self) -> None:
        self.join()
        self.assertEqual(self.seeded_by(self.stage), NEW)
        self.assertIsNone(self.seeded_by(self.stage, traits("fresh", of=route(target_latency_ms=100))))

    def test_a_request_with_other_home_regions_does_not_seed(self) -> None:
        self.join()
        bound = traits("fresh", of=route(homes=("isle",)))
        self.assertNotIsInstance(self.stage.ask(bound), Sent)

    def test_seeding_ends_some_time_after_the_join(self) -> None:
        self.join()
        self.stage.now += FRESH_TIME
        seeding = self.stage.module.seeding
        job = new_job(traits("fresh"), set())
        chosen = seeding.server_to_seed(
            self.stage.now, job, self.stage.site.local, lambda _s: True, lambda _s: 0.0
        )
        self.assertIsNone(chosen)

    def test_servers_of_the_first_list_are_not_seeded(self) -> None:
        stage = Stage(JOINED, gateways=3)
        stage.serve(traits("old"))
        self.assertIsNone(self.seeded_by(stage))

    def test_no_call_is_lost_or_repeated_while_all_servers_are_replaced(self) -> None:
        servers = dict(WARM)
        for number in range(6):
            servers.pop(next(iter(servers)))
            servers[f"next-{number}"] = "north-1"
            self.stage.list(servers)
            self.stage.now += SPREAD_TIME
            for sent in self.fresh(5):
                self.assertIn(sent.server, servers)
                self.stage.end(sent)
                self.stage.module.stream_ended(self.stage.now, sent.request)
        self.assertFalse(self.stage.module.in_flight.attempts)
        self.assertFalse(self.stage.module.jobs)


class PrefixUsesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.uses = PrefixUses()

    def test_prefixes_are_popular_only_while_they_are_used_often(self) -> None:
        head, rare = ChainLink(1, HEAD_TOKENS), ChainLink(2, HEAD_TOKENS)
        for number in range(8):
            self.uses.add(number, [head, ChainLink(100 + number, 10)])
        self.uses.add(8, [rare])
        self.assertTrue(self.uses.is_popular(10, 1))
        self.assertFalse(self.uses.is_popular(10, 2))
        self.assertFalse(self.uses.is_popular(10, 3))
        self.assertFalse(self.uses.is_popular(10 + 3 * HALF_LIFE, 1))

    def test_a_short_prefix_is_not_popular_however_often_it_is_used(self) -> None:
        for number in range(50):
            self.uses.add(number, [ChainLink(1, 10), ChainLink(2, 2_000)])
        self.assertFalse(self.uses.is_popular(50, 1))
        self.assertTrue(self.uses.is_popular(50, 2))

    def test_the_number_of_prefixes_is_bounded_and_used_ones_stay(self) -> None:
        for number in range(3 * MAX_PREFIXES):
            self.uses.add(number, [ChainLink(0, 5_000), ChainLink(1 + number, 100)])
        self.assertEqual(len(self.uses._links), MAX_PREFIXES)
        self.assertTrue(self.uses.is_popular(3 * MAX_PREFIXES, 0))
