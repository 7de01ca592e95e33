"""Cleans up after a rehearsal whose main process was killed, so that nothing outlives the command.

It reads lines from standard input: ``pid N`` adds a process, ``done N`` removes it, ``dir PATH`` adds a
folder. The input ends however the main process dies; then the remaining processes are killed and the folders
removed. A process is identified by its id and start time, so that one that reuses the id is not killed.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys


def start_time(pid: int) -> str:
    """The start time of a process in clock ticks since boot; empty if there is no such process."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            return file.read().rsplit(b")", 1)[1].split()[19].decode()
    except (OSError, IndexError):
        return ""


def main() -> int:
    os.setsid()  # Ctrl-C in the terminal must not reach this process
    start_times: dict[int, str] = {}
    folders: list[str] = []
    for line in sys.stdin:
        keyword, _, value = line.rstrip("\n").partition(" ")
        if keyword == "pid":
            start_times[int(value)] = start_time(int(value))
        elif keyword == "done":
            start_times.pop(int(value), None)
        elif keyword == "dir":
            folders.append(value)
    for pid, started in start_times.items():
        if started and start_time(pid) == started:
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                continue  # it exited after the check
    for folder in folders:
        shutil.rmtree(folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
