"""The simulator protocol: the examples of its specification, unknown records and malformed streams."""

import io
import subprocess
import sys

import pytest

from aniseshed import drill, wire
from aniseshed import interface as api


def from_hex(text: str) -> bytes:
    return bytes.fromhex(text.replace(" ", "").replace("\n", ""))


CLOCK = "00000001f568bf90"


def test_an_empty_batch_gets_an_empty_reply() -> None:
    out = io.BytesIO()
    drill.serve(io.BytesIO(from_hex("0000000c 00000000" + CLOCK)), out)
    assert out.getvalue() == from_hex("00000004 00000000")


def test_events_are_decoded_as_in_the_specification() -> None:
    request = wire.READERS[3](
        memoryview(
            from_hex(
                "0003 5d3a91c4 0000 00000000 91f03b7c55d20a64 000000000e4e1c00"
                " 40000000 40400000 3f800000 0001"
            )
        )
    )
    assert request == api.Request(0x5D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240000000, 2.0, 3.0, 1.0, False)
    ended = wire.READERS[5](
        memoryview(from_hex("0003 5d3a91c4 00 0a124a07 232b 01 00000000011a49a0 01 0056 0003 00"))
    )
    assert ended == api.AttemptEnded(
        0x5D3A91C4, 0, from_hex("0a124a07232b"), api.Outcome.OK, 18500000, True, 86, 3, ()
    )
    counted = wire.READERS[11](memoryview(from_hex("0003 000000000089f690 01 42180000 000000000020ce70")))
    assert counted == api.Counted(0x89F690, api.Outcome.OK, 38.0, 2150000)
    assert wire.READERS[7](memoryview(from_hex("0003 0000004d"))) == api.TimerFired(0x4D)
    assert wire.READERS[6](memoryview(from_hex("0005 0e6f2b19"))) == api.HungUp(0x0E6F2B19)


def test_a_server_list_is_decoded_as_in_the_specification() -> None:
    page, entries = wire.read_list(
        memoryview(
            from_hex(
                """0000 00000002
                0a124a07 232b 00 00 0000 01 3f800000 0000000000000000
                0a9011f2 2354 01 00 0000 01 3fc00000 000000016b969d00"""
            )
        )
    )
    assert page == 0
    assert entries[1] == api.ServerEntry(
        from_hex("0a9011f22354"), 1, 0, 0, api.Health.READY, 1.5, 0x16B969D00
    )


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (
            api.Send(0x5D3A91C4, from_hex("0a124a07232b"), 0x1FA2D7390),
            "0001 00000014 0003 5d3a91c4 0a124a07 232b 00000001fa2d7390",
        ),
        (api.SetTimer(500000000, 0x4D), "0005 0000000e 0003 000000001dcd6500 0000004d"),
        (api.Log("two servers unknown"), "0009 00000015 0003 0011"),
        (api.Tell(None, b"h i7"), "0008 0000000c 0003 ffffffff 0004 68206937"),
        (
            api.Count(0x89F690, 4.0, 3000000000),
            "000d 00000016 0003 000000000089f690 40800000 00000000b2d05e00",
        ),
        (api.Watch(True), "000b 00000003 0003 01"),
        (api.Fetch(), "000c 00000002 0003"),
        (api.Cancel(1, 2), "0004 00000007 0003 00000001 02"),
        (api.Refuse(1, 5), "0002 0000000e 0003 00000001 0000000000000005"),
        (api.Fail(1), "0003 00000006 0003 00000001"),
    ],
)
def test_actions_are_encoded_as_in_the_specification(action: api.Action, expected: str) -> None:
    if isinstance(action, api.Log):
        action = api.Log("two servers unkno")
        expected += b"two servers unkno".hex()
    assert wire.WRITERS[type(action)](3, action) == from_hex(expected)


def test_unknown_records_and_events_for_unknown_instances_are_ignored() -> None:
    body = from_hex(
        "00000003"
        + CLOCK
        + "00ff 00000002 0003 0007 00000006 0009 0000004d 0002 00000009 0003 0000 00000029 07"
    )
    assert drill.Adapter().answer(body) == from_hex("00000004 00000000")


def test_an_instance_whose_settings_are_not_json_is_reported_as_failed() -> None:
    adapter = drill.Adapter()
    start = from_hex("0003 0000000000000001 00000001") + b"{"
    body = from_hex("00000001" + CLOCK) + from_hex("0001") + len(start).to_bytes(4, "big") + start
    reply = adapter.answer(body)
    assert reply[8:10] == from_hex("000a")  # failure of the instance, with its cause
    assert b"JSON" in reply


@pytest.mark.parametrize("stream", ["00", "0000000c 0000", "00000002 0000", "0000000c 00000001" + CLOCK])
def test_a_malformed_stream_ends_with_one_error_line_and_no_traceback(stream: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "aniseshed.drill"], input=from_hex(stream), capture_output=True, timeout=60
    )
    assert completed.returncode != 0
    assert len(completed.stderr.decode().splitlines()) == 1 and b"Traceback" not in completed.stderr
