"""The operator file: settings beyond the platform's own configuration. Imported only if there is one.

Each subsystem has one table and is off without it. Errors are one line, `TABLE.KEY: what is wrong`.
"""

from __future__ import annotations

import re
import tomllib
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

MAX_FILE_BYTES = 1 << 20

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, Meta(gt=0, le=3_600_000)]
Address = Annotated[str, Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$|^\[[0-9a-fA-F:]+\]:[0-9]{1,5}$")]


class OperatorError(Exception):
    """The file can't be used. The text is one line."""


class FixedServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A server of a pool without discovery."""

    id: Annotated[str, Meta(min_length=1, max_length=128)]
    addr: Address
    zone: str = ""
    kind: str = ""
    cell: int = 0


class MethodTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A method: its class, and the paths (as `0.key`) in the params of tenant, budget and idempotency key."""

    klass: str = msgspec.field(name="class")
    tenant: str = ""
    budget: str = ""
    key: str = ""
    notify: bool = False
    failures: Annotated[tuple[Any, ...], Meta(max_length=64)] = ()  # validated along with the method's paths


class RpcTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`[rpc]`: the MessagePack-RPC front and its pool."""

    listen: Address
    discovery: Address | None = None
    servers: tuple[FixedServer, ...] = ()
    methods: Annotated[dict[str, MethodTable], Meta(min_length=1)]
    tenant: str = ""
    budget_ms: Positive = 3000
    pipeline: Count = 32
    server_connections: Count = 4
    sockets: Annotated[int, Meta(ge=8)] = 256
    client_calls: Count = 1024
    client_unread_kb: Count = 1024
    message_kb: Annotated[int, Meta(ge=1, le=16384)] = 64
    nesting: Annotated[int, Meta(ge=1, le=128)] = 32


class ControlTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`[control]`: the socket for `show`, `plan` and `apply`.

    `users`: the ids of users that may use it besides root and the node's own user.
    """

    socket: Annotated[str, Meta(min_length=1, max_length=100)]
    users: tuple[Annotated[int, Meta(ge=0)], ...] = ()
    audit: str = ""


class MembersTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`[members]`: failure detection among the tier's nodes. `key`: a file with one or two keys."""

    key: str = ""
    share: bool = True  # use the number of live nodes instead of the configured one


class StateTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`[state]`: the folder, used by this node only, for the state that it restores after a restart."""

    folder: Annotated[str, Meta(min_length=1, max_length=4096)]


class RecoveryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`[recovery]`: at its start, a node asks others for newer state. `alone`: what to do if none answers."""

    alone: Literal["serve", "refuse"] = "serve"


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The contents of the operator file."""

    rpc: RpcTable | None = None
    control: ControlTable | None = None
    members: MembersTable | None = None
    state: StateTable | None = None
    recovery: RecoveryTable | None = None


def with_rpc_discovery(operator: Operator, discovery: str) -> Operator:
    """Returns a copy with another address of the discovery service of RPC servers."""
    assert operator.rpc is not None
    rpc = msgspec.structs.replace(operator.rpc, discovery=discovery)
    return msgspec.structs.replace(operator, rpc=rpc)


def load(path: str) -> Operator:
    """Reads the file. Raises OperatorError if it can't be used."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as e:
        raise OperatorError(f"{path}: {e.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise OperatorError(f"{path}: over {MAX_FILE_BYTES} bytes")
    return parse(data)


def parse(data: bytes) -> Operator:
    """Parses and checks the file's TOML."""
    try:
        table = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as e:
        raise OperatorError(f"not TOML: {e}") from None
    try:
        operator = msgspec.convert(table, Operator)
    except msgspec.ValidationError as e:
        raise OperatorError(describe_method_error(table) or describe_error(str(e))) from None
    if operator.rpc is not None and (operator.rpc.discovery is None) == (not operator.rpc.servers):
        raise OperatorError("rpc.servers: either this or rpc.discovery")
    if operator.recovery is not None and (operator.control is None or operator.members is None):
        raise OperatorError("recovery: needs [control] and [members]")
    if operator.state is not None and operator.recovery is None:
        raise OperatorError("state: needs [recovery]")
    return operator


def describe_method_error(table: dict[str, Any]) -> str:
    """Describes the error in the first invalid method with its name, which msgspec's error lacks."""
    rpc = table.get("rpc")
    methods = rpc.get("methods") if isinstance(rpc, dict) else None
    for name, entry in methods.items() if isinstance(methods, dict) else ():
        try:
            msgspec.convert(entry, MethodTable)
        except msgspec.ValidationError as e:
            text = describe_error(str(e))
            inner = text.startswith("klass") or ":" in text.partition(" ")[0]
            return f"rpc.methods.{name}.{text}" if inner else f"rpc.methods.{name}: {text}"
    return ""


def describe_error(text: str) -> str:
    """Rewrites a validation message of msgspec so that the key comes first."""
    what, _, location = text.partition(" - at `")
    key = re.sub(r"^\$\.?", "", location.rstrip("`"))
    for pattern, words in (
        (r"Object contains unknown field `(.*)`", "not a known key"),
        (r"Object missing required field `(.*)`", "missing"),
    ):
        named = re.fullmatch(pattern, what)
        if named:
            return f"{key}.{named[1]}: {words}".lstrip(".")
    return f"{key}: {what}" if key else what
