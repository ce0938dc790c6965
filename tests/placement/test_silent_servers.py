"""How long a first event may take, servers that are doubted, and tries that end in time for another."""

from __future__ import annotations

import unittest

from placement_stage import MS, SECOND, Sent, Stage, route, servers_in, traits

from brackenladder.core.roster import number_of
from brackenladder.interface import Outcome
from brackenladder.placement.parameters import PlacementParameters
from brackenladder.placement.unresponsive import (
    DOUBT_TIME,
    LATE_WEIGHT,
    LEAST_SAMPLES,
    MOST_DOUBTED,
    SILENT_TIMES,
    UNANSWERED_WEIGHT,
    DoubtedServers,
    FirstEventTime,
)
from brackenladder.prefix_cache.messages import PrefixNotice

NORTH = servers_in("north-1", 4)
LATE = PrefixNotice(number_of("north-1-server-0"), silent=LATE_WEIGHT)
SILENT = PrefixNotice(number_of("north-1-server-0"), silent=UNANSWERED_WEIGHT)
SAFE = traits(of=route(resumable=True, max_attempts=2), idempotent=True)


def stage() -> Stage:
    """Four servers, after as many answers as the estimate needs."""
    parameters = PlacementParameters(doubt_weight=3, quick_retry=True)
    found = Stage(NORTH, gateways=3, parameters=parameters)
    for _ in range(2 * LEAST_SAMPLES):
        found.serve(latency=60 * MS)
    return found


class FirstEventTimeTest(unittest.TestCase):
    def test_it_is_not_used_before_enough_answers(self) -> None:
        time = FirstEventTime()
        for _ in range(LEAST_SAMPLES - 1):
            time.add(50 * MS)
        self.assertFalse(time.known)
        time.add(50 * MS)
        self.assertTrue(time.known)

    def test_it_covers_what_varies_and_follows_what_changes(self) -> None:
        time = FirstEventTime()
        for number in range(200):
            time.add((40 + 20 * (number % 3)) * MS)
        self.assertGreater(time.longest, 80 * MS)
        self.assertLess(time.longest, 200 * MS)
        for _ in range(30):
            time.add(400 * MS)
        self.assertGreater(time.longest, 390 * MS)

    def test_an_answer_sooner_than_expected_counts_as_nothing(self) -> None:
        time = FirstEventTime()
        for _ in range(LEAST_SAMPLES):
            time.add(-90 * MS)
        self.assertEqual(time.longest, 0)


class DoubtedServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.doubts = DoubtedServers()

    def test_reports_add_up_by_their_weight(self) -> None:
        self.doubts.reported(SECOND, 1, UNANSWERED_WEIGHT)
        self.doubts.reported(SECOND, 2, LATE_WEIGHT)
        self.doubts.reported(SECOND + 1, 2, LATE_WEIGHT)
        self.assertEqual(self.doubts.doubted(SECOND + 1, 3), frozenset())
        self.doubts.reported(SECOND + 1, 1, LATE_WEIGHT)
        self.assertEqual(self.doubts.doubted(SECOND + 1, 3), frozenset({1}))

    def test_a_doubt_ends_by_time(self) -> None:
        self.doubts.reported(SECOND, 1, 3)
        self.assertEqual(self.doubts.doubted(SECOND + DOUBT_TIME - 1, 3), frozenset({1}))
        self.assertEqual(self.doubts.doubted(SECOND + DOUBT_TIME, 3), frozenset())


class SilentServerTest(unittest.TestCase):
    def test_what_other_gateways_have_found_silent_is_passed_over(self) -> None:
        gateway = stage()
        gateway.module.receive_prefix_notices(gateway.now, [SILENT, LATE])
        for _ in range(40):
            self.assertNotEqual(gateway.serve(latency=60 * MS).server, "north-1-server-0")
            gateway.now -= 60 * MS

    def test_an_answer_of_one_call_does_not_end_the_doubt(self) -> None:
        gateway = stage()
        sent = gateway.send()
        told = PrefixNotice(number_of(sent.server), silent=3)
        gateway.module.receive_prefix_notices(gateway.now, [told])
        gateway.end(sent)
        self.assertNotIn(sent.server, {gateway.send().server for _ in range(40)})

    def test_a_single_word_of_it_changes_nothing(self) -> None:
        gateway = stage()
        gateway.module.receive_prefix_notices(gateway.now, [SILENT])
        self.assertIn("north-1-server-0", {gateway.send().server for _ in range(40)})

    def test_where_most_are_silent_nothing_tells_them_apart(self) -> None:
        gateway = stage()
        silent = list(NORTH)[: int(MOST_DOUBTED * len(NORTH)) + 1]
        told = [PrefixNotice(number_of(server), silent=3) for server in silent]
        gateway.module.receive_prefix_notices(gateway.now, told)
        self.assertTrue(set(silent) & {gateway.send().server for _ in range(40)})

    def test_a_call_that_waits_for_too_long_is_told_once(self) -> None:
        gateway = stage()
        sent = gateway.send()
        gateway.announcer.take()
        placed = gateway.module.in_flight.out[sent.request]
        self.assertEqual(placed.silent_at - gateway.now, SILENT_TIMES * (placed.overdue_at - gateway.now))
        gateway.now = placed.silent_at
        gateway.send()
        gateway.send()
        told = gateway.announcer.take()
        assert told is not None
        self.assertEqual([one.server for one in told.notices if one.silent], [number_of(sent.server)])

    def test_a_connect_without_an_answer_is_told(self) -> None:
        gateway = stage()
        sent = gateway.send()
        gateway.now += 500 * MS
        gateway.end(sent, Outcome.CONNECT_FAILED, latency=500 * MS)
        told = gateway.announcer.take()
        assert told is not None
        self.assertIn(PrefixNotice(number_of(sent.server), silent=UNANSWERED_WEIGHT), told.notices)


class QuickRetryTest(unittest.TestCase):
    def test_a_try_gets_what_its_first_event_may_take_and_half_of_the_aim_at_least(self) -> None:
        gateway = stage()
        sent = gateway.ask(SAFE)
        assert isinstance(sent, Sent)
        self.assertEqual(sent.timeout, 400 * MS)

    def test_the_second_try_gets_all_that_is_left(self) -> None:
        gateway = stage()
        sent = gateway.ask(SAFE)
        assert isinstance(sent, Sent)
        gateway.now += sent.timeout
        again = gateway.end(sent, Outcome.TIMEOUT, latency=sent.timeout)
        assert isinstance(again, Sent)
        self.assertNotEqual(again.server, sent.server)
        self.assertEqual(again.timeout, 5 * SECOND - sent.timeout)

    def test_a_call_that_may_not_be_repeated_keeps_its_time(self) -> None:
        self.assertEqual(stage().send().timeout, 5 * SECOND)

    def test_before_anything_was_answered_a_try_gets_half_of_the_time(self) -> None:
        fresh = Stage(NORTH, parameters=PlacementParameters(quick_retry=True))
        sent = fresh.ask(SAFE)
        assert isinstance(sent, Sent)
        self.assertEqual(sent.timeout, 5 * SECOND // 2)
