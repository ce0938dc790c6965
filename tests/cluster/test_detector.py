"""Failure detection in virtual time with faults: which members are declared dead, when and by whom."""

from __future__ import annotations

import pytest

from brackenladder.cluster.detector import Detector
from brackenladder.cluster.view import Record, State, epoch_above
from brackenladder.fleet.detector_network import MICRO, DetectorNetwork


def settled_net(size: int, seed: int = 1, **more: float) -> DetectorNetwork:
    net = DetectorNetwork(size, seed, **more)
    net.start_all()
    net.run(8)
    assert not net.false_deaths(0) and net.agreed()
    return net


def detector(net: DetectorNetwork, number: int) -> Detector:
    member = net.members[number]
    assert isinstance(member, Detector)
    return member


@pytest.mark.parametrize(("size", "loss", "bound"), [(3, 0.0, 5), (24, 0.0, 5), (24, 0.2, 8), (60, 0.0, 5)])
def test_a_killed_member_is_dead_in_every_view_in_time(size, loss, bound):
    net = settled_net(size, loss=loss)
    at = net.queue.now
    net.kill(1)
    net.run(bound)
    assert len(net.detection_times(1)) == size - 1 and not net.false_deaths(at, [1])
    if size == 24 and not loss:
        assert sorted(net.detection_times(1))[size // 2] - at < 3.5 * MICRO


@pytest.mark.parametrize("trouble", ["pauses", "loss", "ring"])
def test_no_reachable_member_is_declared_dead(trouble):
    net = settled_net(24, loss=0.3 if trouble == "loss" else 0.0, duplicated=0.2)
    at = net.queue.now
    if trouble == "ring":  # one link per member is cut in one direction; indirect probes still work
        net.cut = {(n, (n + 1) % 24) for n in range(24)}
    for turn in range(6):
        for number in net.rng.sample(range(24), 6) if trouble == "pauses" else ():
            net.pause(number, 2 * MICRO)
        net.run(10)
        assert not net.false_deaths(at), turn
    net.cut = set()
    net.run(5)
    assert net.agreed()


def test_two_sides_of_a_partition_declare_each_other_dead_and_rejoin():
    net = settled_net(24)
    halves = [range(12), range(12, 24)]
    net.cut = {(a, b) for a in halves[0] for b in halves[1]} | {(b, a) for a in halves[0] for b in halves[1]}
    net.run(30)
    assert all(member is not None and len(member.dead()) == 12 for member in net.members)
    net.kill(3)
    net.cut, healed = set(), net.queue.now
    net.run(10)
    own_half = [(who, said.number) for who, said in net.false_deaths(healed, [3])]
    assert not own_half  # a claim of the other side alone makes no member dead
    assert {frozenset(detector(net, n).dead()) for n in net.alive()} == {frozenset({3})}


@pytest.mark.parametrize("way", ["hears nobody", "heard by none", "both"])
def test_an_isolated_node_declares_nobody_dead_and_reports_its_connectivity(way):
    net = settled_net(24)
    at = net.queue.now
    if way != "heard by none":
        net.cut |= {(n, 0) for n in range(1, 24)}
    if way != "hears nobody":
        net.cut |= {(0, n) for n in range(1, 24)}
    net.run(20)
    assert [said for who, said in net.log if who == 0 and said.at > at and said.after == "dead"] == []
    assert detector(net, 0).health.connectivity == ("mute" if way == "heard by none" else "isolated")
    net.cut = set()
    net.run(10)
    assert net.agreed() and not detector(net, 5).dead() and detector(net, 0).health.connectivity == "ok"


def test_a_node_that_resumes_after_its_death_refutes_it_and_declares_nobody_dead():
    net = settled_net(24)
    at = net.queue.now
    net.pause(2, 20 * MICRO)
    net.run(19)
    assert all(2 in detector(net, n).dead() for n in range(24) if n != 2)
    net.run(6)
    assert net.agreed() and not detector(net, 2).dead() and not net.false_deaths(at, [2])


def test_a_successor_is_accepted_although_its_clock_was_set_back():
    net = settled_net(12)
    old = detector(net, 4).me.epoch
    net.kill(4)
    net.clock_skew[4] = -3_600
    net.run(0.05)
    net.start(4)
    net.run(6)
    new = detector(net, 4).me
    assert new.epoch > old and {detector(net, n).view.records[4] for n in net.alive()} == {new}


def test_a_member_that_leaves_is_known_to_have_left():
    net = settled_net(12)
    detector(net, 7).leave(net.queue.now)
    net.kill(7)
    net.run(2)
    assert {detector(net, n).view.records[7].state for n in net.alive()} == {State.LEFT}


def test_two_processes_with_one_number_do_not_raise_epochs_forever():
    net = settled_net(8)
    member = detector(net, 3)
    for nonce in range(20):  # the other process raises its epoch above this one's each time
        higher = Record(epoch_above(member.me.epoch, nonce), 0, State.ALIVE)
        member.apply_record(3, higher, net.queue.now, 2, "the other says so")
    assert member.number_taken and [t.after for t in member.transitions].count("twin") == 1
    before = net.bytes[3]
    net.run(3)
    assert net.bytes[3] - before < 20 * 256  # it only answers others


def test_a_node_never_exceeds_its_byte_budget():
    net = settled_net(24, loss=0.4, duplicated=0.3)
    for _ in range(5):
        for number in range(0, 24, 2):
            net.pause(number, 3 * MICRO)
        before = list(net.bytes)
        net.run(6)
        assert max(now - then for now, then in zip(net.bytes, before, strict=True)) <= 6 * 3_000 + 12_000
