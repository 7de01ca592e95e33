"""Shrinks a failing plan to a smaller one that still fails in the same way.

This is delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", IEEE TSE
28(2), 2002) on the plan's table: lists lose halves, quarters, single items; tables and keys are removed, so
that defaults apply; numbers of servers, customers and limiters are reduced; the run is shortened. Invalid
candidates are skipped, so this module needs to know no dependencies between keys. Nor does it run plans: the
caller tests the candidates, several at a time.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator, Sequence
from typing import Any

Table = dict[str, Any]
FailureTest = Callable[[Sequence[Table]], Sequence[bool]]  # for each candidate: whether it still fails
LIST_KEYS = ("fault", "desk", "arrivals.burst")
TABLE_KEYS = ("fleet", "counter", "peers", "discovery", "clients", "arrivals", "limiters")
COUNT_KEYS = (("fleet", "servers"), ("fleet", "cores"), ("limiters", "count"), ("counter", "parts"))
DURATION_KEYS = ("for_s", "back_s", "len_s")
SHORTER_LENGTH_SHARES = (0.35, 0.5, 0.7, 0.85)  # new lengths to try, as shares of the current one
MIN_LENGTH_S = 2.0


def get_list(table: Table, key_path: str) -> list[Any]:
    for key in key_path.split("."):
        table = table.get(key, {})
    return table if isinstance(table, list) else []


def with_list(table: Table, key_path: str, items: list[Any]) -> Table:
    result = copy.deepcopy(table)
    *parents, last = key_path.split(".")
    inner = result
    for key in parents:
        inner = inner[key]
    inner[last] = items
    return result


def without_items(table: Table) -> Iterator[Table]:
    """Remove half of each list, then a quarter, down to single items."""
    for key_path in LIST_KEYS:
        items = get_list(table, key_path)
        size = len(items)
        while size >= 1:
            for start in range(0, len(items), size):
                yield with_list(table, key_path, items[:start] + items[start + size :])
            size //= 2


def without_settings(table: Table) -> Iterator[Table]:
    """Remove whole tables, then single keys, so that the plan's defaults apply."""
    for name in TABLE_KEYS:
        if name in table:
            yield {key: value for key, value in table.items() if key != name}
            for inner in table[name]:
                if len(table[name]) > 1:
                    yield table | {name: {key: value for key, value in table[name].items() if key != inner}}
    for key_path in ("desk", "fault"):
        for n, item in enumerate(get_list(table, key_path)):
            for key in item:
                reduced = {k: v for k, v in item.items() if k != key}
                yield with_list(table, key_path, [*table[key_path][:n], reduced, *table[key_path][n + 1 :]])


def with_smaller_numbers(table: Table) -> Iterator[Table]:
    """Halve numbers and durations, or reduce numbers by one."""
    for name, key in COUNT_KEYS:
        value = table.get(name, {}).get(key)
        for smaller in {value // 2, value - 1} if isinstance(value, int) else ():
            if smaller >= 1:
                yield table | {name: table[name] | {key: smaller}}
    for n, desk in enumerate(table["desk"]):
        for smaller in (desk["customers"] // 4, desk["customers"] // 2, desk["customers"] - 1):
            if 1 <= smaller < desk["customers"]:
                yield with_list(
                    table,
                    "desk",
                    [*table["desk"][:n], desk | {"customers": smaller}, *table["desk"][n + 1 :]],
                )
    for n, fault in enumerate(get_list(table, "fault")):
        for key in DURATION_KEYS:
            if fault.get(key, 0) > 0.2:
                reduced = fault | {key: round(fault[key] / 2, 2)}
                yield with_list(table, "fault", [*table["fault"][:n], reduced, *table["fault"][n + 1 :]])


def with_shorter_length(table: Table) -> Iterator[Table]:
    """Shorten the run and remove what would begin after its new end; no other time changes."""
    for share in SHORTER_LENGTH_SHARES:
        length_s = round(table["length_s"] * share, 1)
        if length_s < MIN_LENGTH_S:
            continue
        shorter = copy.deepcopy(table) | {"length_s": length_s}
        shorter["fault"] = [f for f in get_list(table, "fault") if (f.get("at_s") or 0.0) < length_s]
        shorter["desk"] = [
            {k: v for k, v in desk.items() if k != "shift_at_s" or v < length_s} for desk in table["desk"]
        ]
        if get_list(table, "arrivals.burst"):
            shorter["arrivals"]["burst"] = [b for b in table["arrivals"]["burst"] if b["at_s"] < length_s]
        yield shorter


STEPS = (with_shorter_length, without_items, with_smaller_numbers, without_settings)


def count_keys(table: Table) -> int:
    """Return the number of keys in the table, at all levels: what shrinking minimizes."""
    if isinstance(table, dict):
        return sum(1 + count_keys(value) for value in table.values())
    return sum(map(count_keys, table)) if isinstance(table, list) else 0


def shrink(table: Table, fails: FailureTest, max_candidates: int, batch_size: int = 1) -> tuple[Table, int]:
    """Return the smallest failing table found and the number of candidates tried.

    ``fails`` tests up to ``batch_size`` candidates in a call, at most ``max_candidates`` in total. The first
    failing candidate of a batch is taken, so the result does not depend on how fast each one ran.
    """
    tried, improved = 0, True
    while improved:
        improved = False
        for step in STEPS:
            retry_step = True
            while retry_step:
                retry_step, candidates = False, list(step(table))
                for start in range(0, len(candidates), batch_size):
                    batch = candidates[start : start + batch_size][: max_candidates - tried]
                    if not batch:
                        return table, tried
                    tried += len(batch)
                    results = fails(batch)
                    if any(results):
                        table, improved, retry_step = batch[list(results).index(True)], True, True
                        break
    return table, tried
