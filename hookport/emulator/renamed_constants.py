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
    "hookport.resp.LARGEST_VALUE": "hookport.resp.MAX_VALUE_BYTES",
    "hookport.resp.LARGEST_ANSWER": "hookport.resp.MAX_SERVER_VALUE_BYTES",
    "hookport.resp.LONGEST_LINE": "hookport.resp.MAX_LINE_BYTES",
    "hookport.resp.LONGEST_WAITS": "hookport.resp.MAX_WAIT_DEADLINES",
    "hookport.resp.MOST_CUSTOMERS": "hookport.resp.CUSTOMER_LIMIT",
    "hookport.resp.FIELDS_KEPT": "hookport.resp.FIELDS_CACHE_SIZE",
    "hookport.clients.MOST_WORDS": "hookport.clients.MAX_ARGUMENTS",
    "hookport.clients.MOST_PIPELINED": "hookport.clients.MAX_PIPELINED",
    "hookport.clients.MOST_REFUSED": "hookport.clients.MAX_REJECTED",
    "hookport.clients.MOST_UNREAD": "hookport.clients.MAX_UNREAD_REPLY_BYTES",
    "hookport.clients.STILL_COMING_S": "hookport.clients.ACCEPT_AFTER_SIGTERM_S",
    "hookport.clients.LOOK_S": "hookport.clients.TIMEOUT_CHECK_INTERVAL_S",
    "hookport.clients.IDLE_PART": "hookport.clients.MAX_IDLE_SHARE",
    "hookport.clients.SETTLED_S": "hookport.clients.EVICTION_GRACE_S",
    "hookport.clients.TOLD_S": "hookport.clients.CLOSE_LOG_INTERVAL_S",
    "hookport.counter.LONGEST_TOTAL": "hookport.counter.MAX_TOTAL_BYTES",
    "hookport.counter.STUCK_WAITS": "hookport.counter.STALL_TIMEOUTS",
    "hookport.counter.STUCK_S": "hookport.counter.MAX_STALL_S",
    "hookport.counter.TICK_S": "hookport.counter.CLOCK_TOLERANCE_S",
    "hookport.counter.LATE_S": "hookport.counter.LATE_ANSWER_S",
    "hookport.counter.MOST_LEFT": "hookport.counter.MAX_ABANDONED",
    "hookport.peers.LARGEST": "hookport.peers.MAX_DATAGRAM_BYTES",
    "hookport.peers.TAKEN_A_SECOND": "hookport.peers.MAX_RECEIVED_PER_SECOND",
    "hookport.servers.IDLE_PART": "hookport.servers.IDLE_TIMEOUT_SHARE",
    "hookport.servers.REST_S": "hookport.servers.REUSE_DELAY_S",
    "hookport.servers.STALL_S": "hookport.servers.STALL_TIMEOUT_S",
    "hookport.servers.ELEMENTS": "hookport.servers.ANSWER_ELEMENTS",
    "hookport.node.MARGIN_MS": "hookport.node.REPLY_MARGIN_MS",
    "hookport.node.CLIENTS_PART": "hookport.node.CLIENT_CONNECTION_SHARE",
    "hookport.node.SPARE_SOCKETS": "hookport.node.RESERVED_SOCKETS",
    "hookport.node.BODY_PART": "hookport.node.MAX_BODY_SHARE",
    "hookport.node.MS": "hookport.node.NS_PER_MS",
    "hookport.node.SECOND": "hookport.node.NS_PER_SECOND",
}


def other_names(name: str) -> list[str]:
    """The other names of a constant: its present name first, then its former ones."""
    present = RENAMED_CONSTANTS.get(name, name)
    former = [old for old, new in RENAMED_CONSTANTS.items() if new == present]
    return [other for other in (present, *former) if other != name]
