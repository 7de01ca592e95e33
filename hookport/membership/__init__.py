"""One limiter's view of the desk servers, also while discovery is unavailable: the source and age of each
entry, and how far the entry is trusted.

``curve`` and ``fleet`` decide, without I/O and without a clock.  ``snapshot_codec`` defines the format of the
list on disk, ``messages`` that of the datagrams between limiters.  ``snapshot_file`` does the disk I/O, and
``members`` connects the package to the daemon."""

from hookport.membership.curve import TrustCurve, TrustPoint
from hookport.membership.fleet import (
    EntrySource,
    FleetView,
    Snapshot,
    SnapshotEntry,
    Tombstone,
    TrustReport,
    Update,
)
from hookport.membership.members import MembershipManager

__all__ = [
    "TrustCurve",
    "FleetView",
    "Tombstone",
    "SnapshotEntry",
    "Snapshot",
    "MembershipManager",
    "TrustPoint",
    "TrustReport",
    "EntrySource",
    "Update",
]
