"""Where calls go once other gateways have told what servers keep and read."""

from __future__ import annotations

import unittest

from placement_stage import MS, SECOND, Sent, Stage, servers_in, traits

from brackenladder.core.roster import number_of
from brackenladder.placement.cost import job_of
from brackenladder.placement.holders import MOST_KEYS, MOST_SERVERS, PrefixHolders
from brackenladder.prefix_cache.messages import PrefixNotice

NORTH = servers_in("north-1", 4)
SOUTH = servers_in("south-1", 3)
KEYS = [
    16964180338866893283,
    12351979152842262400,
    8855940942300770271,
]  # of the prompt "head", "s", "own" for the model "m"


def notice(stage: Stage, subject: str, server: str, age: int = 0, unread: int = 0) -> PrefixNotice:
    """What another gateway tells after it has sent a prompt with the subject to a server."""
    shared = job_of(traits(subject), set()).chain[:-1]
    keys = tuple(link.key for link in shared)
    tokens = tuple(link.tokens for link in shared)
    return PrefixNotice(number_of(server), keys, tokens, unread=unread, age=age)


class PrefixNoticesTest(unittest.TestCase):
    def test_a_prompt_goes_to_the_server_that_another_gateway_had_read_it(self) -> None:
        for server in NORTH:
            stage = Stage(NORTH, gateways=3)
            stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server)])
            self.assertEqual(stage.send(traits("s")).server, server)

    def test_a_prefix_kept_in_another_region_is_worth_the_way(self) -> None:
        server = next(iter(SOUTH))
        stage = Stage(NORTH | SOUTH, gateways=3)
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server)])
        self.assertEqual(stage.send(traits("s")).server, server)

    def test_but_not_once_it_has_rested_for_long(self) -> None:
        server = next(iter(SOUTH))
        stage = Stage(NORTH | SOUTH, gateways=3)
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server, age=stage.site.again + 1)])
        self.assertIn(stage.send(traits("s")).server, NORTH)

    def test_where_every_reading_again_is_priced_it_never_rests_for_too_long(self) -> None:
        server = next(iter(SOUTH))
        stage = Stage(NORTH | SOUTH, gateways=3)
        stage.site.again = None
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", server, age=600 * SECOND)])
        self.assertEqual(stage.send(traits("s")).server, server)

    def test_nor_beside_a_server_of_the_region_that_keeps_it_too(self) -> None:
        stage = Stage(NORTH | SOUTH, gateways=3)
        near, far = next(iter(NORTH)), next(iter(SOUTH))
        told = [notice(stage, "s", far), notice(stage, "s", near)]
        stage.module.receive_prefix_notices(stage.now, told)
        self.assertEqual(stage.send(traits("s")).server, near)

    def test_nor_where_others_have_much_read(self) -> None:
        stage = Stage(NORTH | SOUTH, gateways=3)
        far = next(iter(SOUTH))
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", far, unread=60_000)])
        self.assertIn(stage.send(traits("s")).server, NORTH)

    def test_a_server_that_reads_for_others_is_avoided_until_it_has(self) -> None:
        stage = Stage(servers_in("north-1", 2), gateways=3)
        busy = next(iter(stage.site.places.values())).id
        load = PrefixNotice(number_of(busy), unread=40_000)  # a second
        stage.module.receive_prefix_notices(stage.now, [load])
        self.assertEqual({stage.serve().server for _ in range(20)} & {busy}, set())
        stage.now += 2 * SECOND
        self.assertIn(busy, {stage.serve().server for _ in range(20)})

    def test_two_prompts_of_one_subject_at_one_moment_go_to_one_server(self) -> None:
        stage = Stage(NORTH, gateways=3)
        first = stage.send(traits("s", "own-1"))
        stage.now += 5 * MS
        self.assertEqual(stage.send(traits("s", "own-2")).server, first.server)

    def test_a_notice_of_a_server_that_is_not_listed_does_no_harm(self) -> None:
        stage = Stage(NORTH, gateways=3)
        stage.module.receive_prefix_notices(stage.now, [notice(stage, "s", "i-unknown")])
        self.assertIsInstance(stage.send(traits("s")), Sent)

    def test_the_own_placement_is_told_with_its_shared_prefixes_only(self) -> None:
        stage = Stage(NORTH, gateways=3)
        sent = stage.send(traits("s"))
        message = stage.announcer.take()
        assert message is not None
        (told,) = message.notices
        self.assertEqual(told.keys, notice(stage, "s", sent.server).keys)
        self.assertEqual((told.server, told.tokens), (number_of(sent.server), (2000, 2500)))
        self.assertGreater(told.unread, 0)

    def test_all_gateways_name_a_prefix_alike(self) -> None:
        """The keys are part of the nodes' protocol: another process, or version, must find the same."""
        chain = job_of(traits("s"), set()).chain
        self.assertEqual([link.key for link in chain], KEYS)


class PrefixHoldersTest(unittest.TestCase):
    def test_who_was_sent_it_lately(self) -> None:
        holders = PrefixHolders()
        holders.used(100, 7, server=1)
        holders.used(200, 7, server=2)
        self.assertEqual(holders.recent(250, 7, within=100), (2,))
        self.assertEqual(set(holders.recent(250, 7, within=150)), {1, 2})
        self.assertEqual(holders.recent(250, 8, within=150), ())
        self.assertEqual(holders.recent(250, None, within=150), ())

    def test_an_older_word_does_not_take_a_newer_one_back(self) -> None:
        holders = PrefixHolders()
        holders.used(200, 7, server=1)
        holders.used(100, 7, server=1)
        self.assertEqual(holders.recent(250, 7, within=60), (1,))

    def test_it_is_bounded(self) -> None:
        holders = PrefixHolders()
        for server in range(2 * MOST_SERVERS):
            holders.used(server, 7, server)
        self.assertEqual(holders.recent(100, 7, within=100), tuple(range(MOST_SERVERS, 2 * MOST_SERVERS)))
        for key in range(MOST_KEYS + 5):
            holders.used(100, 1_000 + key, server=1)
        self.assertEqual(holders.recent(100, 7, within=100), ())
