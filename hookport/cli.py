"""The command line: ``hookport`` without arguments runs the daemon, ``hookport COMMAND`` one of the tools.

A command's package is imported only when that command runs, so that the daemon doesn't load any of them.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Sequence
from importlib import metadata

# Command -> module whose main(arguments) runs it, summary for --help.
COMMANDS = {
    "experiment": (
        "hookport.emulator.experiment_command",
        "compare values of a setting over many simulated days",
    ),
    "explore": (
        "hookport.emulator.explore",
        "simulate random days until one breaks a rule, and shrink those that do",
    ),
    "kept": (
        "hookport.membership.command",
        "show a saved server list and how far each server is trusted now",
    ),
    "options": ("hookport.options", "validate an options file (HOOKPORT_OPTIONS), or print its JSON Schema"),
    "rehearse": (
        "hookport.rehearsal.command",
        "run a plan on loopback with real limiters and check its result",
    ),
}
HELP = """\
usage: hookport                      run the limiter, configured by the file named by PROXY_CONFIG
       hookport COMMAND [ARGUMENTS]  run one of the tools below; see hookport COMMAND --help
       hookport --help | --version

commands:
"""


def version() -> str:
    """The version of the installed package, or of the source tree if it is not installed."""
    try:
        return metadata.version("hookport")
    except metadata.PackageNotFoundError:
        from hookport import __version__

        return __version__


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; returns its exit status, or 2 for an unknown command or a missing package."""
    args = list(sys.argv[1:] if arguments is None else arguments)
    if not args:
        from hookport.__main__ import main as daemon

        return daemon()
    if args[0] in ("-h", "--help", "help"):
        rows = "".join(f"  {name:<11} {summary}\n" for name, (_, summary) in COMMANDS.items())
        print(HELP + rows, end="")
        return 0
    if args[0] in ("-V", "--version"):
        print(f"hookport {version()}")
        return 0
    if args[0] not in COMMANDS:
        print(
            f"hookport: unknown command {args[0]!r}; must be one of {', '.join(COMMANDS)} (see --help)",
            file=sys.stderr,
        )
        return 2
    try:
        module = importlib.import_module(COMMANDS[args[0]][0])
    except ModuleNotFoundError as error:
        if error.name and error.name.split(".")[0] in ("hookport", "aniseshed"):
            raise
        print(
            f"hookport {args[0]}: the package {error.name} is missing: pip install 'hookport[rehearsal]'",
            file=sys.stderr,
        )
        return 2
    run: Callable[[Sequence[str]], int] = module.main
    return run(args[1:])


if __name__ == "__main__":
    sys.exit(main())
