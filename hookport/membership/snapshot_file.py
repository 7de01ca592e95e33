"""The snapshot of the server list on disk: replaced atomically, with the previous one beside it, and written
outside the event loop.

A snapshot is written to a new file, which is synced before it replaces the current one; the current one stays
as ``NAME.old`` until the next save.  Wherever the process or the machine stops, one of the two is complete.
A sync that fails is never retried on the same file, since the page cache may have dropped the pages that it
could not write (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020): the next
snapshot goes to a new file."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol

from hookport.config import NameIndex
from hookport.membership import snapshot_codec
from hookport.membership.fleet import Snapshot


class FileSystem(Protocol):
    """The operations that ``SnapshotFile`` needs; tests inject implementations that fail."""

    def read(self, path: str) -> bytes: ...
    def write(self, path: str, data: bytes) -> None: ...
    def rename(self, path: str, to: str) -> None: ...
    def sync_directory(self, path: str) -> None: ...


class LocalFileSystem:
    """The file system of the machine; each method raises OSError."""

    def read(self, path: str) -> bytes:
        """The contents, up to one byte more than the maximum size of a snapshot."""
        with open(path, "rb") as file:
            return file.read(snapshot_codec.MAX_FILE_BYTES + 1)

    def write(self, path: str, data: bytes) -> None:
        """Write and sync a new file."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, path: str, to: str) -> None:
        os.replace(path, to)

    def sync_directory(self, path: str) -> None:
        """Sync the directory that contains ``path``, so that renames in it survive a power loss."""
        descriptor = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class SnapshotFile:
    """The snapshot at one path, the previous one at ``PATH.old``, and the one being written at
    ``PATH.new``."""

    def __init__(self, path: str, file_system: FileSystem | None = None) -> None:
        self.path, self.file_system = path, file_system or LocalFileSystem()

    def save(self, data: bytes) -> None:
        """Replace the snapshot; raises OSError, after which the snapshot that was there can still be
        loaded."""
        new = self.path + ".new"
        self.file_system.write(new, data)
        with contextlib.suppress(FileNotFoundError):
            self.file_system.rename(self.path, self.path + ".old")
        self.file_system.rename(new, self.path)
        self.file_system.sync_directory(self.path)

    def load(self, names: NameIndex, fleet: str) -> tuple[Snapshot | None, list[str]]:
        """The snapshot, or the previous one if it cannot be used, and one line for each file that was not
        used; None if neither can be used."""
        problems = list[str]()
        for path in (self.path, self.path + ".old"):
            try:
                data = self.file_system.read(path)
                if len(data) > snapshot_codec.MAX_FILE_BYTES:
                    raise snapshot_codec.SnapshotError(
                        f"the file is larger than {snapshot_codec.MAX_FILE_BYTES} bytes"
                    )
                snapshot = snapshot_codec.decode(data, names)
                if snapshot.fleet != fleet:
                    raise snapshot_codec.SnapshotError(
                        f"the file belongs to fleet {snapshot.fleet!r:.80}, this limiter to {fleet!r:.80}"
                    )
                return snapshot, problems
            except FileNotFoundError:
                continue
            except (OSError, snapshot_codec.SnapshotError) as error:
                reason = error.strerror if isinstance(error, OSError) else error
                problems.append(f"the saved server list {path} is not used: {reason}")
        return None, problems
