"""The Balancer's reaction to each outcome for each effect, and to overload, lists and odd events."""

import pytest
from support import BASE, KEYED, SAFE, SEC, UNSAFE, ask, balancer, end

from brackenladder.interface import (
    NEVER_RAN,
    ClassSettings,
    Effect,
    Group,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
    TenantSettings,
)

MAY_HAVE_RUN = [o for o in Outcome if o not in NEVER_RAN and o != Outcome.OK]


def test_refused_at_the_limit_at_once_with_back_off():
    node, rec = balancer(1)
    limit = int(node.controller.effective_limit())
    answers = [ask(node, rec, 0, i)[0] for i in range(limit + 1)]
    assert answers == ["send"] * limit + ["refuse"]
    node.request(0, 99, 0, 0, 3 * SEC, False)
    ((_, request, retry_after),) = rec.take()
    assert request == 99 and 0 < retry_after <= 2 * SEC
    assert node.stats()["rq_blocked"] == 2


@pytest.mark.parametrize("outcome", sorted(NEVER_RAN))
@pytest.mark.parametrize("klass", [0, 1, 2])
def test_an_attempt_that_never_ran_is_retried(outcome, klass):
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1, klass)
    ((action, *_),) = end(node, rec, 1000, 1, 0, server, outcome)
    assert action == "send"


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_request_is_failed_once_it_may_have_run(outcome):
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1, 2)
    assert end(node, rec, 1000, 1, 0, server, outcome) == [("fail", 1)]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_safe_request_is_retried_up_to_the_attempt_limit_then_refused(outcome):
    node, rec = balancer(max_attempts=2)
    _, _, server, _ = ask(node, rec, 0, 1, 0)
    ((action, _, other, _),) = end(node, rec, 1000, 1, 0, server, outcome)
    assert action == "send"
    ((action, *_),) = end(node, rec, 2000, 1, 1, other, outcome)
    assert action == "refuse"


def test_a_keyed_request_is_retried_only_in_its_group_and_window():
    for group, field in ((Group.CELL, "cell"), (Group.ZONE, "zone")):
        entries = [ServerEntry(i + 1, **{field: i % 2}) for i in range(8)]
        klass = ClassSettings(
            Effect.KEYED, aim=SEC, deadline=9 * SEC, worth=1, late_worth=0.5, group=group, window=SEC
        )
        for seed in range(10):
            node, rec = balancer(entries, seed=seed, classes=(klass,))
            _, _, server, _ = ask(node, rec, 0, 1)
            ((action, _, other, _),) = end(node, rec, 1000, 1, 0, server, Outcome.ERROR)
            assert action == "send" and other % 2 == server % 2 and other != server
            assert end(node, rec, SEC + 1, 1, 1, other, Outcome.ERROR) == [("fail", 1)]


