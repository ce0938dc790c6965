"""When a watch without a response is retried."""

from __future__ import annotations

import pytest

from brackenladder.membership.watch_retry import (
    ANSWER_TIMEOUT,
    MAX_PAUSE,
    MAX_RETRIES,
    WatchRetry,
    jittered_wait_ms,
)

COUNTS_AS_DELIVERED = 2.0  # seconds after a watch's wait, by the platform's rules
GRACE = 0.25  # further seconds in which a request may be sent to a withdrawn server
LAST_RESPONSE_TIME = 0.5  # seconds of these that remain for the response to the last call


@pytest.mark.parametrize(
    ("failures", "pauses"),
    [
        ([True], [0.0]),  # immediately
        ([True] * 5, [0.0, 0.3, 0.3, 0.3, None]),
        ([True, False, False, False, False], [0.0, 0.3, 0.3, 0.3, None]),
        ([False, True], [None, 0.0]),  # after a failure with a response the module decides
    ],
)
def test_a_silent_watch_is_retried_automatically_and_any_other_by_the_module(failures, pauses):
    retry = WatchRetry()
    assert [retry.failed(silent, 1.0) for silent in failures] == [
        pytest.approx(pause) if pause else pause for pause in pauses
    ]


def test_an_answer_resets_the_retries():
    retry = WatchRetry()
    assert retry.failed(True, 0.0) == 0.0
    retry.answered()
    assert retry.failed(False, 0.0) is None
    assert retry.failed(True, 0.0) == 0.0


def test_all_retries_are_made_while_the_old_list_may_still_be_used():
    pauses = [0.0] + [MAX_PAUSE] * (MAX_RETRIES - 1)
    assert ANSWER_TIMEOUT + sum(pauses) <= COUNTS_AS_DELIVERED + GRACE - LAST_RESPONSE_TIME


def test_watches_that_start_together_do_not_end_together():
    waits = {jittered_wait_ms(20_000, chance / 10) for chance in range(11)}
    assert len(waits) == 11 and min(waits) == 18_000 and max(waits) == 20_000
