"""A server that joins takes in what traffic leans on, one chosen request at a time."""

from __future__ import annotations

import unittest

from placement_stage import COLD, MS, SECOND, Sent, Stage, route, servers_in, traits

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome
from brackenladder.placement.cost import job_of
from brackenladder.placement.intake import FRESH_TIME, TURN_TIME
from brackenladder.placement.prefix_uses import HALF_LIFE, MOST_PREFIXES, PrefixUses
from brackenladder.placement.prefixes import ChainLink
from brackenladder.placement.traits import CallTraits
from brackenladder.prefix_cache.messages import PrefixNotice

WARM = servers_in("north-1", 2)
NEW = "new"
JOINED = WARM | {NEW: "north-1"}
HEAD_TOKENS = 2_000  # of the part that all prompts of `traits` begin with


class IntakeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stage = self.warm_stage()

    def warm_stage(self, **settings: object) -> Stage:
        """Two servers that have read the head and a few subjects; then a third joins."""
        stage = Stage(WARM, gateways=3, **settings)  # type: ignore[arg-type]
        for number in range(12):
            stage.now += 100 * MS
            stage.serve(traits(f"old-{number}"))
        return stage

    def join(self, stage: Stage | None = None) -> None:
        stage = stage or self.stage
        stage.list(JOINED)
        stage.now += TURN_TIME

    def carrier(self, stage: Stage, of: CallTraits | None = None) -> str | None:
        """The server that a prompt would bring a prefix to."""
        job = job_of(of or traits("fresh"), set())
        chosen = stage.module.intake.carrier_for(
            stage.now, job, stage.site.local, lambda _server: True, lambda _server: 40.0 * MS
        )
        return stage.site.places[chosen.id].id if chosen is not None else None

    def fresh(self, count: int, stage: Stage | None = None) -> list[Sent]:
        """So many prompts whose subjects nobody keeps, at short intervals."""
        stage = stage or self.stage
        sent = []
        for number in range(count):
            stage.now += 20 * MS
            sent.append(stage.send(traits(f"fresh-{stage.now}-{number}")))
        return sent

    def test_the_first_prompt_with_a_subject_of_its_own_brings_the_head_in(self) -> None:
        self.join()
        self.assertEqual(self.fresh(1)[0].server, NEW)

    def test_one_carrier_is_enough(self) -> None:
        self.join()
        self.fresh(1)
        servers = {sent.server for sent in self.fresh(6)}
        self.assertTrue(servers & set(WARM))

    def test_a_prompt_whose_subject_is_kept_stays_where_it_is(self) -> None:
        self.join()
        before = self.stage.serve(traits("old-11")).server
        self.assertIn(before, WARM)

    def test_another_gateways_carrier_counts(self) -> None:
        self.join()
        head = job_of(traits("x"), set()).chain[:2]
        told = PrefixNotice(number_of(NEW), tuple(k.key for k in head), tuple(k.tokens for k in head))
        self.stage.module.receive_prefix_notices(self.stage.now, [told])
        intake = self.stage.module.intake
        job = job_of(traits("fresh"), set())
        chosen = intake.carrier_for(
            self.stage.now, job, self.stage.site.local, lambda _s: True, lambda _s: 0.0
        )
        self.assertIsNone(chosen)

    def test_before_its_carrier_it_takes_no_other_prompt_with_the_head(self) -> None:
        self.stage.list(JOINED)
        while self.carrier(self.stage) is None:
            self.assertIn(self.stage.send(traits(f"s-{self.stage.now}")).server, WARM)
            self.stage.now += 50 * MS
        self.assertIn(self.stage.send(traits("old-3")).server, WARM)

    def test_prompts_that_share_nothing_go_to_it_at_once(self) -> None:
        self.stage.list(JOINED)
        self.assertIn(NEW, {self.stage.send().server for _ in range(40)})

    def test_gateways_take_turns(self) -> None:
        """Each has its own moment, so that not all send a carrier before the first one's notice is there."""
        moments = []
        for name in ("front-1", "front-2", "front-3", "front-4"):
            stage = self.warm_stage(name=name)
            stage.list(JOINED)
            joined_at = stage.now
            while self.carrier(stage) is None:
                stage.now += 10 * MS
                self.assertLess(stage.now - joined_at, TURN_TIME)
            moments.append(stage.now - joined_at)
        self.assertGreater(max(moments) - min(moments), TURN_TIME // 10)

    def test_a_carrier_that_failed_is_followed_by_no_repeat(self) -> None:
        """The new server crashes midway: an unsafe stream is not sent again, and others go on."""
        self.join()
        carrier = self.fresh(1)[0]
        followed = self.stage.end(carrier, Outcome.RESET, latency=80 * MS)
        self.assertNotIsInstance(followed, Sent)
        self.stage.list(WARM)
        self.assertIn(self.fresh(1)[0].server, WARM)

    def test_two_that_join_at_once_get_a_carrier_each(self) -> None:
        self.stage.list(JOINED | {"new-2": "north-1"})
        self.stage.now += TURN_TIME
        self.assertEqual({sent.server for sent in self.fresh(2)}, {NEW, "new-2"})

    def test_a_cold_server_takes_its_share_only(self) -> None:
        stage = self.warm_stage(cold=COLD)
        stage.cold_until[NEW] = stage.now + 10 * SECOND
        self.join(stage)
        stage.module.cold.take(stage.now, number_of(NEW), 3)
        self.assertIn(self.fresh(1, stage)[0].server, WARM)
        stage.now += 2 * SECOND
        self.assertEqual(self.fresh(1, stage)[0].server, NEW)

    def test_a_carrier_that_would_be_late_is_none(self) -> None:
        self.join()
        self.assertEqual(self.carrier(self.stage), NEW)
        self.assertIsNone(self.carrier(self.stage, traits("fresh", of=route(target_latency_ms=100))))

    def test_nor_does_a_request_with_other_homes_carry(self) -> None:
        self.join()
        bound = traits("fresh", of=route(homes=("isle",)))
        self.assertNotIsInstance(self.stage.ask(bound), Sent)

    def test_after_a_while_the_server_is_like_any_other(self) -> None:
        self.join()
        self.stage.now += FRESH_TIME
        intake = self.stage.module.intake
        job = job_of(traits("fresh"), set())
        chosen = intake.carrier_for(
            self.stage.now, job, self.stage.site.local, lambda _s: True, lambda _s: 0.0
        )
        self.assertIsNone(chosen)

    def test_a_gateways_first_list_holds_no_fresh_server(self) -> None:
        stage = Stage(JOINED, gateways=3)
        stage.serve(traits("old"))
        self.assertIsNone(self.carrier(stage))

    def test_a_rollout_that_replaces_every_server_in_turn_loses_and_repeats_nothing(self) -> None:
        servers = dict(WARM)
        for number in range(6):
            servers.pop(next(iter(servers)))
            servers[f"next-{number}"] = "north-1"
            self.stage.list(servers)
            self.stage.now += TURN_TIME
            for sent in self.fresh(5):
                self.assertIn(sent.server, servers)
                self.stage.end(sent)
                self.stage.module.stream_ended(self.stage.now, sent.request)
        self.assertFalse(self.stage.module.in_flight.out)
        self.assertFalse(self.stage.module.jobs)


class PrefixUsesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.uses = PrefixUses()

    def test_much_used_ones_are_leaned_on_for_as_long_as_they_are_used(self) -> None:
        head, rare = ChainLink(1, HEAD_TOKENS), ChainLink(2, HEAD_TOKENS)
        for number in range(8):
            self.uses.add(number, [head, ChainLink(100 + number, 10)])
        self.uses.add(8, [rare])
        self.assertTrue(self.uses.leaned_on(10, 1))
        self.assertFalse(self.uses.leaned_on(10, 2))
        self.assertFalse(self.uses.leaned_on(10, 3))
        self.assertFalse(self.uses.leaned_on(10 + 3 * HALF_LIFE, 1))

    def test_a_light_one_is_not_however_often_it_is_used(self) -> None:
        for number in range(50):
            self.uses.add(number, [ChainLink(1, 10), ChainLink(2, 2_000)])
        self.assertFalse(self.uses.leaned_on(50, 1))
        self.assertTrue(self.uses.leaned_on(50, 2))

    def test_it_is_bounded_and_keeps_what_is_used(self) -> None:
        for number in range(3 * MOST_PREFIXES):
            self.uses.add(number, [ChainLink(0, 5_000), ChainLink(1 + number, 100)])
        self.assertEqual(len(self.uses._links), MOST_PREFIXES)
        self.assertTrue(self.uses.leaned_on(3 * MOST_PREFIXES, 0))
