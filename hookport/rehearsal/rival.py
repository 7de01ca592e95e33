"""A stronger reference limiter to compare scores with: fixed quota slices, least-loaded choice, one retry.

It represents what a good engineer could write in a day. Each limiter holds its share of a customer's quota in
a token bucket. A request goes to the server with the fewest requests in flight from this limiter; a server
that failed is ejected for a while. A request that is safe to repeat is retried once on another server, within
a retry budget. It shares no state with other limiters and uses no counter.

It is started in the daemon's place as ``python -m hookport.rehearsal.rival``.
"""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from functools import partial
from typing import Any

import uvloop

from hookport.rehearsal.plain import ClientConnection, ForwardedRequest, PlainLimiter, Upstream, run
from hookport.rehearsal.referee import TokenBucket

RETRY_TOKENS_PER_REQUEST = 0.1  # retries earned by each request
MAX_RETRY_TOKENS = 5.0  # upper bound of the saved retries
EJECTION_S = 1.0  # how long a failed server is avoided
MAX_IN_FLIGHT_PER_SERVER = 24  # requests from this limiter
CONNECT_TIMEOUT_S = 0.25
SAFE_COMMAND = b"SVC.QUERY"


class RetryableUpstream(Upstream):
    """One attempt at a server; passes values on to the client and leaves failures to the limiter."""

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
    """Protocol factory that returns an existing attempt."""
    return attempt


class RivalLimiter(PlainLimiter):
    """The limiter process: quota slices, server choice, ejection and retries."""

    def __init__(self, config: dict[str, Any], stub: bool = False) -> None:
        super().__init__(config, stub)
        self.quota_slices: dict[tuple[bytes, str], TokenBucket] = {}
        self.in_flight: dict[str, int] = defaultdict(int)
        self.ejected_until_s: dict[str, float] = {}
        self.retry_tokens = MAX_RETRY_TOKENS
        self.plans = {plan["name"]: plan for plan in config["settings"]["tiersOfService"]}

    def take_quota(self, customer: bytes, fields: dict[str, str]) -> bool:
        """Charge the request to this limiter's slice of the quota; return whether it fits."""
        plan = self.plans.get(fields.get("t", ""))
        if plan is None:
            return True
        key = customer, plan["name"]
        if (bucket := self.quota_slices.get(key)) is None:
            slice_count = max(1, int(fields.get("spread", "1")))
            bucket = self.quota_slices[key] = TokenBucket(
                plan["perSecond"] / slice_count, plan["storeSize"] / slice_count
            )
        return bucket.take(round(self.loop.time() * 1e9), float(fields.get("units", "1")))

    def pick_server(self, tried: set[str]) -> str | None:
        """Return the server with the fewest requests in flight, preferring those not ejected."""
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
        """Forward the request, retry once if that is safe and within the budget, and always reply."""
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
                    attempt.transport.close()  # the deadline has passed and the client has its reply
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
