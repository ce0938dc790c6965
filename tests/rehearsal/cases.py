"""The cases of the tests: one for each fault with this build's node, and one for each faulty node."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from rehearsal.playing import small

from brackenladder.rehearsal.scenario import Scenario


class Case(NamedTuple):
    scenario: Scenario
    rogue: str | None = None  # mode of `rogue.py`; "": without a defect; None: this build's node
    seed: int = 1


def fault(kind: str, at: float = 0.8, length: float = 1.0, **more: Any) -> dict[str, Any]:
    return {"kind": kind, "at_s": at, "for_s": length} | more


PODS = {"servers": {"pod": 2}}
MANY = {"clients": {"rate": 120}}
TWO = {"nodes": 2}
# High load and a short `fall_s`, so that an equal share of the load overloads a cold server.
COLD = {
    "length_s": 6.0,
    "clients": {"rate": 250, "budget": [1.0, 1.0]},
    "servers": {"count": 4, "warm_s": 12.0, "cold_share": 0.12, "cores": 1, "queue": 1000},
    "rules": {"fall_s": 1.0},
}

FAULTS: dict[str, Case] = {
    "calm": Case(small()),
    "stall": Case(small(fault("stall", length=2.0, pick="all"))),
    "stall-head": Case(small(fault("stall-head", length=2.0, pick="all"))),
    "stall-body": Case(small(fault("stall-body", length=2.0, pick="all"))),
    "drip": Case(small(fault("drip", length=2.0, pick="all"))),
    "reset-early": Case(small(fault("reset-early", pick="all"), clients={"body_bytes": 60000})),
    "reset-late": Case(small(fault("reset-late", share=0.4, pick="all"), **MANY)),
    "reset-answer": Case(small(fault("reset-answer", share=0.4, pick="all"), **MANY)),
    "reject": Case(small(fault("reject"))),
    "error": Case(small(fault("error", share=0.4, pick="all"), **MANY)),
    "closed": Case(small(fault("closed"))),
    "backlog": Case(small(fault("backlog"))),
    "restart": Case(small(fault("restart", length=0.5), **COLD)),
    "replace": Case(small(fault("replace", length=0.5), **COLD)),
    "drain": Case(small(fault("drain", length=2.0))),
    "drain-answering": Case(small(fault("drain-answering", length=2.0), **MANY)),
    "deploy": Case(small(fault("deploy", length=2.0, pick=2), **COLD)),
    "half-list": Case(small(fault("half-list"))),
    "old-list": Case(small(fault("drain", at=0.3, length=2.5), fault("old-list"))),
    "silence": Case(small(fault("silence"))),
    "silent-watch": Case(small(fault("silent-watch", length=0.1), fault("drain", at=0.9, length=2.0), **TWO)),
    "datagrams-late": Case(small(fault("datagrams-late"), **TWO)),
    "datagrams-twice": Case(small(fault("datagrams-twice"), **TWO)),
    "datagrams-swapped": Case(small(fault("datagrams-swapped"), **TWO)),
    "datagrams-lost": Case(small(fault("datagrams-lost"), **TWO)),
    "node-kill": Case(small(fault("node-kill", length=0.5), clients={"notice_s": 0.2}, **TWO)),
    "node-term": Case(small(fault("node-term", length=0.5), length_s=4.0, **TWO)),
    "node-move": Case(small(fault("node-move"), fault("drain", at=1.5, length=1.4))),
    "silent-clients": Case(small(fault("silent-clients", count=150), limits={"sockets": 128})),
    "node-stall": Case(
        small(
            fault("node-stall", at=0.9, length=2.5), fault("drain", at=0.95, length=5.0), length_s=6.5, **MANY
        )
    ),
    "leaving": Case(small(clients={"leave": 0.3, "drop": 0.3})),
}

# The faults that have a different effect over MessagePack-RPC.
RPC: dict[str, Case] = {
    f"{name}-rpc": case._replace(scenario=msgspec.structs.replace(case.scenario, transport="rpc"))
    for name, case in FAULTS.items()
    if name
    in (
        "calm",
        "stall",
        "stall-head",
        "stall-body",
        "drip",
        "reset-late",
        "reset-answer",
        "reject",
        "error",
        "closed",
        "backlog",
        "restart",
        "replace",
        "drain",
        "drain-answering",
        "deploy",
        "old-list",
        "node-kill",
        "node-term",
        "node-move",
        "silent-clients",
        "leaving",
    )
}
RPC["right-reset-rpc"] = Case(
    small(fault("reset-late", share=0.5, pick="all"), transport="rpc", **PODS), "rpc right"
)

RIGHT: dict[str, Case] = {
    "right-drain": Case(small(fault("drain", length=2.0)), ""),
    "right-reset": Case(small(fault("reset-late", share=0.5, pick="all"), **PODS), ""),
    "right-cold": Case(small(fault("restart", length=0.5), **COLD), ""),
    "right-peers": Case(small(fault("drain", length=2.0), **TWO), "peer-drains"),
}

ROGUES: dict[str, Case] = {
    "twice": Case(small(), "twice"),
    "overlap": Case(small(fault("stall", length=2.0, pick=2), clients={"budget": [1, 1]}), "overlap"),
    "retries": Case(small(fault("reset-late", share=0.5, pick="all")), "retries"),
    "outside": Case(small(fault("reset-late", share=0.5, pick="all"), **PODS), "outside"),
    "window": Case(
        small(
            fault("reset-late", share=0.5, length=0.5, pick="all"),
            classes=[
                {
                    "name": "offer",
                    "effect": "keyed",
                    "work_ms": [4, 12],
                    "deadline_ms": 4000,
                    "window_s": 0.2,
                    "group": "all",
                }
            ],
        ),
        "window",
    ),
    "refuses": Case(small(fault("error", share=0.5, pick="all")), "refuses"),
    "loses": Case(small(), "loses"),
    "answers-twice": Case(small(), "answers-twice"),
    "late": Case(small(), "late"),
    "makes-up": Case(small(), "makes-up"),
    "after": Case(small(), "after"),
    "drained": Case(small(fault("drain", at=0.5, length=2.4)), "drained"),
    "floods": Case(small(fault("restart", length=0.5), **COLD), "floods"),
    "peer-drains": Case(
        small(fault("datagrams-lost", at=0.1, length=2.8), fault("drain", at=0.5, length=2.4), **TWO),
        "peer-drains",
    ),
    "crashes": Case(small(), "crashes"),
}

RPC_ROGUES: dict[str, Case] = {
    "swapped": Case(small(transport="rpc"), "rpc swapped"),
    "half-written": Case(
        small(fault("reset-late", share=0.5, pick="all"), transport="rpc"), "rpc half-written"
    ),
    "notifies": Case(small(transport="rpc"), "rpc notifies"),
}

CASES: dict[str, Case] = FAULTS | RIGHT | ROGUES | RPC | RPC_ROGUES
