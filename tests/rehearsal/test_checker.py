"""The checker on handwritten journals: correct ones pass, each violation is found by its rule."""

from __future__ import annotations

import pytest
from rehearsal.histories import KEYED, MS, SAFE, SECOND, TERMS, UNSAFE, History

from brackenladder.rehearsal.checker import RULES, Report, check
from brackenladder.rehearsal.events import Again, Lag, NodeEnded, NodeSignal


def verdicts(history: History) -> dict[str, str]:
    return dict(check(history.sorted(), TERMS).verdicts)


def report_of(history: History) -> Report:
    return check(history.sorted(), TERMS)


def expect_only(history: History, rule: str, what: str) -> None:
    """Asserts that the history has exactly one break, of this rule and sort."""
    report = report_of(history)
    assert [(f.rule, f.what) for f in report.breaks] == [(rule, what)], report.breaks
    assert [r for r in RULES if report.verdicts[r] == "broke"] == [rule]


def expect_clean(history: History, edges: int = 0) -> None:
    report = report_of(history)
    assert report.breaks == ()
    assert sum(r.edges for r in report.rulings.values()) == edges


@pytest.fixture
def history() -> History:
    h = History()
    h.server("a", "east/0")
    h.server("b", "east/0")
    h.server("c", "west/1")
    h.told(1 * MS, 1, ("a", "ready", 0), ("b", "ready", 0), ("c", "ready", 0), full=True)
    return h


def test_an_empty_journal_is_not_tried() -> None:
    assert verdicts(History()) == dict.fromkeys(RULES, "not tried")


def test_a_served_request_exercises_the_rule_lost_only(history: History) -> None:
    history.served(SECOND, "r", "a", UNSAFE)
    assert verdicts(history) == {
        "lost": "held",
        "effect": "not tried",
        "drain": "not tried",
        "cold": "not tried",
    }


# ---- lost ---------------------------------------------------------------------------------------------


def test_no_answer_is_lost(history: History) -> None:
    history.sent(SECOND, "r")
    history.gave_up(4 * SECOND, "r")
    expect_only(history, "lost", "no answer")


def test_a_client_that_left_needs_no_answer(history: History) -> None:
    history.sent(SECOND, "r")
    history.gave_up(SECOND + 5 * MS, "r", early=True)
    expect_clean(history)
    assert verdicts(history)["lost"] == "not tried"


def test_a_connection_that_ends_unanswered_is_lost(history: History) -> None:
    history.sent(SECOND, "r")
    history.cut(SECOND + 5 * MS, "r")
    expect_only(history, "lost", "cut off")


def test_a_truncated_answer_is_not_lost(history: History) -> None:
    history.sent(SECOND, "r")
    history.attempt(SECOND + MS, "r", "a", SECOND + 9 * MS, "server")
    history.cut(SECOND + 10 * MS, "r", begun=True)
    expect_clean(history)


def test_a_request_sent_as_a_reused_connection_closes_is_not_lost(history: History) -> None:
    history.sent(SECOND, "r", reused=True)
    history.cut(SECOND + 5 * MS, "r")
    expect_clean(history)


def test_a_request_that_was_attempted_is_lost_with_its_connection(history: History) -> None:
    history.sent(SECOND, "r", reused=True)
    history.attempt(SECOND + MS, "r", "a", SECOND + 4 * MS, "node")
    history.cut(SECOND + 5 * MS, "r")
    expect_only(history, "lost", "cut off")


def test_a_reused_connection_that_ends_later_loses_its_request(history: History) -> None:
    history.sent(SECOND, "r", reused=True)
    history.cut(SECOND + 60 * MS, "r")
    expect_only(history, "lost", "cut off")


