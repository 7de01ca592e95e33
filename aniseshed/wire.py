"""The bench's dialect (wire "jasper-285f") to and from the interface; nothing here decides."""

from __future__ import annotations

import json
from collections.abc import Callable
from struct import Struct
from typing import Any

from aniseshed import interface as api

BATCH_HEAD = Struct(">IQ")  # after the length: number of records, clock
SIZE = Struct(">I")
RECORD_HEAD = Struct(">HI")
INSTANCE = Struct(">H")
REPLY_HEAD = Struct(">II")
START_FIXED = Struct(">HQI")
LIST_HEAD = Struct(">HI")
ENTRY = Struct(">6sBBHBfQ")
MEMBERSHIP = Struct(">HHIB")
WORK_ITEM = Struct(">HIHIQQfffH")
BEGUN = Struct(">HI6sBQ")
CLOSED = Struct(">HIB6sBQBHHB")
REQUEST_ID = Struct(">HI")
ECHO = Struct(">H6sBQB")
INBOX = Struct(">HIH")
RECKONED = Struct(">HQBfQ")
ROUTE = Struct(">HIHI6sQ")
DENY = Struct(">HIHIQ")
GIVE_UP = Struct(">HIHI")
CALL_OFF = Struct(">HIHIB")
WAKE_ME = Struct(">HIHQI")
SERVER_ONLY = Struct(">HIH6s")
SAY = Struct(">HIHIH")
TEXT = Struct(">HIHH")
LISTEN = Struct(">HIHB")
LOOKUP = Struct(">HIH")
ENTER = Struct(">HIHQfQ")
REPORTS = tuple(Struct(f">{n}f") for n in range(256))

START_RECORD, CRASH_RECORD, SERVER_LIST_RECORD, LIST_CHANGED_RECORD = 1, 10, 12, 2
ALL_PEERS = 0xFFFFFFFF
MAX_U64 = (1 << 64) - 1
RETRY_FLAG = 2

REPEATS = {
    "pure": api.Idempotency.SAFE,
    "token": api.Idempotency.KEYED,
    "side_effect": api.Idempotency.UNSAFE,
}
GROUPS = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
HEALTHS = {int(h): h for h in api.Health}
OUTCOMES = {int(o): o for o in api.Outcome}
LIST_KINDS = {int(k): k for k in api.ListKind}


class WireError(Exception):
    """The stream is broken: nothing after this point can be read."""


def read_settings(text: bytes) -> api.Settings:
    """The settings object of a start; unknown keys are passed over."""
    told: dict[str, Any] = json.loads(text)
    bounds, info = told.get("bounds", {}), told.get("familyInfo", {})
    rules, feedback = told.get("rules", {}), told.get("feedback", {})
    return api.Settings(
        index=told.get("selfIndex", 0),
        limiters=told.get("siblings", 1),
        zone=told.get("zone", 0),
        classes=tuple(read_class(lane) for lane in told.get("lanes", ())),
        plans=tuple(read_plan(tier) for tier in told.get("tiersOfService", ())),
        largest_units=info.get("largest", 1),
        settles_usage=bool(info.get("settles", False)),
        has_counter=bool(info.get("hasCounter", False)),
        counter_timeout_ns=info.get("countLimit", 0),
        max_attempts=bounds.get("mostTries", 1),
        max_pending=bounds.get("openCap", 0),
        may_probe=bool(bounds.get("probes", False)),
        may_cancel=bool(bounds.get("mayCancel", False)),
        may_duplicate=bool(bounds.get("mayDuplicate", False)),
        may_message_peers=bool(bounds.get("peerMessages", False)),
        may_send_retry_after=bool(bounds.get("retryAfter", False)),
        max_retry_after_ns=bounds.get("maxRetryAfter", 0),
        connect_timeout_ns=bounds.get("connectTimeout", 0),
        subscribe=told.get("discovery") == "subscribe",
        resubscribe_within_ns=rules.get("mustAskIn", 0),
        drain_grace_ns=rules.get("stopSendingWithin", 0),
        cold_capacity_share=rules.get("coldFrom", 1.0),
        warm_up_ns=rules.get("cold", 0),
        overload_multiple=rules.get("fallMultiple", 1.0),
        overload_ns=rules.get("overloadFor", 0),
        report_fields=tuple(feedback.get("names", ())),
    )


def read_class(lane: dict[str, Any]) -> api.TrafficClass:
    return api.TrafficClass(
        target_ns=lane["target"],
        deadline_ns=lane["giveUp"],
        value=lane.get("value", 1.0),
        late_value=lane.get("lateWorth", 0.0),
        idempotency=REPEATS.get(lane.get("idempotency", ""), api.Idempotency.UNSAFE),
        dedup_scope=GROUPS.get(lane.get("group", ""), api.DedupScope.CELL),
        dedup_window_ns=lane.get("dedupWindow", 0),
        stream=bool(lane.get("stream", False)),
        target_stretch=lane.get("aimStretch", 0.0),
    )


