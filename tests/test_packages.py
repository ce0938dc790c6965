"""Tests that deploy/system.toml lists every system package that a clean build and the programs need."""

from __future__ import annotations

import importlib.util
import re
import shutil
import subprocess
import tomllib
from pathlib import Path
from unittest import TestCase, skipUnless

ROOT = Path(__file__).parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PACKAGES = set(DEPLOY["packages"])
REQUIREMENTS = (ROOT / "requirements-system.txt").read_text()
INTERPRETER = "python3"
# Packages that Debian always installs or that python3 depends on.
ESSENTIAL = {"libc6", "libc-bin", "dash", "coreutils"}
HAS_DPKG = shutil.which("dpkg") is not None and shutil.which("ldd") is not None


def pinned() -> set[str]:
    """The names of the libraries that the build installs."""
    return set(re.findall(r"^([a-z_]+)==", REQUIREMENTS, re.MULTILINE))


def shared_objects() -> list[Path]:
    """The installed extension modules of those libraries."""
    folders = []
    for name in pinned():
        spec = importlib.util.find_spec({"attrs": "attr"}.get(name, name))
        if spec is not None and spec.submodule_search_locations:
            folders += [Path(place) for place in spec.submodule_search_locations]
    return sorted(path for folder in folders for path in folder.rglob("*.so"))


def needed_files(path: Path) -> set[str]:
    """The shared library files that a file is linked to."""
    output = subprocess.run(["ldd", str(path)], capture_output=True, text=True, check=True).stdout
    return set(re.findall(r"=> (/\S+)", output))


def package_of(file: str) -> str:
    """The package that a file belongs to. Several paths are tried, as dpkg may know it by another one."""
    for name in (file, str(Path(file).resolve()), file.removeprefix("/usr"), str(Path("/usr" + file))):
        result = subprocess.run(["dpkg", "-S", name], capture_output=True, text=True)
        if result.returncode == 0:
            return result.stdout.split(":")[0]
    return f"none that is known, for {file}"


class PackagesTest(TestCase):
    def test_the_interpreter_and_its_installer_are_listed(self) -> None:
        self.assertLessEqual({"python3", "python3-pip"}, PACKAGES)

    def test_packages_are_names_and_listed_once(self) -> None:
        self.assertEqual(len(PACKAGES), len(DEPLOY["packages"]))
        for name in PACKAGES:
            self.assertRegex(name, r"^[a-z0-9][a-z0-9+.-]+$")

    def test_every_program_is_run_by_a_listed_interpreter(self) -> None:
        for role in DEPLOY["roles"].values():
            self.assertEqual(role["run"].split()[0], INTERPRETER)

    @skipUnless(HAS_DPKG, "needs dpkg and ldd to trace files to packages")
    def test_packages_of_linked_libraries_are_listed(self) -> None:
        objects = shared_objects()
        self.assertTrue(objects)
        files = set().union(*(needed_files(path) for path in objects))
        self.assertLessEqual({package_of(file) for file in files}, PACKAGES | ESSENTIAL)

    def test_no_compiler_is_needed_and_versions_cannot_change(self) -> None:
        self.assertIn("--only-binary :all:", DEPLOY["build"])
        self.assertIn("--require-hashes", DEPLOY["build"])
        blocks = re.split(r"^(?=[a-z_]+==)", REQUIREMENTS, flags=re.MULTILINE)[1:]
        self.assertEqual(len(blocks), len(pinned()))
        for block in blocks:
            self.assertIn("--hash=sha256:", block)

    def test_the_build_needs_only_listed_and_essential_packages(self) -> None:
        words = re.findall(r"(?:^|[;&|{] *)([a-z][a-z0-9]*)", DEPLOY["build"])
        self.assertLessEqual(set(words), {INTERPRETER, "touch", "true"})

    def test_a_failed_installation_fails_the_build(self) -> None:
        build = DEPLOY["build"].replace(INTERPRETER, "false")
        result = subprocess.run(["sh", "-c", build], cwd=Path(__file__).parent, capture_output=True)
        self.assertNotEqual(result.returncode, 0)
