"""Plans and draws: bad ones are told in one line, the same seed gives the same evening."""

import re
from pathlib import Path

import pytest

from hookport.rehearsal import command, draw
from hookport.rehearsal import plan as plans

GOOD = """
title = "a test"
length_s = 10.0
[[desk]]
name = "one"
plan = "basic"
customers = 3
"""

# What is added to a good plan or replaced in it, and what the one line must name.
# ruff: noqa: E501 - one case a line
BROKEN = [
    ("title = ", "titel = ", "titel: unknown key; did you mean title"),
    ('title = "a test"', "", "title: is missing"),
    ("length_s = 10.0", "length_s = -1.0", "length_s: Expected `float` >= 2"),
    ("length_s = 10.0", 'length_s = "long"', "length_s: Expected `float`"),
    ("length_s = 10.0", "length_s = 10.0 s", "not TOML"),
    ("customers = 3", "customers = 0", "desk[0].customers: Expected `int` >= 1"),
    ("customers = 3", "customers = 2.5", "desk[0].customers: Expected `int`"),
    ('plan = "basic"', 'plan = "gold"', "desk[0].plan: no plan 'gold'; there is basic"),
    ('name = "one"', 'name = "One Two"', "desk[0].name"),
    ("customers = 3", "customers = 3\nspread = 4", "desk[0].spread: 4 is more than the 3 limiters"),
    ("customers = 3", "customers = 3\nfirst = 3", "desk[0].first: there is no limiter 3"),
    ("customers = 3", "customers = 3\nunits = [3, 2]", "desk[0].units: the range runs from 3 down to 2"),
    ("customers = 3", "customers = 3\nunits = [1, 9]", "desk[0].units: 9 never fits the burst of 4"),
    ("customers = 3", 'customers = 3\nmood = "angry"', "desk[0].mood: Invalid enum value 'angry'"),
    ("customers = 3", "customers = 100000\nusage = 9", "desk: they ask"),
    ("customers = 3", "customers = 3\nshift_at_s = 20", "desk[0].shift_at_s: is past the end at 10 s"),
    ("[[desk]]", "[fleet]\nservers = 0\n[[desk]]", "fleet.servers: Expected `int` >= 1"),
    ("[[desk]]", "[fleet]\nservesr = 3\n[[desk]]", "fleet.servesr: unknown key; did you mean servers"),
    ("[[desk]]", "[fleet]\nspeed = [2.0, 1.0]\n[[desk]]", "fleet.speed: the range runs from 2 down to 1"),
    ("[[desk]]", '[fleet]\ncancel = "some"\n[[desk]]', "fleet.cancel: Invalid enum value 'some'"),
    ("[[desk]]", "[judge]\nwhole = 0.9\n[[desk]]", "judge.whole: whole, worst_window and worst_plan"),
    ("[[desk]]", '[[fault]]\ndo = "explode"\nat_s = 1\n[[desk]]', "fault[0].do: Invalid value 'explode'; one of kill"),
    ("[[desk]]", '[[fault]]\nat_s = 1\n[[desk]]', "fault[0].do: is missing"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nshare = 0.2\n[[desk]]', "fault[0].at_s: a fault begins either"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nat_s = 1\nservers = [10]\n[[desk]]', "fault[0].servers: there is no server 10"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nat_s = 1\n[[desk]]', "fault[0].servers: name servers"),
    ("[[desk]]", '[[fault]]\ndo = "kill"\nat_s = 11\nshare = 0.1\n[[desk]]', "fault[0].at_s: 11 is past the end"),
    ("[[desk]]", '[[fault]]\ndo = "limiter"\nat_s = 1\nlimiter = 3\nsignal = "TERM"\n[[desk]]', "there is no limiter 3"),
    ("[[desk]]", '[[fault]]\ndo = "link"\nat_s = 1\nlimiter = 0\nto = "server"\nmode = "reset"\n[[desk]]',
     "fault[0].server: name one of the servers 0 to 9"),
    ("[[desk]]", '[counter]\npresent = false\n[[fault]]\ndo = "counter"\nat_s = 1\nmode = "late"\n[[desk]]',
     "fault[0].do: there is no counter"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "split"\nsides = [[0], [1]]\n[[desk]]',
     "fault[0].sides: each of the limiters 0 to 2 is on one side, named once"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "split"\nsides = [[0], [1], [2]]\n[[desk]]',
     "fault[0].sides: a counter splits in two halves, not 3"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "late"\nflaps = [1]\n[[desk]]', "fault[0].mode: sides and flaps are of a split"),
    ("[[desk]]", '[[fault]]\ndo = "counter"\nat_s = 1\nmode = "split"\nflaps = [3]\n[[desk]]', "fault[0].flaps: there is no limiter 3"),
    ("[[desk]]", '[[fault]]\ndo = "peers"\nat_s = 1\n[[desk]]', "fault[0].do: limiters send no datagrams"),
    ("[[desk]]", '[[desk]]\nname = "one"\nplan = "basic"\ncustomers = 1\n[[desk]]', "desk[1].name: 'one' stands twice"),
    ("[[desk]]", '[[classes]]\nname = "q"\naim_ms = 9\ndeadline_ms = 8\n[[desk]]', "classes[0].aim_ms: 9 is past"),
]  # fmt: skip


@pytest.mark.parametrize(("old", "new", "told"), BROKEN)
def test_a_broken_plan_is_one_line_with_file_key_and_mend(
    old: str, new: str, told: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert old in GOOD
    path = tmp_path / "broken.toml"
    path.write_text(GOOD.replace(old, new, 1))
    assert command.main([str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and f"{path}: " in lines[0] and told in lines[0]


@pytest.mark.parametrize(
    ("arguments", "told"),
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
def test_bad_words_are_one_line(arguments: list[str], told: str, capsys: pytest.CaptureFixture[str]) -> None:
    try:
        status = command.main(arguments)
    except SystemExit as end:
        status = int(str(end.code))
    lines = capsys.readouterr().err.splitlines()
    assert status == 2 and len(lines) == 1 and told in lines[0]


def test_bytes_that_are_no_text_are_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "binary.toml"
    path.write_bytes(b'title = "\xff"')
    assert command.main([str(path)]) == 2
    assert "not UTF-8" in capsys.readouterr().err


@pytest.mark.parametrize("name", plans.bundled_names())
def test_bundled_plans_are_good_and_scale(name: str) -> None:
    plan = plans.load(name)
    short = plans.scaled(plan, 5.0)
    assert short.length_s == 5.0 and len(short.fault) == len(plan.fault)
    assert all(fault.at_s is None or fault.at_s < 5.0 for fault in short.fault)


def test_the_same_seed_gives_the_same_requests_byte_for_byte() -> None:
    plan = plans.scaled(plans.load("evening"), 5.0)
    one, two, other = (draw.arrivals(plan, seed) for seed in (3, 3, 4))
    assert one == two and draw.digest(one) == draw.digest(two) != draw.digest(other)
    assert [a.at_ns for a in one] == sorted(a.at_ns for a in one)
    assert draw.digest(one) == "6cf5a12b77986144"  # on any machine and any Python


def test_ids_are_told_apart_and_read_back() -> None:
    ids = {draw.request_id(seed, n, k) for seed in (1, 2) for n in range(300) for k in range(3)}
    assert len(ids) == 1800 and all(re.fullmatch("[0-9a-f]{16}", id) for id in ids)
    assert draw.decode_request_id(7, draw.request_id(7, 123_456, 2)) == (123_456, 2)
    assert draw.decode_request_id(7, draw.request_id(8, 5, 0)) is None
    assert draw.decode_request_id(7, "no hex") is None


def test_work_has_the_mean_and_spread_of_the_plan() -> None:
    plan = plans.load("calm")
    told = [draw.work_ms(plan, 1, 0, 1, n) for n in range(4000)]
    mean = sum(told) / len(told)
    spread = (sum((x - mean) ** 2 for x in told) / len(told)) ** 0.5
    assert abs(mean - 40) < 2 and abs(spread / mean - 0.6) < 0.1


def test_a_desk_shifts_and_its_customers_stay_the_same() -> None:
    told = GOOD.replace("customers = 3", "customers = 3\nfirst = 0\nshift_at_s = 5.0\nusage = 5")
    arrivals = draw.arrivals(plans.parse(told, "t"), 1)
    before = {a.first for a in arrivals if a.at_ns < 5e9}
    after = {a.first for a in arrivals if a.at_ns >= 5e9}
    assert (before, after) == ({0}, {1})
    assert len({a.customer for a in arrivals}) == 3


def test_a_share_of_the_servers_is_drawn_once_and_overlaps_only_if_it_must() -> None:
    plan = plans.load("evening")
    killed, slow = draw.fault_targets(plan, 1, 0, (), 0.2), draw.fault_targets(plan, 1, 1, (), 0.2)
    assert killed == draw.fault_targets(plan, 1, 0, (), 0.2)
    assert len(killed) == len(slow) == 2 and not set(killed) & set(slow)
