"""Encoding and decoding of the simulator's wire format, and malformed input."""

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from brackenladder import adapter
from brackenladder.adapter import Host, WireActions, WireError, read_settings, serve

ROOT = Path(__file__).parent.parent
ENV = {
    "classes": [
        {"effect": "guarded", "goal_time": 2000000, "hard_limit": 5000000, "worth": 8, "group": "cell"},
        {"effect": "brand_new", "goal_time": 1000000, "hard_limit": 2000000, "worth": 1, "late_value": 0.5},
    ],
    "discovery": "push",
    "group_size": 2,
    "layers": ["a", "b"],
    "tier": 0,
    "tick": 5000,
    "policy_limits": {"max_attempts": 3, "cancel": True, "retry_after": True, "max_retry_after": 100000},
    "rules": {"cold": 5000000, "start_capacity": 0.4, "fall_multiple": 3.0, "tip_after": 1000000},
    "report": {"how": "inline", "columns": ["concurrent", "odd"]},
    "new_key": {"x": 1},
}


def create(env=ENV, node=3):
    text = json.dumps(env).encode() if isinstance(env, dict) else env
    return struct.pack("<BHQI", 6, node, 99, len(text)) + text


def members(node=3, servers=(11, 12), kind=2):
    entries = b"".join(struct.pack("<IHQHfBH", s, 0, 0, 0, 1.0, 1, 0) for s in servers)
    return struct.pack("<BII", 1, 0, len(servers)) + entries + struct.pack("<BHBII", 7, node, kind, 1, 0)


def accept(node=3, request=1, klass=0, left=5000000):
    return struct.pack("<BHQQHBIIH", 3, node, request, 0, 0, 0, left, 0, klass)


def frame(*records, now=1000):
    body = b"".join(records)
    return struct.pack("<IIQ", sum(1 + (r[0] == 1) for r in records), len(body) + 8, now) + body


def run(data: bytes) -> bytes:
    out = io.BytesIO()
    serve(io.BytesIO(data), out)
    return out.getvalue()


def test_a_request_is_relayed_and_its_reply_framed():
    reply = run(frame(create(), members(), accept()) + frame(now=2000))
    (size,) = struct.unpack_from("<I", reply)
    code, node, request, server, timeout = struct.unpack_from("<BHQII", reply, 4)
    assert (code, node, request) == (65, 3, 1) and server in (11, 12) and 0 < timeout <= 5000000
    assert size == 19 and reply[4 + size :] == b"\0\0\0\0"


def test_an_outcome_with_a_report_is_decoded_completely():
    verdict = struct.pack("<BHQBIIBHB2f", 8, 3, 1, 0, 900, 11, 0, 502, 2, 1.0, 2.0)
    host = Host()
    host.batch(3, create() + members(servers=(11,)), 0)
    host.batch(1, accept(klass=1), 0)
    assert host.batch(1, verdict, 900)[4] == 67  # an unknown effect counts as unsafe: failed


def test_every_other_event_is_decoded():
    records = [
        struct.pack("<BHQ", 2, 3, 77),
        struct.pack("<BHQ", 11, 3, 5),
        struct.pack("<BHIHIBf", 5, 3, 10, 200, 11, 1, 0.5),
        struct.pack("<BHQBII", 10, 3, 5, 0, 11, 4),
        struct.pack("<BHHH", 4, 3, 1, 2) + b"hi",
        struct.pack("<BHBII", 7, 3, 3, 1, 0),
        struct.pack("<BH", 9, 3),
        accept(),
    ]
    reply = run(frame(create(), members(), *records))
    assert struct.unpack_from("<I", reply)[0] == len(reply) - 4
    assert b"\x41\x03\x00" not in reply[4:7]  # the instance was stopped before the request came


