"""Entry point of `python -m brackenladder.system`."""

from __future__ import annotations

import sys

from brackenladder.system.app import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
