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

from hookport.rehearsal.plain import ClientConnection, ForwardedRequest, PlainLimiter, Upstream, run
from hookport.rehearsal.referee import Bucket

RETRY_TOKENS_PER_REQUEST = 0.1  # retries for each first try
MAX_RETRY_TOKENS = 5.0  # retries that may be saved up
EJECTION_S = 1.0  # for which a server that failed is passed over
MAX_IN_FLIGHT_PER_SERVER = 24  # requests of this limiter at one server
CONNECT_TIMEOUT_S = 0.25
SAFE_COMMAND = b"SVC.QUERY"


class RetryableUpstream(Upstream):
    """One attempt at a server. A client hears of a failure only from the rival, which may try again."""

    def __init__(self, client: ClientConnection, slot: list[bytes | None], payload: bytes) -> None:
        super().__init__(client, slot, payload)
        self.busy = False
        self.has_value: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        self.busy = data.startswith(b"-BUSY")
        if self.busy:
            return self.transport.close()
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.has_value.done():
            self.has_value.set_result(self.slot[0] is not None)


def existing_protocol(attempt: RetryableUpstream) -> RetryableUpstream:
    """As a factory of protocols: the attempt that stands ready."""
    return attempt


class RivalLimiter(PlainLimiter):
    """The whole limiter."""

    def __init__(self, config: dict[str, Any], stub: bool = False) -> None:
        super().__init__(config, stub)
        self.quota_slices: dict[tuple[bytes, str], Bucket] = {}
        self.in_flight: dict[str, int] = defaultdict(int)
        self.ejected_until_s: dict[str, float] = {}
        self.retry_tokens = MAX_RETRY_TOKENS
        self.plans = {plan["name"]: plan for plan in config["settings"]["tiersOfService"]}

    def take_quota(self, customer: bytes, fields: dict[str, str]) -> bool:
        """Whether this limiter's slice of the quota holds the request; it is charged then."""
        plan = self.plans.get(fields.get("t", ""))
        if plan is None:
            return True
        key = customer, plan["name"]
        if (bucket := self.quota_slices.get(key)) is None:
            slice_count = max(1, int(fields.get("spread", "1")))
            bucket = self.quota_slices[key] = Bucket(
                plan["perSecond"] / slice_count, plan["storeSize"] / slice_count
            )
        return bucket.take(round(self.loop.time() * 1e9), float(fields.get("units", "1")))

    def pick_server(self, tried: set[str]) -> str | None:
        """The server with the least of this limiter's work, of those that did not fail lately."""
        now_s = self.loop.time()
        servers = [
            server
            for server in sorted(self.addresses)
            if server not in tried and self.in_flight[server] < MAX_IN_FLIGHT_PER_SERVER
        ]
        healthy = [server for server in servers if self.ejected_until_s.get(server, 0.0) <= now_s] or servers
        return min(healthy, key=lambda server: (self.in_flight[server], self.random.random()), default=None)

    def start(self, request: ForwardedRequest) -> None:
        if not self.take_quota(request.arguments[1], request.fields):
            return request.connection.reply(request.slot, b"-BUSY\r\n")
        self.spawn(self.forward_with_retry(request, self.loop.time() + request.wait_s))

    async def forward_with_retry(self, request: ForwardedRequest, deadline_s: float) -> None:
        """Try, and once more where that is safe and retries are few; a last word in any case."""
        connection, slot = request.connection, request.slot
        tried: set[str] = set()
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        may_have_run = False
        while slot[0] is None and (server := self.pick_server(tried)):
            tried.add(server)
            attempt = RetryableUpstream(connection, slot, request.payload)
            self.in_flight[server] += 1
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await self.loop.create_connection(
                        partial(existing_protocol, attempt), *self.addresses[server]
                    )
            except (OSError, TimeoutError):
                self.ejected_until_s[server] = self.loop.time() + EJECTION_S
            else:
                try:
                    async with asyncio.timeout_at(deadline_s):
                        if await attempt.has_value:
                            return
                except TimeoutError:
                    attempt.transport.close()  # the client's time is up, and it has been told
                    return
                may_have_run = may_have_run or not attempt.busy
                if not attempt.busy:
                    self.ejected_until_s[server] = self.loop.time() + EJECTION_S
            finally:
                self.in_flight[server] -= 1
            if (
                len(tried) > 1
                or self.retry_tokens < 1
                or (may_have_run and request.arguments[0] != SAFE_COMMAND)
            ):
                break
            self.retry_tokens -= 1
        connection.reply(slot, b"-ERR failed\r\n" if may_have_run else b"-BUSY\r\n")


def main() -> int:
    uvloop.run(run(RivalLimiter))
    return 0


if __name__ == "__main__":
    sys.exit(main())
