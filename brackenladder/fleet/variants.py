"""Selects the policy of a run: `policy/` of this or another checkout, or a baseline policy."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from collections.abc import Mapping
from itertools import count
from pathlib import Path
from types import ModuleType

from brackenladder.fleet.nodes import Module
from brackenladder.fleet.rivals import BASELINE_POLICIES
from brackenladder.policy.balancer import Balancer

MODULE_POLICY = "module"
VARIANT_NUMBERS = count()


class VariantError(Exception):
    """The requested policy variant does not exist; the text is one line."""


def policies() -> list[str]:
    """Names of all policies."""
    return [MODULE_POLICY, *BASELINE_POLICIES]


def variant(policy: str, checkout: str, constants: Mapping[str, float]) -> Module:
    """Returns a policy. `checkout`: folder of another checkout of this package; empty for this one.

    The module is loaded as a separate copy, so that changed constants affect this variant alone.
    """
    if policy != MODULE_POLICY:
        if policy not in BASELINE_POLICIES:
            raise VariantError(f"policy: no '{policy}'; there are {', '.join(policies())}")
        if checkout or constants:
            raise VariantError(f"policy: '{policy}' has no checkout and no constants")
        return BASELINE_POLICIES[policy]
    if not checkout and not constants:
        return Balancer
    modules = load_modules(checkout)
    for name, value in constants.items():
        owners = [module for module in modules if name in vars(module)]
        old = vars(owners[0])[name] if owners else None
        if not name.isupper() or isinstance(old, bool) or not isinstance(old, int | float):
            raise VariantError(f"module.{name}: the module has no number of that name")
        for module in owners:  # each module that imports the constant holds its own reference to it
            setattr(module, name, int(value) if isinstance(old, int) and value == int(value) else value)
    balancer_class: Module = modules[0].Balancer
    return balancer_class


def files_of(checkout: str) -> list[Path]:
    """Source files of a checkout's decision module; older checkouts have a single file."""
    package = Path(checkout or Path(__file__).parents[2]) / "brackenladder"
    old = package / "balance.py"
    return [old] if old.is_file() else sorted((package / "policy").glob("*.py"))


def load_modules(checkout: str) -> list[ModuleType]:
    """Loads a checkout's decision module under a unique name: the module with Balancer, then the others."""
    files = files_of(checkout)
    if not files:
        raise VariantError(f"checkout: no {checkout}/brackenladder/policy")
    first = files[0]  # `__init__.py` in a package, since files are sorted by name
    name = f"brackenladder_variant_{next(VARIANT_NUMBERS)}"
    search_path = [str(first.parent)] if first.name == "__init__.py" else None
    spec = importlib.util.spec_from_file_location(name, first, submodule_search_locations=search_path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
        if search_path:
            module = importlib.import_module(f"{name}.balancer")
    except Exception as e:  # the other checkout's code may raise anything
        raise VariantError(f"checkout: {first}: {type(e).__name__}: {e}") from None
    finally:
        ours = [key for key in sys.modules if key == name or key.startswith(f"{name}.")]
        submodules = [sys.modules.pop(key) for key in ours]
    if not callable(getattr(module, "Balancer", None)):
        raise VariantError(f"checkout: {first}: no Balancer")
    return [module, *(submodule for submodule in submodules if submodule is not module)]
