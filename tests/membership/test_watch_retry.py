"""When a silent watch is opened anew."""

from __future__ import annotations

import pytest

from brackenladder.membership.watch_retry import (
    ANSWER_TIMEOUT,
    MAX_PAUSE,
    MAX_RETRIES,
    WatchRetry,
    jittered_wait_ms,
)

COUNTS_AS_TOLD = 2.0  # seconds after a watch's wait, by the platform's page
GRACE = 0.25  # seconds more in which a request may go to a server that is withdrawn
SURE = 0.5  # seconds of these that are left for the last call to be answered


@pytest.mark.parametrize(
    ("failures", "pauses"),
    [
        ([True], [0.0]),  # at once
        ([True] * 5, [0.0, 0.3, 0.3, 0.3, None]),
        ([True, False, False, False, False], [0.0, 0.3, 0.3, 0.3, None]),
        ([False, True], [None, 0.0]),  # what says no is asked again when the module says so
    ],
)
def test_a_silent_watch_is_opened_anew_by_itself_and_any_other_by_the_module(failures, pauses):
    silence = WatchRetry()
    assert [silence.failed(silent, 1.0) for silent in failures] == [
        pytest.approx(pause) if pause else pause for pause in pauses
    ]


def test_an_answer_ends_it():
    silence = WatchRetry()
    assert silence.failed(True, 0.0) == 0.0
    silence.answered()
    assert silence.failed(False, 0.0) is None
    assert silence.failed(True, 0.0) == 0.0


def test_all_its_calls_are_made_while_a_request_may_still_go_by_the_old_list():
    pauses = [0.0] + [MAX_PAUSE] * (MAX_RETRIES - 1)
    assert ANSWER_TIMEOUT + sum(pauses) <= COUNTS_AS_TOLD + GRACE - SURE


def test_watches_that_begin_together_do_not_end_together():
    waits = {jittered_wait_ms(20_000, chance / 10) for chance in range(11)}
    assert len(waits) == 11 and min(waits) == 18_000 and max(waits) == 20_000
