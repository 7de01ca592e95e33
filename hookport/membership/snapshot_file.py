"""The kept list on a disk: replaced whole, with the one before it beside it, and never on the loop.

A list is written to a new file, which is synced before it takes the place of the old one; the old one keeps
its contents as ``NAME.old`` until the next time.  Whatever is cut off where, one of the two is whole.  A sync
that fails is never tried again on the same file, as the page cache may have dropped what it could not write
(Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020): the next list goes to a
new file."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol

from hookport.config import Names
from hookport.membership import snapshot_codec as form
from hookport.membership.fleet import Snapshot


class Disk(Protocol):
    """What is asked of a file system; ``Local`` is the real one, tests put one in its place that fails."""

    def read(self, path: str) -> bytes: ...
    def write(self, path: str, data: bytes) -> None: ...
    def rename(self, path: str, to: str) -> None: ...
    def sync_folder(self, path: str) -> None: ...


class Local:
    """The file system of the machine; each call raises OSError."""

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read(form.LARGEST + 1)

    def write(self, path: str, data: bytes) -> None:
        """Write and sync a new file."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(number, view) :]
            os.fsync(number)
        finally:
            os.close(number)

    def rename(self, path: str, to: str) -> None:
        os.replace(path, to)

    def sync_folder(self, path: str) -> None:
        number = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(number)
        finally:
            os.close(number)


class File:
    """The list under one path, its predecessor under ``PATH.old``, and what is being written under
    ``PATH.new``."""

    def __init__(self, path: str, disk: Disk | None = None) -> None:
        self.path, self.disk = path, disk or Local()

    def save(self, data: bytes) -> None:
        """Replace the list; raises OSError, and the list that was there is there still."""
        new = self.path + ".new"
        self.disk.write(new, data)
        with contextlib.suppress(FileNotFoundError):
            self.disk.rename(self.path, self.path + ".old")
        self.disk.rename(new, self.path)
        self.disk.sync_folder(self.path)

    def load(self, names: Names, fleet: str) -> tuple[Snapshot | None, list[str]]:
        """The list, or its predecessor where it cannot be used, and what was found wrong, a line each."""
        wrong = list[str]()
        for path in (self.path, self.path + ".old"):
            try:
                data = self.disk.read(path)
                if len(data) > form.LARGEST:
                    raise form.KeptError(f"it is larger than {form.LARGEST} bytes")
                told = form.read(data, names)
                if told.fleet != fleet:
                    raise form.KeptError(f"it is of the fleet {told.fleet!r:.80}, this is {fleet!r:.80}")
                return told, wrong
            except FileNotFoundError:
                continue
            except (OSError, form.KeptError) as error:
                why = error.strerror if isinstance(error, OSError) else error
                wrong.append(f"the kept list {path} is not used: {why}")
        return None, wrong
