"""The desired state of a node: pools and routes, with a canonical encoding and its digest."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Sequence
from hashlib import blake2b
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from brackenladder.routing.pools import DEFAULT, Name, PoolSpec, Weight
from brackenladder.routing.routes import SUM_SLACK, RouteSpec, used_pools

MAX_FILE_BYTES = 1 << 20
MAX_POOLS, MAX_ROUTES = 200, 1_000


class StateError(Exception):
    """The state is invalid. The text is one line that names the key."""


class DesiredState(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything that a plan can change. The default pool always exists, even if it isn't configured."""

    pools: Annotated[dict[Name, PoolSpec], Meta(max_length=MAX_POOLS)] = {}
    routes: Annotated[tuple[RouteSpec, ...], Meta(max_length=MAX_ROUTES)] = ()


DEFAULT_STATE = DesiredState(pools={DEFAULT: PoolSpec()})  # the state of a node without configured pools


def canonical(state: DesiredState) -> bytes:
    """Encodes a state. The bytes don't depend on the order of the tables' keys."""
    return msgspec.json.encode(state, order="deterministic")


def digest(data: bytes) -> str:
    return blake2b(data, digest_size=12).hexdigest()


def parse_state(data: bytes) -> DesiredState:
    """Parses a state from TOML. Raises StateError if it is invalid."""
    if len(data) > MAX_FILE_BYTES:
        raise StateError(f"over {MAX_FILE_BYTES} bytes")
    try:
        table = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as e:
        raise StateError(f"not TOML: {e}") from None
    return validate(table)


def validate(table: Any) -> DesiredState:
    """Converts plain tables to a state and checks it. Raises StateError if it is invalid."""
    try:
        state = msgspec.convert(table, DesiredState)
    except msgspec.ValidationError as e:
        raise StateError(describe_pool_error(table) or describe_error(str(e))) from None
    state = DesiredState(pools={DEFAULT: PoolSpec(), **state.pools}, routes=state.routes)
    for name, pool in state.pools.items():
        for key in pool.weights:
            if not re.fullmatch(r"(kind|server):.+", key):
                raise StateError(f"pools.{name}.weights.{key}: neither kind:NAME nor server:ID")
        if pool.part[0] >= pool.part[1]:
            raise StateError(f"pools.{name}.part: {pool.part[0]:g} is not below {pool.part[1]:g}")
    for i, route in enumerate(state.routes):
        for name in route.to:
            if name not in state.pools:
                raise StateError(f"routes[{i}].to.{name}: no pool of this name")
        total = sum(route.to.values())
        if abs(total - 1) > SUM_SLACK:
            raise StateError(f"routes[{i}].to: the shares come to {total:g}, not to 1")
    return state


def describe_pool_error(table: Any) -> str:
    """Describes the error in the first invalid pool with the pool's name, which msgspec's error lacks."""
    pools = table.get("pools") if isinstance(table, dict) else None
    for name, pool in pools.items() if isinstance(pools, dict) else ():
        weights = pool.get("weights") if isinstance(pool, dict) else None
        parts: list[tuple[Any, Any, Any]] = [(name, str, Name), (pool, PoolSpec, PoolSpec)]
        if isinstance(weights, dict):
            parts[1:1] = [(weight, f"weights.{key}", Weight) for key, weight in weights.items()]
        for value, where, kind in parts:
            try:
                msgspec.convert(value, kind)
            except msgspec.ValidationError as e:
                inner = f".{where}: " if isinstance(where, str) else ": " if where is str else "."
                return f"pools.{name}{inner}{describe_error(str(e))}"
    return ""


def check_references(state: DesiredState, classes: Sequence[str], tenants: Sequence[str]) -> None:
    """Raises StateError if a route names a class or tenant that the node doesn't have."""
    for i, route in enumerate(state.routes):
        for key, names, have in (("classes", route.classes, classes), ("tenants", route.tenants, tenants)):
            for name in names:
                if name not in have:
                    raise StateError(f"routes[{i}].{key}: no {key[:-1].rstrip('e')} '{name}'")


def warnings(state: DesiredState) -> list[str]:
    """Returns warnings about settings that are valid but probably mistakes."""
    return [f"pools.{name}: no route uses it" for name in sorted(set(state.pools) - used_pools(state.routes))]


def describe_error(text: str) -> str:
    """Rewrites a validation message of msgspec so that the key comes first."""
    what, _, where = text.partition(" - at `")
    key = re.sub(r"^\$\.?", "", where.rstrip("`"))
    field = re.fullmatch(r"Object (contains unknown|missing required) field `(.*)`", what)
    if field:
        words = "not a known key" if field[1] == "contains unknown" else "missing"
        return f"{key}.{field[2]}: {words}".lstrip(".")
    return f"{key}: {what}" if key else what
