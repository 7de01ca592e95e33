"""A stronger rival to set scores beside: fixed slices, least-loaded choice, bounded retries.

What a good engineer would write in a day: each limiter keeps its part of a customer's quota in a token
bucket, a request goes to the server with the least of this limiter's own work, one that failed stays out for
a while, and what may be repeated is tried once more elsewhere, as long as retries are few. It shares nothing
with the other limiters and asks no counter. It is started in the daemon's place as
``python -m hookport.rehearsal.rival``.
"""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from functools import partial
from typing import Any

import uvloop

from hookport.rehearsal.plain import Asked, Front, Plain, Upstream, run
from hookport.rehearsal.referee import TokenBucket

RETRY_SHARE = 0.1  # retries for each first try
RETRY_SAVED = 5.0  # retries that may be saved up
OUT_S = 1.0  # for which a server that failed is passed over
MOST_OUT = 24  # requests of this limiter at one server
CONNECT_S = 0.25
SAFE = b"SVC.QUERY"


class Try(Upstream):
    """One attempt at a server. A client hears of a failure only from the rival, which may try again."""

    def __init__(self, client: Front, slot: list[bytes | None], payload: bytes) -> None:
        super().__init__(client, slot, payload)
        self.busy = False
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        self.busy = data.startswith(b"-BUSY")
        if self.busy:
            return self.transport.close()
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(self.slot[0] is not None)


def itself(attempt: Try) -> Try:
    """As a factory of protocols: the attempt that stands ready."""
    return attempt


class Rival(Plain):
    """The whole limiter."""

    def __init__(self, told: dict[str, Any], stub: bool = False) -> None:
        super().__init__(told, stub)
        self.slices: dict[tuple[bytes, str], TokenBucket] = {}
        self.out: dict[str, int] = defaultdict(int)
        self.bad_until_s: dict[str, float] = {}
        self.retries = RETRY_SAVED
        self.plans = {plan["name"]: plan for plan in told["settings"]["tiersOfService"]}

    def admitted(self, customer: bytes, fields: dict[str, str]) -> bool:
        """Whether this limiter's slice of the quota holds the request; it is charged then."""
        plan = self.plans.get(fields.get("t", ""))
        if plan is None:
            return True
        key = customer, plan["name"]
        if (kept := self.slices.get(key)) is None:
            parts = max(1, int(fields.get("spread", "1")))
            kept = self.slices[key] = TokenBucket(plan["perSecond"] / parts, plan["storeSize"] / parts)
        return kept.take(round(self.loop.time() * 1e9), float(fields.get("units", "1")))

    def choose(self, tried: set[str]) -> str | None:
        """The server with the least of this limiter's work, of those that did not fail lately."""
        now_s = self.loop.time()
        names = [name for name in sorted(self.places) if name not in tried and self.out[name] < MOST_OUT]
        well = [name for name in names if self.bad_until_s.get(name, 0.0) <= now_s] or names
        return min(well, key=lambda name: (self.out[name], self.chance.random()), default=None)

    def start(self, asked: Asked) -> None:
        if not self.admitted(asked.words[1], asked.fields):
            return asked.front.give(asked.slot, b"-BUSY\r\n")
        self.keep(self.serve_one(asked, self.loop.time() + asked.wait_s))

    async def serve_one(self, asked: Asked, until_s: float) -> None:
        """Try, and once more where that is safe and retries are few; a last word in any case."""
        front, slot = asked.front, asked.slot
        tried: set[str] = set()
        self.retries = min(RETRY_SAVED, self.retries + RETRY_SHARE)
        ran = False
        while slot[0] is None and (name := self.choose(tried)):
            tried.add(name)
            attempt = Try(front, slot, asked.payload)
            self.out[name] += 1
            try:
                async with asyncio.timeout(CONNECT_S):
                    await self.loop.create_connection(partial(itself, attempt), *self.places[name])
            except (OSError, TimeoutError):
                self.bad_until_s[name] = self.loop.time() + OUT_S
            else:
                try:
                    async with asyncio.timeout_at(until_s):
                        if await attempt.ended:
                            return
                except TimeoutError:
                    attempt.transport.close()  # the client's time is up, and it has been told
                    return
                ran = ran or not attempt.busy
                if not attempt.busy:
                    self.bad_until_s[name] = self.loop.time() + OUT_S
            finally:
                self.out[name] -= 1
            if len(tried) > 1 or self.retries < 1 or (ran and asked.words[0] != SAFE):
                break
            self.retries -= 1
        front.give(slot, b"-ERR failed\r\n" if ran else b"-BUSY\r\n")


def main() -> int:
    uvloop.run(run(Rival))
    return 0


if __name__ == "__main__":
    sys.exit(main())
