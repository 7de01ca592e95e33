"""The kept list on disk: cut at every byte of every step, damaged in every way, and disks that fail."""

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
from test_beliefs import NOW, entry, kept

from aniseshed.interface import Health, ListKind, ServerList
from hookport.cli import main
from hookport.config import Names
from hookport.membership import snapshot_codec as form
from hookport.membership.curve import SECOND_NS, TrustCurve
from hookport.membership.fleet import FleetView, Gone, Snapshot
from hookport.membership.snapshot_file import File
from hookport.options import OptionsError, load, parse, schema

NAMES = Names({}, {}, {"": 0}, {"": 0})
ROOT = Path(__file__).parent.parent


class CutError(Exception):
    """The power is gone."""


class Memory:
    """A disk that is cut after so many steps: a byte written, a rename, a sync of the folder.

    What a rename changed and no sync of the folder has made sure of is there after a cut or not, each by
    itself: ``states`` are all the folders that may be found."""

    def __init__(self, files: dict[str, bytes], steps: int = 1 << 30) -> None:
        self.files, self.steps = dict(files), steps
        self.sure, self.moved = dict(files), list[tuple[str, str, bytes]]()

    def step(self) -> None:
        self.steps -= 1
        if self.steps < 0:
            raise CutError

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
        self.moved.append((path, to, self.files[path]))
        self.files[to] = self.files.pop(path)

    def sync_folder(self, path: str) -> None:
        self.step()
        self.sure, self.moved = dict(self.files), []

    def states(self) -> Iterator[dict[str, bytes]]:
        for chosen in itertools.product((False, True), repeat=len(self.moved)):
            folder = dict(self.sure)
            for (path, to, data), kept_it in zip(self.moved, chosen, strict=True):
                if kept_it:
                    folder[to] = data
                    folder.pop(path, None)
            yield folder


def written(generation: int, servers: int = 3) -> bytes:
    return form.write(kept(10, *(entry(n) for n in range(servers)), generation=generation), NAMES)


def generation(disk: Memory) -> int | None:
    told, _ = File("k", disk).load(NAMES, "f")
    return told.generation if told else None


def test_a_list_comes_back_as_it_was_written() -> None:
    gone = {b"s-9": Gone(NOW, 39, 5)}
    told = kept(10, entry(1, Health.DRAINING, 7_000_000), entry(2), gone=gone)
    assert form.read(form.write(told, NAMES), NAMES) == told


def test_after_a_cut_at_every_step_the_old_list_or_the_new_one_is_there() -> None:
    before, steps, seen = Memory({}), 0, set()
    for number in (1, 2):
        File("k", before).save(written(number))
    while True:
        disk = Memory(before.files, steps)
        try:
            File("k", disk).save(written(3))
        except CutError:
            for folder in disk.states():
                after = Memory(folder)
                seen.add(generation(after))
                File("k", after).save(written(4))  # what the cut left lying about is in nobody's way
                assert generation(after) == 4
            steps += 1
            continue
        break
    assert generation(disk) == 3 and seen == {2, 3} and steps > len(written(3))


def test_a_list_is_synced_before_it_takes_its_place_and_the_folder_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    done, sync, move = list[str](), os.fsync, os.replace

    def synced(number: int) -> None:
        sync(number)
        done.append("folder" if stat.S_ISDIR(os.fstat(number).st_mode) else "file")

    def moved(path: str, to: str) -> None:
        move(path, to)
        done.append(os.path.basename(to))

    monkeypatch.setattr(os, "fsync", synced)
    monkeypatch.setattr(os, "replace", moved)
    for number in (1, 2):
        File(str(tmp_path / "k")).save(written(number))
    assert done == ["file", "k", "folder", "file", "k.old", "k", "folder"]


def test_every_shorter_and_every_damaged_file_is_told_and_the_one_before_is_used() -> None:
    good, old = written(2), written(1)
    for at in range(len(good)):
        for data in (good[:at], good[:at] + bytes([good[at] ^ 0x10]) + good[at + 1 :]):
            told, wrong = File("k", Memory({"k": data, "k.old": old})).load(NAMES, "f")
            assert told and told.generation == 1 and len(wrong) == 1 and "k is not used: it" in wrong[0]


