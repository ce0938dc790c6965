#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the service is no new one.
# VARIANT=core plays the other way to it: the control nodes are killed (TROUBLE=0: they stay up).
exec python3 "$(dirname "$0")/case.py"