def test_a_keyed_request_is_failed_if_its_group_has_no_other_server():
    node, rec = balancer([ServerEntry(1, cell=1), ServerEntry(2, cell=2)])
    _, _, server, _ = ask(node, rec, 0, 1, 1)
    assert end(node, rec, 1000, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_retries_are_limited_by_a_budget():
    """Failure prevented: if a whole subset fails, unlimited retries multiply the load over the tiers."""
    node, rec = balancer(4)
    sends = 0
    for i in range(100):
        todo = [ask(node, rec, i * 1000, i)]
        attempt = 0
        while todo and todo[0][0] == "send":
            sends += 1
            todo = end(node, rec, i * 1000 + 500, i, attempt, todo[0][2], Outcome.ERROR)
            attempt += 1
    assert 100 < sends <= 100 + 100 * 0.1 + 4


def test_a_timeout_at_the_deadline_leads_to_the_final_answer():
    for klass, answer in ((0, "refuse"), (1, "fail"), (2, "fail")):
        node, rec = balancer()
        _, _, server, timeout = ask(node, rec, 0, 1, klass)
        assert timeout == 3 * SEC
        ((action, *_),) = end(node, rec, timeout, 1, 0, server, Outcome.TIMEOUT, timeout)
        assert action == answer
        assert not node.requests


def test_an_attempt_of_a_class_without_late_worth_ends_at_its_aim():
    """Failure prevented: servers work on answers that are too late to be worth anything."""
    klass = ClassSettings(Effect.SAFE, aim=SEC, deadline=3 * SEC, worth=1)
    node, rec = balancer(classes=(klass,))
    assert ask(node, rec, 0, 1)[3] < SEC


def test_a_request_is_refused_at_once_if_there_is_no_server():
    for klass in (0, 1, 2):
        node, rec = balancer(0)
        assert ask(node, rec, 0, 1, klass)[0] == "refuse"


def test_nothing_new_goes_to_a_draining_or_gone_server():
    for state in (State.DRAINING, State.GONE):
        node, rec = balancer(4)
        node.server_list(10, ListKind.CHANGES, [ServerEntry(2, state)])
        rec.take()
        servers = set()
        for i in range(5):
            servers.add(ask(node, rec, 20, i, 2)[2])
        for i in range(100, 160):
            server = ask(node, rec, i, i, 2)[2]
            servers.add(server)
            end(node, rec, i, i, 0, server, Outcome.OK)
        assert servers == {1, 3, 4}


def test_a_full_list_removes_servers_that_are_not_in_it():
    node, rec = balancer(4)
    node.server_list(10, ListKind.FULL, [ServerEntry(1), ServerEntry(1, zone=3), ServerEntry(4)])
    assert sorted(m.id for m in node.members) == [1, 4]
    assert node.servers[1].zone == 3
    node.server_list(10, ListKind.FAILED, [])
    assert len(node.members) == 2


def test_a_drained_server_that_fails_gets_no_trial():
    """Failure prevented: a drained server's last calls fail, it is ejected, and later gets a trial call."""
    node, rec = balancer(4)
    held = []
    for i in range(12):
        _, request, server, _ = ask(node, rec, 0, i, 2)
        held.append((request, server))
    drained = max(range(1, 5), key=[server for _, server in held].count)
    node.server_list(1, ListKind.CHANGES, [ServerEntry(drained, State.DRAINING)])
    for request, server in held:
        end(node, rec, 2, request, 0, server, Outcome.ERROR if server == drained else Outcome.OK)
    assert sum(server == drained for _, server in held) >= 3 and node.ejected == []
    for i in range(100, 200):
        _, _, server, _ = ask(node, rec, i * SEC, i)
        assert server != drained
        end(node, rec, i * SEC, i, 0, server, Outcome.OK)


def test_the_subset_is_bounded_and_replaces_a_member_that_is_gone():
    node, rec = balancer(60)
    size = len(node.members)
    assert size < 60
    first = node.members[0].id
    node.server_list(1, ListKind.CHANGES, [ServerEntry(first, State.GONE)])
    assert len(node.members) == size and first not in {m.id for m in node.members}


def test_a_member_that_fails_fast_is_ejected_and_later_readmitted():
    """Failure prevented: a member that fails fast has few calls in flight and is chosen almost every time."""
    node, rec = balancer(6)
    now, bad = 0, 0
    for i in range(300):
        now += 20_000
        action = ask(node, rec, now, i, 2)
        bad += action[2] == 3
        end(node, rec, now + 100, i, 0, action[2], Outcome.ERROR if action[2] == 3 else Outcome.OK, 250_000)
    assert bad < 15
    before = node.servers[3].calls
    for i in range(300, 900):
        now += 20_000
        action = ask(node, rec, now, i, 0)
        end(node, rec, now + 100, i, 0, action[2], Outcome.OK, 250_000)
        if i % 100 == 99:
            now += 10 * SEC
    assert not node.servers[3].ejected and node.servers[3].calls > before


def test_a_silent_member_is_ejected_and_its_calls_do_not_count_against_the_limit():
    """Failure prevented: calls that hang at a silent member use up the limit for all the others."""
    node, rec = balancer(6)
    now, out = 0, []
    for i in range(600):
        now += 20_000
        action = ask(node, rec, now, i)
        if action[0] == "send" and action[2] != 3:
            out.append((i, action[2]))
        if len(out) > 6:
            end(node, rec, now, out[0][0], 0, out[0][1], Outcome.OK, 200_000)
            del out[0]
    assert node.servers[3].ejected and node.servers[3].silent
    assert node.controller.in_flight == 6


def test_a_cold_server_gets_no_more_than_its_share():
    """Failure prevented: a restarted server looks idle and is overloaded by new calls."""
    node, rec = balancer(4)
    now, cold = 0, 0
    for i in range(400):
        now += 10_000
        if i == 200:
            node.server_list(now, ListKind.CHANGES, [ServerEntry(2, ready_at=now)])
            rec.take()
        action = ask(node, rec, now, i)
        cold += i >= 200 and action[2] == 2
        end(node, rec, now, i, 0, action[2], Outcome.OK, 250_000)
    # Two seconds at up to 0.4 + 0.6 x 0.5 of a warm member's rate of 25 to 33 calls a second.
    assert 5 <= cold <= 40


def test_a_lower_tier_queues_at_the_limit_instead_of_refusing():
    """Failure prevented: a refusal below the first tier wastes the work that the tiers above have done."""
    node, rec = balancer(1, tier=1, tiers=2)
    sent = []
    for i in range(4):
        node.request(0, i, 0, 0, 3 * SEC, False)
        sent += rec.take("send", "refuse")
    assert [a[0] for a in sent] == ["send"] * 3
    ((action, request, *_),) = end(node, rec, 1000, 0, 0, 1, Outcome.OK)
    assert (action, request) == ("send", 3)
    node.request(2000, 9, 0, 0, 3 * SEC, False)
    ((_, delay, token),) = rec.take()
    node.timer(2000 + delay, token)
    assert rec.take()[0][:2] == ("refuse", 9)


def tenants_served(shed: float, sent: tuple[int, ...]) -> list[float]:
    """The share of each tenant's requests that is served: quotas are 10 a second, `sent` multiples of 10."""
    tenants = tuple(TenantSettings(quota=10 * 50) for _ in sent)
    node, rec = balancer(8, tenants=tenants, instances=50)
    served = [0] * len(sent)
    for i in range(600):
        node.shed = shed
        for tenant, count in enumerate(sent):
            for j in range(count):
                request = i * 1000 + tenant * 100 + j
                node.request(i * 100_000, request, 0, tenant, 3 * SEC, False)
                (action,) = rec.take("send", "refuse")
                if action[0] == "send":
                    served[tenant] += 1
                    end(node, rec, i * 100_000, request, 0, action[2], Outcome.OK, 10_000)
    return [n / (600 * count) for n, count in zip(served, sent, strict=True)]


def test_a_tenant_far_over_quota_is_shed_under_load():
    """Failure prevented: one tenant's excess slows all others, while no node reaches its limit."""
    greedy, *others = tenants_served(1.0, (3, 1, 1))
    assert greedy < 0.45 and min(others) > 0.95
    assert min(tenants_served(0.0, (3, 1, 1))) > 0.95


@pytest.mark.parametrize("latency, answers", [(2.0, 3), (0.8, 53), (0.5, 0)])
def test_shedding_rises_faster_for_later_answers(latency, answers):
    """Failure prevented: a burst of low-value calls overloads the servers before 20 late answers are seen."""
    node, rec = balancer(1)
    node.shed = 0.0
    target = node.controller.target[0]
    for i in range(max(1, answers)):
        assert node.shed < 1
        server = ask(node, rec, i, i)[2]
        end(node, rec, i, i, 0, server, Outcome.OK, int(latency * target))
    assert (node.shed == 1) == (answers > 0)


def test_a_node_with_most_of_the_traffic_does_not_shed_tenants_for_it():
    """Failure prevented: on a node with more than its part of all traffic every tenant looks over quota."""
    assert min(tenants_served(1.0, (9, 10, 9))) > 0.85


def test_a_class_of_low_worth_leaves_room_below_the_limit():
    rich = ClassSettings(Effect.UNSAFE, aim=SEC, deadline=3 * SEC, worth=10)
    node, rec = balancer(8, classes=(SAFE, rich))
    answers = [ask(node, rec, 0, i)[0] for i in range(23)]
    assert answers[-1] == "refuse"
    assert ask(node, rec, 0, 99, 1)[0] == "send"


def test_the_attempt_of_a_client_that_left_is_cancelled_without_an_answer():
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1)
    node.client_left(10, 1)
    assert rec.take() == [("cancel", 1, 0)]
    assert end(node, rec, 20, 1, 0, server, Outcome.CANCELLED) == []
    assert node.controller.in_flight == 0
    node, rec = balancer(cancel=False)
    ask(node, rec, 0, 1)
    node.client_left(10, 1)
    assert rec.take() == []


