"""Fuzzes one target, guided by coverage: `python tests/fuzz/run.py TARGET FOLDER [libFuzzer's options]`.

FOLDER takes the corpus; `tests/corpus/TARGET` is read too. It needs requirements-fuzz.txt, and ends with a
file `crash-...` and the fault's trace if something did not hold. Not part of `make test`.
"""

from __future__ import annotations

import sys
from pathlib import Path

import atheris

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

with atheris.instrument_imports(include=["brackenladder", "fuzz.targets"]):
    from fuzz.targets import CORPUS, TARGETS


def main() -> None:
    name, folder, *options = sys.argv[1:]
    Path(folder).mkdir(parents=True, exist_ok=True)
    known = Path(CORPUS) / name
    atheris.Setup([sys.argv[0], folder, *([str(known)] if known.is_dir() else []), *options], TARGETS[name])
    atheris.Fuzz()


if __name__ == "__main__":
    main()
