"""Parsing of servers' heartbeats."""

from __future__ import annotations

import json
from typing import Any
from unittest import TestCase

from control_cluster import heartbeat
from returns.result import Failure, Success

from brackenladder.control_plane.instances import parse_heartbeat
from brackenladder.control_plane.wire import control_codec
from brackenladder.delivery.messages import ServersTold
from brackenladder.registry.records import ServerRecord, ServerState

FULL: dict[str, Any] = {
    **heartbeat(4, "draining"),
    "ColdRemainingMs": 1.5,
    "RemainingMs": 900,
    "Stage": "both",
    "Models": [{"Name": "m", "Version": 1, "Adapters": []}, {"Name": "n"}],
    "Novelty": [1],
}
MALFORMED = [
    b"",
    b"[]",
    b"{}",
    b"\xff",
    {**FULL, "State": "tired"},
    {**FULL, "State": 1},
    {**FULL, "Address": "x"},
    {**FULL, "Address": "name:80"},
    {**FULL, "Seq": "4"},
    {**FULL, "Seq": 1.5},
    {**FULL, "Seq": True},
    {**FULL, "Seq": 1 << 70},
    {**FULL, "Seq": float("inf")},
    {**FULL, "Slots": -1},
    {**FULL, "ColdRemainingMs": float("nan")},
    {**FULL, "RemainingMs": "soon"},
    {**FULL, "Models": "m"},
    {**FULL, "Models": [{"Name": 3}]},
    {**FULL, "Zone": "\ud800"},
    {**FULL, "Backend": None},
]


class HeartbeatParsingTest(TestCase):
    def test_all_fields(self) -> None:
        record = ServerRecord(
            id="i-1",
            service="api",
            address="127.0.0.1:9999",
            zone="hall-1",
            slots=4,
            state=ServerState.DRAINING,
            seq=4,
            software="v1",
            cold_for=1_500,
            remaining=900_000,
            models=("m", "n"),
        )
        self.assertEqual(parse_heartbeat("i-1", json.dumps(FULL).encode()), Success(record))

    def test_defaults_of_missing_fields(self) -> None:
        parsed = parse_heartbeat("i-1", json.dumps(heartbeat(1)).encode()).unwrap()
        self.assertEqual((parsed.remaining, parsed.models, parsed.cold_for), (-1, (), 0))

    def test_malformed_heartbeats_are_refused(self) -> None:
        for body in MALFORMED:
            encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
            with self.subTest(body=encoded):
                self.assertIsInstance(parse_heartbeat("i-1", encoded), Failure)

    def test_accepted_values_can_be_encoded(self) -> None:
        largest = {
            **FULL,
            "Seq": 1 << 50,
            "Slots": 1 << 50,
            "ColdRemainingMs": 1 << 50,
            "Zone": "\u00e9\U0001f600",
        }
        record = parse_heartbeat("i-1", json.dumps(largest).encode()).unwrap()
        codec = control_codec()
        message = ServersTold((record,))
        self.assertEqual(codec.decode(codec.encode(message)), message)
