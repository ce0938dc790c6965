#!/bin/sh
# Builds every stand-in that the scripts start. They need python3 alone; compiling shows that they are readable.
cd "$(dirname "$0")" && exec python3 -m compileall -q common [0-9]* earlier
