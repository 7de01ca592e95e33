"""Numeric module constants that were renamed.

Experiment files name a constant by module and name, and a run may play a source tree that is older or newer
than the file. So a constant is looked up under the name in the file first, then under its other names.
"""

from __future__ import annotations

from typing import Final

RENAMED_CONSTANTS: Final[dict[str, str]] = {  # former dotted name: present dotted name
    "hookport.membership.fleet.LEAST_OPEN": "hookport.membership.fleet.MIN_ON_TRIAL",
    "hookport.membership.fleet.PROOF_NS": "hookport.membership.fleet.PROOF_VALID_NS",
    "hookport.membership.fleet.GONE_NS": "hookport.membership.fleet.TOMBSTONE_TTL_NS",
    "hookport.membership.fleet.MOST_GONE": "hookport.membership.fleet.MAX_TOMBSTONES",
    "hookport.membership.fleet.HOLD_NS": "hookport.membership.fleet.STALE_LIST_HOLD_NS",
    "hookport.membership.fleet.MOST_SERVERS": "hookport.membership.fleet.MAX_SERVERS",
    "hookport.membership.fleet.SMALL": "hookport.membership.fleet.SMALL_FLEET",
    "hookport.membership.words.DIGEST_BYTES": "hookport.membership.messages.DIGEST_BYTES",
    "hookport.membership.words.LARGEST": "hookport.membership.messages.MAX_DATAGRAM_BYTES",
    "hookport.membership.words.MOST": "hookport.membership.messages.MAX_DIGESTS",
    "hookport.membership.kept.VERSION": "hookport.membership.snapshot_codec.FORMAT_VERSION",
    "hookport.membership.kept.LARGEST": "hookport.membership.snapshot_codec.MAX_FILE_BYTES",
    "hookport.membership.kept.LATEST_NS": "hookport.membership.snapshot_codec.MAX_INTEGER",
    "hookport.membership.members.PROBE_S": "hookport.membership.members.PROBE_INTERVAL_S",
    "hookport.membership.members.PROBES": "hookport.membership.members.MAX_PROBES",
    "hookport.membership.members.WORD_S": "hookport.membership.members.REPORT_INTERVAL_S",
    "hookport.membership.members.ASK_S": "hookport.membership.members.QUERY_INTERVAL_S",
    "hookport.membership.members.RETRY_MOST": "hookport.membership.members.MAX_SAVE_BACKOFF",
    "hookport.membership.command.ALL_NS": "hookport.membership.command.NEVER_FORGET_NS",
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
}


def other_names(name: str) -> list[str]:
    """The other names of a constant: its present name first, then its former ones."""
    present = RENAMED_CONSTANTS.get(name, name)
    former = [old for old, new in RENAMED_CONSTANTS.items() if new == present]
    return [other for other in (present, *former) if other != name]
