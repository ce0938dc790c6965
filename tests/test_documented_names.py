"""Tests that names in the documentation exist: files, members of classes, tests, pages and sections.

A rename in the code would otherwise leave pages and comments that refer to something that is gone.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

from attrs import define, field

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "brackenladder"
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
FILE = re.compile(r"[\w./-]*\w\.py\b")
CODE = re.compile(r"`([^`\n]+)`")
# Fields of documents, such as `Bounds.GraceS`, are written in camel case and aren't attributes of a class.
MEMBER = re.compile(r"(?<![\w.])([A-Z]\w*)\.([a-z_]\w*|[A-Z][A-Z0-9_]*)\b")
# `test_name_...` and `test_name_*` stand for all tests whose names begin so.
TEST = re.compile(r"\b(test_\w+?)(_\.\.\.|_\*|(?!\w))")
PAGE = re.compile(r"\bdocs/[\w/-]+\.md\b")
SECTION = re.compile(r"\b(docs/[\w/-]+\.md)`?, ['\"]([^'\"]+)['\"]")
HEADING = re.compile(r"^#+ (.+)$|\*\*(.+?)\*\*", re.MULTILINE)
LINE_BREAK = re.compile(r"\s*\n\s*(?:#\s*)?")


@define
class ClassNames:
    """What the classes of one name define or assign, and the names of their bases."""

    members: set[str] = field(factory=set)
    bases: set[str] = field(factory=set)


def source_files() -> Iterator[Path]:
    for folder in ("brackenladder", "tests", "benchmarks", "deploy"):
        yield from sorted((ROOT / folder).rglob("*.py"))


def relative(path: Path) -> str:
    return path.relative_to(ROOT).as_posix()


def path_tails() -> set[str]:
    """The paths of all source files, and the tails of these paths: `a/b.py` has the tail `b.py`."""
    found = set()
    for path in source_files():
        parts = path.relative_to(ROOT).parts
        found |= {"/".join(parts[start:]) for start in range(len(parts))}
    return found


def own_members(node: ast.ClassDef) -> set[str]:
    """Names that the class body defines, and attributes that its methods assign to the instance."""
    names = set()
    for statement in node.body:
        match statement:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
                names.add(name)
            case ast.AnnAssign(target=ast.Name(id=name)):
                names.add(name)
            case ast.Assign(targets=targets):
                names |= {
                    inner.id
                    for target in targets
                    for inner in ast.walk(target)
                    if isinstance(inner, ast.Name)
                }
    for inner in ast.walk(node):
        match inner:
            case ast.Attribute(value=ast.Name(id="self"), attr=name, ctx=ast.Store()):
                names.add(name)
    return names


def package_classes() -> dict[str, ClassNames]:
    """The classes of the package by name. Classes of the same name in several modules are merged."""
    classes: dict[str, ClassNames] = {}
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                known = classes.setdefault(node.name, ClassNames())
                known.members |= own_members(node)
                known.bases |= {ast.unparse(base).split("[")[0].split(".")[-1] for base in node.bases}
    return classes


def has_member(
    classes: dict[str, ClassNames], name: str, member: str, seen: frozenset[str] = frozenset()
) -> bool:
    known = classes.get(name)
    if known is None or name in seen:
        return False
    return member in known.members or any(
        has_member(classes, base, member, seen | {name}) for base in known.bases
    )


def names_of_tests() -> set[str]:
    """The names of the test functions and of the files that contain them."""
    found = set()
    for path in (ROOT / "tests").rglob("*.py"):
        found.add(path.stem)
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                found.add(node.name)
    return found


def page_lines() -> Iterator[tuple[str, str]]:
    """Each line of each page, with the place that a failure names."""
    for page in PAGES:
        for number, line in enumerate(page.read_text().splitlines(), 1):
            yield f"{relative(page)}:{number}", line


def pointer_texts() -> Iterator[tuple[str, str]]:
    """Files that refer to pages: sources, deployment files, the Makefile and the pages themselves."""
    for path in [*source_files(), *sorted((ROOT / "deploy").glob("*.toml")), ROOT / "Makefile", *PAGES]:
        if path != Path(__file__):
            yield relative(path), path.read_text()


def sections(page: Path) -> set[str]:
    """Headings and bold texts of a page, without a final period or a date in parentheses."""
    return {
        (heading or bold).split(" (")[0].strip().rstrip(".")
        for heading, bold in HEADING.findall(page.read_text())
    }


def test_files_named_in_the_pages_exist() -> None:
    tails = path_tails()
    missing = [
        f"{place}: {name}"
        for place, line in page_lines()
        for name in FILE.findall(line)
        if name.removeprefix("./") not in tails
    ]
    assert not missing


def test_members_of_classes_named_in_the_pages_exist() -> None:
    classes = package_classes()
    missing = [
        f"{place}: {name}.{member}"
        for place, line in page_lines()
        for code in CODE.findall(line)
        for name, member in MEMBER.findall(code)
        if name in classes and not has_member(classes, name, member)
    ]
    assert not missing


def test_tests_named_in_the_pages_exist() -> None:
    names = names_of_tests()
    missing = [
        f"{place}: {name}{rest}"
        for place, line in page_lines()
        for name, rest in TEST.findall(line)
        if name not in names and not (rest and any(known.startswith(f"{name}_") for known in names))
    ]
    assert not missing


def test_pages_that_are_referred_to_exist() -> None:
    missing = [
        f"{place}: {page}"
        for place, text in pointer_texts()
        for page in PAGE.findall(text)
        if not (ROOT / page).exists()
    ]
    assert not missing


def test_sections_that_are_referred_to_exist() -> None:
    missing = [
        f"{place}: {page}, '{section}'"
        for place, text in pointer_texts()
        for page, section in SECTION.findall(LINE_BREAK.sub(" ", text))
        if (ROOT / page).exists() and section.rstrip(".") not in sections(ROOT / page)
    ]
    assert not missing
