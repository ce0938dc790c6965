"""Coverage-guided fuzzing of one target: `python tests/fuzz/run.py TARGET FOLDER [libFuzzer's options]`.

New inputs are written to FOLDER; `tests/corpus/TARGET` is read too. Needs requirements-fuzz.txt. If a check
fails, it writes a file `crash-...` and prints the traceback. Not part of `make test`.
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
