#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: they are plain Python with the
# standard library only, and use none of the project's own stand-ins.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/rig-2 review/6 review/7 review/8 review/9 review/10
