"""Plans and draws: an invalid plan gives a one-line error, and the same seed gives the same requests."""

import re
from pathlib import Path

import pytest

from hookport.rehearsal import command, draw
from hookport.rehearsal import plan as plans

VALID = """
title = "a test"
length_s = 10.0
[[desk]]
name = "one"
plan = "basic"
customers = 3
"""

# A text of the valid plan, the text that replaces it, and what the error line must contain.
# ruff: noqa: E501 - one case per line
INVALID = [
    ("title = ", "titel = ", "titel: unknown key; did you mean title"),
    ('title = "a test"', "", "title: is missing"),
    ("length_s = 10.0", "length_s = -1.0", "length_s: Expected `float` >= 2"),
    ("length_s = 10.0", 'length_s = "long"', "length_s: Expected `float`"),
    ("length_s = 10.0", "length_s = 10.0 s", "not valid TOML"),
    ("customers = 3", "customers = 0", "desk[0].customers: Expected `int` >= 1"),
    ("customers = 3", "customers = 2.5", "desk[0].customers: Expected `int`"),
    ('plan = "basic"', 'plan = "gold"', "desk[0].plan: no plan 'gold'; must be one of basic"),
    ('name = "one"', 'name = "One Two"', "desk[0].name"),
    ("customers = 3", "customers = 3\nspread = 4", "desk[0].spread: 4 is more than the 3 limiters"),
    ("customers = 3", "customers = 3\nfirst = 3", "desk[0].first: there is no limiter 3"),
    ("customers = 3", "customers = 3\nunits = [3, 2]", "desk[0].units: the range runs from 3 down to 2"),
    ("customers = 3", "customers = 3\nunits = [1, 9]", "desk[0].units: 9 is more than the burst of 4"),
    ("customers = 3", 'customers = 3\nmood = "angry"', "desk[0].mood: Invalid enum value 'angry'"),
    ("customers = 3", "customers = 100000\nusage = 9", "desk: all desks send "),
    ("customers = 3", "customers = 3\nshift_at_s = 20", "desk[0].shift_at_s: is past the end of the plan at 10 s"),
    ("[[desk]]", "[fleet]\nservers = 0\n[[desk]]", "fleet.servers: Expected `int` >= 1"),
    ("[[desk]]", "[fleet]\nservesr = 3\n[[desk]]", "fleet.servesr: unknown key; did you mean servers"),
    ("[[desk]]", "[fleet]\nspeed = [2.0, 1.0]\n[[desk]]", "fleet.speed: the range runs from 2 down to 1"),
    ("[[desk]]", '[fleet]\ncancel = "some"\n[[desk]]', "fleet.cancel: Invalid enum value 'some'"),
    ("[[desk]]", "[judge]\nwhole = 0.9\n[[desk]]", "judge.whole: whole, worst_window and worst_plan"),
    ("[[desk]]", '[[fault]]\ndo = "explode"\nat_s = 1\n[[desk]]', "fault[0].do: Invalid value 'explode'; must be one of kill"),
    ("[[desk]]", '[[fault]]\nat_s = 1\n[[desk]]', "fault[0].do: is missing"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nshare = 0.2\n[[desk]]', "fault[0].at_s: a fault needs exactly one of at_s and when"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nat_s = 1\nservers = [10]\n[[desk]]', "fault[0].servers: there is no server 10"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nat_s = 1\n[[desk]]', "fault[0].servers: exactly one of servers = [...] and share"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nat_s = 11\nshare = 0.1\n[[desk]]', "fault[0].at_s: 11 is past the end"),
    ("[[desk]]", '[[fault]]\ndo = "limiter"\nat_s = 1\nlimiter = 3\nsignal = "TERM"\n[[desk]]', "there is no limiter 3"),
    ("[[desk]]", '[[fault]]\ndo = "link"\nat_s = 1\nlimiter = 0\nto = "server"\nmode = "reset"\n[[desk]]',
     "fault[0].server: must be one of the servers 0 to 9"),
    ("[[desk]]", '[counter]\npresent = false\n[[fault]]\ndo = "counter"\nat_s = 1\nmode = "late"\n[[desk]]',
     "fault[0].do: the plan has no counter"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "split"\nsides = [[0], [1]]\n[[desk]]',
     "fault[0].sides: each of the limiters 0 to 2 must be on exactly one side"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "split"\nsides = [[0], [1], [2]]\n[[desk]]',
     "fault[0].sides: a counter splits into two halves, not 3"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "late"\nflaps = [1]\n[[desk]]', "fault[0].mode: only a split has sides and flaps"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "split"\nflaps = [3]\n[[desk]]', "fault[0].flaps: there is no limiter 3"),
    ("[[desk]]", '[[fault]]\ndo = "peers"\nat_s = 1\n[[desk]]', "fault[0].do: limiters send no datagrams"),
    ("[[desk]]", '[[desk]]\nname = "one"\nplan = "basic"\ncustomers = 1\n[[desk]]', "desk[1].name: duplicate name 'one'"),
    ("[[desk]]", '[[classes]]\nname = "q"\naim_ms = 9\ndeadline_ms = 8\n[[desk]]', "classes[0].aim_ms: 9 is past"),
]  # fmt: skip


