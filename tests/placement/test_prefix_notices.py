"""Server selection with notices of other gateways about cached prefixes and prefills."""

from __future__ import annotations

import unittest

from placement_stage import MS, SECOND, Sent, Stage, servers_in, traits

from brackenladder.core.roster import number_of
from brackenladder.placement.cost import new_job
from brackenladder.placement.holders import MAX_KEYS, MAX_SERVERS, PrefixHolders
from brackenladder.prefix_cache.messages import PrefixNotice

NORTH = servers_in("north-1", 4)
SOUTH = servers_in("south-1", 3)
KEYS = [
    16964180338866893283,
    12351979152842262400,
    8855940942300770271,
]  # keys of the prompt "head", "s", "own" for the model "m"


def notice(stage: Stage, subject: str, server: str, age: int = 0, uncached_tokens: int = 0) -> PrefixNotice:
    """The notice of another gateway that has sent a prompt with the subject to a server."""
    shared = new_job(traits(subject), set()).chain[:-1]
    keys = tuple(link.key for link in shared)
    tokens = tuple(link.tokens for link in shared)
    return PrefixNotice(number_of(server), keys, tokens, uncached_tokens=uncached_tokens, age=age)


class PrefixNoticesTest(unittest.TestCase):
    def test_a_prompt_goes_to_the_server_that_another_gateway_sent_it_to(self) -> None:
        for server in NORTH:
            stage = Stage(NORTH, gateways=3)
            stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server)])
            self.assertEqual(stage.send(traits("s")).server, server)

    def test_a_prompt_goes_to_another_region_that_has_its_prefix_cached(self) -> None:
        server = next(iter(SOUTH))
        stage = Stage(NORTH | SOUTH, gateways=3)
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server)])
        self.assertEqual(stage.send(traits("s")).server, server)

    def test_an_old_notice_does_not_make_a_prompt_leave_the_region(self) -> None:
        server = next(iter(SOUTH))
        stage = Stage(NORTH | SOUTH, gateways=3)
        stage.module.receive_prefix_notices(
            stage.now, [notice(stage, "s", server, age=stage.site.reread_window + 1)]
        )
        self.assertIn(stage.send(traits("s")).server, NORTH)

    def test_without_a_reread_window_an_old_notice_still_counts(self) -> None:
        server = next(iter(SOUTH))
        stage = Stage(NORTH | SOUTH, gateways=3)
        stage.site.reread_window = None
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server, age=600 * SECOND)])
        self.assertEqual(stage.send(traits("s")).server, server)

    def test_a_server_of_the_own_region_with_the_prefix_is_preferred(self) -> None:
        stage = Stage(NORTH | SOUTH, gateways=3)
        near, far = next(iter(NORTH)), next(iter(SOUTH))
        notices = [notice(stage, "s", far), notice(stage, "s", near)]
        stage.module.receive_prefix_notices(stage.now, notices)
        self.assertEqual(stage.send(traits("s")).server, near)

    def test_a_remote_server_with_a_long_prefill_is_avoided(self) -> None:
        stage = Stage(NORTH | SOUTH, gateways=3)
        far = next(iter(SOUTH))
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", far, uncached_tokens=60_000)])
        self.assertIn(stage.send(traits("s")).server, NORTH)

    def test_a_server_is_avoided_during_the_prefills_of_other_gateways(self) -> None:
        stage = Stage(servers_in("north-1", 2), gateways=3)
        busy = next(iter(stage.site.locations.values())).id
        load = PrefixNotice(number_of(busy), uncached_tokens=40_000)  # a prefill of a second
        stage.module.receive_prefix_notices(stage.now, [load])
        self.assertEqual({stage.serve().server for _ in range(20)} & {busy}, set())
        stage.now += 2 * SECOND
        self.assertIn(busy, {stage.serve().server for _ in range(20)})

    def test_simultaneous_prompts_of_one_subject_go_to_one_server(self) -> None:
        stage = Stage(NORTH, gateways=3)
        first = stage.send(traits("s", "own-1"))
        stage.now += 5 * MS
        self.assertEqual(stage.send(traits("s", "own-2")).server, first.server)

    def test_a_notice_about_an_unlisted_server_is_ignored(self) -> None:
        stage = Stage(NORTH, gateways=3)
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", "i-unknown")])
        self.assertIsInstance(stage.send(traits("s")), Sent)

    def test_a_notice_contains_only_the_shared_prefixes(self) -> None:
        stage = Stage(NORTH, gateways=3)
        sent = stage.send(traits("s"))
        message = stage.announcer.take()
        assert message is not None
        (announced,) = message.notices
        self.assertEqual(announced.keys, notice(stage, "s", sent.server).keys)
        self.assertEqual((announced.server, announced.tokens), (number_of(sent.server), (2000, 2500)))
        self.assertGreater(announced.uncached_tokens, 0)

    def test_the_keys_of_prefixes_are_the_same_at_all_gateways(self) -> None:
        """The keys are part of the protocol between nodes: other processes and versions must agree."""
        chain = new_job(traits("s"), set()).chain
        self.assertEqual([link.key for link in chain], KEYS)


class PrefixHoldersTest(unittest.TestCase):
    def test_the_recent_holders_of_a_prefix(self) -> None:
        holders = PrefixHolders()
        holders.record_use(100, 7, server=1)
        holders.record_use(200, 7, server=2)
        self.assertEqual(holders.recent(250, 7, within=100), (2,))
        self.assertEqual(set(holders.recent(250, 7, within=150)), {1, 2})
        self.assertEqual(holders.recent(250, 8, within=150), ())
        self.assertEqual(holders.recent(250, None, within=150), ())

    def test_an_older_use_does_not_replace_a_newer_one(self) -> None:
        holders = PrefixHolders()
        holders.record_use(200, 7, server=1)
        holders.record_use(100, 7, server=1)
        self.assertEqual(holders.recent(250, 7, within=60), (1,))

    def test_the_number_of_prefixes_and_servers_is_bounded(self) -> None:
        holders = PrefixHolders()
        for server in range(2 * MAX_SERVERS):
            holders.record_use(server, 7, server)
        self.assertEqual(holders.recent(100, 7, within=100), tuple(range(MAX_SERVERS, 2 * MAX_SERVERS)))
        for key in range(MAX_KEYS + 5):
            holders.record_use(100, 1_000 + key, server=1)
        self.assertEqual(holders.recent(100, 7, within=100), ())
