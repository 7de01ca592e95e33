"""RESP commands for limits: ask whether a request fits its customer's quota, from any Redis client.

``session`` is what ordinary clients say before they ask, ``ledger`` remembers what was answered under which
id, both without I/O or a clock; ``users`` knows who may ask what; ``front`` puts them on the daemon's
connections.  Nothing here decides on a quota: the module does."""

from hookport.limits.front import Front
from hookport.limits.ledger import Ledger, Taken
from hookport.limits.session import Session
from hookport.limits.users import Users

__all__ = ["Front", "Ledger", "Session", "Taken", "Users"]
