"""The saved server list on disk: interrupted saves, damaged files, and disks that fail."""

from __future__ import annotations

import errno
import itertools
import json
import os
import random
import stat
import zlib
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_beliefs import NOW, entry, snapshot

from aniseshed.interface import Health, ListKind, ServerList
from hookport.cli import main
from hookport.config import NameIndex
from hookport.membership import snapshot_codec
from hookport.membership.curve import SECOND_NS, TrustCurve
from hookport.membership.fleet import FleetView, Snapshot, Tombstone
from hookport.membership.snapshot_file import SnapshotFile
from hookport.options import OptionsError, load, parse, schema

NAMES = NameIndex({}, {}, {"": 0}, {"": 0})
ROOT = Path(__file__).parent.parent


class PowerLossError(Exception):
    """The simulated machine lost power."""


class SimulatedDisk:
    """A file system that loses power after a number of steps: a byte written, a rename, a directory sync.

    Each rename since the last directory sync may or may not have reached the disk, independently of the
    others: ``states`` gives every directory that may be found after the power loss."""

    def __init__(self, files: dict[str, bytes], steps: int = 1 << 30) -> None:
        self.files, self.steps = dict(files), steps
        self.synced, self.unsynced_renames = dict(files), list[tuple[str, str, bytes]]()

    def step(self) -> None:
        self.steps -= 1
        if self.steps < 0:
            raise PowerLossError

    def read(self, path: str) -> bytes:
        if path not in self.files:
            raise FileNotFoundError(path)
        return self.files[path]

    def write(self, path: str, data: bytes) -> None:
        for at in range(len(data) + 1):
            self.files[path] = data[:at]
            self.step()

    def rename(self, path: str, to: str) -> None:
        if path not in self.files:
            raise FileNotFoundError(path)
        self.step()
        self.unsynced_renames.append((path, to, self.files[path]))
        self.files[to] = self.files.pop(path)

    def sync_directory(self, path: str) -> None:
        self.step()
        self.synced, self.unsynced_renames = dict(self.files), []

    def states(self) -> Iterator[dict[str, bytes]]:
        for chosen in itertools.product((False, True), repeat=len(self.unsynced_renames)):
            files = dict(self.synced)
            for (path, to, data), reached_disk in zip(self.unsynced_renames, chosen, strict=True):
                if reached_disk:
                    files[to] = data
                    files.pop(path, None)
            yield files


def encoded(generation: int, servers: int = 3) -> bytes:
    return snapshot_codec.encode(
        snapshot(10, *(entry(n) for n in range(servers)), generation=generation), NAMES
    )


def loaded_generation(disk: SimulatedDisk) -> int | None:
    saved, _ = SnapshotFile("k", disk).load(NAMES, "f")
    return saved.generation if saved else None


def test_decoding_an_encoded_snapshot_returns_an_equal_snapshot() -> None:
    tombstones = {b"s-9": Tombstone(NOW, 39, 5)}
    saved = snapshot(10, entry(1, Health.DRAINING, 7_000_000), entry(2), tombstones=tombstones)
    assert snapshot_codec.decode(snapshot_codec.encode(saved, NAMES), NAMES) == saved


def test_after_a_power_loss_at_any_step_of_a_save_the_old_or_the_new_snapshot_loads() -> None:
    before, steps, seen = SimulatedDisk({}), 0, set()
    for number in (1, 2):
        SnapshotFile("k", before).save(encoded(number))
    while True:
        disk = SimulatedDisk(before.files, steps)
        try:
            SnapshotFile("k", disk).save(encoded(3))
        except PowerLossError:
            for files in disk.states():
                after = SimulatedDisk(files)
                seen.add(loaded_generation(after))
                SnapshotFile("k", after).save(encoded(4))  # leftover files must not prevent the next save
                assert loaded_generation(after) == 4
            steps += 1
            continue
        break
    assert loaded_generation(disk) == 3 and seen == {2, 3} and steps > len(encoded(3))


def test_a_snapshot_is_synced_before_its_rename_and_the_directory_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls, fsync, replace = list[str](), os.fsync, os.replace

    def recorded_fsync(descriptor: int) -> None:
        fsync(descriptor)
        calls.append("folder" if stat.S_ISDIR(os.fstat(descriptor).st_mode) else "file")

    def recorded_replace(path: str, to: str) -> None:
        replace(path, to)
        calls.append(os.path.basename(to))

    monkeypatch.setattr(os, "fsync", recorded_fsync)
    monkeypatch.setattr(os, "replace", recorded_replace)
    for number in (1, 2):
        SnapshotFile(str(tmp_path / "k")).save(encoded(number))
    assert calls == ["file", "k", "folder", "file", "k.old", "k", "folder"]


def test_every_truncated_or_damaged_file_is_reported_and_the_previous_snapshot_is_used() -> None:
    good, old = encoded(2), encoded(1)
    for at in range(len(good)):
        for data in (good[:at], good[:at] + bytes([good[at] ^ 0x10]) + good[at + 1 :]):
            saved, problems = SnapshotFile("k", SimulatedDisk({"k": data, "k.old": old})).load(NAMES, "f")
            assert (
                saved
                and saved.generation == 1
                and len(problems) == 1
                and "k is not used: the file" in problems[0]
            )


