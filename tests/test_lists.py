"""Lists of servers as they may come: indented, in any pieces, and with entries that cannot be used."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
from world import instance, list_update

from aniseshed.interface import Health, ListKind
from hookport.config import NameIndex
from hookport.discovery import LONGEST_LINE, Discovery, Watch, parse_list

NAMES = NameIndex({}, {}, {"a": 0}, {"m": 0})


def read(*rows: Any) -> tuple[dict[str, Health], list[str]]:
    """What is used of a whole list, and the complaints."""
    wrong = list[str]()
    told = {"generation": 1, "reset": True, "instances": list(rows)}
    _, listed, places = parse_list(told, NAMES, ListKind.FULL, wrong.append)
    assert {entry.server for entry in listed.entries} == set(places)
    return {entry.server.decode(): entry.health for entry in listed.entries}, wrong


def watched(*pieces: bytes) -> list[bytes]:
    lines = list[bytes]()
    watch = Watch("h", 0, lines.append, lambda: None)
    for piece in pieces:
        watch.read(piece)
    return lines


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
@pytest.mark.parametrize("piece", [1, 7, 1000])
def test_a_list_may_come_indented_and_in_any_pieces(indent: int | str | None, piece: int) -> None:
    first = json.loads(list_update(1, instance('s-"{[\\', 1), instance("s-2", 2), full=True))
    second = json.loads(list_update(2, instance("s-3", 3, "DRAINING")))
    told = [json.dumps(one, indent=indent).encode() for one in (first, second)]
    sent = b"\n\n" + b"\n\n".join(told) + b"\n"
    lines = watched(*(sent[at : at + piece] for at in range(0, len(sent), piece)))
    assert [json.loads(line) for line in lines if line] == [first, second]
    assert b"" in lines, "an empty line still tells that the watch lives"


def test_what_closes_more_than_it_opens_is_told_as_it_came() -> None:
    assert watched(b"}\n", list_update(1, instance("s-1", 1)) + b"\n") == [
        b"}",
        list_update(1, instance("s-1", 1)),
    ]


def test_an_object_that_breaks_off_is_no_list() -> None:
    with pytest.raises(ValueError, match="breaks off"):
        watched(b'{"generation":\n\n')


def test_an_object_without_end_is_not_kept_for_ever() -> None:
    with pytest.raises(ValueError, match="without end"):
        watched(b"{\n", *[b'"' + b"x" * (LONGEST_LINE // 8) + b'",\n'] * 9)


@pytest.mark.parametrize(
    ("entry", "told"),
    [
        ({**instance("s-2", 2), "lifecycle": "BORED"}, "instances[1] is left out: ValueError: unknown"),
        ({**instance("s-2", 2), "hostPort": "nowhere"}, "instances[1] is left out"),
        ({**instance("s-2", 2), "startedAtMs": "soon"}, "instances[1] is left out"),
        ({"lifecycle": "SERVING"}, "instances[1] is left out: KeyError: 'instanceId'"),
        (None, "instances[1] is left out"),
    ],
)
def test_an_entry_that_cannot_be_used_is_named_and_the_rest_is_used(entry: Any, told: str) -> None:
    used, wrong = read(instance("s-1", 1), entry, instance("s-3", 3))
    assert list(used) == ["s-1", "s-3"]
    assert len(wrong) == 1 and wrong[0].startswith(told)


@pytest.mark.parametrize("weight", [0, -1, float("nan"), float("inf")])
def test_a_weight_that_is_none_counts_as_one_and_is_named(weight: float) -> None:
    used, wrong = read({**instance("s-1", 1), "weight": weight})
    assert list(used) == ["s-1"] and len(wrong) == 1 and "s-1 has weight" in wrong[0]


def test_of_two_servers_at_one_address_the_one_that_started_last_is_used() -> None:
    used, wrong = read(
        instance("s-new", 1, started_ms=2000), instance("s-old", 1, started_ms=1000), instance("s-3", 3)
    )
    assert list(used) == ["s-new", "s-3"] and len(wrong) == 1 and "s-old and s-new are both at" in wrong[0]
    used, wrong = read(instance("s-old", 1, "DRAINING"), instance("s-new", 1, started_ms=2000))
    assert used == {"s-old": Health.DRAINING, "s-new": Health.READY} and not wrong


def test_a_thousand_servers_are_read_whole() -> None:
    used, wrong = read(*(instance(f"s-{n}", 1 + n) for n in random.Random(1).sample(range(60_000), 1024)))
    assert len(used) == 1024 and not wrong


@pytest.mark.parametrize("told", [None, [], {}, {"generation": 1, "reset": True, "instances": {"a": 1}}])
def test_what_is_no_list_is_an_error(told: Any) -> None:
    with pytest.raises(ValueError, match="no list of servers"):
        parse_list(told, NAMES, ListKind.FULL)


def test_what_is_wrong_with_an_entry_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = Discovery(loop, ("127.0.0.1", 1), NAMES, lambda *_: None, 1.0, False)
        for generation in range(3):
            discovery.line(list_update(generation, {**instance("s-1", 1), "lifecycle": "BORED"}, full=True))
        discovery.close()

    asyncio.run(scenario())
    assert len(caplog.messages) == 1 and "instances[0] is left out" in caplog.messages[0]
