"""Numeric module constants that were renamed.

Experiment files name a constant by module and name, and a run may play a source tree that is older or newer
than the file. So a constant is looked up under the name in the file first, then under its other names.
"""

from __future__ import annotations

from typing import Final

RENAMED_CONSTANTS: Final[dict[str, str]] = {  # former dotted name: present dotted name
    "aniseshed.policy.LATE_CALLS": "aniseshed.policy.MAX_LATE_CALLS",
    "aniseshed.policy.COUNTER_WAITS": "aniseshed.policy.MIN_COUNTER_TIMEOUTS_LEFT",
    "aniseshed.policy.HOLD_AIM": "aniseshed.policy.MAX_QUOTA_WAIT_SHARE",
    "aniseshed.policy.IDLE_WINDOWS": "aniseshed.policy.ACCOUNT_IDLE_WINDOWS",
    "aniseshed.policy.GAIN": "aniseshed.policy.EWMA_WEIGHT",
    "aniseshed.policy.OVERDUE": "aniseshed.policy.MAX_LATENCY_RATIO",
    "aniseshed.policy.CANDIDATES": "aniseshed.policy.MAX_CANDIDATES",
    "aniseshed.policy.FULL_AIM": "aniseshed.policy.FULL_BACKOFF_TARGETS",
    "aniseshed.policy.EJECT_FAILS": "aniseshed.policy.EJECT_FAILURES",
    "aniseshed.policy.EJECT_TIMEOUTS": "aniseshed.policy.EJECTION_CONNECT_TIMEOUTS",
    "aniseshed.policy.EJECT_MOST": "aniseshed.policy.MAX_EJECTED_SHARE",
    "aniseshed.policy.TRY_AIM": "aniseshed.policy.UNPROVEN_TIMEOUT_SHARE",
    "aniseshed.policy.PACE": "aniseshed.policy.COLD_PACE_SHARE",
    "aniseshed.policy.WATCH_AGAIN": "aniseshed.policy.RESUBSCRIBE_SHARE",
    "aniseshed.policy.LATE_AIM": "aniseshed.policy.LATE_TARGET_SHARE",
    "aniseshed.policy.LATE_SHARE": "aniseshed.policy.CONGESTION_LATE_SHARE",
    "aniseshed.policy.LATE_GAIN": "aniseshed.policy.LATE_EWMA_WEIGHT",
    "aniseshed.policy.CUT": "aniseshed.policy.DECREASE_FACTOR",
    "aniseshed.policy.FIRST_OUT": "aniseshed.policy.INITIAL_LIMIT_PER_SERVER",
    "aniseshed.policy.RAISE_AT": "aniseshed.policy.MIN_USE_TO_INCREASE",
    "aniseshed.policy.RAISE": "aniseshed.policy.INCREASE_PER_ANSWER",
    "aniseshed.policy.CHEAP_LIMIT": "aniseshed.policy.LOWEST_VALUE_LIMIT_SHARE",
    "aniseshed.policy.RETRY_DEPOSIT": "aniseshed.policy.MAX_RETRY_TOKENS",
    "aniseshed.policy.MOST_TAUGHT": "aniseshed.policy.MAX_RESYNCED_ACCOUNTS",
    "aniseshed.drill.MOST_FRAME": "aniseshed.drill.MAX_FRAME_BYTES",
    "aniseshed.wire.MOST_U64": "aniseshed.wire.MAX_U64",
    "aniseshed.wire.EVERY_PEER": "aniseshed.wire.ALL_PEERS",
    "aniseshed.wire.MARKED_REPEAT": "aniseshed.wire.RETRY_FLAG",
    "aniseshed.wire.START": "aniseshed.wire.START_RECORD",
    "aniseshed.wire.CRASH_NOW": "aniseshed.wire.CRASH_RECORD",
    "aniseshed.wire.SNAPSHOT_ROWS": "aniseshed.wire.SERVER_LIST_RECORD",
    "aniseshed.wire.LIST_EVENT": "aniseshed.wire.LIST_CHANGED_RECORD",
    "hookport.rehearsal.standins.server.FALL_SLACK": "hookport.rehearsal.standins.server.OVERLOAD_SLACK_JOBS",
    "hookport.rehearsal.referee.FALL_SLACK": "hookport.rehearsal.referee.OVERLOAD_SLACK_JOBS",
    "hookport.rehearsal.standins.counter.LONGEST_LIFE_MS": "hookport.rehearsal.standins.counter.MAX_TTL_MS",
    "hookport.rehearsal.standins.counter.MOST_CONNECTIONS": (
        "hookport.rehearsal.standins.counter.MAX_CONNECTIONS"
    ),
    "hookport.rehearsal.standins.counter.MOST_NAMES": (
        "hookport.rehearsal.standins.counter.SWEEP_THRESHOLD_KEYS"
    ),
    "hookport.rehearsal.standins.counter.KEEP_EVERY_S": (
        "hookport.rehearsal.standins.counter.SNAPSHOT_INTERVAL_S"
    ),
    "hookport.rehearsal.standins.counter.KEPT": "hookport.rehearsal.standins.counter.MAX_SNAPSHOTS",
    "hookport.rehearsal.standins.discovery.BLANK_S": (
        "hookport.rehearsal.standins.discovery.KEEPALIVE_INTERVAL_S"
    ),
    "hookport.rehearsal.standins.discovery.LONGEST_REQUEST": (
        "hookport.rehearsal.standins.discovery.MAX_REQUEST_BYTES"
    ),
    "hookport.rehearsal.standins.discovery.KEPT_CHANGES": "hookport.rehearsal.standins.discovery.MAX_CHANGES",
    "hookport.rehearsal.world.NEW_START_S": "hookport.rehearsal.world.REGISTRATION_DELAY_S",
    "hookport.rehearsal.desks.CROSSING_S": "hookport.rehearsal.desks.CLOSE_RACE_S",
    "hookport.rehearsal.desks.RUDE_WAIT_S": "hookport.rehearsal.desks.MALFORMED_REPLY_TIMEOUT_S",
    "hookport.rehearsal.desks.IDLE_S": "hookport.rehearsal.desks.IDLE_TIMEOUT_S",
    "hookport.rehearsal.scripted.PATIENCE_S": "hookport.rehearsal.scripted.TIMEOUT_S",
    "hookport.rehearsal.plain.MARGIN_S": "hookport.rehearsal.plain.REPLY_MARGIN_S",
    "hookport.rehearsal.plain.DRAIN_S": "hookport.rehearsal.plain.DRAIN_DELAY_S",
    "hookport.rehearsal.rival.RETRY_SHARE": "hookport.rehearsal.rival.RETRY_TOKENS_PER_REQUEST",
    "hookport.rehearsal.rival.RETRY_SAVED": "hookport.rehearsal.rival.MAX_RETRY_TOKENS",
    "hookport.rehearsal.rival.OUT_S": "hookport.rehearsal.rival.EJECTION_S",
    "hookport.rehearsal.rival.MOST_OUT": "hookport.rehearsal.rival.MAX_IN_FLIGHT_PER_SERVER",
    "hookport.rehearsal.rival.CONNECT_S": "hookport.rehearsal.rival.CONNECT_TIMEOUT_S",
    "hookport.rehearsal.standins.post.LARGEST": "hookport.rehearsal.standins.datagrams.MAX_DATAGRAM_BYTES",
}


def other_names(name: str) -> list[str]:
    """The other names of a constant: its present name first, then its former ones."""
    present = RENAMED_CONSTANTS.get(name, name)
    former = [old for old, new in RENAMED_CONSTANTS.items() if new == present]
    return [other for other in (present, *former) if other != name]