@pytest.mark.parametrize(("signal", "lost"), [("kill", False), ("term", True)])
def test_requests_of_a_killed_node_are_not_lost(history: History, signal: str, lost: bool) -> None:
    history.sent(SECOND, "r")
    history.add(NodeSignal(SECOND + 3 * MS, "n0", signal), NodeEnded(SECOND + 4 * MS, "n0", 0, True))
    history.cut(SECOND + 5 * MS, "r")
    if lost:
        expect_only(history, "lost", "cut off")
    else:
        expect_clean(history)


def test_requests_of_a_crashed_node_are_not_lost(history: History) -> None:
    history.sent(SECOND, "r")
    history.cut(SECOND + 5 * MS, "r")
    history.add(NodeEnded(SECOND + 6 * MS, "n0", 3, False))
    expect_clean(history)


def test_an_answer_within_the_slack_is_an_edge_case_and_later_is_late(history: History) -> None:
    limit = SECOND + SECOND + TERMS.answer
    history.sent(SECOND, "r")
    history.answer(limit + TERMS.slack, "r", 504)
    expect_clean(history, edges=1)
    history.sent(SECOND, "s")
    history.answer(limit + TERMS.slack + 1, "s", 504)
    expect_only(history, "lost", "late")


def test_a_second_answer(history: History) -> None:
    history.served(SECOND, "r", "a")
    history.add(Again(SECOND + 14 * MS, "r"))
    expect_only(history, "lost", "answered twice")


def test_an_answer_that_no_server_made(history: History) -> None:
    history.sent(SECOND, "r")
    history.answer(SECOND + 4 * MS, "r", own=False)
    expect_only(history, "lost", "made up")


@pytest.mark.parametrize("how", ["answered", "left"])
def test_nothing_is_sent_once_a_request_is_over(history: History, how: str) -> None:
    history.sent(SECOND, "r")
    if how == "answered":
        history.answer(SECOND + 10 * MS, "r", 502)
    else:
        history.gave_up(SECOND + 10 * MS, "r", early=True)
    history.attempt(SECOND + 60 * MS, "r", "a", SECOND + 61 * MS)
    expect_clean(history, edges=1)
    history.attempt(SECOND + 61 * MS, "r", "b", SECOND + 62 * MS)
    expect_only(history, "lost", "sent after")


# ---- effect -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["error", "server", "node"])
def test_an_unsafe_request_is_not_sent_again_once_it_may_have_run(history: History, how: str) -> None:
    history.sent(SECOND, "r", UNSAFE)
    history.attempt(SECOND + MS, "r", "a", SECOND + 5 * MS, how)
    history.attempt(SECOND + 6 * MS, "r", "b", SECOND + 9 * MS)
    history.answer(SECOND + 10 * MS, "r")
    expect_only(history, "effect", "repeat")


def test_an_unsafe_request_that_was_rejected_may_be_retried(history: History) -> None:
    history.sent(SECOND, "r", UNSAFE)
    history.attempt(SECOND + MS, "r", "a", SECOND + 2 * MS, "rejected")
    history.attempt(SECOND + 6 * MS, "r", "b", SECOND + 9 * MS)
    history.answer(SECOND + 10 * MS, "r")
    expect_clean(history)


def test_a_safe_request_may_be_repeated_anywhere(history: History) -> None:
    history.sent(SECOND, "r", SAFE)
    history.attempt(SECOND + MS, "r", "a", SECOND + 2 * MS, "error")
    history.attempt(SECOND + 6 * MS, "r", "c", SECOND + 9 * MS, "error")
    history.answer(SECOND + 10 * MS, "r", 503)
    expect_clean(history)


@pytest.mark.parametrize(("server", "breaks"), [("b", False), ("c", True)])
def test_a_keyed_request_is_repeated_within_its_pod(history: History, server: str, breaks: bool) -> None:
    history.sent(SECOND, "r", KEYED)
    history.attempt(SECOND + MS, "r", "a", SECOND + 2 * MS, "error")
    history.attempt(SECOND + 6 * MS, "r", server, SECOND + 9 * MS)
    history.answer(SECOND + 10 * MS, "r")
    if breaks:
        expect_only(history, "effect", "outside")
    else:
        expect_clean(history)


