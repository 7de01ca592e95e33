"""One run of an experiment, in a process of its own: ``python cell.py SOURCES`` with the run on standard
input.

``SOURCES`` is the source tree whose daemon is played, which may be another build than the one that asks.
The run is a JSON object with ``plan``, ``seed``, ``constants`` (numbers by full name) and ``other_names`` (by
full name of a renamed constant, the other names under which the source tree may know it); the history goes to
standard output, as ``history.read`` takes it. An error ends it with status 1 and one line on standard error.
"""

from __future__ import annotations

import importlib
import json
import os
import sys
from collections.abc import Sequence
from typing import Any

ROOMS = ("aniseshed", "hookport")


class CellError(Exception):
    """The run cannot be played; one line that says why."""


def set_constant(name: str, value: float, other_names: Sequence[str] = ()) -> None:
    """Set a module's constant, also where other modules have taken it over by name.

    A build that does not know ``name`` may know the constant under one of ``other_names``.
    What was worked out from it when its module was imported stays as it was."""
    reason = ""
    for candidate in (name, *other_names):
        place, _, constant = candidate.rpartition(".")
        try:
            old = getattr(importlib.import_module(place), constant)
        except (ImportError, AttributeError) as error:
            reason = reason or str(error)
            continue
        break
    else:
        raise CellError(f"{name}: this build has no such constant ({reason})")
    for module_name, module in list(sys.modules.items()):
        if module_name.split(".")[0] in ROOMS and getattr(module, constant, None) is old:
            setattr(module, constant, value)


def main() -> int:
    sources = os.path.abspath(sys.argv[1])
    here = os.path.dirname(os.path.abspath(__file__))
    sys.path[:] = [sources, *(path for path in sys.path if os.path.abspath(path) != here)]
    told: dict[str, Any] = json.load(sys.stdin)
    try:
        from hookport.emulator import whole
        from hookport.rehearsal import plan as plans
    except ImportError as error:
        print(f"{sources}: this build cannot be played in the whole depth: {error}", file=sys.stderr)
        return 1
    if not os.path.abspath(whole.__file__).startswith(sources + os.sep):
        print(f"{sources}: no source tree: hookport came from {whole.__file__}", file=sys.stderr)
        return 1
    try:
        for name, value in told["constants"].items():
            set_constant(name, value, told["other_names"].get(name, ()))
        head, rows = whole.play(plans.build(told["plan"], "plan"), told["seed"])
    except (CellError, plans.PlanError, whole.WholeError, whole.SpinError, whole.StallError) as error:
        print(str(error), file=sys.stderr)
        return 1
    sys.stdout.buffer.write(whole.encoded(head, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