def read_plan(tier: dict[str, Any]) -> api.Plan:
    return api.Plan(
        rate=tier.get("perSecond", 0.0),
        burst=tier.get("storeSize", 0.0),
        max_in_flight=tier.get("maxOut", 0),
        ceiling_rate=tier.get("hardRate", 0.0),
        ceiling_burst=tier.get("ceilingBurst", 0.0),
        price=tier.get("valueFactor", 1.0),
        over_quota_value=tier.get("overWorth", 0.0),
        over_quota_cost=tier.get("excessCost", 0.0),
    )


def read_list(data: memoryview) -> tuple[int, tuple[api.ServerEntry, ...]]:
    """A numbered list: its number and its entries."""
    page, lines = LIST_HEAD.unpack_from(data)
    start = LIST_HEAD.size
    rows = ENTRY.iter_unpack(data[start : start + lines * ENTRY.size])
    return page, tuple(
        api.ServerEntry(server, zone, kind, cell, HEALTHS.get(health, api.Health.GONE), weight, born)
        for server, zone, kind, cell, health, weight, born in rows
    )


def _request(data: memoryview) -> api.Event:
    _, rid, lane, plan, customer, grace, units, size, first, bits = WORK_ITEM.unpack_from(data)
    return api.Request(rid, lane, plan, customer, grace, units, size, first, bool(bits & RETRY_FLAG))


def _begun(data: memoryview) -> api.Event:
    _, rid, server, attempt, elapsed = BEGUN.unpack_from(data)
    return api.StreamBegun(rid, server, attempt, elapsed)


def _ended(data: memoryview) -> api.Event:
    _, rid, attempt, server, code, elapsed, last, meter, settled, n = CLOSED.unpack_from(data)
    report = REPORTS[n].unpack_from(data, CLOSED.size)
    outcome = OUTCOMES.get(code, api.Outcome.RESET)
    return api.AttemptEnded(rid, attempt, server, outcome, elapsed, bool(last), meter, settled, report)


def _hung_up(data: memoryview) -> api.Event:
    return api.HungUp(REQUEST_ID.unpack_from(data)[1])


def _fired(data: memoryview) -> api.Event:
    return api.TimerFired(REQUEST_ID.unpack_from(data)[1])


def _probed(data: memoryview) -> api.Event:
    _, server, code, elapsed, n = ECHO.unpack_from(data)
    report = REPORTS[n].unpack_from(data, ECHO.size)
    return api.Probed(server, OUTCOMES.get(code, api.Outcome.RESET), elapsed, report)


def _peer(data: memoryview) -> api.Event:
    _, sender, n = INBOX.unpack_from(data)
    return api.PeerMessage(sender, bytes(data[INBOX.size : INBOX.size + n]))


def _counted(data: memoryview) -> api.Event:
    _, name, code, total, elapsed = RECKONED.unpack_from(data)
    return api.Counted(name, OUTCOMES.get(code, api.Outcome.TIMEOUT), total, elapsed)


READERS: dict[int, Callable[[memoryview], api.Event]] = {
    3: _request,
    4: _begun,
    5: _ended,
    6: _hung_up,
    7: _fired,
    8: _probed,
    9: _peer,
    11: _counted,
}


def _text(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:2000]
    return TEXT.pack(code, 4 + len(data), instance, len(data)) + data


def give_in(instance: int, text: str) -> bytes:
    """Tell that the decisions of an instance have failed."""
    return _text(10, instance, text)


def _tell(instance: int, a: api.Tell) -> bytes:
    whom = ALL_PEERS if a.peer is None else a.peer
    return SAY.pack(8, 8 + len(a.payload), instance, whom, len(a.payload)) + a.payload


WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda i, a: ROUTE.pack(1, 20, i, a.request_id, a.server, a.deadline_ns),
    api.Refuse: lambda i, a: DENY.pack(2, 14, i, a.request_id, min(a.retry_after_ns, MAX_U64)),
    api.Fail: lambda i, a: GIVE_UP.pack(3, 6, i, a.request_id),
    api.Cancel: lambda i, a: CALL_OFF.pack(4, 7, i, a.request_id, a.attempt),
    api.SetTimer: lambda i, a: WAKE_ME.pack(5, 14, i, a.delay_ns, a.token),
    api.Probe: lambda i, a: SERVER_ONLY.pack(6, 8, i, a.server),
    api.CloseIdle: lambda i, a: SERVER_ONLY.pack(7, 8, i, a.server),
    api.Tell: _tell,
    api.Log: lambda i, a: _text(9, i, a.text),
    api.Watch: lambda i, a: LISTEN.pack(11, 3, i, a.active),
    api.Fetch: lambda i, a: LOOKUP.pack(12, 2, i),
    api.Count: lambda i, a: ENTER.pack(13, 22, i, a.key, a.amount, a.lifetime_ns),
}