def test_a_keyed_request_is_repeated_within_its_window(history: History) -> None:
    for name, after in (("r", TERMS.slack), ("s", TERMS.slack + 1)):
        history.sent(SECOND, name, KEYED, budget=20 * SECOND)
        history.attempt(SECOND + MS, name, "a", SECOND + 2 * MS, "error")
        again = SECOND + MS + 10 * SECOND + after
        history.attempt(again, name, "b", again + MS)
        history.answer(again + 2 * MS, name)
    expect_only(history, "effect", "window")
    assert report_of(history).rulings["effect"].edges == 1


@pytest.mark.parametrize("klass", [UNSAFE, KEYED])
@pytest.mark.parametrize("status", [429, 503])
def test_what_may_have_run_is_not_refused(history: History, klass: int, status: int) -> None:
    history.sent(SECOND, "r", klass)
    history.attempt(SECOND + MS, "r", "a", SECOND + 2 * MS, "error")
    history.answer(SECOND + 10 * MS, "r", status)
    expect_only(history, "effect", "refused")


def test_what_may_have_run_may_fail(history: History) -> None:
    history.sent(SECOND, "r", UNSAFE)
    history.attempt(SECOND + MS, "r", "a", SECOND + 2 * MS, "server")
    history.answer(SECOND + 10 * MS, "r", 502)
    expect_clean(history)
    assert verdicts(history)["effect"] == "held"


def test_a_stalled_answer_that_the_node_gave_up_may_have_run(history: History) -> None:
    history.sent(SECOND, "r", UNSAFE)
    history.attempt(SECOND + MS, "r", "a", SECOND + 800 * MS, "node")
    history.answer(SECOND + 801 * MS, "r", 503)
    expect_only(history, "effect", "refused")


def test_two_attempts_at_once(history: History) -> None:
    history.sent(SECOND, "r")
    history.attempt(SECOND + MS, "r", "a", SECOND + 52 * MS)
    history.attempt(SECOND + 2 * MS, "r", "b", SECOND + 60 * MS)
    history.answer(SECOND + 61 * MS, "r")
    expect_clean(history, edges=1)
    history.sent(SECOND, "s")
    history.attempt(SECOND + MS, "s", "a", SECOND + 53 * MS)
    history.attempt(SECOND + 2 * MS, "s", "b", SECOND + 60 * MS)
    history.answer(SECOND + 61 * MS, "s")
    expect_only(history, "effect", "overlap")


def test_more_attempts_than_allowed(history: History) -> None:
    history.sent(SECOND, "r")
    for i in range(4):
        history.attempt(SECOND + (1 + 2 * i) * MS, "r", "a", SECOND + (2 + 2 * i) * MS, "rejected")
    history.answer(SECOND + 10 * MS, "r", 503)
    expect_only(history, "effect", "too many")


def test_a_request_that_waited_in_a_backlog_has_an_unknown_send_time(history: History) -> None:
    history.sent(SECOND, "r", UNSAFE)
    history.answer(SECOND + 900 * MS, "r", 502)
    history.attempt(2 * SECOND, "r", "a", 2 * SECOND + MS, queued=True)
    expect_clean(history)


# ---- drain --------------------------------------------------------------------------------------------


def drained(history: History, t: int) -> None:
    """Adds traffic in which `a` is used until n0 is told at `t` that it drains; `b` is used after that."""
    history.served(t - 500 * MS, "before", "a")
    history.changed(t, 2, "a", "draining")
    history.told(t, 2, ("a", "draining", 0))
    for i in range(20):
        history.served(t + 100 * i * MS, f"after{i}", "b")


def test_a_drain_that_is_respected(history: History) -> None:
    drained(history, 2 * SECOND)
    expect_clean(history)
    assert verdicts(history)["drain"] == "held"