@pytest.mark.parametrize(("old", "new", "message"), INVALID)
def test_an_invalid_plan_gives_one_line_with_file_key_and_what_is_allowed(
    old: str, new: str, message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert old in VALID
    path = tmp_path / "broken.toml"
    path.write_text(VALID.replace(old, new, 1))
    assert command.main([str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and f"{path}: " in lines[0] and message in lines[0]


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ([], "name a plan"),
        (["evenin"], "did you mean evening"),
        (["calm", "--seed", "x"], "not a whole number"),
        (["calm", "--length", "1"], "not a length"),
        (["calm", "dark"], "one plan at a time"),
        (["calm", "--json", "/nowhere/at/all.json"], "cannot be written"),
        (["calm", "--limiter", "no-such-program"], "there is no program"),
        (["calm", "--limiter", "an 'open quote"], "close the quote"),
        (["calm", "--against", "other.toml"], "no such plan"),
        (["mutants", "--only", "kind-one"], "no mutant 'kind-one'"),
        (["judge"], "name one history"),
    ],
)
def test_invalid_arguments_give_one_line(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        status = command.main(arguments)
    except SystemExit as end:
        status = int(str(end.code))
    lines = capsys.readouterr().err.splitlines()
    assert status == 2 and len(lines) == 1 and message in lines[0]


def test_a_plan_file_that_is_not_utf8_is_rejected(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "binary.toml"
    path.write_bytes(b'title = "\xff"')
    assert command.main([str(path)]) == 2
    assert "not valid UTF-8" in capsys.readouterr().err


@pytest.mark.parametrize("name", plans.bundled_names())
def test_bundled_plans_are_valid_and_can_be_scaled(name: str) -> None:
    plan = plans.load(name)
    short = plans.scaled(plan, 5.0)
    assert short.length_s == 5.0 and len(short.fault) == len(plan.fault)
    assert all(fault.at_s is None or fault.at_s < 5.0 for fault in short.fault)


def test_the_same_seed_gives_the_same_requests_byte_for_byte() -> None:
    plan = plans.scaled(plans.load("evening"), 5.0)
    first, second, other = (draw.arrivals(plan, seed) for seed in (3, 3, 4))
    assert first == second and draw.digest(first) == draw.digest(second) != draw.digest(other)
    assert [a.at_ns for a in first] == sorted(a.at_ns for a in first)
    assert draw.digest(first) == "6cf5a12b77986144"  # on any machine and any Python


def test_request_ids_are_distinct_and_can_be_decoded() -> None:
    ids = {draw.request_id(seed, n, k) for seed in (1, 2) for n in range(300) for k in range(3)}
    assert len(ids) == 1800 and all(re.fullmatch("[0-9a-f]{16}", id) for id in ids)
    assert draw.decode_request_id(7, draw.request_id(7, 123_456, 2)) == (123_456, 2)
    assert draw.decode_request_id(7, draw.request_id(8, 5, 0)) is None
    assert draw.decode_request_id(7, "no hex") is None


def test_work_has_the_mean_and_spread_of_the_plan() -> None:
    plan = plans.load("calm")
    samples = [draw.work_ms(plan, 1, 0, 1, n) for n in range(4000)]
    mean = sum(samples) / len(samples)
    deviation = (sum((x - mean) ** 2 for x in samples) / len(samples)) ** 0.5
    assert abs(mean - 40) < 2 and abs(deviation / mean - 0.6) < 0.1


def test_a_desk_changes_limiters_and_its_customers_stay_the_same() -> None:
    text = VALID.replace("customers = 3", "customers = 3\nfirst = 0\nshift_at_s = 5.0\nusage = 5")
    arrivals = draw.arrivals(plans.parse(text, "t"), 1)
    before = {a.first for a in arrivals if a.at_ns < 5e9}
    after = {a.first for a in arrivals if a.at_ns >= 5e9}
    assert (before, after) == ({0}, {1})
    assert len({a.customer for a in arrivals}) == 3


def test_two_faults_with_a_share_of_the_servers_hit_different_servers_while_there_are_enough() -> None:
    plan = plans.load("evening")
    killed, slow = draw.fault_targets(plan, 1, 0, (), 0.2), draw.fault_targets(plan, 1, 1, (), 0.2)
    assert killed == draw.fault_targets(plan, 1, 0, (), 0.2)
    assert len(killed) == len(slow) == 2 and not set(killed) & set(slow)
