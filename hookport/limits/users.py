"""Authentication and authorization of limit commands: users, their secrets, commands and customers."""

from __future__ import annotations

import hashlib
import hmac
import os
from collections.abc import Mapping, Sequence

from hookport.options import LimitUser, OptionsError

# Compared for unknown users, so that the response time doesn't reveal whether a user exists.
DUMMY_DIGEST = hashlib.sha256(b"").digest()


class Users:
    """The configured users; if there are none, every connection may use every command."""

    def __init__(self, users: Sequence[LimitUser], environ: Mapping[str, str] = os.environ) -> None:
        self.users = {user.name.encode(): user for user in users}
        self.secret_digests = {user.name.encode(): self.load_secret_digest(user, environ) for user in users}

    @staticmethod
    def load_secret_digest(user: LimitUser, environ: Mapping[str, str]) -> bytes:
        """Return the digest of a user's secret; raises OptionsError, which never contains the secret."""
        if bool(user.secret_file) == bool(user.secret_env):
            raise OptionsError(
                f"limits.users: {user.name}: exactly one of secret_file and secret_env must be set"
            )
        try:
            if user.secret_file:
                with open(user.secret_file, "rb") as file:
                    secret = file.read(4096).rstrip(b"\r\n")
            else:
                secret = environ.get(user.secret_env, "").encode()
        except OSError as error:
            raise OptionsError(f"limits.users: {user.name}: {user.secret_file}: {error.strerror}") from error
        if len(secret) < 8:
            raise OptionsError(
                f"limits.users: {user.name}: its secret has {len(secret)} bytes; it needs at least 8"
            )
        return hashlib.sha256(secret).digest()

    def authenticate(self, name: bytes, secret: bytes) -> bool:
        """Check a user's secret; takes the same time whether or not the user exists."""
        digest = hashlib.sha256(secret).digest()
        return (
            hmac.compare_digest(digest, self.secret_digests.get(name, DUMMY_DIGEST))
            and name in self.secret_digests
        )

    def is_allowed(self, name: bytes | None, command: str, customer: int | None) -> bool:
        """Whether a user may run a command ("take", "peek" or "give"), for ``customer`` unless it is None."""
        if not self.users:
            return True
        user = self.users.get(name) if name is not None else None
        if user is None or command not in user.commands:
            return False
        return customer is None or not user.customers or f"{customer:016x}" in user.customers