def test_every_action_is_encoded_in_the_wire_format():
    out = bytearray()
    actions = WireActions(out, 3)
    expected = b""
    actions.refuse(1, 2)
    expected += struct.pack("<BHQI", 66, 3, 1, 2)
    actions.fail(1)
    expected += struct.pack("<BHQ", 67, 3, 1)
    actions.cancel(1, 2)
    expected += struct.pack("<BHQB", 68, 3, 1, 2)
    actions.set_timer(5, 6)
    expected += struct.pack("<BHIQ", 69, 3, 5, 6)
    actions.probe(7)
    expected += struct.pack("<BHI", 70, 3, 7)
    actions.close(7)
    expected += struct.pack("<BHI", 71, 3, 7)
    actions.tell(-1, b"ab")
    expected += struct.pack("<BHHH", 72, 3, 0xFFFF, 2) + b"ab"
    actions.log("x")
    expected += struct.pack("<BHH", 73, 3, 1) + b"x"
    actions.fault("y")
    expected += struct.pack("<BHH", 74, 3, 1) + b"y"
    actions.watch(True)
    expected += struct.pack("<BHB", 75, 3, 1)
    actions.fetch()
    expected += struct.pack("<BH", 76, 3)
    assert bytes(out) == expected


def test_an_exception_in_the_module_becomes_a_fault(monkeypatch):
    def broken(*args):
        raise RuntimeError("boom")

    monkeypatch.setattr(adapter.Balancer, "request", broken)
    reply = run(frame(create(), members(), accept()))
    assert reply[4] == 74 and b"request: RuntimeError: boom" in reply


def changed(table: str, **values) -> dict:
    return {**ENV, table: {**ENV[table], **values}}