def test_ten_thousand_mutated_lists_are_turned_away_or_harmless() -> None:
    """Mutated behind the checksum too, as a program with a fault would have written them."""
    chance, body = random.Random(7), written(2).split(b"\n", 1)[1]
    taken = 0
    for n in range(10_000):
        data = bytearray(body)
        for _ in range(chance.randint(1, 4)):
            at = chance.randrange(len(data))
            data[at : at + chance.randint(0, 3)] = bytes(
                chance.choices(b'0123456789-"{}[],:.eaxN\\', k=chance.randint(0, 3))
            )
        head = b"hookport-kept 1 %08x %d\n" % (zlib.crc32(data), len(data))
        try:
            told = form.read(head + bytes(data), NAMES)
        except form.KeptError:
            continue
        taken += 1
        fleet = FleetView("f", 0, 1, TrustCurve(), 14 * 86_400 * SECOND_NS)
        update = fleet.start(NOW, told, ServerList(ListKind.CACHED, ()), {})
        assert update.server_list and len(update.server_list.entries) <= 3, n
        form.read(form.write(fleet.kept(NOW), NAMES), NAMES)
    assert 500 < taken < 9_000, "the mutations reach past the parser, and are not all harmless"


@pytest.mark.parametrize(
    ("data", "why"),
    [(b"", "it is empty"), (b"PK\x03\x04", "does not begin"), (b"hookport-kept 2 00000000 0\n", "version 2"),
     (b"hookport-kept 1 00000000 9\n{}", "2 of 9 bytes"), (b"hookport-kept 1 00000000 2\n{}", "checksum"),
     (b"hookport-kept 1 %08x 2\n{}" % zlib.crc32(b"{}"), "no list of servers: KeyError")],
)  # fmt: skip
def test_each_wrong_file_is_told_by_its_own_words(data: bytes, why: str, capsys: pytest.CaptureFixture[str],
                                                  tmp_path: Path) -> None:  # fmt: skip
    with pytest.raises(form.KeptError, match=why):
        form.read(data, NAMES)
    (tmp_path / "k").write_bytes(data)
    assert main(["kept", str(tmp_path / "k")]) == 2
    assert why in capsys.readouterr().err


def test_a_list_of_another_fleet_is_not_taken() -> None:
    told, wrong = File("k", Memory({"k": written(2)})).load(NAMES, "g")
    assert told is None and wrong == ["the kept list k is not used: it is of the fleet 'f', this is 'g'"]


def test_a_real_disk_keeps_the_list_before_and_one_that_fails_keeps_what_it_had(tmp_path: Path) -> None:
    file = File(str(tmp_path / "k"))
    for number in (1, 2):
        file.save(written(number))
    assert file.load(NAMES, "f")[0] == form.read(written(2), NAMES)
    assert (tmp_path / "k.old").read_bytes() == written(1)

    class Full(Memory):
        def write(self, path: str, data: bytes) -> None:
            self.files[path] = data[:10]
            raise OSError(errno.ENOSPC, "No space left on device")

    disk = Full({"k": written(2), "k.old": written(1)})
    with pytest.raises(OSError, match="No space"):
        File("k", disk).save(written(3))
    assert generation(disk) == 2


def test_the_command_shows_who_would_be_trusted_how_far(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = File(str(tmp_path / "k"))
    file.save(
        form.write(Snapshot("f", 7, 0, kept(10, entry(1), entry(2, Health.DRAINING)).servers, {}), NAMES)
    )
    assert main(["kept", str(tmp_path / "k")]) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert rows[0]["generation"] == 7 and rows[1]["server"] == "s-1" and rows[2]["state"] == "draining"


@pytest.mark.parametrize(
    ("text", "why"),
    [("{", "not JSON"), ('{"membreship": 1}', "unknown key membreship; did you mean membership?"),
     ('{"membership": {}}', "membership: Object missing required field `path`"),
     ('{"membership": {"path": "k", "write_s": 0}}', "membership.write_s: Expected `float` > 0"),
     ('{"membership": {"path": "k", "writes": 0}}', "membership: unknown key writes; did you mean write_s?"),
     ('{"membership": {"path": "k", "trust": [{"age_s": 1, "open_part": 1, "answers": 0, "claim": true}]}}',
      "claims"),
     ('{"membership": {"path": "k", "trust": [{"age_s": 2, "open_part": 1, "answers": 0, "claims": true},'
      '{"age_s": 1, "open_part": 1, "answers": 0, "claims": true}]}}', "membership.trust: row 1: age_s 1")],
)  # fmt: skip
def test_wrong_options_are_told_with_their_place(text: str, why: str) -> None:
    with pytest.raises(OptionsError) as told:
        parse(text.encode(), "file.json")
    assert str(told.value).startswith("file.json: ") and why in str(told.value)


def test_the_example_is_sound_and_the_published_schema_is_that_of_the_code(
    capsys: pytest.CaptureFixture[str],
) -> None:
    example = ROOT / "deploy" / "hookport.json"
    assert main(["options", str(example)]) == 0 and "on: membership" in capsys.readouterr().out
    assert load(str(example)).membership
    assert json.loads((ROOT / "deploy" / "hookport.schema.json").read_text()) == json.loads(
        json.dumps(schema())
    )
    assert main(["options", str(ROOT / "none.json")]) == 2 and "cannot be read" in capsys.readouterr().err
