"""Parses the settings object from the simulator's first message or from a node's configuration."""

from __future__ import annotations

from typing import Any

from brackenladder.interface import ClassSettings, Effect, Group, Settings, TenantSettings

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
COLUMNS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


class FieldReader:
    """Reads typed values from a JSON object. Raises a ValueError with the key of a missing or invalid value.

    An optional key may be absent or null.
    """

    def __init__(self, table: dict[str, Any], where: str = "") -> None:
        self.table = table
        self.where = where

    def invalid(self, key: str) -> ValueError:
        return ValueError(f"settings: missing or impossible value for {self.where}{key}")

    def number(self, key: str, default: float | None = None) -> float:
        value = self.table.get(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not -1e300 < value < 1e300:
            raise self.invalid(key)
        return float(value)

    def integer(self, key: str, default: int | None = None) -> int:
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        value = self.table.get(key)
        if value is not None and not isinstance(value, bool):
            raise self.invalid(key)
        return bool(value)

    def text(self, key: str, default: str | None = None) -> str:
        value = self.table.get(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self.invalid(key)
        return value

    def list_of(self, key: str, optional: bool) -> list[Any]:
        value = self.table.get(key)
        if value is None and optional:
            return []
        if not isinstance(value, list):
            raise self.invalid(key)
        return value

    def items(self, key: str) -> list[Any]:
        """Reads an optional list of values that aren't lists or objects."""
        values = self.list_of(key, optional=True)
        if any(isinstance(v, (dict, list)) for v in values):
            raise self.invalid(key)
        return values

    def reader_of(self, value: Any, key: str) -> FieldReader:
        if not isinstance(value, dict):
            raise self.invalid(key)
        return FieldReader(value, f"{self.where}{key}.")

    def tables(self, key: str, optional: bool = False) -> list[FieldReader]:
        return [self.reader_of(v, f"{key}[{i}]") for i, v in enumerate(self.list_of(key, optional))]

    def nested(self, key: str, optional: bool = False) -> FieldReader:
        value = self.table.get(key)
        return self.reader_of({} if value is None and optional else value, key)


def parse_settings(env: object) -> Settings:
    """Parses the settings from decoded JSON. Raises a ValueError that names the key if a value is invalid."""
    if not isinstance(env, dict):
        raise ValueError("settings: not an object")

    fields = FieldReader(env)
    limits = fields.nested("policy_limits")
    rules = fields.nested("rules")
    deductions = fields.nested("deductions", optional=True)
    report = fields.nested("report", optional=True)
    return Settings(
        classes=tuple(parse_class(c) for c in fields.tables("classes")),
        tenants=tuple(
            TenantSettings(quota=t.number("quota_rps", 0.0)) for t in fields.tables("tenants", optional=True)
        ),
        tier=fields.integer("tier", 0),
        tiers=max(1, len(fields.items("layers"))),
        zone=fields.integer("zone", 0),
        instances=fields.integer("group_size"),
        index=fields.integer("self_index", 0),
        tick=fields.integer("tick"),
        max_attempts=limits.integer("max_attempts"),
        cancel=limits.flag("cancel"),
        probes=limits.flag("probing"),
        peers=limits.flag("peers"),
        second_copies=limits.flag("second_copies"),
        retry_after=limits.flag("retry_after"),
        max_retry_after=limits.integer("max_retry_after", 0),
        max_open=limits.integer("max_open", 20000),
        list_on_request=fields.text("discovery", "push") == "ask",
        list_ask_within=rules.integer("ask_within", 0),
        list_weights=fields.text("weights", "off") != "off",
        cold_time=rules.integer("cold"),
        cold_share=rules.number("start_capacity"),
        fall_multiple=rules.number("fall_multiple"),
        fall_time=rules.integer("tip_after"),
        answer_slack=rules.integer("answer_slack", 0),
        cross_zone_price=deductions.number("cross_zone", 0.0),
        over_share_worth=fields.number("over_share_worth", 1.0),
        report_fields=tuple(COLUMNS.get(f, str(f)) for f in report.items("columns")),
    )


def parse_class(c: FieldReader) -> ClassSettings:
    """Parses a request class. An unknown effect or group is treated as the most restrictive one."""
    return ClassSettings(
        effect=EFFECTS.get(c.text("effect"), Effect.UNSAFE),
        aim=c.integer("goal_time"),
        deadline=c.integer("hard_limit"),
        worth=c.number("worth"),
        late_worth=c.number("late_value", 0.0),
        group=GROUPS.get(c.text("group", "all"), Group.CELL),
        window=c.integer("window", 0),
        stream=c.flag("stream"),
    )
