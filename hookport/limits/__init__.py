"""RESP commands that let any Redis client check a request against its customer's quota.

``session`` implements the connection commands and ``ledger`` the idempotency of takes, both without I/O or a
clock; ``users`` authenticates and authorizes; ``commands`` connects them to the daemon's connections. Quota
decisions are made by the policy (``aniseshed``), not here."""

from hookport.limits.commands import LimitCommands
from hookport.limits.ledger import Ledger, TakeRecord
from hookport.limits.session import Session
from hookport.limits.users import Users

__all__ = ["LimitCommands", "Ledger", "Session", "TakeRecord", "Users"]
