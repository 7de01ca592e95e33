"""Binary protocol of the simulator (version "jasper-285f"): decodes events and encodes actions.

All numbers are big-endian. Settings are a JSON object; its keys are part of the protocol.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from struct import Struct
from typing import Any

from aniseshed import interface as api

BATCH_HEAD = Struct(">IQ")  # follows the length field: number of records, clock
FRAME_SIZE = Struct(">I")
RECORD_HEAD = Struct(">HI")
INSTANCE = Struct(">H")
REPLY_HEAD = Struct(">II")
START_HEAD = Struct(">HQI")
LIST_HEAD = Struct(">HI")
ENTRY = Struct(">6sBBHBfQ")
LIST_CHANGED = Struct(">HHIB")
REQUEST = Struct(">HIHIQQfffH")
STREAM_BEGUN = Struct(">HI6sBQ")
ATTEMPT_ENDED = Struct(">HIB6sBQBHHB")
REQUEST_ID = Struct(">HI")
PROBED = Struct(">H6sBQB")
PEER_MESSAGE = Struct(">HIH")
COUNTED = Struct(">HQBfQ")
SEND = Struct(">HIHI6sQ")
REFUSE = Struct(">HIHIQ")
FAIL = Struct(">HIHI")
CANCEL = Struct(">HIHIB")
SET_TIMER = Struct(">HIHQI")
SERVER_ACTION = Struct(">HIH6s")
TELL = Struct(">HIHIH")
TEXT = Struct(">HIHH")
WATCH = Struct(">HIHB")
FETCH = Struct(">HIH")
COUNT = Struct(">HIHQfQ")
REPORTS = tuple(Struct(f">{n}f") for n in range(256))

START_RECORD, CRASH_RECORD, SERVER_LIST_RECORD, LIST_CHANGED_RECORD = 1, 10, 12, 2
ALL_PEERS = 0xFFFFFFFF
MAX_U64 = (1 << 64) - 1
RETRY_FLAG = 2

IDEMPOTENCY_BY_NAME = {
    "pure": api.Idempotency.SAFE,
    "token": api.Idempotency.KEYED,
    "side_effect": api.Idempotency.UNSAFE,
}
DEDUP_SCOPE_BY_NAME = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
HEALTH_BY_CODE = {int(h): h for h in api.Health}
OUTCOME_BY_CODE = {int(o): o for o in api.Outcome}
LIST_KIND_BY_CODE = {int(k): k for k in api.ListKind}


class WireError(Exception):
    """The stream is malformed and cannot be read any further."""


def read_settings(text: bytes) -> api.Settings:
    """Parse the settings object of a start record; unknown keys are ignored."""
    settings: dict[str, Any] = json.loads(text)
    bounds, info = settings.get("bounds", {}), settings.get("familyInfo", {})
    rules, feedback = settings.get("rules", {}), settings.get("feedback", {})
    return api.Settings(
        index=settings.get("selfIndex", 0),
        limiters=settings.get("siblings", 1),
        zone=settings.get("zone", 0),
        classes=tuple(read_traffic_class(fields) for fields in settings.get("lanes", ())),
        plans=tuple(read_plan(fields) for fields in settings.get("tiersOfService", ())),
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
        subscribe=settings.get("discovery") == "subscribe",
        resubscribe_within_ns=rules.get("mustAskIn", 0),
        drain_grace_ns=rules.get("stopSendingWithin", 0),
        cold_capacity_share=rules.get("coldFrom", 1.0),
        warm_up_ns=rules.get("cold", 0),
        overload_multiple=rules.get("fallMultiple", 1.0),
        overload_ns=rules.get("overloadFor", 0),
        report_fields=tuple(feedback.get("names", ())),
    )


def read_traffic_class(fields: dict[str, Any]) -> api.TrafficClass:
    return api.TrafficClass(
        target_ns=fields["target"],
        deadline_ns=fields["giveUp"],
        value=fields.get("value", 1.0),
        late_value=fields.get("lateWorth", 0.0),
        idempotency=IDEMPOTENCY_BY_NAME.get(fields.get("idempotency", ""), api.Idempotency.UNSAFE),
        dedup_scope=DEDUP_SCOPE_BY_NAME.get(fields.get("group", ""), api.DedupScope.CELL),
        dedup_window_ns=fields.get("dedupWindow", 0),
        stream=bool(fields.get("stream", False)),
        target_stretch=fields.get("aimStretch", 0.0),
    )


def read_plan(fields: dict[str, Any]) -> api.Plan:
    return api.Plan(
        rate=fields.get("perSecond", 0.0),
        burst=fields.get("storeSize", 0.0),
        max_in_flight=fields.get("maxOut", 0),
        ceiling_rate=fields.get("hardRate", 0.0),
        ceiling_burst=fields.get("ceilingBurst", 0.0),
        price=fields.get("valueFactor", 1.0),
        over_quota_value=fields.get("overWorth", 0.0),
        over_quota_cost=fields.get("excessCost", 0.0),
    )


def read_list(data: memoryview) -> tuple[int, tuple[api.ServerEntry, ...]]:
    """Decode a server list into its page number and its entries."""
    page, count = LIST_HEAD.unpack_from(data)
    start = LIST_HEAD.size
    rows = ENTRY.iter_unpack(data[start : start + count * ENTRY.size])
    return page, tuple(
        api.ServerEntry(
            server, zone, kind, cell, HEALTH_BY_CODE.get(health, api.Health.GONE), weight, started_ns
        )
        for server, zone, kind, cell, health, weight, started_ns in rows
    )


def _request(data: memoryview) -> api.Event:
    _, request_id, class_index, plan, customer, timeout_ns, units, size, first, flags = REQUEST.unpack_from(
        data
    )
    return api.Request(
        request_id, class_index, plan, customer, timeout_ns, units, size, first, bool(flags & RETRY_FLAG)
    )


def _begun(data: memoryview) -> api.Event:
    _, request_id, server, attempt, elapsed_ns = STREAM_BEGUN.unpack_from(data)
    return api.StreamBegun(request_id, server, attempt, elapsed_ns)


def _ended(data: memoryview) -> api.Event:
    _, request_id, attempt, server, code, elapsed_ns, concluded, meter, settled_units, n = (
        ATTEMPT_ENDED.unpack_from(data)
    )
    report = REPORTS[n].unpack_from(data, ATTEMPT_ENDED.size)
    outcome = OUTCOME_BY_CODE.get(code, api.Outcome.RESET)
    return api.AttemptEnded(
        request_id, attempt, server, outcome, elapsed_ns, bool(concluded), meter, settled_units, report
    )


def _hung_up(data: memoryview) -> api.Event:
    return api.HungUp(REQUEST_ID.unpack_from(data)[1])


def _fired(data: memoryview) -> api.Event:
    return api.TimerFired(REQUEST_ID.unpack_from(data)[1])


def _probed(data: memoryview) -> api.Event:
    _, server, code, elapsed_ns, n = PROBED.unpack_from(data)
    report = REPORTS[n].unpack_from(data, PROBED.size)
    return api.Probed(server, OUTCOME_BY_CODE.get(code, api.Outcome.RESET), elapsed_ns, report)


def _peer(data: memoryview) -> api.Event:
    _, sender, n = PEER_MESSAGE.unpack_from(data)
    return api.PeerMessage(sender, bytes(data[PEER_MESSAGE.size : PEER_MESSAGE.size + n]))


def _counted(data: memoryview) -> api.Event:
    _, key, code, total, elapsed_ns = COUNTED.unpack_from(data)
    return api.Counted(key, OUTCOME_BY_CODE.get(code, api.Outcome.TIMEOUT), total, elapsed_ns)


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


def encode_failure(instance: int, text: str) -> bytes:
    """Encode the report that the decision logic of an instance raised an error."""
    return _text(10, instance, text)


def _tell(instance: int, a: api.Tell) -> bytes:
    recipient = ALL_PEERS if a.peer is None else a.peer
    return TELL.pack(8, 8 + len(a.payload), instance, recipient, len(a.payload)) + a.payload


WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda i, a: SEND.pack(1, 20, i, a.request_id, a.server, a.deadline_ns),
    api.Refuse: lambda i, a: REFUSE.pack(2, 14, i, a.request_id, min(a.retry_after_ns, MAX_U64)),
    api.Fail: lambda i, a: FAIL.pack(3, 6, i, a.request_id),
    api.Cancel: lambda i, a: CANCEL.pack(4, 7, i, a.request_id, a.attempt),
    api.SetTimer: lambda i, a: SET_TIMER.pack(5, 14, i, a.delay_ns, a.token),
    api.Probe: lambda i, a: SERVER_ACTION.pack(6, 8, i, a.server),
    api.CloseIdle: lambda i, a: SERVER_ACTION.pack(7, 8, i, a.server),
    api.Tell: _tell,
    api.Log: lambda i, a: _text(9, i, a.text),
    api.Watch: lambda i, a: WATCH.pack(11, 3, i, a.active),
    api.Fetch: lambda i, a: FETCH.pack(12, 2, i),
    api.Count: lambda i, a: COUNT.pack(13, 22, i, a.key, a.amount, a.lifetime_ns),
}