def test_a_drain_of_a_server_that_can_no_longer_be_reached_was_not_tried(history: History) -> None:
    drained(history, 2 * SECOND)
    history.down("a", 2 * SECOND + 100 * MS)
    assert verdicts(history)["drain"] == "not tried"


def test_a_drain_of_a_server_that_was_never_used_was_not_tried(history: History) -> None:
    history.told(2 * SECOND, 2, ("c", "draining", 0))
    for i in range(20):
        history.served(2 * SECOND + 100 * i * MS, f"after{i}", "b")
    assert verdicts(history)["drain"] == "not tried"


def test_a_send_after_the_grace_and_its_slack(history: History) -> None:
    drained(history, 2 * SECOND)
    history.sent(2 * SECOND, "r")
    history.attempt(2 * SECOND + 300 * MS, "r", "a", 2 * SECOND + 302 * MS)
    history.answer(2 * SECOND + 303 * MS, "r")
    expect_clean(history, edges=1)
    history.sent(2 * SECOND, "s")
    history.attempt(2 * SECOND + 301 * MS, "s", "a", 2 * SECOND + 302 * MS)
    history.answer(2 * SECOND + 303 * MS, "s")
    expect_only(history, "drain", "sent")


def test_a_send_counts_from_its_first_byte(history: History) -> None:
    drained(history, 2 * SECOND)
    history.sent(2 * SECOND, "r")
    history.attempt(2 * SECOND + 400 * MS, "r", "a", 2 * SECOND + 402 * MS, first=2 * SECOND + 240 * MS)
    history.answer(2 * SECOND + 403 * MS, "r")
    expect_clean(history)


def test_a_server_that_a_whole_list_leaves_out_is_gone(history: History) -> None:
    history.served(SECOND, "before", "a")
    history.told(2 * SECOND, 2, ("b", "ready", 0), ("c", "ready", 0), full=True)
    history.served(3 * SECOND, "r", "a")
    expect_only(history, "drain", "sent")


def test_an_old_list_does_not_bring_a_server_back(history: History) -> None:
    drained(history, 2 * SECOND)
    history.told(3 * SECOND, 1, ("a", "ready", 0), ("b", "ready", 0), full=True)
    history.served(4 * SECOND, "r", "a")
    expect_only(history, "drain", "sent")


def test_a_new_start_brings_a_server_back(history: History) -> None:
    drained(history, 2 * SECOND)
    history.told(3 * SECOND, 3, ("a", "ready", 3000))
    history.served(4 * SECOND, "r", "a")
    expect_clean(history)


def test_versions_of_another_discovery_source_are_not_compared(history: History) -> None:
    drained(history, 2 * SECOND)
    history.told(3 * SECOND, 1, ("a", "ready", 0), ("b", "ready", 0), full=True, source=1)
    history.served(4 * SECOND, "r", "a")
    expect_clean(history)


def test_a_node_that_makes_no_discovery_call_counts_as_told(history: History) -> None:
    history.changed(2 * SECOND, 2, "a", "draining")
    history.served(11 * SECOND, "r", "a")
    expect_clean(history)
    history.served(13 * SECOND, "s", "a")
    expect_only(history, "drain", "sent")


def test_the_knowledge_of_one_node_does_not_count_for_another() -> None:
    h = History(nodes=2)
    h.server("a")
    h.told(MS, 1, ("a", "ready", 0), full=True)
    h.told(MS, 1, ("a", "ready", 0), full=True, node="n1")
    h.told(SECOND, 2, ("a", "draining", 0))
    h.served(2 * SECOND, "r", "a", node="n1")
    expect_clean(h)
    h.served(2 * SECOND, "s", "a", node="n0")
    expect_only(h, "drain", "sent")


# ---- cold ---------------------------------------------------------------------------------------------


