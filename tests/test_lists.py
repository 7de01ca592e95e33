"""Parsing of server lists: indented JSON, data split at any point, and unusable entries."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
from world import instance, list_update

from aniseshed.interface import Health, ListKind
from hookport.config import NameIndex
from hookport.discovery import MAX_LINE_BYTES, Discovery, Watch, parse_list

NAMES = NameIndex({}, {}, {"a": 0}, {"m": 0})


def parse_instances(*instances: Any) -> tuple[dict[str, Health], list[str]]:
    """Parse a full list; returns the health of the servers in it and the warnings."""
    warnings = list[str]()
    document = {"generation": 1, "reset": True, "instances": list(instances)}
    _, server_list, addresses = parse_list(document, NAMES, ListKind.FULL, warnings.append)
    assert {entry.server for entry in server_list.entries} == set(addresses)
    return {entry.server.decode(): entry.health for entry in server_list.entries}, warnings


def lines_from(*pieces: bytes) -> list[bytes]:
    lines = list[bytes]()
    watch = Watch("h", 0, lines.append, lambda: None)
    for piece in pieces:
        watch.feed(piece)
    return lines


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
@pytest.mark.parametrize("piece", [1, 7, 1000])
def test_indented_objects_split_at_any_point_are_put_together(indent: int | str | None, piece: int) -> None:
    first = json.loads(list_update(1, instance('s-"{[\\', 1), instance("s-2", 2), full=True))
    second = json.loads(list_update(2, instance("s-3", 3, "DRAINING")))
    encoded = [json.dumps(document, indent=indent).encode() for document in (first, second)]
    data = b"\n\n" + b"\n\n".join(encoded) + b"\n"
    lines = lines_from(*(data[at : at + piece] for at in range(0, len(data), piece)))
    assert [json.loads(line) for line in lines if line] == [first, second]
    assert b"" in lines, "an empty line is passed on: it shows that the watch is alive"


def test_a_line_with_too_many_closing_brackets_is_passed_on_and_does_not_affect_the_next() -> None:
    assert lines_from(b"}\n", list_update(1, instance("s-1", 1)) + b"\n") == [
        b"}",
        list_update(1, instance("s-1", 1)),
    ]


def test_an_object_interrupted_by_an_empty_line_is_an_error() -> None:
    with pytest.raises(ValueError, match="incomplete JSON object"):
        lines_from(b'{"generation":\n\n')


def test_an_object_that_is_never_complete_is_an_error_at_the_maximum_size() -> None:
    with pytest.raises(ValueError, match="exceeds the maximum size"):
        lines_from(b"{\n", *[b'"' + b"x" * (MAX_LINE_BYTES // 8) + b'",\n'] * 9)


@pytest.mark.parametrize(
    ("entry", "warning"),
    [
        ({**instance("s-2", 2), "lifecycle": "BORED"}, "instances[1] is left out: ValueError: unknown"),
        ({**instance("s-2", 2), "hostPort": "nowhere"}, "instances[1] is left out"),
        ({**instance("s-2", 2), "startedAtMs": "soon"}, "instances[1] is left out"),
        ({"lifecycle": "SERVING"}, "instances[1] is left out: KeyError: 'instanceId'"),
        (None, "instances[1] is left out"),
    ],
)
def test_an_unusable_entry_is_skipped_with_a_warning_and_the_others_are_used(
    entry: Any, warning: str
) -> None:
    servers, warnings = parse_instances(instance("s-1", 1), entry, instance("s-3", 3))
    assert list(servers) == ["s-1", "s-3"]
    assert len(warnings) == 1 and warnings[0].startswith(warning)


@pytest.mark.parametrize("weight", [0, -1, float("nan"), float("inf")])
def test_a_weight_that_is_not_positive_and_finite_is_replaced_by_one_with_a_warning(weight: float) -> None:
    servers, warnings = parse_instances({**instance("s-1", 1), "weight": weight})
    assert list(servers) == ["s-1"] and len(warnings) == 1 and "s-1 has weight" in warnings[0]


def test_of_two_ready_servers_at_one_address_the_one_that_started_last_is_used() -> None:
    servers, warnings = parse_instances(
        instance("s-new", 1, started_ms=2000), instance("s-old", 1, started_ms=1000), instance("s-3", 3)
    )
    assert (
        list(servers) == ["s-new", "s-3"]
        and len(warnings) == 1
        and "s-old and s-new are both at" in warnings[0]
    )
    servers, warnings = parse_instances(
        instance("s-old", 1, "DRAINING"), instance("s-new", 1, started_ms=2000)
    )
    assert servers == {"s-old": Health.DRAINING, "s-new": Health.READY} and not warnings


def test_a_thousand_servers_are_parsed_without_warnings() -> None:
    servers, warnings = parse_instances(
        *(instance(f"s-{n}", 1 + n) for n in random.Random(1).sample(range(60_000), 1024))
    )
    assert len(servers) == 1024 and not warnings


@pytest.mark.parametrize("document", [None, [], {}, {"generation": 1, "reset": True, "instances": {"a": 1}}])
def test_a_document_that_is_not_a_list_is_an_error(document: Any) -> None:
    with pytest.raises(ValueError, match="not a server list"):
        parse_list(document, NAMES, ListKind.FULL)


def test_a_problem_with_an_entry_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Each full list repeats an unusable entry, which would fill the log."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = Discovery(loop, ("127.0.0.1", 1), NAMES, lambda *_: None, 1.0, False)
        for generation in range(3):
            discovery.on_line(
                list_update(generation, {**instance("s-1", 1), "lifecycle": "BORED"}, full=True)
            )
        discovery.close()

    asyncio.run(scenario())
    assert len(caplog.messages) == 1 and "instances[0] is left out" in caplog.messages[0]
