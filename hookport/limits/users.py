"""Who may ask: users with a secret, the commands each may use and the customers each may ask for."""

from __future__ import annotations

import hashlib
import hmac
import os
from collections.abc import Mapping, Sequence

from hookport.options import LimitUser, OptionsError

NOBODY = hashlib.sha256(b"").digest()


class Users:
    """Without any user listed, whoever connects may do everything."""

    def __init__(self, users: Sequence[LimitUser], environ: Mapping[str, str] = os.environ) -> None:
        self.users = {user.name.encode(): user for user in users}
        self.secrets = {user.name.encode(): self.secret(user, environ) for user in users}

    @staticmethod
    def secret(user: LimitUser, environ: Mapping[str, str]) -> bytes:
        """The digest of a user's secret; raises OptionsError that names the user, never the secret."""
        if bool(user.secret_file) == bool(user.secret_env):
            raise OptionsError(f"limits.users: {user.name}: name secret_file or secret_env, one of them")
        try:
            if user.secret_file:
                with open(user.secret_file, "rb") as file:
                    told = file.read(4096).rstrip(b"\r\n")
            else:
                told = environ.get(user.secret_env, "").encode()
        except OSError as error:
            raise OptionsError(f"limits.users: {user.name}: {user.secret_file}: {error.strerror}") from error
        if len(told) < 8:
            raise OptionsError(f"limits.users: {user.name}: its secret has {len(told)} bytes; 8 at least")
        return hashlib.sha256(told).digest()

    def admit(self, name: bytes, secret: bytes) -> bool:
        """Whether the secret is this user's; takes as long for a user that there is not."""
        told = hashlib.sha256(secret).digest()
        return hmac.compare_digest(told, self.secrets.get(name, NOBODY)) and name in self.secrets

    def may(self, name: bytes | None, command: str, customer: int | None) -> bool:
        """Whether a user may use a command ("take", "peek", "give"), and for this customer."""
        if not self.users:
            return True
        user = self.users.get(name) if name is not None else None
        if user is None or command not in user.commands:
            return False
        return customer is None or not user.customers or f"{customer:016x}" in user.customers
