"""There are no import cycles, and no package imports from a higher layer (docs/architecture.md, 'Floors')."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "brackenladder"
FLOORS = {
    **dict.fromkeys(["interface", "settings", "invariants", "held_calls"], 0),
    **dict.fromkeys(["policy", "membership", "operations", "routing", "control", "cluster", "recovery"], 1),
    # Packages of the whole system without I/O.
    **dict.fromkeys(["consensus", "catalog", "prefix_cache"], 1),
    "core": 2,
    **dict.fromkeys(["registry", "platform_settings"], 2),
    **dict.fromkeys(["delivery", "shares"], 3),
    "sockets": 3,
    **dict.fromkeys(["http", "rpc", "discovery", "peers", "storage", "transport"], 4),
    "placement": 4,
    "local_site": 5,
    "operator_client": 6,
    **dict.fromkeys(["gateway", "control_plane", "node", "adapter"], 5),
    # The rehearsal uses nodes only through sockets and the command line; the fleet model uses the core.
    "rehearsal": 0,
    "fleet": 2,
    # The simulation and the soak are imported only by the command line.
    **dict.fromkeys(["simulation", "soak"], 6),
    "cli": 6,
    "system": 7,
    "__main__": 8,
    "serve": 7,
}
ALLOWED = {("fleet", "rehearsal")}  # imports between tools that the layers don't cover


def modules(root: Path) -> dict[str, Path]:
    found = {".".join(path.relative_to(root).with_suffix("").parts): path for path in root.rglob("*.py")}
    return {name.removesuffix(".__init__"): path for name, path in found.items()}


def imports(root: Path) -> dict[str, set[str]]:
    """Returns the project's modules that each module imports, also under TYPE_CHECKING and in functions."""
    files = modules(root)
    graph: dict[str, set[str]] = {}
    for name, path in files.items():
        package = name if path.name == "__init__.py" else name.rpartition(".")[0]
        graph[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                base = node.module or ""
                if node.level:
                    base = ".".join(part for part in (package, base) if part)
                elif base.split(".")[0] != "brackenladder":
                    continue
                else:
                    base = base.partition(".")[2]
                for alias in node.names:
                    inner = f"{base}.{alias.name}".lstrip(".")
                    graph[name].add(inner if inner in files else base)
            elif isinstance(node, ast.Import):
                graph[name] |= {a.name[14:] for a in node.names if a.name.startswith("brackenladder.")}
    return {name: {target for target in targets if target in files} for name, targets in graph.items()}


def modules_in_cycles(graph: dict[str, set[str]]) -> list[str]:
    """Returns the modules that import themselves indirectly."""

    def reachable(start: str) -> set[str]:
        seen: set[str] = set()
        todo = list(graph[start])
        while todo:
            name = todo.pop()
            if name not in seen:
                seen.add(name)
                todo += graph[name]
        return seen

    return sorted(name for name in graph if name in reachable(name))


def upward_imports(graph: dict[str, set[str]]) -> list[str]:
    """Returns the imports from a higher layer."""
    wrong = []
    for name, targets in graph.items():
        own = name.split(".")[0]
        for target in targets:
            other = target.split(".")[0]
            if own != other and (own, other) not in ALLOWED and FLOORS[other] > FLOORS[own]:
                wrong.append(f"{name} imports {target}")
    return sorted(wrong)


def test_there_are_no_cycles_and_no_upward_imports():
    graph = imports(ROOT)
    assert {name.split(".")[0] for name in graph if name and name != "__init__"} <= set(FLOORS)
    assert modules_in_cycles(graph) == [] and upward_imports(graph) == []


@pytest.mark.parametrize(
    ("files", "cycle", "upward"),
    [
        ({"core/a.py": "from brackenladder.core.b import x", "core/b.py": "x = 1"}, [], []),
        (
            {
                "core/a.py": "from .b import x",
                "core/b.py": "if TYPE_CHECKING:\n    from brackenladder.core import a",
            },
            ["core.a", "core.b"],
            [],
        ),
        (
            {"core/a.py": "def f():\n    import brackenladder.node.b", "node/b.py": ""},
            [],
            ["core.a imports node.b"],
        ),
        (
            {"policy/a.py": "from brackenladder.core.b import x", "core/b.py": ""},
            [],
            ["policy.a imports core.b"],
        ),
    ],
)
def test_a_forbidden_import_is_found(tmp_path, files, cycle, upward):
    for name, text in files.items():
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    graph = imports(tmp_path)
    assert modules_in_cycles(graph) == cycle and upward_imports(graph) == upward


def test_no_role_process_imports_the_command_line():
    """`typer` and its dependencies use memory in every process that imports them."""
    graph = imports(ROOT)
    todo, seen = ["serve"], set()
    while todo:
        name = todo.pop()
        if name not in seen:
            seen.add(name)
            todo += graph[name]
    assert not [name for name in seen if name.split(".")[0] in ("system", "cli", "rehearsal")]
    outside = {"typer", "click", "rich", "pydantic"}
    for name in seen:
        for node in ast.walk(ast.parse(modules(ROOT)[name].read_text())):
            named = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            named += [node.module or ""] if isinstance(node, ast.ImportFrom) and not node.level else []
            assert not outside & {one.split(".")[0] for one in named}, name
