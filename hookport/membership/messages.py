"""Datagrams between limiters about servers that drain or are gone, of at most 256 bytes each.

    F?              query: the sender has started without discovery and asks which servers drain or are gone
    F! DIGEST...    report: these servers drain or are gone, 8 bytes each, the latest first

A digest is the first 8 bytes of BLAKE2b of the server's id (RFC 7693).  Ids may have any length, and two ids
have the same digest with a chance of one in 2^64.  A wrong match can only reduce trust
(``FleetView.apply_peer_report``)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

PREFIX = b"F"
QUERY = b"F?"
REPORT = b"F!"
DIGEST_BYTES = 8
MAX_DATAGRAM_BYTES = 256
MAX_DIGESTS = (MAX_DATAGRAM_BYTES - len(REPORT)) // DIGEST_BYTES


def server_digest(server: bytes) -> bytes:
    return hashlib.blake2b(server, digest_size=DIGEST_BYTES).digest()


def encode_report(servers: Iterable[bytes]) -> bytes:
    """One datagram with the first servers, as many as fit; empty if there are none."""
    digests = [server_digest(server) for server, _ in zip(servers, range(MAX_DIGESTS), strict=False)]
    return REPORT + b"".join(digests) if digests else b""


def decode_report(payload: bytes) -> list[bytes]:
    """The digests of a report; empty for another kind of message and for one with an invalid length."""
    body = payload[len(REPORT) :]
    if not payload.startswith(REPORT) or len(payload) > MAX_DATAGRAM_BYTES or len(body) % DIGEST_BYTES:
        return []
    return [body[at : at + DIGEST_BYTES] for at in range(0, len(body), DIGEST_BYTES)]
