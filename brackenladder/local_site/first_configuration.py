"""The first configuration of a local system, and the requests that its clients send."""

from __future__ import annotations

from random import Random
from typing import Any

from brackenladder.local_site.layout import ENGINE, MODEL_SERVICE, PLAIN_SERVICE
from brackenladder.rehearsal.standins.model_clients import RequestSpec

HOST = "local.example"
CHAT_PATH, CARDS_PATH = "/chat/", "/cards/"
FIRST_VERSION = 1
SHARED_PROMPTS = 4  # number of prompt prefixes, each shared by many requests
SHARED_TOKENS, OWN_TOKENS, TOKENS_OUT = 1200, 300, 80


def first_configuration() -> dict[str, Any]:
    """Returns a configuration: a streaming route to the model servers, and a safe one to the plain servers.

    Requests of a safe route change nothing at a server, so they may be sent again.
    """
    return {
        "Version": FIRST_VERSION,
        "Routes": [
            {
                "Name": "chat",
                "Hostname": HOST,
                "PathPrefix": CHAT_PATH,
                "Kind": "streaming",
                "TimeoutMs": 8000,
                "TargetLatencyMs": 800,
                "Priority": 0,
                "Backend": MODEL_SERVICE,
                "MaxAttempts": 2,
                "Sticky": True,
                "Resumable": True,
                "gap_aim_ms": 400,
                "HomeRegions": [],
            },
            {
                "Name": "cards",
                "Hostname": HOST,
                "PathPrefix": CARDS_PATH,
                "Kind": "safe",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 350,
                "Priority": 1,
                "Backend": PLAIN_SERVICE,
                "MaxAttempts": 2,
                "Sticky": False,
                "HomeRegions": [],
            },
        ],
        "Services": [
            {
                "Name": MODEL_SERVICE,
                "HealthPath": "/healthz",
                "MaxConnections": 100,
                "Protocol": "h1",
                "Tls": False,
                "ColdStartS": 0.0,
                "ColdPerS": 0.0,
                "Engine": {
                    "Slots": ENGINE.slots,
                    "KvTokens": ENGINE.kv_tokens,
                    "stride": ENGINE.tokens_an_event,
                    "Models": [{"Name": "m"}],
                },
            },
            {
                "Name": PLAIN_SERVICE,
                "HealthPath": "/healthz",
                "MaxConnections": 100,
                "Protocol": "h1",
                "Tls": False,
                "ColdStartS": 0.0,
                "ColdPerS": 0.0,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def route_update(version: int, name: str) -> dict[str, Any]:
    """Returns an update that adds the route `name` or replaces it."""
    cards = next(route for route in first_configuration()["Routes"] if route["Name"] == "cards")
    route = cards | {"Name": name, "PathPrefix": f"/{name}/"}
    return {"Version": version, "Upsert": {"Routes": [route]}, "Remove": {}}


def chat_request(random: Random, tokens_out: int = TOKENS_OUT, deadline_s: float = 8.0) -> RequestSpec:
    """Returns a request with a streamed answer, whose prompt prefix other requests share."""
    shared = random.randrange(SHARED_PROMPTS)
    prompt = f"{0x5C1E07A0 + shared:08x}:{SHARED_TOKENS},{random.getrandbits(32):08x}:{OWN_TOKENS}"
    return RequestSpec(
        HOST,
        f"{CHAT_PATH}completions",
        streaming=True,
        deadline_s=deadline_s,
        prompt=prompt,
        tokens_in=SHARED_TOKENS + OWN_TOKENS,
        tokens_out=tokens_out,
    )


def card_request() -> RequestSpec:
    """Returns a small request to the plain service that may be repeated without side effects."""
    return RequestSpec(HOST, f"{CARDS_PATH}7", streaming=False, deadline_s=3.0)
