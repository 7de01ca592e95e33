#!/usr/bin/env bash
# The stand-ins are Python programs on the standard library: building them is checking that they compile.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