def test_a_stream_that_has_started_is_never_retried():
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1)
    node.response_started(10, 1, 0, server, 10)
    assert end(node, rec, 20, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_events_about_unknown_requests_and_servers_are_ignored():
    node, rec = balancer()
    node.client_left(0, 5)
    node.outcome(0, 5, 0, 77, Outcome.OK, 1, True, ())
    node.response_started(0, 5, 0, 1, 1)
    node.timer(0, 123)
    node.timer(0, 2 << 56 | 5)
    node.probed(0, 1, True, 5, ())
    node.peer_message(0, 1, b"x")
    _, _, server, _ = ask(node, rec, 0, 1)
    end(node, rec, 1, 1, 0, server, Outcome.OK)
    assert end(node, rec, 2, 1, 0, server, Outcome.OK) == []
    assert node.controller.in_flight == 0


def test_a_failed_list_request_is_repeated_with_back_off():
    node, rec = balancer(list_on_request=True, list_ask_within=10 * SEC)
    node.start(0)
    assert rec.take("watch") == [("watch", True)]
    delays = []
    for _ in range(6):
        node.server_list(0, ListKind.FAILED, [])
        ((_, delay, token),) = rec.take("set_timer")
        delays.append(delay)
        node.timer(delay, token)
        assert rec.take("watch") == [("watch", True)]
    assert max(delays) < 5 * SEC and delays[-1] > delays[0]


@pytest.mark.parametrize("key", ["classes", "instances", "max_attempts", "tick", "cold_share", "tier"])
def test_impossible_settings_name_their_key(key):
    values = {f: getattr(BASE, f) for f in BASE.__dataclass_fields__}
    values[key] = () if key == "classes" else -1
    with pytest.raises(ValueError, match=key):
        Settings(**values)
    with pytest.raises(ValueError, match="aim"):
        Settings(classes=(ClassSettings(Effect.SAFE, aim=0, deadline=1, worth=1),))


def test_support_classes_cover_each_effect():
    assert [c.effect for c in (SAFE, KEYED, UNSAFE)] == list(Effect)
