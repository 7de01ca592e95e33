"""Words between limiters on the fleet: who drains or has gone, in datagrams of at most 256 bytes.

    F?              I have started and know of no discovery: who drains?
    F! DIGEST...    these drain or have gone, 8 bytes each, the youngest first

A digest is the first 8 bytes of BLAKE2b of the server's id (RFC 7693): ids may be of any length, and a word
that is misread for another's is one in 2^64.  Such a word can only take trust away (``FleetView.warned``)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

MARK = b"F"
ASK = b"F?"
TELL = b"F!"
DIGEST_BYTES = 8
LARGEST = 256  # bytes of a datagram
MOST = (LARGEST - len(TELL)) // DIGEST_BYTES


def digest(server: bytes) -> bytes:
    return hashlib.blake2b(server, digest_size=DIGEST_BYTES).digest()


def tell(servers: Iterable[bytes]) -> bytes:
    """One datagram that names as many of the servers as it holds; empty if there are none."""
    digests = [digest(server) for server, _ in zip(servers, range(MOST), strict=False)]
    return TELL + b"".join(digests) if digests else b""


def read(payload: bytes) -> list[bytes]:
    """The digests of a datagram; none if it is none of this kind, or its length fits no whole ones."""
    body = payload[len(TELL) :]
    if not payload.startswith(TELL) or len(payload) > LARGEST or len(body) % DIGEST_BYTES:
        return []
    return [body[at : at + DIGEST_BYTES] for at in range(0, len(body), DIGEST_BYTES)]
