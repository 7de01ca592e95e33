"""What a limiter believes of the fleet when discovery cannot tell it, from where, and how far.

``curve`` and ``fleet`` decide, without I/O and without a clock; ``kept`` is the form of the list on disk,
``words`` that of the datagrams between limiters; ``files`` and ``members`` put them on a disk and into the
daemon."""

from hookport.membership.curve import TrustCurve, TrustPoint
from hookport.membership.fleet import FleetView, Gone, Report, Snapshot, SnapshotEntry, Source, Update
from hookport.membership.members import MembershipManager

__all__ = [
    "TrustCurve",
    "FleetView",
    "Gone",
    "SnapshotEntry",
    "Snapshot",
    "MembershipManager",
    "TrustPoint",
    "Report",
    "Source",
    "Update",
]
