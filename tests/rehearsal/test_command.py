"""The command `rehearse`: exit codes, one-line errors, and the contents of the reports."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from xml.etree import ElementTree

import msgspec
import pytest
from rehearsal.cases import CASES
from rehearsal.conftest import ROGUES, Runs
from rehearsal.playing import SMALL

from brackenladder.rehearsal import report as reports
from brackenladder.rehearsal.checker import RULES
from brackenladder.rehearsal.scenario import shipped
from brackenladder.rehearsal.timeline import render_page

PATIENCE = 60.0


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "brackenladder", *arguments], capture_output=True, text=True, timeout=PATIENCE
    )


def toml(folder: Path, **changes: object) -> str:
    """Writes the small scenario to a file."""
    path = folder / "small.toml"
    table = json.loads(json.dumps(SMALL | {"length_s": 1.5} | changes))
    lines: list[str] = []
    tables = {k: v for k, v in table.items() if isinstance(v, dict)}
    lists = {k: v for k, v in table.items() if isinstance(v, list) and v and isinstance(v[0], dict)}
    for key, value in table.items():
        if key not in tables and key not in lists:
            lines.append(f"{key} = {json.dumps(value)}")
    for key, value in tables.items():
        lines += [f"[{key}]", *(f"{k} = {json.dumps(v)}" for k, v in value.items())]
    for key, values in lists.items():
        for value in values:
            lines += [f"[[{key}]]", *(f"{k} = {json.dumps(v)}" for k, v in value.items())]
    path.write_text("\n".join(lines) + "\n")
    return str(path)


def test_two_runs_of_a_seed_give_the_same_verdicts_byte_for_byte(tmp_path: Path) -> None:
    file = toml(tmp_path, faults=[{"kind": "error", "at_s": 0.2, "pick": "all", "share": 0.4}])
    texts = []
    for i in range(2):
        out = tmp_path / f"{i}.json"
        done = command("rehearse", file, "--seed", "3", "--json", str(out))
        assert done.returncode == 0, done.stderr
        texts.append(msgspec.json.decode(out.read_bytes(), type=dict[str, msgspec.Raw])["verdicts"])
    assert bytes(texts[0]) == bytes(texts[1])
    assert json.loads(bytes(texts[0])) == {
        "lost": "held",
        "effect": "held",
        "drain": "not tried",
        "cold": "not tried",
    }


def test_a_broken_rule_is_exit_code_1_and_is_in_every_report(tmp_path: Path) -> None:
    files = [str(tmp_path / name) for name in ("r.json", "r.xml", "r.html")]
    done = command(
        *("rehearse", toml(tmp_path), "--node", f"{sys.executable} {ROGUES['']} loses"),
        *("--json", files[0], "--junit", files[1], "--timeline", files[2], "--keep", str(tmp_path / "kept")),
    )
    assert done.returncode == 1
    assert "broke" in done.stdout and "the connection ended unanswered" in done.stdout
    table = json.loads(Path(files[0]).read_text())
    assert table["verdicts"]["lost"] == "broke" and not table["passed"]
    evidence = table["rules"]["lost"]["evidence"][0]
    assert evidence["node"] == "n0" and len(evidence["request"]) == 16
    suite = ElementTree.parse(files[1]).getroot()
    assert suite.get("failures") == "1" and suite.get("skipped") == "3"
    html = Path(files[2]).read_text()
    assert 'class="break"' in html and evidence["request"] in html
    assert "http://" not in html and "src=" not in html  # the page loads nothing else
    assert {"clients.jsonl", "network.jsonl", "servers-0.jsonl", "runner.jsonl", "n0.log"} <= {
        p.name for p in (tmp_path / "kept").iterdir()
    }
    again = command("rehearse", toml(tmp_path), "--keep", str(tmp_path / "kept"))
    assert again.returncode == 2 and "holds the journals of another run" in again.stderr


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ((), "rehearse: name a scenario, or --list"),
        (("no-such",), "no-such: no scenario of this name; --list names them"),
        (("no/such.toml",), "no/such.toml: No such file or directory"),
        (("refuse", "--seed", "-1"), "Invalid value for '--seed'"),
        (("refuse", "--json", "/no/such/folder/r.json"), "/no/such/folder/r.json: no such folder"),
        (("refuse", "--frob"), "No such option '--frob'"),
    ],
)
def test_an_invalid_argument_is_one_line_and_exit_code_2(arguments: tuple[str, ...], message: str) -> None:
    done = command("rehearse", *arguments)
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and message in done.stderr


def test_a_scenario_with_too_many_targets_names_file_and_key(tmp_path: Path) -> None:
    done = command("rehearse", toml(tmp_path, faults=[{"kind": "drain", "at_s": 0.2, "pick": 9}]))
    assert done.returncode == 2
    assert "small.toml: faults[0].pick: 9 wanted, 4 available" in done.stderr and done.stderr.count("\n") == 1


def test_list_and_explain() -> None:
    done = command("rehearse", "--list")
    assert done.returncode == 0
    assert [line.split()[0] for line in done.stdout.splitlines()] == shipped()
    first, second = (command("rehearse", "--explain", "layered", "--seed", "5").stdout for _ in range(2))
    assert first == second and "is killed, and starts again" in first


def test_an_unknown_command_is_exit_code_2() -> None:
    done = command("frobnicate")
    assert done.returncode == 2 and done.stderr == "brackenladder: No such command 'frobnicate'.\n"


def test_a_node_imports_no_tools() -> None:
    """Deployed nodes have only requirements.txt installed, and may have only 32 MB of memory.

    So a node must not import the tools' packages, nor the parts of the node that are not configured.
    """
    script = (
        "import sys; import brackenladder.__main__;"
        "print([m for m in sys.modules if m.startswith(('click', 'rich', 'msgspec', 'msgpack',"
        " 'brackenladder.cli', 'brackenladder.rehearsal', 'brackenladder.rpc', 'brackenladder.node.rpc',"
        " 'brackenladder.node.operator'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=PATIENCE)
    assert done.stdout.strip() == "[]"


def test_without_the_tools_a_command_says_what_to_install(tmp_path: Path) -> None:
    (tmp_path / "click.py").write_text("raise ModuleNotFoundError('no', name='click')\n")
    done = subprocess.run(
        [sys.executable, "-m", "brackenladder", "rehearse"],
        capture_output=True,
        text=True,
        timeout=PATIENCE,
        env=dict(os.environ) | {"PYTHONPATH": str(tmp_path)},
    )
    assert done.returncode == 2
    assert done.stderr == "brackenladder: rehearse: needs click: install requirements-tools.txt\n"


@pytest.mark.parametrize("case", ["deploy"])
def test_the_page_has_a_lane_for_each_server_and_node(case: str, runs: Runs) -> None:
    result, report, _ = runs[case]
    html = render_page(CASES[case].scenario, result, report)
    for server in result.plan.servers:
        assert f">{server.id}</text>" in html
    assert ">n0</text>" in html and 'class="cold"' in html and 'class="drains"' in html
    ElementTree.fromstring(html[html.index("<svg") : html.index("</svg>") + 6])  # well formed


@pytest.mark.parametrize("case", ["calm"])
def test_the_reports_name_all_rules(case: str, runs: Runs) -> None:
    result, report, _ = runs[case]
    table = json.loads(reports.as_json(case, CASES[case].scenario, result, report))
    assert list(table["verdicts"]) == list(RULES) == list(table["rules"])
    suite = ElementTree.fromstring(reports.as_junit(case, report, result))
    assert [c.get("name") for c in suite] == [*RULES, "nodes"]
