"""Where new subjects of a common beginning go, and what bytes between zones count for."""

from __future__ import annotations

import unittest

from placement_stage import MS, SECOND, Stage, route, servers_in, traits

from brackenladder.placement.beginnings import HALF_LIFE, LEAST_SERVERS, MOST_BEGINNINGS, BeginningShares
from brackenladder.placement.parameters import PlacementParameters

TWELVE = servers_in("north-1", 12)
TWO_ZONES = servers_in("north-1", 4) | servers_in("north-2", 4)


class BeginningSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = BeginningShares()
        self.servers = list(Stage(TWELVE).module.servers.values())

    def test_a_part_is_that_of_the_tokens(self) -> None:
        self.shares.add(SECOND, 1, 3000)
        self.shares.add(SECOND, 2, 1000)
        self.assertAlmostEqual(self.shares.part(SECOND, 1), 0.75)
        self.assertEqual(self.shares.part(SECOND, 3), 0.0)

    def test_older_prompts_count_for_less(self) -> None:
        self.shares.add(SECOND, 1, 1000)
        self.shares.add(SECOND + HALF_LIFE, 2, 1000)
        self.assertAlmostEqual(self.shares.part(SECOND + HALF_LIFE, 1), 1 / 3)

    def test_its_own_memory_is_bounded(self) -> None:
        for key in range(3 * MOST_BEGINNINGS):
            self.shares.add(SECOND, key, 1)
        self.assertEqual(self.shares.part(SECOND, 0), 0.0)
        self.assertGreater(self.shares.part(SECOND, 3 * MOST_BEGINNINGS - 1), 0.0)

    def test_a_rare_beginning_has_few_servers_and_a_common_one_as_many_as_it_needs(self) -> None:
        self.shares.add(SECOND, 1, 1)
        self.shares.add(SECOND, 2, 10_000)
        self.assertEqual(len(self.shares.servers(SECOND, 1, self.servers, 2.0, 1)), LEAST_SERVERS)
        self.assertEqual(len(self.shares.servers(SECOND, 2, self.servers, 2.0, 1)), len(self.servers))

    def test_who_sees_more_of_it_uses_more_servers_of_the_same_order(self) -> None:
        other = BeginningShares()
        for shares, tokens in ((self.shares, 300), (other, 100)):
            shares.add(SECOND, 1, tokens)
            shares.add(SECOND, 2, 900)
        few = other.servers(SECOND, 1, self.servers, 2.0, 1)
        more = self.shares.servers(SECOND, 1, self.servers, 2.0, 1)
        self.assertLess(len(few), len(more))
        self.assertEqual(list(more)[: len(few)], list(few))


class NewSubjectsTest(unittest.TestCase):
    def sent_to(self, headroom: float) -> set[str]:
        stage = Stage(TWELVE, gateways=3, parameters=PlacementParameters(beginning_headroom=headroom))
        for number in range(60):
            stage.module.chooser.beginnings.add(stage.now, number, 50_000)
        found = set()
        for number in range(12):
            found.add(stage.serve(traits(f"s{number}")).server)
            stage.now += SECOND
        return found

    def test_they_go_to_the_few_servers_of_their_beginning(self) -> None:
        self.assertLessEqual(len(self.sent_to(2.0)), 4)

    def test_without_that_to_any(self) -> None:
        self.assertGreater(len(self.sent_to(0.0)), 6)


class ZoneBytesTest(unittest.TestCase):
    def zones(self, zone_byte: float, **changes: int) -> list[str]:
        stage = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=zone_byte))
        found = []
        for number in range(30):
            prompt = traits(f"s{number}", request_bytes=9_000, **changes)
            found.append(TWO_ZONES[stage.serve(prompt).server])
            stage.now += SECOND
        return found

    def test_a_new_subject_stays_in_the_zone(self) -> None:
        self.assertEqual(set(self.zones(1.2)), {"north-1"})
        self.assertEqual(set(self.zones(0.0)), {"north-1", "north-2"})

    def test_a_prompt_follows_what_is_kept_in_another_zone(self) -> None:
        keeping = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=1.2), zone="north-2")
        sent = keeping.serve(traits("s"))
        told = keeping.announcer.take()
        assert told is not None
        stage = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=1.2))
        stage.module.prefixes_told(stage.now, told.notices)
        self.assertEqual(stage.send(traits("s", request_bytes=9_000)).server, sent.server)

    def test_a_call_without_parts_stays_while_its_zone_is_not_crowded(self) -> None:
        stage = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=1.2))
        cards = [stage.serve(traits(of=route(name="cards")), latency=40 * MS) for _ in range(20)]
        self.assertEqual({TWO_ZONES[sent.server] for sent in cards}, {"north-1"})


class ScannedPromptTest(unittest.TestCase):
    def test_a_long_prompt_finds_the_one_server_that_reads_nothing(self) -> None:
        for scanned, found in ((4_000, 12), (0, 0)):
            idle = 0
            for seed in range(12):
                parameters = PlacementParameters(scanned_tokens=scanned)
                stage = Stage(TWELVE, seed=seed, gateways=1, parameters=parameters)
                free = sorted(TWELVE)[seed]
                for server, load in (
                    (server, stage.module.costs.loads.of(server)) for server in stage.numbers()
                ):
                    load.unread = 0.0 if stage.actions.names[server] == free else 400_000.0
                idle += stage.send(traits("s")).server == free
            self.assertGreaterEqual(idle, found)
