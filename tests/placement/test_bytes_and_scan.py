"""The cost of bytes between zones, and the comparison of all servers for long prompts."""

from __future__ import annotations

import unittest

from placement_stage import MS, SECOND, Stage, route, servers_in, traits

from brackenladder.placement.parameters import PlacementParameters

TWELVE = servers_in("north-1", 12)
TWO_ZONES = servers_in("north-1", 4) | servers_in("north-2", 4)


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

    def test_a_prompt_goes_to_another_zone_that_has_it_cached(self) -> None:
        caching = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=1.2), zone="north-2")
        sent = caching.serve(traits("s"))
        message = caching.announcer.take()
        assert message is not None
        stage = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=1.2))
        stage.module.receive_prefix_notices(stage.now, message.notices)
        self.assertEqual(stage.send(traits("s", request_bytes=9_000)).server, sent.server)

    def test_a_call_without_parts_stays_in_its_zone_while_that_is_not_overloaded(self) -> None:
        stage = Stage(TWO_ZONES, gateways=3, parameters=PlacementParameters(zone_byte=1.2))
        cards = [stage.serve(traits(of=route(name="cards")), latency=40 * MS) for _ in range(20)]
        self.assertEqual({TWO_ZONES[sent.server] for sent in cards}, {"north-1"})


class LongPromptTest(unittest.TestCase):
    def test_a_long_prompt_finds_the_only_server_without_prefills(self) -> None:
        for scanned, found in ((4_000, 12), (0, 0)):
            idle = 0
            for seed in range(12):
                parameters = PlacementParameters(scanned_tokens=scanned)
                stage = Stage(TWELVE, seed=seed, gateways=1, parameters=parameters)
                free = sorted(TWELVE)[seed]
                for server, load in (
                    (server, stage.module.costs.loads.of(server)) for server in stage.numbers()
                ):
                    load.pending_prefill = 0.0 if stage.actions.names[server] == free else 400_000.0
                idle += stage.send(traits("s")).server == free
            self.assertGreaterEqual(idle, found)
