"""Executes one run of an experiment in a process of its own: ``python experiment_run.py SOURCES``.

``SOURCES`` is the source tree whose daemon is run; it may be another build than that of this script. Standard
input is a JSON object with ``plan``, ``seed``, ``constants`` (numbers by dotted name) and ``other_names``
(for each renamed constant the other names under which the source tree may know it). The history is written
to standard output, in the format of ``history.read``. On an error the exit status is 1, with one line on
standard error.
"""

from __future__ import annotations

import importlib
import json
import os
import sys
from collections.abc import Sequence
from typing import Any

PACKAGES = ("aniseshed", "hookport")


class RunError(Exception):
    """The run cannot be executed; the message is one line."""


def set_constant(name: str, value: float, other_names: Sequence[str] = ()) -> None:
    """Set a module's constant, also in modules that imported it by name.

    A build that does not know ``name`` may know the constant under one of ``other_names``. Values that were
    computed from the constant at import time do not change. Raises RunError if the constant does not exist.
    """
    reason = ""
    for candidate in (name, *other_names):
        module_path, _, constant = candidate.rpartition(".")
        try:
            old = getattr(importlib.import_module(module_path), constant)
        except (ImportError, AttributeError) as error:
            reason = reason or str(error)
            continue
        break
    else:
        raise RunError(f"{name}: this build has no such constant ({reason})")
    for module_name, module in list(sys.modules.items()):
        if module_name.split(".")[0] in PACKAGES and getattr(module, constant, None) is old:
            setattr(module, constant, value)


def main() -> int:
    sources = os.path.abspath(sys.argv[1])
    own_folder = os.path.dirname(os.path.abspath(__file__))
    sys.path[:] = [sources, *(path for path in sys.path if os.path.abspath(path) != own_folder)]
    run: dict[str, Any] = json.load(sys.stdin)
    try:
        from hookport.emulator import whole
        from hookport.rehearsal import plan as plans
    except ImportError as error:
        print(f"{sources}: this build cannot be run in virtual time: {error}", file=sys.stderr)
        return 1
    if not os.path.abspath(whole.__file__).startswith(sources + os.sep):
        print(f"{sources}: not a source tree: hookport was imported from {whole.__file__}", file=sys.stderr)
        return 1
    try:
        for name, value in run["constants"].items():
            set_constant(name, value, run["other_names"].get(name, ()))
        head, rows = whole.play(plans.build(run["plan"], "plan"), run["seed"])
    except (RunError, plans.PlanError, whole.WholeError, whole.SpinError, whole.StallError) as error:
        print(str(error), file=sys.stderr)
        return 1
    sys.stdout.buffer.write(whole.encoded(head, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