def test_ten_thousand_mutated_snapshots_are_rejected_or_harmless() -> None:
    """The mutations are made before the checksum is computed, as if a faulty program had written the file."""
    chance, body = random.Random(7), encoded(2).split(b"\n", 1)[1]
    accepted = 0
    for n in range(10_000):
        data = bytearray(body)
        for _ in range(chance.randint(1, 4)):
            at = chance.randrange(len(data))
            data[at : at + chance.randint(0, 3)] = bytes(
                chance.choices(b'0123456789-"{}[],:.eaxN\\', k=chance.randint(0, 3))
            )
        header = b"hookport-kept 1 %08x %d\n" % (zlib.crc32(data), len(data))
        try:
            saved = snapshot_codec.decode(header + bytes(data), NAMES)
        except snapshot_codec.SnapshotError:
            continue
        accepted += 1
        fleet = FleetView("f", 0, 1, TrustCurve(), 14 * 86_400 * SECOND_NS)
        update = fleet.start(NOW, saved, ServerList(ListKind.CACHED, ()), {})
        assert update.server_list and len(update.server_list.entries) <= 3, n
        snapshot_codec.decode(snapshot_codec.encode(fleet.snapshot(NOW), NAMES), NAMES)
    assert 500 < accepted < 9_000, "too few mutations pass the decoder, or too few are rejected"


@pytest.mark.parametrize(
    ("data", "reason"),
    [(b"", "the file is empty"), (b"PK\x03\x04", "does not begin with the header"),
     (b"hookport-kept 2 00000000 0\n", "format version 2"),
     (b"hookport-kept 1 00000000 9\n{}", "2 of 9 bytes"), (b"hookport-kept 1 00000000 2\n{}", "checksum"),
     (b"hookport-kept 1 %08x 2\n{}" % zlib.crc32(b"{}"), "no valid server list: KeyError")],
)  # fmt: skip
def test_each_invalid_file_is_reported_with_its_own_reason(
    data: bytes, reason: str, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    with pytest.raises(snapshot_codec.SnapshotError, match=reason):
        snapshot_codec.decode(data, NAMES)
    (tmp_path / "k").write_bytes(data)
    assert main(["kept", str(tmp_path / "k")]) == 2
    assert reason in capsys.readouterr().err


def test_a_snapshot_of_another_fleet_is_not_used() -> None:
    saved, problems = SnapshotFile("k", SimulatedDisk({"k": encoded(2)})).load(NAMES, "g")
    assert saved is None and problems == [
        "the saved server list k is not used: the file belongs to fleet 'f', this limiter to 'g'"
    ]


def test_a_save_keeps_the_previous_snapshot_and_a_failed_save_keeps_the_current_one(tmp_path: Path) -> None:
    file = SnapshotFile(str(tmp_path / "k"))
    for number in (1, 2):
        file.save(encoded(number))
    assert file.load(NAMES, "f")[0] == snapshot_codec.decode(encoded(2), NAMES)
    assert (tmp_path / "k.old").read_bytes() == encoded(1)

    class FullDisk(SimulatedDisk):
        def write(self, path: str, data: bytes) -> None:
            self.files[path] = data[:10]
            raise OSError(errno.ENOSPC, "No space left on device")

    disk = FullDisk({"k": encoded(2), "k.old": encoded(1)})
    with pytest.raises(OSError, match="No space"):
        SnapshotFile("k", disk).save(encoded(3))
    assert loaded_generation(disk) == 2


def test_the_kept_command_prints_the_snapshot_and_each_server(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = SnapshotFile(str(tmp_path / "k"))
    file.save(
        snapshot_codec.encode(
            Snapshot("f", 7, 0, snapshot(10, entry(1), entry(2, Health.DRAINING)).servers, {}), NAMES
        )
    )
    assert main(["kept", str(tmp_path / "k")]) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert rows[0]["generation"] == 7 and rows[1]["server"] == "s-1" and rows[2]["state"] == "draining"


@pytest.mark.parametrize(
    ("text", "reason"),
    [("{", "not JSON"), ('{"membreship": 1}', "unknown key membreship; did you mean membership?"),
     ('{"membership": {}}', "membership: Object missing required field `path`"),
     ('{"membership": {"path": "k", "write_s": 0}}', "membership.write_s: Expected `float` > 0"),
     ('{"membership": {"path": "k", "writes": 0}}', "membership: unknown key writes; did you mean write_s?"),
     ('{"membership": {"path": "k", "trust": [{"age_s": 1, "open_part": 1, "answers": 0, "claim": true}]}}',
      "claims"),
     ('{"membership": {"path": "k", "trust": [{"age_s": 2, "open_part": 1, "answers": 0, "claims": true},'
      '{"age_s": 1, "open_part": 1, "answers": 0, "claims": true}]}}', "membership.trust: row 1: age_s 1")],
)  # fmt: skip
def test_errors_in_the_options_name_the_file_and_the_key(text: str, reason: str) -> None:
    with pytest.raises(OptionsError) as caught:
        parse(text.encode(), "file.json")
    assert str(caught.value).startswith("file.json: ") and reason in str(caught.value)


def test_the_example_options_load_and_the_published_schema_equals_the_generated_one(
    capsys: pytest.CaptureFixture[str],
) -> None:
    example = ROOT / "deploy" / "hookport.json"
    assert main(["options", str(example)]) == 0 and "on: membership" in capsys.readouterr().out
    assert load(str(example)).membership
    assert json.loads((ROOT / "deploy" / "hookport.schema.json").read_text()) == json.loads(
        json.dumps(schema())
    )
    assert main(["options", str(ROOT / "none.json")]) == 2 and "cannot be read" in capsys.readouterr().err
