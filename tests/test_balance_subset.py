"""The subset of servers that one node uses: which servers belong to it, how it changes and how it grows."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support import SAFE, SEC, UNSAFE, ask, balancer, end, load

from brackenladder.interface import (
    NEVER_RAN,
    ListKind,
    Outcome,
    ServerEntry,
    State,
)
from brackenladder.policy.balancer import Balancer
from brackenladder.policy.subset import SUBSET_LEAST, mix

MAY_HAVE_RUN = [o for o in Outcome if o not in NEVER_RAN and o != Outcome.OK]


def nodes_with_shared_servers(count: int, servers: int, **changes) -> list[Balancer]:
    return [balancer(servers, seed=i, instances=count, index=i, **changes)[0] for i in range(count)]


def test_each_server_is_a_member_for_equally_many_nodes():
    """Failure prevented: with independent random subsets some servers belong to many nodes, some to few."""
    belongs = Counter(m.id for node in nodes_with_shared_servers(70, 60) for m in node.members)
    assert len(belongs) == 60 and max(belongs.values()) - min(belongs.values()) <= 1


def test_a_change_of_the_list_moves_few_members_and_new_servers_are_used():
    """Failure prevented: full subsets take in no new server, and those added to a fleet stay idle."""
    nodes = nodes_with_shared_servers(70, 60)
    before = [{m.id for m in node.members} for node in nodes]
    for node in nodes:
        node.server_list(1, ListKind.CHANGES, [ServerEntry(61)])
    after = [{m.id for m in node.members} for node in nodes]
    assert sum(61 in members for members in after) >= 4
    assert sum(len(a - b) for a, b in zip(after, before, strict=True)) < 2 * 70


@given(
    st.lists(
        st.tuples(st.integers(0, 300), st.integers(0, 2), st.integers(0, 2), st.booleans()), max_size=60
    ),
    st.integers(0, 99),
    st.booleans(),
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_members_updated_by_changes_equal_those_of_a_full_list(changes, index, zoned):
    """Failure prevented: the order kept by changes differs from that of the list, so that nodes disagree."""
    node, rec = balancer([], instances=200, index=index, cross_zone_price=0.05 if zoned else 0.0)
    listed: dict[int, ServerEntry] = {}
    for server, zone, kind, ready in changes:
        kind = listed[server].kind if server in listed else kind
        entry = ServerEntry(server, State.READY if ready else State.GONE, zone=zone, kind=kind)
        listed.pop(server, None)
        if ready:
            listed[server] = entry
        node.server_list(0, ListKind.CHANGES, [entry])
    zones = sorted({e.zone for e in listed.values()}) if zoned else [None]
    expected = []
    for zone in zones:
        mine = [e for e in listed.values() if zone in (None, e.zone)]
        parts = max(1, len(mine) // SUBSET_LEAST)
        seed, part = divmod(index, parts)
        spread = []
        for kind in {e.kind for e in mine}:
            same_kind = sorted((e.server for e in mine if e.kind == kind), key=lambda s: (mix(s, seed), s))
            spread += [((i + mix(kind, seed) / 2**64) / len(same_kind), s) for i, s in enumerate(same_kind)]
        order = [server for _, server in sorted(spread)]
        start, end = part * len(order) // parts, (part + 1) * len(order) // parts
        stop = min(max(end, start + SUBSET_LEAST), start + len(order))
        expected += [order[i % len(order)] for i in range(start, stop)]
    assert [m.id for m in node.members] == expected


def test_the_subset_grows_with_the_calls_in_flight():
    """Failure prevented: a node that suddenly gets a large part of the traffic overloads a few servers."""
    node, rec = balancer(60, instances=300)
    small = len(node.members)
    for i in range(60):
        ask(node, rec, i, i)
    node.mean_in_flight = 40.0
    ask(node, rec, 100, 100)
    assert small < 12 and len(node.members) == 24


@pytest.mark.usefixtures("wide")
def test_a_new_server_starts_with_the_latency_of_its_kind():
    """Failure prevented: at a call a second a node takes a minute to measure each slow server by itself."""
    node, rec = balancer([ServerEntry(i + 1, kind=i % 2) for i in range(8)])
    now = 0
    for i in range(60):
        now += SEC // 4
        server = ask(node, rec, now, i)[2]
        end(node, rec, now, i, 0, server, Outcome.OK, 300_000 if server % 2 == 0 else 100_000)
    node.server_list(now, ListKind.CHANGES, [ServerEntry(9, kind=0), ServerEntry(10, kind=1)])
    assert load(node.servers[10], now, 1e6) > 1.5 * load(node.servers[9], now, 1e6)


def test_a_keyed_retry_may_go_to_its_group_outside_the_subset():
    entries = [ServerEntry(i + 1, cell=i % 30) for i in range(60)]
    node, rec = balancer(entries, instances=50)
    first = ask(node, rec, 0, 1, 1)[2]
    (action,) = end(node, rec, 10_000, 1, 0, first, Outcome.ERROR)
    assert action[0] == "send" and action[2] != first and (action[2] - first) % 30 == 0


@pytest.mark.usefixtures("wide")
def test_slow_members_get_little_of_the_traffic():
    """Failure prevented: among few members two slow ones are often drawn together and stay overloaded."""
    node, rec = balancer(4)
    now, slow = 0, 0
    for i in range(600):
        now += 200_000
        server = ask(node, rec, now, i)[2]
        slow += i >= 100 and server <= 2
        end(node, rec, now, i, 0, server, Outcome.OK, 800_000 if server <= 2 else 100_000)
    assert slow < 500 / 10


def test_the_members_of_every_node_are_of_all_kinds_in_proportion():
    entries = [ServerEntry(i + 1, kind=i % 4 // 3) for i in range(64)]  # a quarter of kind 1
    for index in range(32):
        node, _ = balancer(entries, instances=32, index=index)
        assert sum(node.servers[m.id].kind_id == 1 for m in node.members) in (1, 2)


def test_a_request_of_an_unknown_class_is_not_retried():
    """Failure prevented: it is treated like the last class of the settings, which may allow retries."""
    node, rec = balancer(classes=(UNSAFE, SAFE))
    server = ask(node, rec, 0, 1, klass=9)[2]
    assert [a[0] for a in end(node, rec, 10_000, 1, 0, server, Outcome.ERROR)] == ["fail"]


def test_an_outcome_of_a_finished_request_is_ignored():
    node, rec = balancer()
    server = ask(node, rec, 0, 1)[2]
    end(node, rec, 10_000, 1, 0, server, Outcome.OK)
    node.client_left(11_000, 1)
    assert end(node, rec, 12_000, 1, 0, server, Outcome.ERROR) == [] and node.controller.in_flight == 0


@pytest.mark.parametrize("shares", [(1, 1, 1, 1), (2, 1, 1, 1), (1, 0.25, 0.5, 1), (0.1, 0.1, 0.1, 0.4)])
def test_calls_follow_the_weights_set_by_an_operator(shares):
    """40,000 calls of equal duration, six in flight."""
    entries = [ServerEntry(i + 1, share=share) for i, share in enumerate(shares)]
    node, rec = balancer(entries)
    node.controller.end_pass(0)
    node.controller.limit = 1000.0
    node.mean_rtt = [70_000.0] * len(node.mean_rtt)
    sent, out = Counter(), []
    for number in range(40_000):
        now = number * SEC // 100
        _, _, server, _ = ask(node, rec, now, number)
        sent[server] += 1
        out.append((number, server))
        if len(out) > 6:
            done, at = out.pop(0)
            end(node, rec, now, done, 0, at, Outcome.OK, 70_000)
        node.controller.limit, node.controller.next_pass = 1000.0, now + SEC
    for i, share in enumerate(shares):
        assert sent[i + 1] / 40_000 == pytest.approx(share / sum(shares), rel=0.05)
