"""What a limiter believes of the fleet when discovery cannot tell it, from where, and how far.

``curve`` and ``fleet`` decide, without I/O and without a clock; ``kept`` is the form of the list on disk,
``words`` that of the datagrams between limiters; ``files`` and ``members`` put them on a disk and into the
daemon."""

from hookport.membership.curve import Curve, Point
from hookport.membership.fleet import Fleet, Gone, Held, Kept, Report, Source, Update
from hookport.membership.members import Members

__all__ = ["Curve", "Fleet", "Gone", "Held", "Kept", "Members", "Point", "Report", "Source", "Update"]
