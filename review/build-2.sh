#!/bin/sh
# Builds the stand-ins of cases 4 and 5. They are Python without any dependency, so this only compiles them.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common-2 review/4 review/5
