"""Ends what a rehearsal started when the rehearsal itself was killed: nothing outlives the command.

It reads lines from standard input: ``pid N``, ``done N`` and ``dir PATH``.  At the end of its input, which
comes however the other end died, it kills every process still listed and removes the folders.  A process is
known by its number and its start time, so that a number used anew by a stranger is left alone.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys


def started(pid: int) -> str:
    """When that process started, in the kernel's own count; empty if there is none."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            return file.read().rsplit(b")", 1)[1].split()[19].decode()
    except (OSError, IndexError):
        return ""


def main() -> int:
    os.setsid()  # Ctrl-C in the terminal is not meant for this process
    processes: dict[int, str] = {}
    folders: list[str] = []
    for line in sys.stdin:
        word, _, value = line.rstrip("\n").partition(" ")
        if word == "pid":
            processes[int(value)] = started(int(value))
        elif word == "done":
            processes.pop(int(value), None)
        elif word == "dir":
            folders.append(value)
    for pid, since in processes.items():
        if since and started(pid) == since:
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                continue  # it ended in between
    for folder in folders:
        shutil.rmtree(folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
