"""What the operator file says of RPC methods, compile_method once: pure, asked for every call."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from brackenladder.interface import ClassSettings, Effect

MOST_STEPS = 8  # of a path
MOST_BUDGET = 3_600_000  # milliseconds that a client may ask for

Path = tuple[int | str, ...]


class MethodError(ValueError):
    """A method's entry that cannot be used: `KEY: what is wrong`."""


@dataclass(frozen=True)
class FailurePattern:
    """An error that means that the server failed: `value` stands at `path` (empty: it is the whole error)."""

    path: Path
    value: Any


@dataclass(frozen=True)
class Method:
    """A method: its class, and where in the params the rest stands (an empty path: nowhere).

    `failures`: the errors that are a server's failure and not the application's answer.
    """

    klass: int
    tenant: Path
    budget: Path
    key: Path
    notify: bool
    failures: tuple[FailurePattern, ...] = ()

    def fails(self, error: Any) -> bool:
        """Whether this error says that the server has failed; the call may have run."""
        return any(same(at(error, pattern.path), pattern.value) for pattern in self.failures)


@dataclass(frozen=True)
class Read:
    """What a call's params say. `budget`: microseconds."""

    tenant: int
    budget: int


def path_of(text: str, where: str, in_params: bool = True) -> Path:
    """`0.key` as (0, "key"): places in arrays and names in maps, the first a place in the params, if it is
    of them."""
    if not text:
        return ()
    steps = text.split(".")
    if len(steps) > MOST_STEPS:
        raise MethodError(f"{where}: a path of more than {MOST_STEPS} steps")
    if not all(steps):
        raise MethodError(f"{where}: a path with an empty step")
    path = tuple(int(step) if step.isascii() and step.isdigit() else step for step in steps)
    if in_params and not isinstance(path[0], int):
        raise MethodError(f"{where}: begins with a name; params are an array, so the first step is a number")
    return path


def at(params: Any, path: Path) -> Any:
    """What stands at a path; None if nothing does."""
    value = params
    for step in path:
        if isinstance(value, list) and isinstance(step, int):
            value = value[step] if step < len(value) else None
        elif isinstance(value, dict):
            value = value.get(step, value.get(str(step)))
        else:
            return None
    return value


def same(value: Any, wanted: Any) -> bool:
    """Whether a value is the one that the operator wrote: 1 is 1.0 but not true; raw bytes count as text."""
    if isinstance(value, bytes):
        value = value.decode(errors="replace")
    if isinstance(value, list) and isinstance(wanted, list):
        return len(value) == len(wanted) and all(map(same, value, wanted))
    return isinstance(value, bool) == isinstance(wanted, bool) and bool(value == wanted)


def failure_of(entry: Any, where: str) -> FailurePattern:
    """An entry of `failures`: an exact value, or `{ at = "PATH", is = VALUE }`. A MethodError otherwise."""
    if not isinstance(entry, dict):
        if not isinstance(entry, (str, int, float, list)):
            raise MethodError(f"{where}: neither a value nor {{ at = PATH, is = VALUE }}")
        return FailurePattern((), entry)
    if set(entry) != {"at", "is"} or not isinstance(entry["at"], str) or not entry["at"]:
        raise MethodError(f"{where}: takes at = PATH and is = VALUE, and nothing else")
    if not isinstance(entry["is"], (str, int, float, list)):
        raise MethodError(f"{where}.is: neither text, a number, true or false nor an array")
    return FailurePattern(path_of(entry["at"], f"{where}.at", in_params=False), entry["is"])


class Methods:
    """All methods of the operator file."""

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
        self.tenant = self.tenants.get(tenant, len(tenants))  # of calls that name none
        self.budget = budget  # microseconds, of calls that name none

    def get(self, name: str) -> Method | None:
        return self.table.get(name)

    def may_notify(self, method: Method) -> bool:
        """Whether a notification may go out: its sender never learns whether it ran, and may repeat it."""
        return method.notify or self.classes[method.klass].effect == Effect.SAFE

    def read(self, method: Method, params: Sequence[Any]) -> Read | str:
        """Tenant and budget of a call, or why it cannot be taken."""
        tenant = at(params, method.tenant) if method.tenant else None
        budget = at(params, method.budget) if method.budget else None
        if method.key and at(params, method.key) in (None, "", b""):
            return "no key where the method has one"
        number = self.tenant
        if isinstance(tenant, (str, bytes)):
            name = tenant if isinstance(tenant, str) else tenant.decode(errors="replace")
            number = self.tenants.get(name, len(self.tenants))
        elif tenant is not None:
            return "a tenant that is no string"
        micro = self.budget
        if budget is not None:
            if isinstance(budget, bool) or not isinstance(budget, (int, float)):
                return "a budget that is no number"
            if not 0 < budget <= MOST_BUDGET:
                return f"a budget that is not above 0 and at most {MOST_BUDGET} ms"
            micro = int(budget * 1000)
        return Read(number, min(micro, self.classes[method.klass].deadline))


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
    """A method's entry, checked. A MethodError names the key."""
    where = f"methods.{name}"
    if klass not in classes:
        raise MethodError(f"{where}.class: no class '{klass}'; there are {', '.join(classes)}")
    number = list(classes).index(klass)
    if settings[number].effect == Effect.KEYED and not key:
        raise MethodError(f"{where}.key: missing; '{klass}' is a keyed class")
    return Method(
        klass=number,
        tenant=path_of(tenant, f"{where}.tenant"),
        budget=path_of(budget, f"{where}.budget"),
        key=path_of(key, f"{where}.key"),
        notify=notify,
        failures=tuple(failure_of(entry, f"{where}.failures[{i}]") for i, entry in enumerate(failures)),
    )
