#!/bin/sh
# Plays this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.  What was sent, answered and run is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "build first" >&2; exit 2; }
exec .venv/bin/python review/6/case.py