MALFORMED = {
    "short header": (b"\0\0\0", "header: input ends"),
    "length too short": (struct.pack("<IIQ", 0, 4, 0), "length 4"),
    "short body": (frame(create())[:-5], "input ends"),
    "unknown code": (frame(b"\xc8"), "unknown event code 200"),
    "cut record": (struct.pack("<IIQ", 1, 10, 0) + b"\x02\x00", "cut short"),
    "too few records": (struct.pack("<IIQ", 1, 8, 0), "ends early"),
    "bytes left over": (struct.pack("<IIQ", 0, 9, 0) + b"\0", "after the last record"),
    "bad json": (frame(create(b"{nope")), "not JSON"),
    "missing key": (frame(create({k: v for k, v in ENV.items() if k != "group_size"})), "group_size"),
    "impossible value": (frame(create({**ENV, "tick": "soon"})), "tick"),
    "zero instances": (frame(create({**ENV, "group_size": 0})), "instances"),
    "infinite": (frame(create({**ENV, "over_share_worth": float("inf")})), "over_share_worth"),
    "nan": (frame(create({**ENV, "tick": float("nan")})), "tick"),
    "boolean for a number": (frame(create({**ENV, "group_size": True})), "group_size"),
    "number for a flag": (frame(create(changed("policy_limits", cancel=1))), "policy_limits.cancel"),
    "null limits": (frame(create({**ENV, "policy_limits": None})), "policy_limits"),
    "limits a list": (frame(create({**ENV, "policy_limits": []})), "policy_limits"),
    "rules a number": (frame(create({**ENV, "rules": 3})), "rules"),
    "negative time": (frame(create(changed("rules", cold=-1))), "cold_time"),
    "null classes": (frame(create({**ENV, "classes": None})), "classes"),
    "no class": (frame(create({**ENV, "classes": []})), "classes"),
    "class not an object": (frame(create({**ENV, "classes": [3]})), r"classes\[0\]"),
    "class without an aim": (
        frame(create({**ENV, "classes": [{"effect": "free"}]})),
        r"classes\[0\].goal_time",
    ),
    "tenants an object": (frame(create({**ENV, "tenants": {"a": 1}})), "tenants"),
    "tenant a word": (frame(create({**ENV, "tenants": ["a"]})), r"tenants\[0\]"),
    "quota a word": (frame(create({**ENV, "tenants": [{"quota_rps": "9"}]})), r"tenants\[0\].quota_rps"),
    "layers a word": (frame(create({**ENV, "layers": "ab"})), "layers"),
    "columns of objects": (frame(create({**ENV, "report": {"columns": [{}]}})), "report.columns"),
    "settings a list": (frame(create(b"[]")), "not an object"),
    "settings not text": (frame(create(b"\xff\xfe{")), "not JSON"),
    "unsent list": (frame(create(), struct.pack("<BHBII", 7, 3, 1, 1, 9)), "list 9"),
    "unknown list kind": (frame(create(), members(kind=8)), "list kind 8"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_input_is_reported(name):
    data, message = MALFORMED[name]
    with pytest.raises((WireError, ValueError), match=message):
        run(data)


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_input_ends_with_status_2_and_one_line(name, monkeypatch, capsys):
    data, _ = MALFORMED[name]
    monkeypatch.setattr(adapter.sys, "stdin", io.TextIOWrapper(io.BytesIO(data)))
    monkeypatch.setattr(adapter.sys, "stdout", io.TextIOWrapper(io.BytesIO()))
    assert adapter.main() == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_optional_keys_may_be_absent_or_null_and_unknown_ones_are_ignored():
    env = {**ENV, "tenants": None, "deductions": None, "report": None, "zone": None, "novel": [1]}
    del env["discovery"]
    assert read_settings(json.dumps(env).encode()).tenants == ()


def test_the_exit_status_and_output_of_the_process():
    def start(data):
        command = [sys.executable, "-m", "brackenladder.adapter"]
        return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60)

    bad = start(MALFORMED["unknown code"][0])
    assert bad.returncode == 2 and bad.stderr.count(b"\n") == 1 and b"unknown event code" in bad.stderr
    good = start(frame(create(), members(), accept()))
    assert good.returncode == 0 and good.stderr == b"" and good.stdout[4] == 65


def test_settings_are_read_under_their_names_on_the_wire():
    s = read_settings(json.dumps(ENV).encode())
    assert s.report_fields == ("inflight", "odd") and s.instances == 2 and s.tiers == 2
    assert [int(c.effect) for c in s.classes] == [1, 2]


def replies_of_a_run(env: dict, nodes: tuple[int, ...]) -> list[bytes]:
    """The replies of one process that hosts these instances, for a series of requests and outcomes."""
    host = Host()
    replies = []
    for node in nodes:
        replies.append(host.batch(3, create(env, node) + members(node, servers=(11, 12, 13)), 0))
    for i in range(60):
        for node in nodes:
            reply = host.batch(1, accept(node, i, klass=i % 2), 1000 * i)
            replies.append(reply)
            if reply[4:5] == b"\x41":
                server = struct.unpack_from("<I", reply, 15)[0]
                status = 502 if i % 7 == 0 else 200
                verdict = struct.pack("<BHQBIIBHB", 8, node, i, 0, 900, server, status == 200, status, 0)
                replies.append(host.batch(1, verdict, 1000 * i + 900))
    return replies


def test_names_do_not_matter():
    def named(prefix: str) -> dict:
        classes = [{**c, "name": f"{prefix}{i}"} for i, c in enumerate(ENV["classes"])]
        tenants = [{"name": prefix, "quota_rps": 5.0}]
        names = {"kinds": [prefix], "dcs": [prefix + "z"], "layers": [prefix + "a", prefix + "b"]}
        return {**ENV, **names, "classes": classes, "tenants": tenants}

    replies = replies_of_a_run(named("alpha"), (3,))
    assert replies == replies_of_a_run(named("other"), (3,))
    assert sum(r[4:5] == b"\x41" for r in replies) > 20


def test_instances_act_the_same_in_one_process_and_in_several():
    together = replies_of_a_run(ENV, (3, 4))
    apart = {node: replies_of_a_run(ENV, (node,)) for node in (3, 4)}
    by_node = {3: [], 4: []}
    for reply in together:
        if len(reply) > 4:
            by_node[struct.unpack_from("<H", reply, 5)[0]].append(reply)
    for node in (3, 4):
        assert by_node[node] == [r for r in apart[node] if len(r) > 4]