def warming(nodes: int = 1, told: bool = True) -> History:
    """`a` starts cold at 1 s: its two cores, at 0.12, can do 1.05 core-seconds in the first 3 s."""
    h = History(nodes)
    h.server("a", t=SECOND, cold=True)
    h.server("b")
    for i in range(nodes):
        started = 1 + SECOND // MS
        if told or not i:
            h.told(SECOND + 1, 2, ("a", "ready", started), ("b", "ready", 0), full=True, node=f"n{i}")
        else:
            h.told(1, 1, ("b", "ready", 0), full=True, node=f"n{i}")
    return h


def add_work(h: History, server: str, core_seconds: float, node: str = "n0", prefix: str = "r") -> None:
    """Adds this much work, spread evenly over the 2 s after 1.1 s."""
    count = round(core_seconds * 100)
    for i in range(count):
        h.served(1_100 * MS + 2 * SECOND * i // count, f"{prefix}{server}{i}", server, node=node)


def test_a_cold_server_that_is_overloaded() -> None:
    h = warming()
    add_work(h, "a", 2.7)
    expect_only(h, "cold", "pushed")


def test_a_cold_server_within_its_capacity() -> None:
    h = warming()
    add_work(h, "a", 2.6)
    expect_clean(h)


def test_the_sum_of_all_nodes_counts() -> None:
    h = warming(nodes=2)
    add_work(h, "a", 1.35)
    expect_clean(h)
    add_work(h, "a", 1.35, node="n1", prefix="s")
    expect_only(h, "cold", "pushed")


def test_an_overload_by_nodes_that_did_not_know_of_the_start() -> None:
    h = warming(nodes=2, told=False)
    add_work(h, "a", 2.9, node="n1")
    expect_clean(h)


def test_what_a_cold_server_rejects_counts() -> None:
    h = warming()
    for i in range(270):
        t = 1_100 * MS + 2 * SECOND * i // 270
        h.sent(t, f"r{i}")
        h.attempt(t + MS, f"r{i}", "a", t + 2 * MS, "rejected")
        h.answer(t + 3 * MS, f"r{i}", 503)
    expect_only(h, "cold", "pushed")


def test_a_warm_server_can_be_sent_anything() -> None:
    h = warming()
    add_work(h, "b", 9.0)
    expect_clean(h)


def test_too_little_work_does_not_exercise_the_rule_cold() -> None:
    h = warming()
    add_work(h, "b", 2.0)
    h.served(8 * SECOND, "last", "b")
    assert verdicts(h)["cold"] == "not tried"
    h = warming()
    add_work(h, "b", 6.0)
    h.served(8 * SECOND, "last", "b")
    assert verdicts(h)["cold"] == "held"


# ---- validity -----------------------------------------------------------------------------------------


def test_late_stand_ins_make_a_held_rule_not_valid(history: History) -> None:
    drained(history, 2 * SECOND)
    history.add(Lag(3 * SECOND, "servers-0", TERMS.lag))
    assert verdicts(history)["drain"] == "held"
    history.add(Lag(3 * SECOND, "servers-0", TERMS.lag + 1))
    got = verdicts(history)
    assert (got["lost"], got["drain"], got["cold"]) == ("not valid", "not valid", "not tried")
    assert (report_of(history).late, report_of(history).lag) == ("servers-0", TERMS.lag + 1)


def test_late_stand_ins_make_a_break_by_time_not_valid_and_leave_the_others(history: History) -> None:
    drained(history, 2 * SECOND)
    history.served(3 * SECOND, "r", "a")
    history.sent(SECOND, "s", UNSAFE)
    history.attempt(SECOND + MS, "s", "a", SECOND + 2 * MS, "error")
    history.answer(SECOND + 10 * MS, "s", 503)
    history.add(Lag(3 * SECOND, "servers-0", TERMS.lag + 1))
    got = verdicts(history)
    assert (got["drain"], got["effect"]) == ("not valid", "broke")
