"""The RPC methods of the operator file, compiled once and used for every call."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from brackenladder.interface import ClassSettings, Effect

MAX_STEPS = 8  # longest path, in array indexes and map names
MAX_BUDGET = 3_600_000  # longest budget that a call may give, in milliseconds

Path = tuple[int | str, ...]


class MethodError(ValueError):
    """A method's entry is invalid. The text is `KEY: what is wrong`."""


@dataclass(frozen=True)
class FailurePattern:
    """Matches errors that mean a server failure: those with `value` at `path` (empty: the whole error)."""

    path: Path
    value: Any


@dataclass(frozen=True)
class Method:
    """A method: its class, and the paths in the params of the tenant, the budget and the idempotency key.

    An empty path means that calls don't give the value. `failures` match the errors that mean a server
    failure; any other error is a response of the application.
    """

    klass: int
    tenant: Path
    budget: Path
    key: Path
    notify: bool
    failures: tuple[FailurePattern, ...] = ()

    def fails(self, error: Any) -> bool:
        """Whether this error means that the server failed. Even then the call may have run."""
        return any(matches(value_at(error, pattern.path), pattern.value) for pattern in self.failures)


@dataclass(frozen=True)
class CallParameters:
    """A call's tenant, and its budget in microseconds."""

    tenant: int
    budget: int


def parse_path(text: str, where: str, in_params: bool = True) -> Path:
    """Parses a path such as `0.key` to (0, "key"): indexes of arrays and names in maps.

    With `in_params`, the first step has to be an index, as the params are an array.
    """
    if not text:
        return ()
    steps = text.split(".")
    if len(steps) > MAX_STEPS:
        raise MethodError(f"{where}: a path of more than {MAX_STEPS} steps")
    if not all(steps):
        raise MethodError(f"{where}: a path with an empty step")
    path = tuple(int(step) if step.isascii() and step.isdigit() else step for step in steps)
    if in_params and not isinstance(path[0], int):
        raise MethodError(f"{where}: begins with a name; params are an array, so the first step is a number")
    return path


def value_at(params: Any, path: Path) -> Any:
    """Returns the value at a path, or None if there is none."""
    value = params
    for step in path:
        if isinstance(value, list) and isinstance(step, int):
            value = value[step] if step < len(value) else None
        elif isinstance(value, dict):
            value = value.get(step, value.get(str(step)))
        else:
            return None
    return value


def matches(value: Any, wanted: Any) -> bool:
    """Whether a value equals the configured one: 1 equals 1.0 but not true; bytes are compared as text."""
    if isinstance(value, bytes):
        value = value.decode(errors="replace")
    if isinstance(value, list) and isinstance(wanted, list):
        return len(value) == len(wanted) and all(map(matches, value, wanted))
    return isinstance(value, bool) == isinstance(wanted, bool) and bool(value == wanted)


def parse_failure(entry: Any, where: str) -> FailurePattern:
    """Parses an entry of `failures`: an exact value or `{ at = "PATH", is = VALUE }`. Raises MethodError."""
    if not isinstance(entry, dict):
        if not isinstance(entry, (str, int, float, list)):
            raise MethodError(f"{where}: neither a value nor {{ at = PATH, is = VALUE }}")
        return FailurePattern((), entry)
    if set(entry) != {"at", "is"} or not isinstance(entry["at"], str) or not entry["at"]:
        raise MethodError(f"{where}: takes at = PATH and is = VALUE, and nothing else")
    if not isinstance(entry["is"], (str, int, float, list)):
        raise MethodError(f"{where}.is: neither text, a number, true or false nor an array")
    return FailurePattern(parse_path(entry["at"], f"{where}.at", in_params=False), entry["is"])


class Methods:
    """The methods configured in the operator file."""

    def __init__(
        self,
        table: Mapping[str, Method],
        classes: Sequence[ClassSettings],
        tenants: Sequence[str],
        tenant: str,
        budget: int,
    ) -> None:
        self.table = dict(table)
        self.classes = classes
        self.tenants = {name: i for i, name in enumerate(tenants)}
        self.tenant = self.tenants.get(tenant, len(tenants))  # the tenant of calls that name none
        self.budget = budget  # microseconds that a call may take if it gives no budget

    def get(self, name: str) -> Method | None:
        return self.table.get(name)

    def may_notify(self, method: Method) -> bool:
        """Whether clients may call the method by notification.

        The sender of a notification doesn't learn whether it ran, and may send it again.
        """
        return method.notify or self.classes[method.klass].effect == Effect.SAFE

    def read_parameters(self, method: Method, params: Sequence[Any]) -> CallParameters | str:
        """Returns a call's tenant and budget, or the text why the call is invalid."""
        tenant = value_at(params, method.tenant) if method.tenant else None
        budget = value_at(params, method.budget) if method.budget else None
        if method.key and value_at(params, method.key) in (None, "", b""):
            return "no key where the method has one"
        number = self.tenant
        if isinstance(tenant, (str, bytes)):
            name = tenant if isinstance(tenant, str) else tenant.decode(errors="replace")
            number = self.tenants.get(name, len(self.tenants))
        elif tenant is not None:
            return "a tenant that is no string"
        budget_us = self.budget
        if budget is not None:
            if isinstance(budget, bool) or not isinstance(budget, (int, float)):
                return "a budget that is no number"
            if not 0 < budget <= MAX_BUDGET:
                return f"a budget that is not above 0 and at most {MAX_BUDGET} ms"
            budget_us = int(budget * 1000)
        return CallParameters(number, min(budget_us, self.classes[method.klass].deadline))


def compile_method(
    name: str,
    klass: str,
    tenant: str,
    budget: str,
    key: str,
    notify: bool,
    failures: Sequence[Any],
    classes: Sequence[str],
    settings: Sequence[ClassSettings],
) -> Method:
    """Checks and compiles a method's entry. Raises MethodError with the key if it is invalid."""
    where = f"methods.{name}"
    if klass not in classes:
        raise MethodError(f"{where}.class: no class '{klass}'; there are {', '.join(classes)}")
    number = list(classes).index(klass)
    if settings[number].effect == Effect.KEYED and not key:
        raise MethodError(f"{where}.key: missing; '{klass}' is a keyed class")
    return Method(
        klass=number,
        tenant=parse_path(tenant, f"{where}.tenant"),
        budget=parse_path(budget, f"{where}.budget"),
        key=parse_path(key, f"{where}.key"),
        notify=notify,
        failures=tuple(parse_failure(entry, f"{where}.failures[{i}]") for i, entry in enumerate(failures)),
    )
